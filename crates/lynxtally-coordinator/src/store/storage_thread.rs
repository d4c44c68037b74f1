//! The storage thread, which does all writes to the folder.

use super::error::{StorageFailure, StoreError};
use super::log_record::{LogContent, LogRecord};
use lynxtally_wal::{
    decode_checksummed_file, encode_checksummed_file, ChecksummedFile, Recovered, Storage, WriteAheadLog,
};
use std::fmt;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use tokio::sync::oneshot;

/// The name of the write-ahead log in the folder.
const LOG_NAME: &str = "log";
/// The name of the file with the replicated state.
pub(crate) const STATE_FILE: &str = "state";
/// The write-ahead log is compacted once it has grown by this many bytes.
const COMPACT_AFTER_BYTES: u64 = 8 << 20;

/// Called once, when the data of a job is durable or could not be made durable.
pub(crate) type OnDurable = Box<dyn FnOnce(Result<(), StorageFailure>) + Send>;

/// A write for the storage thread.
pub(crate) enum Job {
    /// Appends records to the log.
    AppendRecords { records: Vec<LogRecord>, on_durable: OnDurable },
    /// Replaces the state file with the state as of a log index.
    ReplaceState { index: u64, state: Vec<u8>, on_durable: OnDurable },
}

/// Sends jobs to the storage thread.
#[derive(Clone)]
pub(crate) struct StorageHandle(Sender<Job>);

impl StorageHandle {
    /// Appends records to the log and waits until they are durable.
    pub async fn append_records(&self, records: Vec<LogRecord>) -> Result<(), StorageFailure> {
        let (on_durable, durable) = durable_channel();
        self.send(Job::AppendRecords { records, on_durable })?;
        durable.await.unwrap_or(Err(StorageFailure::ThreadEnded))
    }

    /// Replaces the state file and waits until it is durable.
    pub async fn replace_state(&self, index: u64, state: Vec<u8>) -> Result<(), StorageFailure> {
        let (on_durable, durable) = durable_channel();
        self.send(Job::ReplaceState { index, state, on_durable })?;
        durable.await.unwrap_or(Err(StorageFailure::ThreadEnded))
    }

    pub fn send(&self, job: Job) -> Result<(), StorageFailure> {
        self.0.send(job).map_err(|_| StorageFailure::ThreadEnded)
    }
}

/// Returns a callback, and a receiver for the result that it is called with.
fn durable_channel() -> (OnDurable, oneshot::Receiver<Result<(), StorageFailure>>) {
    let (sender, receiver) = oneshot::channel();
    // Sending fails only if openraft dropped the future that waits for the result.
    (Box::new(move |outcome| drop(sender.send(outcome))), receiver)
}

/// The content of an opened folder.
pub struct OpenedStore {
    pub(crate) log: LogContent,
    /// The content of the state file, if there is one.
    pub(crate) state: Option<Vec<u8>>,
    pub(crate) storage: StorageHandle,
    /// The file, length and offset of the torn tail that was truncated, if any. It was never acknowledged.
    pub truncated_tail: Option<String>,
}

/// Opens a folder and starts its storage thread.
///
/// # Errors
/// A file operation failed, or the log or the state is damaged. The files are left as they are, except that a torn tail of
/// the log is truncated and saved in a separate file.
pub fn open(mut folder: impl Storage + Send + 'static) -> Result<OpenedStore, StoreError> {
    let (wal, recovered) = WriteAheadLog::open(&mut folder, LOG_NAME).map_err(StoreError::Storage)?;
    let Recovered { snapshot, entries, torn_tail, damage } = recovered;
    if let Some(damaged) = damage.into_iter().next() {
        return Err(StoreError::Damaged(damaged));
    }
    let first = wal.next_number() - entries.len() as u64;
    let log = read_log(snapshot, first, &entries)?;
    let state = read_state(&mut folder)?;
    let truncated_tail =
        torn_tail.map(|tail| format!("{}: {} bytes from offset {}", tail.file, tail.length, tail.offset));
    let (sender, jobs) = channel();
    let mut storage_thread = StorageThread { folder, wal, log: log.clone(), failure: None };
    thread::Builder::new()
        .name("folder".to_owned())
        .spawn(move || storage_thread.run(&jobs))
        .map_err(StoreError::Thread)?;
    Ok(OpenedStore { log, state, storage: StorageHandle(sender), truncated_tail })
}

