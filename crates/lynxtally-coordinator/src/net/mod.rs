//! How keepers hear of nodes, operators and each other: HTTP/1.1 with JSON bodies, by libraries.

mod client;
mod peers;
mod server;

pub use client::{post, Unheard};
pub use peers::Peers;
pub use server::{serve, Doors};

use serde::{Deserialize, Serialize};

/// Messages between keepers are no longer than this, in octets.
pub(crate) const PEER_MOST: usize = 32 << 20;

/// A keeper that starts asks the others what they know of its log, before it takes part.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Check {
    /// Which it is.
    pub id: u64,
}

/// What another keeper knows of it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Checked {
    /// It has told a leader that it has the log up to this number, at least.
    pub had: u64,
}
