//! The archive's thread, which executes operations in the order in which they were submitted.

use super::error::ArchiveError;
use super::{encode, file_name, OperationResult, LOG_NAME};
use lynxtally_flow::uploads::{Entry, UploadId, Uploads};
use lynxtally_net::directory::DirectoryStorage;
use lynxtally_wal::{Storage, StorageError, WriteAheadLog};
use std::sync::mpsc::Receiver;
use tracing::warn;

/// A new snapshot is written once the log has grown by more than this since the last one.
const MAX_LOG_BYTES: u64 = 4 << 20;

/// Receives the result of an operation, on the archive's thread.
pub(super) type Completion = Box<dyn FnOnce(OperationResult) + Send>;

/// An operation for the archive's thread.
pub(super) enum Operation {
    /// Appends bytes to the file of an upload.
    Append { id: UploadId, bytes: Vec<u8>, completion: Completion },
    /// Reads at most `max_bytes` of the file of an upload.
    Read { id: UploadId, offset: u64, max_bytes: usize, completion: Completion },
    /// Makes the bytes of uploads durable, and then the log entries that cover them.
    Record { entries: Vec<Entry>, completion: Completion },
    /// Removes the file of an upload.
    Remove { id: UploadId },
    /// Completes once all operations before it are completed.
    Barrier { completion: Completion },
}

impl Operation {
    /// Completes an operation with an error, without executing it.
    pub(super) fn fail(self, error: ArchiveError) {
        match self {
            Self::Append { completion, .. }
            | Self::Read { completion, .. }
            | Self::Record { completion, .. }
            | Self::Barrier { completion } => completion(Err(error)),
            Self::Remove { .. } => {}
        }
    }
}

/// The state of the archive's thread.
pub(super) struct Worker {
    storage: DirectoryStorage,
    log: WriteAheadLog,
    /// The uploads as the log records them, without changes that are not durable yet.
    recorded: Uploads,
    /// The first failure to record an entry. After a failed sync it is unknown what is on the disk, so no later entry
    /// is reported as durable.
    failure: Option<ArchiveError>,
    /// Whether the snapshot before the log has an entry about a forward; see [`Entry`].
    snapshot_has_forward: bool,
}

impl Worker {
    pub(super) fn new(storage: DirectoryStorage, log: WriteAheadLog, recorded: Uploads) -> Self {
        let snapshot_has_forward = has_forward(&recorded);
        Self { storage, log, recorded, failure: None, snapshot_has_forward }
    }

    /// Executes operations until the archive is dropped.
    pub(super) fn run(mut self, operations: &Receiver<Operation>) {
        for operation in operations {
            self.execute(operation);
        }
    }

    fn execute(&mut self, operation: Operation) {
        match operation {
            Operation::Append { id, bytes, completion } => {
                let result = self.storage.append(&file_name(id), &bytes);
                completion(result.map(|()| Vec::new()).map_err(ArchiveError::from));
            }
            Operation::Read { id, offset, max_bytes, completion } => {
                let result = self.storage.read_at(&file_name(id), offset, max_bytes);
                completion(result.map_err(ArchiveError::from));
            }
            Operation::Barrier { completion } => completion(Ok(Vec::new())),
            Operation::Record { entries, completion } => {
                let result = self.record_unless_failed(entries);
                completion(result.map(|()| Vec::new()));
            }
            Operation::Remove { id } => {
                // An upload that never received a byte has no file.
                let _ = self.storage.remove(&file_name(id));
            }
        }
    }

    fn record_unless_failed(&mut self, entries: Vec<Entry>) -> Result<(), ArchiveError> {
        if let Some(error) = &self.failure {
            return Err(error.clone());
        }
        let result = self.record(entries);
        if let Err(error) = &result {
            warn!(%error, "writing the log of uploads failed; no upload can be made durable before a restart");
            self.failure = Some(error.clone());
        }
        result
    }

    fn record(&mut self, mut entries: Vec<Entry>) -> Result<(), ArchiveError> {
        // An upload may have been removed after its progress was read; its file may not exist any more.
        entries.retain(|entry| match entry {
            Entry::Advanced { id, .. } => self.recorded.get(*id).is_some(),
            _ => true,
        });
        // The bytes are made durable before the entry that covers them. With an entry but without its bytes,
        // the upload would be lost at the next start.
        for entry in &entries {
            if let Entry::Advanced { id, offset: 1.., .. } = entry {
                self.storage.sync(&file_name(*id))?;
            }
        }
        // An earlier version skips entries that it can't read, but refuses such a snapshot.
        let needs_snapshot = !self.snapshot_has_forward && entries.iter().any(Entry::is_about_forward);
        if !needs_snapshot {
            for entry in &entries {
                self.log.append(&encode(entry));
            }
            self.log.commit(&mut self.storage)?;
        }
        entries.into_iter().for_each(|entry| self.recorded.replay(entry));
        if needs_snapshot || self.log.bytes_since_snapshot() > MAX_LOG_BYTES {
            write_snapshot(&mut self.storage, &mut self.log, &self.recorded)?;
            self.snapshot_has_forward = has_forward(&self.recorded);
        }
        Ok(())
    }
}

fn has_forward(uploads: &Uploads) -> bool {
    uploads.snapshot().iter().any(Entry::is_about_forward)
}

/// Starts a new generation of the log, with a snapshot of these uploads.
pub(super) fn write_snapshot(
    storage: &mut DirectoryStorage,
    log: &mut WriteAheadLog,
    uploads: &Uploads,
) -> Result<(), StorageError> {
    let rotation = log.rotate();
    let snapshot = encode(&uploads.snapshot());
    WriteAheadLog::write_snapshot(storage, LOG_NAME, rotation, &snapshot)
}
