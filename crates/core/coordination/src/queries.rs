//! Reading the state, without changing it.

use crate::budgets::{Budget, BudgetStatus};
use crate::members::Member;
use crate::wallets::{Wallet, WalletBalances};
use crate::CoordinationState;

/// How route documents stand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteStatus {
    /// The schema versions in force.
    pub schema_versions: Vec<u32>,
    /// The log index of the document in force.
    pub document_index: Option<u64>,
    /// Why a schema or a document waits, and for whom: one line each.
    pub waiting: Vec<String>,
}

impl CoordinationState {
    /// The index of the last log entry that was applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// How a budget stands.
    pub fn budget_status(&self, name: &str) -> Option<BudgetStatus> {
        self.budgets.get(name).map(Budget::status)
    }

    /// All budgets, in the order of their names.
    pub fn budgets(&self) -> impl Iterator<Item = (&str, BudgetStatus)> {
        self.budgets.iter().map(|(name, budget)| (name.as_str(), budget.status()))
    }

    /// What a process may be using of a budget at most.
    pub fn outstanding(&self, budget: &str, incarnation: u64) -> u64 {
        self.budgets.get(budget).map_or(0, |budget| budget.outstanding(incarnation))
    }

    /// Where every unit of a wallet is.
    pub fn wallet_balances(&self, name: &str) -> Option<WalletBalances> {
        self.wallets.get(name).map(Wallet::balances)
    }

    /// All wallets, in the order of their names.
    pub fn wallets(&self) -> impl Iterator<Item = (&str, WalletBalances)> {
        self.wallets.iter().map(|(name, wallet)| (name.as_str(), wallet.balances()))
    }

    /// How route documents stand.
    pub fn route_status(&self) -> RouteStatus {
        RouteStatus {
            schema_versions: self.schemas.versions().collect(),
            document_index: self.schemas.document_index(),
            waiting: self.schemas.waiting().to_vec(),
        }
    }

    /// All members, in the order of their incarnations.
    pub fn members(&self) -> impl Iterator<Item = (u64, &Member)> {
        self.members.iter()
    }

    /// Whether anything waits for time to pass, so that the leader has to write ticks.
    pub fn needs_ticks(&self) -> bool {
        self.members.iter().next().is_some()
            || self.budgets.values().any(|budget| budget.status().outstanding > 0)
    }
}
