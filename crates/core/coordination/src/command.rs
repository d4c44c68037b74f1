//! What stands in the replicated log, and what comes of applying it.

use crate::clock::Timestamp;
use crate::serde_instant;
use crate::snapshot::Digest;
use lynxtally::Instant;
use lynxtally_messages::{AdminRequest, AdminResponse, NodeRequest, NodeResponse};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where an entry stands in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    /// Its index, counted up by one.
    pub index: u64,
    /// The term in which it was written.
    pub term: u64,
}

/// A command, and what the leader that wrote it observed.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct TimestampedCommand {
    /// The term in which the leader knew itself the leader before it looked at its clock.
    pub term: u64,
    /// The leader's clock after the request had arrived: it only counts up, also while its machine sleeps, from any
    /// zero. In the log it is in microseconds.
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
    /// Time has passed: budgets are divided anew, and units in doubt are settled.
    #[serde(rename = "tick")]
    Tick {
        /// Up to which index each other coordinator acknowledged the log to the leader.
        #[serde(rename = "had")]
        acknowledged_indexes: BTreeMap<u64, u64>,
    },
    /// A node's request.
    #[serde(rename = "say")]
    Node(NodeRequest),
    /// An operator's request.
    #[serde(rename = "order")]
    Admin(AdminRequest),
    /// The leader hears nothing of an incarnation any more, or hears it again.
    #[serde(rename = "suspect")]
    Suspect {
        /// Which.
        incarnation: u64,
        /// Whether it is suspected now.
        #[serde(rename = "suspect")]
        suspected: bool,
    },
    /// Each replica notes the digest of its state here.
    #[serde(rename = "mark")]
    TakeCheckpoint,
    /// The digest that the leader's state had at a checkpoint.
    #[serde(rename = "compare")]
    CompareCheckpoint {
        /// The checkpoint's log index.
        #[serde(rename = "number")]
        index: u64,
        /// The leader's digest.
        digest: Digest,
    },
}

/// The digest of the state at a log index. It is stored as a pair.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(u64, Digest)", into = "(u64, Digest)")]
pub struct Checkpoint {
    /// The log index.
    pub index: u64,
    /// The digest that the state had there.
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

/// What came of a command.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum Output {
    /// Nobody is owed a response.
    #[serde(rename = "Nothing")]
    None,
    /// The response to a node.
    #[serde(rename = "Reply")]
    Node(NodeResponse),
    /// The response to an operator.
    #[serde(rename = "Outcome")]
    Admin(AdminResponse),
    /// The timestamp was taken in another term than the entry was written in. Nothing was applied: the command has to
    /// be timestamped and written again.
    #[serde(rename = "Again")]
    TermMismatch,
    /// The checkpoint of this replica.
    #[serde(rename = "Marked")]
    Checkpoint(Checkpoint),
    /// The state of this replica is not the leader's: it must not go on.
    #[serde(rename = "Differs")]
    Diverged {
        /// The checkpoint's log index.
        #[serde(rename = "number")]
        index: u64,
        /// The digest of this replica.
        #[serde(rename = "own")]
        own_digest: Digest,
    },
}
