//! Why a coordinator did not apply a request.

use serde::{Deserialize, Serialize};

/// Why a request of a node or an operator was not applied.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub enum Rejection {
    /// A later process has taken this node's name: the sender is fenced off for good.
    #[serde(rename = "replaced")]
    Replaced,
    /// The incarnation is not known any more; the node has to join again.
    #[serde(rename = "unknown")]
    UnknownIncarnation,
    /// A request with a higher sequence number was applied before.
    #[serde(rename = "old")]
    OutOfOrder,
    /// As many processes as allowed are joining already; later there may be room.
    #[serde(rename = "full")]
    TooManyJoining,
    /// This coordinator does not lead; another may.
    #[serde(rename = "not_leader")]
    NotLeader {
        /// The leader's number among the coordinators, counted from 1, where it is known.
        leader: Option<u64>,
    },
    /// The request can't be decoded.
    #[serde(rename = "unreadable")]
    Undecodable {
        /// The field and what is wrong with it.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The request can't be carried out.
    #[serde(rename = "wrong")]
    Invalid {
        /// The field and what is wrong with it.
        #[serde(rename = "why")]
        reason: String,
    },
}
