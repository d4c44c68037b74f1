//! A coordinator: one of 1, 3 or 5 Raft replicas that agree on one log of commands.
//!
//! The replication is openraft's. Its log and snapshots stand on the project's write-ahead log ([`store`]); what is
//! agreed on is the state machine of `lynxtally-coordination`; nodes and operators speak to it over HTTP with the
//! messages of `lynxtally-messages` ([`net`]). What only the leader does is in [`leader`], and what a replica checks before
//! it takes part in [`startup`].

#![forbid(unsafe_code)]

pub mod clock;
pub mod coordinator;
mod error;
pub mod leader;
pub mod net;
pub mod settings;
pub mod startup;
pub mod store;
mod suspicion;

pub use error::CoordinatorError;

use lynxtally_coordination::{Output, TimestampedCommand};
use std::io::Cursor;

openraft::declare_raft_types!(
    /// What the library replicates.
    pub Types:
        D = TimestampedCommand,
        R = Output,
);

/// The library's replica, with our types.
pub type Raft = openraft::Raft<Types>;
