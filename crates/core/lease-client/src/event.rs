//! What the lease client tells its driver.

use lynxtally_messages::{Document, NodeRequest, Rejection};

/// A request to be carried to a coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingRequest {
    /// To which, by its place in the list of coordinators.
    pub coordinator: usize,
    /// By this its response is known.
    pub token: u64,
    /// The request.
    pub request: NodeRequest,
}

/// Something that the driver has to hear. Budgets and wallets are named by their places in the settings.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// From now on this amount of a budget may be in use.
    LeaseChanged {
        /// The budget.
        budget: usize,
        /// How many units.
        amount: u64,
    },
    /// What may be admitted against a wallet has changed.
    ReservationChanged {
        /// The wallet.
        wallet: usize,
    },
    /// A route document to apply. What was applied before stays in force until this one is.
    Document(Document),
    /// There is a route document, but not in a version that the node reads.
    DocumentUnreadable {
        /// One line that says why.
        reason: String,
    },
    /// This process is a member now.
    Joined {
        /// By this incarnation.
        incarnation: u64,
    },
    /// Another process has taken this node's name: this one is fenced off for good.
    Replaced,
    /// A coordinator rejected a request; nothing was applied.
    Rejected(Rejection),
}
