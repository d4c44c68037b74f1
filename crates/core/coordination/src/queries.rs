//! Read-only queries of the replicated state.

use crate::budgets::{Budget, BudgetStatus};
use crate::members::Member;
use crate::wallets::{Wallet, WalletBalances};
use crate::CoordinationState;

/// The status of route schemas and of the route document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteStatus {
    /// The schema versions in force.
    pub schema_versions: Vec<u32>,
    /// The log index at which the document in force was published; `None` if no document is in force.
    pub document_index: Option<u64>,
    /// The reasons why a schema or document waits to come into force, one line each, with the readers concerned.
    pub waiting: Vec<String>,
}

impl CoordinationState {
    /// The index of the last log entry that was applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The status of a budget; `None` if it does not exist.
    pub fn budget_status(&self, name: &str) -> Option<BudgetStatus> {
        self.budgets.get(name).map(Budget::status)
    }

    /// All budgets, ordered by name.
    pub fn budgets(&self) -> impl Iterator<Item = (&str, BudgetStatus)> {
        self.budgets.iter().map(|(name, budget)| (name.as_str(), budget.status()))
    }

    /// The most units of a budget that an incarnation may be using.
    pub fn outstanding(&self, budget: &str, incarnation: u64) -> u64 {
        self.budgets.get(budget).map_or(0, |budget| budget.outstanding(incarnation))
    }

    /// The balances of a wallet; `None` if it does not exist.
    pub fn wallet_balances(&self, name: &str) -> Option<WalletBalances> {
        self.wallets.get(name).map(Wallet::balances)
    }

    /// All wallets, ordered by name.
    pub fn wallets(&self) -> impl Iterator<Item = (&str, WalletBalances)> {
        self.wallets.iter().map(|(name, wallet)| (name.as_str(), wallet.balances()))
    }

    /// The status of route schemas and of the route document.
    pub fn route_status(&self) -> RouteStatus {
        RouteStatus {
            schema_versions: self.schemas.versions().collect(),
            document_index: self.schemas.document_index(),
            waiting: self.schemas.waiting().to_vec(),
        }
    }

    /// All members by incarnation, in ascending order.
    pub fn members(&self) -> impl Iterator<Item = (u64, &Member)> {
        self.members.iter()
    }

    /// Whether the leader has to write ticks to the log: there are members, or leases that have not expired yet.
    pub fn needs_ticks(&self) -> bool {
        self.members.iter().next().is_some()
            || self.budgets.values().any(|budget| budget.status().outstanding > 0)
    }
}
