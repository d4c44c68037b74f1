//! The output of the lease client: requests to send and events to handle.

use lynxtally_messages::{Document, NodeRequest, Rejection};

/// A request that the driver has to send to a coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingRequest {
    /// The index of the coordinator in the driver's list.
    pub coordinator: usize,
    /// Identifies this attempt. The driver passes it back to [`LeaseClient::on_response`](crate::LeaseClient::on_response).
    pub token: u64,
    /// The request.
    pub request: NodeRequest,
}

/// A change that the driver has to act on. Budgets and wallets are identified by their indexes in the settings.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The amount of a budget that may be in use has changed.
    LeaseChanged {
        /// The index of the budget.
        budget: usize,
        /// The units that may be in use from now on.
        amount: u64,
    },
    /// The reservation of a wallet has changed; [`LeaseClient::reservation`](crate::LeaseClient::reservation) returns it.
    ReservationChanged {
        /// The index of the wallet.
        wallet: usize,
    },
    /// A route document to apply. The document applied before stays in force until then.
    Document(Document),
    /// The published route document needs a schema version that the node does not read.
    DocumentUnreadable {
        /// Why the node can't read the document, in one line.
        reason: String,
    },
    /// The process has joined as a member.
    Joined {
        /// The incarnation that the coordinators assigned to the process.
        incarnation: u64,
    },
    /// Another process joined under this node's name. This process is fenced off: it never gets a lease again.
    Replaced,
    /// A coordinator rejected a request and applied none of it.
    Rejected(Rejection),
}
