//! What stands in the log, and what comes of it.

use crate::snapshot::Digest;
use crate::time::micros;
use lynxtally::Instant;
use lynxtally_messages::{AdminRequest, AdminResponse, NodeRequest, NodeResponse};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where an entry stands in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its number, counted up by one.
    pub number: u64,
    /// The term in which it was written.
    pub term: u64,
}

/// A command, and what the leader that wrote it observed.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Stamped {
    /// The term in which it knew itself the leader before it looked at its clock.
    pub term: u64,
    /// Its own clock, after the message had come: microseconds that only ever count up, also while its machine
    /// sleeps, from any beginning.
    #[serde(with = "micros")]
    pub at: Instant,
    /// The command.
    pub command: Command,
}

/// A command.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Nothing.
    Blank,
    /// Time has passed: what is shared is divided anew.
    Tick {
        /// How much of the log each other keeper told the leader that it has.
        had: BTreeMap<u64, u64>,
    },
    /// A node spoke.
    Say(NodeRequest),
    /// An operator ordered something.
    Order(AdminRequest),
    /// The leader hears nothing of a process, or hears it again.
    Suspect {
        /// Which.
        incarnation: u64,
        /// Whether it is suspected now.
        suspect: bool,
    },
    /// Each keeper notes the digest of its state here.
    Mark,
    /// The digest that the leader's state had at a mark.
    Compare {
        /// The mark's number.
        number: u64,
        /// The digest.
        digest: Digest,
    },
}

/// What came of a command.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum Answer {
    /// Nothing is owed to anybody.
    Nothing,
    /// To a node.
    Reply(NodeResponse),
    /// To an operator.
    Outcome(AdminResponse),
    /// The stamp was not of the entry's term, and nothing was applied: it has to be stamped and written again.
    Again,
    /// The digest here.
    Marked(u64, Digest),
    /// This keeper's state is not the leader's: it must not go on.
    Differs {
        /// Where they were compared.
        number: u64,
        /// The digest here.
        own: Digest,
    },
}
