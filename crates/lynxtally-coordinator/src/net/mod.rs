//! The network interface of a coordinator for nodes, operators and other coordinators: HTTP/1.1 with JSON bodies.

mod body;
mod client;
mod connections;
mod peers;
mod server;
mod state_report;

pub use client::{post, RequestError};
pub use peers::Peers;
pub use server::{serve, RunningReplica, ServerState};

use serde::{Deserialize, Serialize};

/// The maximum length of a message between coordinators, in bytes.
pub(crate) const MAX_PEER_MESSAGE_BYTES: usize = 32 << 20;

/// The request of a coordinator that starts, for the highest log index that it acknowledged before.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct StartupCheck {
    /// The number of the coordinator that starts.
    pub id: u64,
}

/// The response to [`StartupCheck`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct AcknowledgedIndex {
    /// The highest log index that the coordinator is known to have acknowledged. It may have acknowledged later entries.
    #[serde(rename = "had")]
    pub index: u64,
}
