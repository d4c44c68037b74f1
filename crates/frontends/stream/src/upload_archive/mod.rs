//! The archive of resumable uploads. It has a file for the bytes of each upload and a log that records the
//! offset of each upload. One thread reads, writes and syncs, so that disk operations do not block the
//! streams of other requests.
//!
//! Submitting an operation returns a [`PendingOperation`] at once. When the result is available, the archive's
//! thread calls the submitter's `wake` function.

mod error;
mod recovery;
mod worker;

pub use error::{ArchiveError, OpenError, OpenErrorCause};

use lynxtally::Effect;
use lynxtally_flow::uploads::lifecycle::{AfterForward, ForwardEnd};
use lynxtally_flow::uploads::{Entry, Upload, UploadError, UploadId, UploadLimits, Uploads};
use lynxtally_net::directory::DirectoryStorage;
use lynxtally_net::sync::{lock, Shared};
use recovery::{recover, RecoveredArchive};
use std::path::Path;
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::info;
use worker::{write_snapshot, Completion, Operation, Worker};

/// The name of the log. The names of its files begin with it.
const LOG_NAME: &str = "uploads";

/// The suffix of the files of uploads.
const FILE_SUFFIX: &str = ".upload";

/// The most bytes that one read returns.
const MAX_READ_BYTES: usize = 128 * 1024;

/// How many executed uploads are forgotten at once if there is no memory for another record.
const EVICTED_AT_ONCE: usize = 64;

/// The result of an operation: the bytes that were read, or no bytes if the operation was not a read.
pub type OperationResult = Result<Vec<u8>, ArchiveError>;

/// The name of the file that holds the bytes of an upload.
fn file_name(id: UploadId) -> String {
    format!("{id:016x}{FILE_SUFFIX}")
}

/// The current Unix time in seconds.
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since_epoch| since_epoch.as_secs())
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    // Entries consist of integers, strings and byte vectors, all of which postcard can encode.
    postcard::to_allocvec(value).expect("entries can be encoded")
}

/// An operation that was submitted to the archive's thread.
#[derive(Clone, Default)]
pub struct PendingOperation {
    result: Arc<Mutex<Option<OperationResult>>>,
}

impl PendingOperation {
    /// Takes the result, if it is available. It can be taken only once.
    pub fn take(&self) -> Option<OperationResult> {
        lock(&self.result).take()
    }

    /// The function by which the archive's thread stores the result and then wakes the submitter.
    fn completion(&self, wake: impl FnOnce() + Send + 'static) -> Completion {
        let pending = self.clone();
        Box::new(move |result| {
            *lock(&pending.result) = Some(result);
            wake();
        })
    }
}

/// The archive of the resumable uploads of a server.
pub struct UploadArchive {
    /// The state of each upload, including changes that are not durable yet.
    pub uploads: Shared<Uploads>,
    operations: Sender<Operation>,
}

impl UploadArchive {
    /// Opens the archive in a directory, which is created if it does not exist, and starts the archive's
    /// thread. Uploads whose files differ from what the log records are discarded.
    ///
    /// # Errors
    /// The directory or the log cannot be used, or the thread cannot be started.
    pub fn open(directory: &Path, limits: UploadLimits) -> Result<Arc<Self>, OpenError> {
        Self::open_directory(directory, limits)
            .map_err(|cause| OpenError { directory: directory.to_owned(), cause })
    }

    fn open_directory(directory: &Path, limits: UploadLimits) -> Result<Arc<Self>, OpenErrorCause> {
        let mut storage = DirectoryStorage::new(directory).map_err(OpenErrorCause::Directory)?;
        let RecoveredArchive { mut log, uploads } = recover(&mut storage, limits)?;
        info!(uploads = uploads.ids().len(), bytes = uploads.total_bytes(), "resumable uploads recovered");
        write_snapshot(&mut storage, &mut log, &uploads).map_err(OpenErrorCause::Log)?;
        let (operations, receiver) = mpsc::channel();
        let worker = Worker::new(storage, log, uploads.clone());
        std::thread::Builder::new()
            .name("archive".to_owned())
            .spawn(move || worker.run(&receiver))
            .map_err(OpenErrorCause::Thread)?;
        Ok(Arc::new(Self { uploads: Shared::new(uploads), operations }))
    }

    fn send(&self, operation: Operation) {
        if let Err(mpsc::SendError(operation)) = self.operations.send(operation) {
            operation.fail(ArchiveError::Closed);
        }
    }

    /// Appends bytes to an upload. They are durable only after an entry that covers them was recorded.
    pub fn append(
        &self,
        id: UploadId,
        bytes: Vec<u8>,
        wake: impl FnOnce() + Send + 'static,
    ) -> PendingOperation {
        let pending = PendingOperation::default();
        self.send(Operation::Append { id, bytes, completion: pending.completion(wake) });
        pending
    }

