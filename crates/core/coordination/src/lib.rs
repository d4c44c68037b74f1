//! The replicated state machine of coordination: who is a member, and what each may use of what all share.
//!
//! A replicated log drives it: [`CoordinationState::apply`] takes the entry at a log position and gives the output. It
//! reads no clock, does no I/O and iterates over nothing that is hashed, so two replicas that applied the same log are
//! equal byte for byte, and their digests tell so.
//!
//! Where to look:
//! - *who may use what, and who may hold a lease after a pause*: [`budgets`];
//! - *when a lease is surely over*: `clock`, the only place where time is counted;
//! - *which process has a name, and who is fenced off*: `members`;
//! - *where every unit that a tenant bought is*: [`wallets`];
//! - *which route document a reader is given*: [`schemas`];
//! - *how a command changes all that*: `state`, with `node_requests` and `admin_requests`.

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
