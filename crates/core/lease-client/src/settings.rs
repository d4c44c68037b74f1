//! What a node tells its lease client.

use lynxtally::Span;

/// Which budgets and wallets a node takes part in, and how it reaches the coordinators.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The node's name.
    pub name: String,
    /// Its program's version.
    pub program_version: String,
    /// The versions of route schemas that it reads.
    pub schema_versions: Vec<u32>,
    /// The budgets that it takes part in.
    pub budgets: Vec<BudgetSettings>,
    /// The wallets of its tenants.
    pub wallets: Vec<WalletSettings>,
    /// How many coordinators there are. Requests name one by its place in their list.
    pub coordinators: usize,
    /// How long a response is waited for before another coordinator is tried.
    pub response_timeout: Span,
}

/// A budget that a node takes part in.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Its name.
    pub name: String,
    /// The longest time for which something that was started under a lease may run.
    pub max_in_flight: Span,
}

/// A wallet that a node admits requests against.
#[derive(Clone, Debug, PartialEq)]
pub struct WalletSettings {
    /// Its name.
    pub name: String,
    /// The longest time for which an admitted request may run.
    pub max_in_flight: Span,
}
