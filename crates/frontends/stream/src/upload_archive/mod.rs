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

use lynxtally_flow::uploads::{Entry, UploadId, UploadLimits, Uploads};
use lynxtally_net::directory::DirectoryStorage;
use lynxtally_net::sync::{lock, Shared};
use recovery::{recover, RecoveredArchive};
use std::path::Path;
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::info;
use worker::{write_snapshot, Completion, Operation, Worker};

/// The name of the log. The names of its files begin with it.
const LOG_NAME: &str = "uploads";

/// The suffix of the files of uploads.
const FILE_SUFFIX: &str = ".upload";

/// The most bytes that one read returns.
const MAX_READ_BYTES: usize = 128 * 1024;

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
        let pending = PendingOperation::default();
        self.send(Operation::Record { entry, completion: pending.completion(wake) });
        pending
    }

    /// Removes an upload and its bytes.
    pub fn remove(&self, id: UploadId) {
        let removal = self.uploads.with(|uploads| uploads.remove(id));
        if let Some(entry) = removal {
            self.record(entry, || ());
            self.send(Operation::Remove { id });
        }
    }

    /// Removes the uploads that have expired.
    pub fn remove_expired(&self) {
        let expired = self.uploads.with(|uploads| uploads.expired(unix_seconds()));
        for id in expired {
            info!(upload = file_name(id), "upload expired");
            self.remove(id);
        }
    }
}
