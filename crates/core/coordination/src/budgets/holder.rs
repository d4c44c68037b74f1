//! What one process may be using of one budget.

use crate::serde_instant;
use lynxtally::Instant;
use lynxtally_messages::BudgetReport;
use serde::{Deserialize, Serialize};

/// As many leases are kept apart. The two last ones are merged beyond that, as if the larger lasted as long as the
/// later: more is counted then, never less.
const MAX_LEASES: usize = 8;

/// A lease under which something may still run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
struct OutstandingLease {
    version: u64,
    amount: u64,
    /// When all that was started under it is surely over.
    #[serde(rename = "end", with = "serde_instant")]
    over_at: Instant,
}

/// One process with its leases.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct LeaseHolder {
    /// Leases that may be in use, the oldest first. Each later one ends later and is smaller: another would not change
    /// what is outstanding.
    #[serde(rename = "given")]
    leases: Vec<OutstandingLease>,
    /// What it needs, in thousandths of a unit.
    #[serde(rename = "need")]
    pub demand_milliunits: u64,
    /// The leader hears nothing of it.
    #[serde(rename = "suspect")]
    pub suspected: bool,
    /// Another process has taken its name.
    #[serde(rename = "muted")]
    pub fenced: bool,
    /// The units that it should have by the last division; none before its first.
    pub target: Option<u64>,
}

impl LeaseHolder {
    /// What may be in use at most. The process has one lease in force at a time, but what it started under a larger
    /// one before goes on running.
    pub fn outstanding(&self) -> u64 {
        self.leases.first().map_or(0, |lease| lease.amount)
    }

    /// When the next of its leases is surely over.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.leases.first().map(|lease| lease.over_at)
    }

    /// Whether the capacity is divided among it and others.
    pub fn shares_capacity(&self) -> bool {
        !self.fenced && !self.suspected
    }

    /// The process reports which lease is in force there and what is in use. Once that fits under this lease it goes
    /// on fitting, as nothing is started beyond it: no lease before it is in use any more.
    pub fn acknowledge(&mut self, report: &BudgetReport) {
        // Where the lease itself is not kept any more, a later one covers it.
        let in_force = self.leases.iter().find(|lease| lease.version >= report.lease_version);
        if in_force.is_some_and(|lease| report.in_use <= lease.amount) {
            self.leases.retain(|lease| lease.version >= report.lease_version);
        }
    }

    pub fn record_lease(&mut self, version: u64, amount: u64, over_at: Instant) {
        // Should the process have told a shorter time in flight than before, what runs already still lasts longer.
        let over_at = self.leases.last().map_or(over_at, |last| last.over_at.max(over_at));
        while self.leases.last().is_some_and(|last| last.amount <= amount) {
            self.leases.pop();
        }
        self.leases.push(OutstandingLease { version, amount, over_at });
        if self.leases.len() > MAX_LEASES {
            self.merge_last_two();
        }
    }

    fn merge_last_two(&mut self) {
        let larger = self.leases.len() - 2;
        let later = self.leases.remove(larger + 1);
        self.leases[larger].over_at = later.over_at;
        self.leases[larger].version = later.version;
    }

    /// Drops the leases that are surely over.
    pub fn expire(&mut self, now: Instant) {
        self.leases.retain(|lease| lease.over_at > now);
    }

    /// Drops all leases: nothing that the process started runs any more.
    pub fn release(&mut self) {
        self.leases.clear();
    }

    /// Whether no lease may be in use.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}
