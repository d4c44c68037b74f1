//! A node's lease of one budget.

use crate::demand::{DemandEstimate, UsageCounts};
use crate::settings::BudgetSettings;
use lynxtally::{Instant, Span};
use lynxtally_messages::{BudgetReport, Lease};

/// The lease in force.
#[derive(Clone, Copy, Debug)]
struct LeaseInForce {
    version: u64,
    amount: u64,
    duration: Span,
    /// From then on nothing may be started under it.
    expires_at: Instant,
}

/// A budget as the node has it: what may be used, and what is.
#[derive(Debug, Default)]
pub(crate) struct LeasedBudget {
    lease: Option<LeaseInForce>,
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

    /// Notes what is in use from now on; whether more was requested than started since the last time.
    pub fn report_usage(&mut self, now: Instant, in_use: u64, counts: UsageCounts, fading: Span) -> bool {
        self.demand.observe(now, in_use, counts, fading)
    }

    /// The report for the next request.
    pub fn report(
        &mut self,
        now: Instant,
        fading: Span,
        settings: &BudgetSettings,
        leaving: bool,
    ) -> BudgetReport {
        let demand_milliunits = self.demand.milliunits(now, fading);
        BudgetReport {
            budget: settings.name.clone(),
            lease_version: self.lease.map_or(0, |lease| lease.version),
            in_use: self.in_use(),
            demand_milliunits: if leaving { 0 } else { demand_milliunits },
            max_in_flight_us: settings.max_in_flight.micros(),
        }
    }

    /// Takes a new lease; whether the amount in force changes. A lease that expired before it came leaves nothing in
    /// force, not even what was there before: the coordinators may already count only the newer one as outstanding.
    pub fn renew(&mut self, now: Instant, lease: &Lease, expires_at: Instant) -> bool {
        let amount_before = self.amount();
        let duration = Span::from_micros(lease.duration_us);
        let renewed = LeaseInForce { version: lease.version, amount: lease.amount, duration, expires_at };
        self.lease = (now < expires_at).then_some(renewed);
        self.amount() != amount_before
    }

    /// Drops the lease where it expired; whether an amount was in force until now.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired = self.lease.take_if(|lease| lease.expires_at <= now);
        expired.is_some_and(|lease| lease.amount > 0)
    }

    /// Drops the lease; whether an amount was in force until now.
    pub fn drop_lease(&mut self) -> bool {
        self.lease.take().is_some_and(|lease| lease.amount > 0)
    }
}
