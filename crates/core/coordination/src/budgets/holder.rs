//! The leases of one process for one budget, and the most units that it may be using under them.

use crate::serde_instant;
use lynxtally::Instant;
use lynxtally_messages::BudgetReport;
use serde::{Deserialize, Serialize};

/// The most leases that are tracked per holder. Beyond that, the last two are merged into one with the larger amount
/// and the later expiry. This can count too many units as outstanding, but never too few.
const MAX_LEASES: usize = 8;

/// A lease that has not expired: calls that were started under it may still run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
struct OutstandingLease {
    version: u64,
    amount: u64,
    #[serde(rename = "end", with = "serde_instant")]
    expires_at: Instant,
}

/// A process with its leases for one budget.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct LeaseHolder {
    /// Leases that may be in use, oldest first. Each is smaller than the one before it and does not expire earlier. A
    /// lease followed by one at least as large is dropped, because it does not affect the outstanding amount.
    #[serde(rename = "given")]
    leases: Vec<OutstandingLease>,
    /// The last reported demand in thousandths of a unit.
    #[serde(rename = "need")]
    pub demand_milliunits: u64,
    /// Whether the leader suspects that the process has failed.
    #[serde(rename = "suspect")]
    pub suspected: bool,
    /// Whether another process has taken the name of this one.
    #[serde(rename = "muted")]
    pub fenced: bool,
    /// The whole units assigned by the last division; `None` before the holder's first division.
    pub target: Option<u64>,
}

impl LeaseHolder {
    /// The most units that the process may be using. It has only one lease in force at a time, but calls that it
    /// started under an earlier and larger lease may still run.
    pub fn outstanding(&self) -> u64 {
        self.leases.first().map_or(0, |lease| lease.amount)
    }

    /// When the next of the leases expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.leases.first().map(|lease| lease.expires_at)
    }

    /// Whether the holder takes part in the division of the capacity.
    pub fn shares_capacity(&self) -> bool {
        !self.fenced && !self.suspected
    }

    /// Drops the leases before the one that the process reports as in force, if the units in use fit within that
    /// lease. They will go on fitting, because the process starts nothing beyond the lease in force, so the earlier
    /// leases no longer matter.
    pub fn acknowledge(&mut self, report: &BudgetReport) {
        // If the lease in force is no longer tracked, the next later lease covers it.
        let in_force = self.leases.iter().find(|lease| lease.version >= report.lease_version);
        if in_force.is_some_and(|lease| report.in_use <= lease.amount) {
            self.leases.retain(|lease| lease.version >= report.lease_version);
        }
    }

    pub fn record_lease(&mut self, version: u64, amount: u64, expires_at: Instant) {
        // If the process now reports a shorter time in flight than before, calls that already run may still take longer.
        let expires_at = self.leases.last().map_or(expires_at, |last| last.expires_at.max(expires_at));
        while self.leases.last().is_some_and(|last| last.amount <= amount) {
            self.leases.pop();
        }
        self.leases.push(OutstandingLease { version, amount, expires_at });
        if self.leases.len() > MAX_LEASES {
            self.merge_last_two();
        }
    }

    fn merge_last_two(&mut self) {
        let larger = self.leases.len() - 2;
        let later = self.leases.remove(larger + 1);
        self.leases[larger].expires_at = later.expires_at;
        self.leases[larger].version = later.version;
    }

    /// Drops the leases that have expired by `now`.
    pub fn expire(&mut self, now: Instant) {
        self.leases.retain(|lease| lease.expires_at > now);
    }

    /// Drops all leases. Correct only if nothing that the process started still runs.
    pub fn release(&mut self) {
        self.leases.clear();
    }

    /// Whether the holder has no lease that has not expired.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}
