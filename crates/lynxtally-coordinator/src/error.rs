//! The errors that end a coordinator.

use std::fmt;

/// Why a coordinator stopped or did not start. Displayed as one line.
#[derive(Debug)]
pub enum CoordinatorError {
    /// The folder for the log and the snapshots can't be used.
    Folder(String),
    /// The coordinator can't listen on its address.
    Listen(String),
    /// openraft failed or could not be started.
    Replication(String),
    /// The log is shorter than what this coordinator acknowledged, as other coordinators report: the folder is an older
    /// copy, or another coordinator's. The coordinator's vote could undo committed entries.
    StaleLog {
        /// The index of the last entry in the log.
        last_index: u64,
        /// The highest index that this coordinator acknowledged, as another coordinator reports.
        acknowledged_index: u64,
    },
    /// The replicated state differs from the leader's.
    Diverged,
}

impl fmt::Display for CoordinatorError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Folder(reason) => write!(f, "`folder`: {reason}"),
            Self::Listen(reason) => write!(f, "`keepers`: {reason}"),
            Self::Replication(reason) => write!(f, "the replication ended: {reason}"),
            Self::StaleLog { last_index, acknowledged_index } => write!(
                f,
                "`folder` has the log up to index {last_index}, but other coordinators report that this \
                 coordinator acknowledged index {acknowledged_index}: this is an older copy, and the \
                 coordinator's vote could undo committed entries; restore the latest content of the folder"
            ),
            Self::Diverged => f.write_str(
                "this replica's state differs from the leader's; the previous log line has the index and \
                     the digest",
            ),
        }
    }
}

impl std::error::Error for CoordinatorError {}
