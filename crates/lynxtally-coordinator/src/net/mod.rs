//! How coordinators hear of nodes, operators and each other: HTTP/1.1 with JSON bodies.

mod client;
mod peers;
mod server;
mod state_report;

pub use client::{post, RequestError};
pub use peers::Peers;
pub use server::{serve, RunningReplica, ServerState};

use serde::{Deserialize, Serialize};

/// The longest message between coordinators, in bytes.
pub(crate) const MAX_PEER_MESSAGE_BYTES: usize = 32 << 20;

/// A coordinator that starts asks the others how much of its log it acknowledged.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct StartupCheck {
    /// Its number.
    pub id: u64,
}

/// What another coordinator knows of it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct AcknowledgedIndex {
    /// It has acknowledged the log to a leader up to this index, at least.
    #[serde(rename = "had")]
    pub index: u64,
}
