//! The archive of resumable uploads: a file for the bytes of each upload, a log that records how far each one is, and
//! one thread that reads, writes and syncs, so that no stream waits for the disk of another.
//!
//! An operation is sent to the thread and returns a [`PendingOperation`] at once; whoever waits for it is woken when its
//! result is there.

mod error;
mod recovery;
mod worker;

pub use error::{ArchiveError, OpenError, OpenErrorCause};

use lynxtally_flow::uploads::{Entry, UploadId, UploadLimits, Uploads};
use lynxtally_net::directory::DirectoryStorage;
use lynxtally_net::sync::lock;
use recovery::{recover, RecoveredArchive};
use std::path::Path;
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::info;
use worker::{write_snapshot, Completion, Operation, Worker};

/// The name of the log, which begins the names of its files.
const LOG_NAME: &str = "uploads";

/// How the names of the files of uploads end.
const FILE_SUFFIX: &str = ".upload";

/// The most that one read returns.
const MAX_READ_BYTES: usize = 128 * 1024;

/// The result of an operation: the bytes of a read, nothing for the others.
pub type OperationResult = Result<Vec<u8>, ArchiveError>;

/// The name of the file of an upload.
fn file_name(id: UploadId) -> String {
    format!("{id:016x}{FILE_SUFFIX}")
}

/// Unix time in seconds.
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since_epoch| since_epoch.as_secs())
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    // Entries are integers, strings and bytes, for all of which the format has a form, and memory takes any length.
    postcard::to_allocvec(value).expect("entries can be encoded")
}

/// An operation that the archive's thread carries out.
#[derive(Clone, Default)]
pub struct PendingOperation {
    result: Arc<Mutex<Option<OperationResult>>>,
}

impl PendingOperation {
    /// The result, once it is there; it is given out once.
    pub fn take(&self) -> Option<OperationResult> {
        lock(&self.result).take()
    }

    /// Stores the result and then wakes whoever waits for it.
    fn completion(&self, wake: impl FnOnce() + Send + 'static) -> Completion {
        let pending = self.clone();
        Box::new(move |result| {
            *lock(&pending.result) = Some(result);
            wake();
        })
    }
}

/// The uploads of a server.
pub struct UploadArchive {
    /// How far each upload is, durable or not.
    pub uploads: Mutex<Uploads>,
    operations: Sender<Operation>,
}

impl UploadArchive {
    /// Opens the archive in a directory, creating it where it does not exist, and starts its thread. Uploads whose files
    /// are not what the log records are not kept.
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
        info!(uploads = uploads.ids().len(), bytes = uploads.sum(), "resumable uploads recovered");
        write_snapshot(&mut storage, &mut log, &uploads).map_err(OpenErrorCause::Log)?;
        let (operations, receiver) = mpsc::channel();
        let worker = Worker::new(storage, log, uploads.clone());
        std::thread::Builder::new()
            .name("archive".to_owned())
            .spawn(move || worker.run(&receiver))
            .map_err(OpenErrorCause::Thread)?;
        Ok(Arc::new(Self { uploads: Mutex::new(uploads), operations }))
    }

    fn send(&self, operation: Operation) {
        if let Err(mpsc::SendError(operation)) = self.operations.send(operation) {
            operation.fail(ArchiveError::Closed);
        }
    }

    /// Appends bytes to an upload. They are durable only once an entry that records them is.
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

    /// Reads at most `max_bytes` of an upload, from `offset` on. A read may return fewer.
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

    /// Makes an entry durable, and before it the bytes that it records.
    pub fn record(&self, entry: Entry, wake: impl FnOnce() + Send + 'static) -> PendingOperation {
        let pending = PendingOperation::default();
        self.send(Operation::Record { entry, completion: pending.completion(wake) });
        pending
    }

    /// Removes an upload that is over, and its bytes.
    pub fn remove(&self, id: UploadId) {
        let removal = lock(&self.uploads).gone(id);
        if let Some(entry) = removal {
            self.record(entry, || ());
            self.send(Operation::Remove { id });
        }
    }

    /// Removes the uploads that nobody has resumed for too long.
    pub fn remove_expired(&self) {
        let expired = lock(&self.uploads).aged(unix_seconds());
        for id in expired {
            info!(upload = file_name(id), "upload expired");
            self.remove(id);
        }
    }
}