/// Applies the records to the log's snapshot. `first` is the number of the first record.
fn read_log(snapshot: Option<Vec<u8>>, first: u64, records: &[Vec<u8>]) -> Result<LogContent, StoreError> {
    let decode_error =
        |number, error: serde_json::Error| StoreError::Record { number, reason: error.to_string() };
    let mut log: LogContent = match snapshot {
        Some(bytes) => serde_json::from_slice(&bytes).map_err(|error| decode_error(first, error))?,
        None => LogContent::default(),
    };
    for (number, bytes) in (first..).zip(records) {
        let record: LogRecord = serde_json::from_slice(bytes).map_err(|error| decode_error(number, error))?;
        log.apply(record);
    }
    Ok(log)
}

fn read_state(folder: &mut impl Storage) -> Result<Option<Vec<u8>>, StoreError> {
    let file = folder.read(STATE_FILE).map_err(|error| StoreError::State(error.to_string()))?;
    let Some(file) = file else { return Ok(None) };
    match decode_checksummed_file(&file) {
        Some(ChecksummedFile { content, .. }) => Ok(Some(content.to_vec())),
        None => Err(StoreError::State("the file is incomplete or its checksum does not match".to_owned())),
    }
}

struct StorageThread<F> {
    folder: F,
    wal: WriteAheadLog,
    log: LogContent,
    /// The first failure. After a failed write or sync the content of the disk is unknown, so nothing more is written or
    /// acknowledged.
    failure: Option<StorageFailure>,
}

impl<F: Storage> StorageThread<F> {
    fn run(&mut self, jobs: &Receiver<Job>) {
        while let Ok(first) = jobs.recv() {
            let mut batch = vec![first];
            batch.extend(jobs.try_iter());
            self.process(batch);
            if self.failure.is_none() && self.wal.bytes_since_snapshot() > COMPACT_AFTER_BYTES {
                self.compact_log();
            }
        }
    }

    /// Writes all records with one sync, then replaces the state file.
    fn process(&mut self, batch: Vec<Job>) {
        let mut record_callbacks = Vec::new();
        let mut state_jobs = Vec::new();
        for job in batch {
            match job {
                Job::AppendRecords { records, on_durable } => {
                    records.into_iter().for_each(|record| self.append(record));
                    record_callbacks.push(on_durable);
                }
                Job::ReplaceState { index, state, on_durable } => state_jobs.push((index, state, on_durable)),
            }
        }
        if self.failure.is_none() {
            let committed = self.wal.commit(&mut self.folder);
            self.record_failure(committed);
        }
        for on_durable in record_callbacks {
            on_durable(self.outcome());
        }
        for (index, state, on_durable) in state_jobs {
            self.replace_state(index, &state);
            on_durable(self.outcome());
        }
    }

    fn append(&mut self, record: LogRecord) {
        match serde_json::to_vec(&record) {
            Ok(bytes) => drop(self.wal.append(&bytes)),
            Err(error) => self.record_failure(Err(error)),
        }
        self.log.apply(record);
    }

    fn replace_state(&mut self, index: u64, state: &[u8]) {
        if self.failure.is_none() {
            let replaced = self.folder.replace(STATE_FILE, &encode_checksummed_file(index, state));
            self.record_failure(replaced.map_err(|error| format!("{STATE_FILE}: {error}")));
        }
    }

    /// Replaces the records by a snapshot of the log's content.
    fn compact_log(&mut self) {
        let rotation = self.wal.rotate();
        match serde_json::to_vec(&self.log) {
            Ok(bytes) => {
                let written = WriteAheadLog::write_snapshot(&mut self.folder, LOG_NAME, rotation, &bytes);
                self.record_failure(written);
            }
            Err(error) => self.record_failure(Err(error)),
        }
    }

    /// Stores the failure if it is the first one.
    fn record_failure(&mut self, result: Result<(), impl fmt::Display>) {
        if let (Err(error), None) = (result, &self.failure) {
            self.failure = Some(StorageFailure::Failed(error.to_string()));
        }
    }

    fn outcome(&self) -> Result<(), StorageFailure> {
        self.failure.clone().map_or(Ok(()), Err)
    }
}
