//! The entries of the replicated log, and the outputs of applying them.

use crate::clock::Timestamp;
use crate::serde_instant;
use crate::snapshot::Digest;
use lynxtally::Instant;
use lynxtally_messages::{AdminRequest, AdminResponse, NodeRequest, NodeResponse};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The position of an entry in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    /// The index of the entry. Each entry's index is one more than that of the entry before.
    pub index: u64,
    /// The term in which the entry was written.
    pub term: u64,
}

/// A command with the timestamp that the leader took before it wrote the command to the log.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct TimestampedCommand {
    /// The term in which the leader knew that it was the leader, before it read its clock.
    pub term: u64,
    /// The leader's clock, read after the request had arrived. The clock is monotonic, keeps counting while the machine is
    /// suspended, and has an arbitrary origin. Stored in microseconds.
    #[serde(rename = "at", with = "serde_instant")]
    pub leader_clock: Instant,
    /// The command.
    pub command: Command,
}

impl TimestampedCommand {
    pub(crate) fn timestamp(&self) -> Timestamp {
        Timestamp { term: self.term, leader_clock: self.leader_clock }
    }
}

/// A command of the replicated log.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum Command {
    /// Changes nothing.
    #[serde(rename = "blank")]
    NoOp,
    /// Does the periodic work, such as dividing budgets anew and settling units in doubt.
    #[serde(rename = "tick")]
    Tick {
        /// The log index up to which each other coordinator has acknowledged the log to the leader, by the
        /// coordinator's number.
        #[serde(rename = "had")]
        acknowledged_indexes: BTreeMap<u64, u64>,
    },
    /// A node's request.
    #[serde(rename = "say")]
    Node(NodeRequest),
    /// An operator's request.
    #[serde(rename = "order")]
    Admin(AdminRequest),
    /// The leader's failure detector started or stopped suspecting that an incarnation has failed.
    #[serde(rename = "suspect")]
    Suspect {
        /// The incarnation in question.
        incarnation: u64,
        /// Whether the leader now suspects the incarnation.
        #[serde(rename = "suspect")]
        suspected: bool,
    },
    /// Each replica stores the digest of its state at this log index.
    #[serde(rename = "mark")]
    TakeCheckpoint,
    /// Each replica compares its digest at a checkpoint with the leader's.
    #[serde(rename = "compare")]
    CompareCheckpoint {
        /// The log index of the checkpoint.
        #[serde(rename = "number")]
        index: u64,
        /// The digest of the leader's state at the checkpoint.
        digest: Digest,
    },
}

/// The digest of the state at a log index. It is serialized as a pair.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(u64, Digest)", into = "(u64, Digest)")]
pub struct Checkpoint {
    /// The log index at which the checkpoint was taken.
    pub index: u64,
    /// The digest of the state at that index.
    pub digest: Digest,
}

impl From<(u64, Digest)> for Checkpoint {
    fn from((index, digest): (u64, Digest)) -> Self {
        Self { index, digest }
    }
}

impl From<Checkpoint> for (u64, Digest) {
    fn from(checkpoint: Checkpoint) -> Self {
        (checkpoint.index, checkpoint.digest)
    }
}

/// The output of applying a command.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum Output {
    /// The command needs no response.
    #[serde(rename = "Nothing")]
    None,
    /// The response to a node.
    #[serde(rename = "Reply")]
    Node(NodeResponse),
    /// The response to an operator.
    #[serde(rename = "Outcome")]
    Admin(AdminResponse),
    /// The timestamp was taken in another term than the one in which the entry was written. The command was not
    /// applied; the leader has to timestamp it and write it to the log again.
    #[serde(rename = "Again")]
    TermMismatch,
    /// The checkpoint that this replica took.
    #[serde(rename = "Marked")]
    Checkpoint(Checkpoint),
    /// The state of this replica differed from the leader's at a checkpoint. The replica must stop.
    #[serde(rename = "Differs")]
    Diverged {
        /// The log index of the checkpoint.
        #[serde(rename = "number")]
        index: u64,
        /// The digest of this replica's state at the checkpoint.
        #[serde(rename = "own")]
        own_digest: Digest,
    },
}
