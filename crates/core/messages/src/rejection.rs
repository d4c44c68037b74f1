//! The reasons for which a coordinator rejects a request.

use serde::{Deserialize, Serialize};

/// Why a request of a node or an operator was not applied.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub enum Rejection {
    /// A newer process uses the sender's node name. The sender is fenced: all its later requests are rejected too.
    #[serde(rename = "replaced")]
    Replaced,
    /// The sender's incarnation is not a member, or no longer one; the node has to join again.
    #[serde(rename = "unknown")]
    UnknownIncarnation,
    /// A request of the sender with a higher sequence number was applied before.
    #[serde(rename = "old")]
    OutOfOrder,
    /// The limit of processes that may join at the same time is reached. The sender can retry later.
    #[serde(rename = "full")]
    TooManyJoining,
    /// The coordinator that received the request is not the leader. The sender can retry at another one.
    #[serde(rename = "not_leader")]
    NotLeader {
        /// The leader's number among the coordinators, counted from 1; `None` if no leader is known.
        leader: Option<u64>,
    },
    /// The request can't be decoded.
    #[serde(rename = "unreadable")]
    Undecodable {
        /// Names the field and what is wrong with it.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The request was decoded but can't be carried out.
    #[serde(rename = "wrong")]
    Invalid {
        /// Names the field and what is wrong with it.
        #[serde(rename = "why")]
        reason: String,
    },
}
