//! Errors of the store.

use super::storage_thread::STATE_FILE;
use std::fmt;

/// Why a folder can't be opened. Displayed as one line.
#[derive(Debug)]
pub enum StoreError {
    /// A file operation failed.
    Storage(lynxtally_wal::StorageError),
    /// The write-ahead log is damaged.
    Damaged(lynxtally_wal::DamagedFile),
    /// A record of the log can't be decoded.
    Record {
        /// The number of the record.
        number: u64,
        /// The decoder's error.
        reason: String,
    },
    /// The state file can't be read or decoded.
    State(String),
    /// The storage thread can't be started.
    Thread(std::io::Error),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Storage(error) => write!(f, "{error}"),
            Self::Damaged(damaged) => write!(f, "{damaged}"),
            Self::Record { number, reason } => {
                write!(f, "record {number} of the log can't be decoded: {reason}")
            }
            Self::State(reason) => write!(f, "{STATE_FILE}: {reason}"),
            Self::Thread(error) => write!(f, "the storage thread can't be started: {error}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Why the storage thread writes nothing more. After a failed write or sync the content of the disk is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StorageFailure {
    /// The first write or sync that failed.
    Failed(String),
    /// The storage thread has ended.
    ThreadEnded,
}

impl fmt::Display for StorageFailure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Failed(reason) => f.write_str(reason),
            Self::ThreadEnded => f.write_str("the storage thread has ended"),
        }
    }
}

impl std::error::Error for StorageFailure {}
