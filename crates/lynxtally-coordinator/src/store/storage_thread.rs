//! The thread that owns the folder.

use super::error::{StorageFailure, StoreError};
use super::log_record::{LogContent, LogRecord};
use lynxtally_wal::{
    decode_checksummed_file, encode_checksummed_file, ChecksummedFile, Recovered, Storage, WriteAheadLog,
};
use std::fmt;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use tokio::sync::oneshot;

/// The write-ahead log's name in the folder.
const LOG_NAME: &str = "log";
/// The file of the state.
pub(crate) const STATE_FILE: &str = "state";
/// The log is rewritten once it has grown by this many bytes.
const REWRITE_AFTER_BYTES: u64 = 8 << 20;

/// Is told once that something is durable, or why it is not.
pub(crate) type OnDurable = Box<dyn FnOnce(Result<(), StorageFailure>) + Send>;

/// What the thread is to write.
pub(crate) enum Job {
    /// Records to be added to the log.
    AddRecords { records: Vec<LogRecord>, on_durable: OnDurable },
    /// The state, as of a log index, to be replaced.
    ReplaceState { index: u64, state: Vec<u8>, on_durable: OnDurable },
}

/// Hands jobs to the thread.
#[derive(Clone)]
pub(crate) struct StorageHandle(Sender<Job>);

impl StorageHandle {
    /// Adds records, and waits until they are durable.
    pub async fn add_records(&self, records: Vec<LogRecord>) -> Result<(), StorageFailure> {
        let (on_durable, durable) = durability();
        self.send(Job::AddRecords { records, on_durable })?;
        durable.await.unwrap_or(Err(StorageFailure::ThreadGone))
    }

    /// Replaces the state, and waits until it is durable.
    pub async fn replace_state(&self, index: u64, state: Vec<u8>) -> Result<(), StorageFailure> {
        let (on_durable, durable) = durability();
        self.send(Job::ReplaceState { index, state, on_durable })?;
        durable.await.unwrap_or(Err(StorageFailure::ThreadGone))
    }

    pub fn send(&self, job: Job) -> Result<(), StorageFailure> {
        self.0.send(job).map_err(|_| StorageFailure::ThreadGone)
    }
}

/// A callback, and what waits for its call.
fn durability() -> (OnDurable, oneshot::Receiver<Result<(), StorageFailure>>) {
    let (sender, receiver) = oneshot::channel();
    // Nobody waits any more only where the library gave the operation up.
    (Box::new(move |outcome| drop(sender.send(outcome))), receiver)
}

/// What was found in a folder.
pub struct OpenedStore {
    pub(crate) log: LogContent,
    /// The state, as it was last sealed.
    pub(crate) state: Option<Vec<u8>>,
    pub(crate) storage: StorageHandle,
    /// What was cut off at the end of the log: it was never acknowledged.
    pub truncated_tail: Option<String>,
}

/// Opens a folder and starts its thread.
///
/// # Errors
/// The folder fails, or holds something that can't be trusted: nothing but a torn tail of the log, which is cut off and kept
/// in a file beside it, is changed then.
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
        torn_tail.map(|tail| format!("{}: {} octets from {} on", tail.file, tail.length, tail.offset));
    let (sender, jobs) = channel();
    let mut worker = StorageThread { folder, wal, log: log.clone(), failure: None };
    thread::Builder::new()
        .name("folder".to_owned())
        .spawn(move || worker.run(&jobs))
        .map_err(StoreError::Thread)?;
    Ok(OpenedStore { log, state, storage: StorageHandle(sender), truncated_tail })
}

/// What a snapshot of the log and the records that follow it add up to.
fn read_log(snapshot: Option<Vec<u8>>, first: u64, records: &[Vec<u8>]) -> Result<LogContent, StoreError> {
    let malformed =
        |number, error: serde_json::Error| StoreError::Record { number, reason: error.to_string() };
    let mut log: LogContent = match snapshot {
        Some(bytes) => serde_json::from_slice(&bytes).map_err(|error| malformed(first, error))?,
        None => LogContent::default(),
    };
    for (number, bytes) in (first..).zip(records) {
        let record: LogRecord = serde_json::from_slice(bytes).map_err(|error| malformed(number, error))?;
        log.apply(record);
    }
    Ok(log)
}

fn read_state(folder: &mut impl Storage) -> Result<Option<Vec<u8>>, StoreError> {
    let file = folder.read(STATE_FILE).map_err(|error| StoreError::State(error.to_string()))?;
    let Some(sealed) = file else { return Ok(None) };
    match decode_checksummed_file(&sealed) {
        Some(ChecksummedFile { content, .. }) => Ok(Some(content.to_vec())),
        None => Err(StoreError::State("it is not whole".to_owned())),
    }
}

struct StorageThread<F> {
    folder: F,
    wal: WriteAheadLog,
    log: LogContent,
    /// After a failed write or sync nobody knows what is on the disk: nothing more is written or acknowledged.
    failure: Option<StorageFailure>,
}

impl<F: Storage> StorageThread<F> {
    fn run(&mut self, jobs: &Receiver<Job>) {
        while let Ok(first) = jobs.recv() {
            let mut waiting = vec![first];
            waiting.extend(jobs.try_iter());
            self.work_off(waiting);
            if self.failure.is_none() && self.wal.bytes_since_snapshot() > REWRITE_AFTER_BYTES {
                self.rewrite_log();
            }
        }
    }

    /// Makes all records durable with one sync, then replaces the state.
    fn work_off(&mut self, waiting: Vec<Job>) {
        let mut added = Vec::new();
        let mut states = Vec::new();
        for job in waiting {
            match job {
                Job::AddRecords { records, on_durable } => {
                    records.into_iter().for_each(|record| self.add(record));
                    added.push(on_durable);
                }
                Job::ReplaceState { index, state, on_durable } => states.push((index, state, on_durable)),
            }
        }
        if self.failure.is_none() {
            let committed = self.wal.commit(&mut self.folder);
            self.note(committed);
        }
        for on_durable in added {
            on_durable(self.outcome());
        }
        for (index, state, on_durable) in states {
            self.replace_state(index, &state);
            on_durable(self.outcome());
        }
    }

    fn add(&mut self, record: LogRecord) {
        match serde_json::to_vec(&record) {
            Ok(bytes) => drop(self.wal.append(&bytes)),
            Err(error) => self.note(Err(error)),
        }
        self.log.apply(record);
    }

    fn replace_state(&mut self, index: u64, state: &[u8]) {
        if self.failure.is_none() {
            let replaced = self.folder.replace(STATE_FILE, &encode_checksummed_file(index, state));
            self.note(replaced.map_err(|error| format!("{STATE_FILE}: {error}")));
        }
    }

    /// Rewrites the log as what its records add up to.
    fn rewrite_log(&mut self) {
        let rotation = self.wal.rotate();
        match serde_json::to_vec(&self.log) {
            Ok(bytes) => {
                let written = WriteAheadLog::write_snapshot(&mut self.folder, LOG_NAME, rotation, &bytes);
                self.note(written);
            }
            Err(error) => self.note(Err(error)),
        }
    }

    /// Keeps the first failure.
    fn note(&mut self, done: Result<(), impl fmt::Display>) {
        if let (Err(error), None) = (done, &self.failure) {
            self.failure = Some(StorageFailure::Failed(error.to_string()));
        }
    }

    fn outcome(&self) -> Result<(), StorageFailure> {
        self.failure.clone().map_or(Ok(()), Err)
    }
}
