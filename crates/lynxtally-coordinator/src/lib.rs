//! A coordinator: one of 1, 3 or 5 Raft replicas that agree on one log of commands, and thus on the leases and
//! reservations that nodes get.
//!
//! openraft replicates the commands. [`store`] keeps its log in the project's write-ahead log and its snapshots in a
//! checksummed file. The replicated state machine is that of `lynxtally-coordination`. Nodes and operators send the
//! messages of `lynxtally-messages` over HTTP ([`net`]). [`leader`] has the tasks of the leader, and [`startup`] the check
//! that a replica passes before it takes part in the replication.

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
    /// The types that openraft replicates.
    pub Types:
        D = TimestampedCommand,
        R = Output,
);

/// openraft's handle of a replica, for [`Types`].
pub type Raft = openraft::Raft<Types>;
