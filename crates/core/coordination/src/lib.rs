//! The replicated state machine of the coordinators. It tracks the members, the leases of shared budgets, the wallets
//! of tenants, and route documents with their schemas.
//!
//! Call [`CoordinationState::apply`] with each entry of the replicated log, in order; it returns the output of the
//! entry. It reads no clock, does no I/O and iterates over no hashed collection. Two replicas that applied the same log
//! therefore serialize to the same bytes, and comparing their digests reveals a replica that has diverged.
//!
//! Two outputs need action from the caller. After [`Output::Diverged`] the replica must stop. After
//! [`Output::TermMismatch`] the command has not been applied and has to be written to the log again.
//!
//! Modules:
//! - [`budgets`]: how the capacity of a budget is leased to nodes, and why leases never exceed it;
//! - `clock`: the time of the replicated state, and when a lease or reservation expires;
//! - `members`: which process uses which name, and the fencing of replaced processes;
//! - [`wallets`]: where each unit that a tenant bought is;
//! - [`schemas`]: which route document each reader is given;
//! - `state`: how commands change the state, with `node_requests` and `admin_requests`.

#![forbid(unsafe_code)]

mod admin_requests;
pub mod budgets;
mod clock;
mod command;
mod error;
mod members;
mod node_requests;
mod queries;
mod recent_requests;
pub mod schemas;
mod serde_instant;
mod snapshot;
mod state;
pub mod wallets;

pub use command::{Checkpoint, Command, LogPosition, Output, TimestampedCommand};
pub use error::AdminError;
pub use members::Member;
pub use queries::RouteStatus;
pub use snapshot::{Digest, SnapshotError};
pub use state::CoordinationState;
