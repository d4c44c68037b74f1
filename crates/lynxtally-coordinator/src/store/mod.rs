//! Log and state on a folder that lasts, as the library wants them.
//!
//! Votes and entries are records of one journal. One thread owns the folder: all that waits is written and made
//! durable once, and then each learns that it is. The state is one sealed file that is replaced as a whole.

mod disk;
mod log;
mod machine;
mod record;

pub use disk::{open, Opened};
pub use log::Log;
pub use machine::{Machine, Shared};

use std::fmt;

/// Why a folder can't be used or went out of use; one line.
#[derive(Debug)]
pub enum StoreFault {
    /// The folder failed.
    Storage(lynxtally_wal::StorageError),
    /// The log is damaged.
    Damaged(lynxtally_wal::DamagedFile),
    /// A record can't be read.
    Record {
        /// Its number.
        number: u64,
        /// Why.
        why: String,
    },
    /// The state can't be read.
    State(String),
    /// The folder failed before: nobody knows what is on it, so nothing more is written.
    Failed(String),
}

impl fmt::Display for StoreFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Storage(fault) => write!(f, "{fault}"),
            Self::Damaged(damaged) => write!(f, "{damaged}"),
            Self::Record { number, why } => write!(f, "record {number} of the log can't be read: {why}"),
            Self::State(why) => write!(f, "{}: {why}", disk::STATE),
            Self::Failed(why) => write!(f, "the folder failed before: {why}"),
        }
    }
}

impl std::error::Error for StoreFault {}
