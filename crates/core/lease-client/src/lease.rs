//! A node's lease on one budget.

use crate::demand::{DemandEstimate, UsageCounts};
use crate::settings::BudgetSettings;
use lynxtally::{Instant, Span};
use lynxtally_messages::{BudgetReport, Lease};

/// A lease that has not expired.
#[derive(Clone, Copy, Debug)]
struct ActiveLease {
    version: u64,
    amount: u64,
    duration: Span,
    /// Nothing may be started under the lease from this time on.
    expires_at: Instant,
}

/// The node's state for one budget: its lease and how much of it is in use.
#[derive(Debug, Default)]
pub(crate) struct LeasedBudget {
    lease: Option<ActiveLease>,
    demand: DemandEstimate,
}

impl LeasedBudget {
    pub fn amount(&self) -> u64 {
        self.lease.map_or(0, |lease| lease.amount)
    }

    pub fn expires_at(&self) -> Option<Instant> {
        self.lease.map(|lease| lease.expires_at)
    }

    pub fn duration(&self) -> Option<Span> {
        self.lease.map(|lease| lease.duration)
    }

    pub fn in_use(&self) -> u64 {
        self.demand.in_use()
    }

    /// Records the units in use from now on. Returns whether more units were requested than started since the last call.
    pub fn report_usage(
        &mut self,
        now: Instant,
        in_use: u64,
        counts: UsageCounts,
        time_constant: Span,
    ) -> bool {
        self.demand.observe(now, in_use, counts, time_constant)
    }

    /// Builds the report on this budget for the next request to the coordinators.
    pub fn report(
        &mut self,
        now: Instant,
        time_constant: Span,
        settings: &BudgetSettings,
        leaving: bool,
    ) -> BudgetReport {
        let demand_milliunits = self.demand.milliunits(now, time_constant);
        BudgetReport {
            budget: settings.name.clone(),
            lease_version: self.lease.map_or(0, |lease| lease.version),
            in_use: self.in_use(),
            demand_milliunits: if leaving { 0 } else { demand_milliunits },
            max_in_flight_us: settings.max_in_flight.micros(),
        }
    }

    /// Replaces the lease with a new one. Returns whether the amount that may be used changed. If the new lease has already
    /// expired, the old one is dropped too: the coordinators may count only the newer lease as outstanding.
    pub fn renew(&mut self, now: Instant, lease: &Lease, expires_at: Instant) -> bool {
        let amount_before = self.amount();
        let duration = Span::from_micros(lease.duration_us);
        let renewed = ActiveLease { version: lease.version, amount: lease.amount, duration, expires_at };
        self.lease = (now < expires_at).then_some(renewed);
        self.amount() != amount_before
    }

    /// Drops the lease if it has expired. Returns whether units were leased until now.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired = self.lease.take_if(|lease| lease.expires_at <= now);
        expired.is_some_and(|lease| lease.amount > 0)
    }

    /// Drops the lease. Returns whether units were leased until now.
    pub fn drop_lease(&mut self) -> bool {
        self.lease.take().is_some_and(|lease| lease.amount > 0)
    }
}
