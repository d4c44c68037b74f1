//! Why a coordinator ended.

use std::fmt;

/// Why a coordinator ended. Its text is one line.
#[derive(Debug)]
pub enum CoordinatorError {
    /// Its folder can't be used.
    Folder(String),
    /// It can't listen.
    Listen(String),
    /// The replication does not go on.
    Replication(String),
    /// Other coordinators know that it acknowledged more of the log than it has: its folder is an older copy, or not
    /// its own. Its vote could take back what was agreed on.
    StaleLog {
        /// The index of its last entry.
        last_index: u64,
        /// The index that it acknowledged.
        acknowledged_index: u64,
    },
    /// Its state is not the leader's.
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
                "`folder` has the log up to index {last_index}, and other coordinators know that it acknowledged \
                 {acknowledged_index}: this is an older copy, and its vote could take back what was agreed on; bring \
                 back the folder that it had"
            ),
            Self::Diverged => {
                f.write_str("the state here is not the leader's; the log line before this has the index and the digest")
            }
        }
    }
}

impl std::error::Error for CoordinatorError {}
