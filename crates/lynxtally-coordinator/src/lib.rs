//! A keeper of the register of shares. The replication is openraft's; its log and snapshots stand on the
//! project's journal ([`store`]), what is agreed on is `lynxtally-coordination`, and nodes and operators speak to it by
//! HTTP with the messages of `lynxtally-messages` ([`net`]). What only a leader does is in [`leader`].

#![forbid(unsafe_code)]

pub mod clock;
pub mod keeper;
pub mod leader;
pub mod net;
pub mod settings;
pub mod store;

use lynxtally_coordination::{Output, TimestampedCommand};
use std::io::Cursor;

openraft::declare_raft_types!(
    /// What the library replicates.
    pub Types:
        D = TimestampedCommand,
        R = Output,
);

/// The library's node, with our types.
pub type Raft = openraft::Raft<Types>;
