//! Why a folder can't be used.

use super::storage_thread::STATE_FILE;
use std::fmt;

/// Why a folder can't be used, or went out of use. Its text is one line.
#[derive(Debug)]
pub enum StoreError {
    /// The folder failed.
    Storage(lynxtally_wal::StorageError),
    /// The write-ahead log is damaged.
    Damaged(lynxtally_wal::DamagedFile),
    /// A record of the log can't be decoded.
    Record {
        /// Its number.
        number: u64,
        /// What the decoder said.
        reason: String,
    },
    /// The state can't be read.
    State(String),
    /// The thread that owns the folder can't be started.
    Thread(std::io::Error),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Storage(error) => write!(f, "{error}"),
            Self::Damaged(damaged) => write!(f, "{damaged}"),
            Self::Record { number, reason } => {
                write!(f, "record {number} of the log can't be read: {reason}")
            }
            Self::State(reason) => write!(f, "{STATE_FILE}: {reason}"),
            Self::Thread(error) => write!(f, "a thread can't be started: {error}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The folder failed: after a failed write or sync nobody knows what is on the disk, so nothing more is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StorageFailure {
    /// What failed first.
    Failed(String),
    /// The thread that owns the folder is gone.
    ThreadGone,
}

impl fmt::Display for StorageFailure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Failed(reason) => f.write_str(reason),
            Self::ThreadGone => f.write_str("the folder's thread is gone"),
        }
    }
}

impl std::error::Error for StorageFailure {}