    /// Reads at most `max_bytes` of an upload, starting at `offset`. A read may return fewer bytes.
    pub fn read(
        &self,
        id: UploadId,
        offset: u64,
        max_bytes: usize,
        wake: impl FnOnce() + Send + 'static,
    ) -> PendingOperation {
        let pending = PendingOperation::default();
        let max_bytes = max_bytes.min(MAX_READ_BYTES);
        self.send(Operation::Read { id, offset, max_bytes, completion: pending.completion(wake) });
        pending
    }

    /// Makes the bytes of an upload durable, and then the log entry that covers them.
    pub fn record(&self, entry: Entry, wake: impl FnOnce() + Send + 'static) -> PendingOperation {
        self.record_all(vec![entry], wake)
    }

    /// Makes the bytes of uploads durable, and then the log entries that cover them, in one step.
    pub fn record_all(&self, entries: Vec<Entry>, wake: impl FnOnce() + Send + 'static) -> PendingOperation {
        let pending = PendingOperation::default();
        self.send(Operation::Record { entries, completion: pending.completion(wake) });
        pending
    }

    /// Creates an upload, and returns the operation that makes it durable and the number of its writer. If there is no
    /// memory for its record, the oldest executed uploads are forgotten that need not be remembered any longer.
    ///
    /// # Errors
    /// As for [`Uploads::create`].
    pub fn create(
        &self,
        id: UploadId,
        upload: Upload,
        wake: impl FnOnce() + Send + 'static,
    ) -> Result<(PendingOperation, u64), UploadError> {
        let evictable = self.uploads.with(|uploads| {
            if uploads.has_record_room(&upload) {
                return Vec::new();
            }
            uploads.evictable(unix_seconds(), EVICTED_AT_ONCE)
        });
        self.remove_all(evictable);
        let (entry, writer) = self.uploads.with(|uploads| uploads.create(id, upload))?;
        Ok((self.record(entry, wake), writer))
    }

    /// Ends the forward of an upload: records what is known of it, and removes the bytes if they are no longer needed.
    /// Returns `None` as [`Uploads::end_forward`] does.
    pub fn end_forward(
        &self,
        id: UploadId,
        number: u64,
        effect: Effect,
        end: ForwardEnd,
        protected_secs: u64,
    ) -> Option<AfterForward> {
        let ended = self
            .uploads
            .with(|uploads| uploads.end_forward(id, number, effect, end, unix_seconds(), protected_secs));
        let (after, entry) = ended?;
        if let Some(entry) = entry {
            self.record(entry, || ());
        }
        if matches!(after, AfterForward::Executed(_) | AfterForward::Removed) {
            self.send(Operation::Remove { id });
        }
        Some(after)
    }

    /// Records that a client has got the response to the execution of an upload that is kept with its bytes: by an earlier
    /// forward, or by another upload with the same idempotency key.
    pub fn response_delivered(&self, id: UploadId, effect: Effect, protected_secs: u64) {
        let entry = self
            .uploads
            .with(|uploads| uploads.response_delivered(id, effect, unix_seconds(), protected_secs));
        if let Some(entry) = entry {
            self.record(entry, || ());
            self.send(Operation::Remove { id });
        }
    }

    /// Removes an upload that its client no longer wants. `effect` is that of executing the upload twice.
    ///
    /// # Errors
    /// As for [`Uploads::discard`].
    pub fn discard(&self, id: UploadId, effect: Effect) -> Result<(), UploadError> {
        let entry = self.uploads.with(|uploads| uploads.discard(id, effect))?;
        self.record(entry, || ());
        self.send(Operation::Remove { id });
        Ok(())
    }

    /// Waits until all operations before are completed, but no longer than `timeout`. Returns whether they are. Blocks the
    /// thread, so no coroutine may call it.
    pub fn wait_until_idle(&self, timeout: Duration) -> bool {
        let (sender, receiver) = mpsc::channel();
        let completion: Completion = Box::new(move |_| {
            // The receiver is gone if the wait has timed out.
            let _ = sender.send(());
        });
        self.send(Operation::Barrier { completion });
        receiver.recv_timeout(timeout).is_ok()
    }

    /// Removes an upload and its bytes.
    pub fn remove(&self, id: UploadId) {
        self.remove_all(vec![id]);
    }

    /// Removes uploads and their bytes.
    fn remove_all(&self, ids: Vec<UploadId>) {
        let entries: Vec<Entry> =
            self.uploads.with(|uploads| ids.iter().filter_map(|id| uploads.remove(*id)).collect());
        if entries.is_empty() {
            return;
        }
        self.record_all(entries, || ());
        for id in ids {
            self.send(Operation::Remove { id });
        }
    }

    /// Removes the uploads that have expired.
    pub fn remove_expired(&self) {
        let expired = self.uploads.with(|uploads| uploads.expired(unix_seconds()));
        for id in &expired {
            info!(upload = file_name(*id), "upload expired");
        }
        self.remove_all(expired);
    }
}
