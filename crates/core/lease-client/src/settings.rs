//! The settings of a lease client.

use lynxtally::Span;

/// The budgets and wallets that a node takes part in, and how it reaches the coordinators.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The node's name.
    pub name: String,
    /// The version of the node's program, for the operators' reports.
    pub program_version: String,
    /// The route schema versions that the node can read; empty if it reads no route documents.
    pub schema_versions: Vec<u32>,
    /// The budgets that the node takes part in.
    pub budgets: Vec<BudgetSettings>,
    /// The wallets of the node's tenants.
    pub wallets: Vec<WalletSettings>,
    /// The number of coordinators. An [`OutgoingRequest`](crate::OutgoingRequest) names one by an index below this number.
    pub coordinators: usize,
    /// How long to wait for a response before the request is sent to the next coordinator.
    pub response_timeout: Span,
}

/// A budget that a node takes part in.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// The name of the budget.
    pub name: String,
    /// The longest time that work started under a lease may stay in flight. The coordinators wait for this long after a
    /// lease expired before they grant its units again.
    pub max_in_flight: Span,
}

/// A wallet that a node admits requests against.
#[derive(Clone, Debug, PartialEq)]
pub struct WalletSettings {
    /// The name of the wallet.
    pub name: String,
    /// The longest time that an admitted request may run.
    pub max_in_flight: Span,
}
