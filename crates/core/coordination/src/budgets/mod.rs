//! Budgets: capacity that all nodes share and that is divided among them by leases.
//!
//! A lease (Gray and Cheriton, 1989) lets a node use an amount of the capacity for a limited time. No lease is ever
//! revoked, because a revocation might not reach the node. Instead, a lease ends without a message: first at the node,
//! which counts the duration from before it first sent its request, and later in this state, once everything that was
//! started under the lease has ended.
//!
//! Terms, for the units of a lease:
//! - *in force*: the node may start calls under the lease now;
//! - *in use*: occupied by running calls, including those that were started under earlier leases;
//! - *outstanding*: the most that a process may be using, as counted in this state;
//! - *expired*: nothing that was started under the lease can still run, so its units are free.
//!
//! Safety rule: the sum of all outstanding amounts never exceeds the capacity, even if messages are lost, duplicated or
//! delayed, or a node is wrongly suspected. The outstanding amount of a holder is the largest of its leases that have
//! not expired (`holder`). The amount of a new lease is never larger than the outstanding amount of its holder plus
//! the free units. A capacity that an operator has reduced is in force once enough leases have expired.
//!
//! Pauses: a node that was paused starts nothing under a lease that expired during the pause, because its clock goes on
//! during the pause and it reads the clock before it starts anything (`lynxtally-lease-client`). The units of a silent
//! holder, suspected or not, are leased to others only after the lease duration, the longest time in flight, the clock
//! drift and the pause margin have passed by the clock of the replicated state (`safe_expiry`). A process whose name
//! another process has taken is fenced: it gets no new leases, and its leases stay outstanding until they expire.
//!
//! The division of the capacity among the holders ([`division`], `rotation`) affects only how well the capacity is
//! used. The safety rule does not depend on it.

pub mod division;
mod holder;
mod rotation;

use crate::clock::safe_expiry;
use crate::error::AdminError;
use crate::serde_instant::{self, to_micros};
use division::MILLIUNITS_PER_UNIT;
use holder::LeaseHolder;
use lynxtally::{Instant, Span};
use lynxtally_messages::{BudgetReport, BudgetTerms, Lease};
use rotation::Rotation;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most budgets that may exist.
pub const MAX_BUDGETS: usize = 1024;

/// The status of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetStatus {
    /// The terms of the budget.
    pub terms: BudgetTerms,
    /// The most units that all nodes together may be using.
    pub outstanding: u64,
    /// The units of the capacity that are not outstanding.
    pub free: u64,
    /// Whether the capacity in the terms is in force. A reduced capacity is not, until enough leases have expired.
    pub capacity_in_force: bool,
    /// The number of processes that may be using units of the budget.
    pub holders: usize,
}

/// A budget with its lease holders.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub(crate) struct Budget {
    terms: BudgetTerms,
    /// The holders by incarnation.
    #[serde(rename = "holdings")]
    holders: BTreeMap<u64, LeaseHolder>,
    /// The sum of the outstanding amounts of all holders.
    #[serde(rename = "counted")]
    outstanding: u64,
    /// When the next lease of each holder expires.
    #[serde(rename = "ends")]
    expiries: BTreeSet<Expiry>,
    /// Assigns the units that are left over after the division, in turn.
    #[serde(rename = "turns")]
    rotation: Rotation,
    #[serde(rename = "since", with = "serde_instant")]
    created_at: Instant,
}

/// When the next lease of a holder expires. Ordered by time; serialized as a pair.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
struct Expiry {
    at_us: u64,
    incarnation: u64,
}

impl From<(u64, u64)> for Expiry {
    fn from((at_us, incarnation): (u64, u64)) -> Self {
        Self { at_us, incarnation }
    }
}

impl From<Expiry> for (u64, u64) {
    fn from(expiry: Expiry) -> Self {
        (expiry.at_us, expiry.incarnation)
    }
}

impl Budget {
    pub fn new(terms: BudgetTerms, now: Instant) -> Self {
        Self {
            terms,
            holders: BTreeMap::new(),
            outstanding: 0,
            expiries: BTreeSet::new(),
            rotation: Rotation::default(),
            created_at: now,
        }
    }

    /// Changes the terms. A reduced capacity comes into force as leases expire. A changed duration, clock drift or
    /// pause margin applies to leases granted from now on.
    pub fn change_terms(&mut self, now: Instant, name: &str, terms: BudgetTerms) -> Result<(), AdminError> {
        if terms.kind != self.terms.kind {
            return Err(AdminError::BudgetKindChanged { budget: name.to_owned() });
        }
        self.terms = terms;
        self.divide(now);
        Ok(())
    }

    pub fn status(&self) -> BudgetStatus {
        BudgetStatus {
            terms: self.terms,
            outstanding: self.outstanding,
            free: self.free(),
            capacity_in_force: self.outstanding <= self.terms.capacity,
            holders: self.holders.values().filter(|holder| holder.outstanding() > 0).count(),
        }
    }

    /// The most units that a process may be using.
    pub fn outstanding(&self, incarnation: u64) -> u64 {
        self.holders.get(&incarnation).map_or(0, LeaseHolder::outstanding)
    }

    /// Records what a process reports and grants its next lease. `version` has to be larger than that of all earlier
    /// leases.
    pub fn renew(&mut self, now: Instant, version: u64, incarnation: u64, report: &BudgetReport) -> Lease {
        self.holders.entry(incarnation).or_default();
        self.update_holder(incarnation, |holder| {
            holder.acknowledge(report);
            holder.demand_milliunits = report.demand_milliunits;
            holder.suspected = false;
        });
        let amount = self.next_amount(incarnation);
        let expires_at = safe_expiry(
            now,
            self.terms.lease_duration_us,
            report.max_in_flight_us,
            self.terms.max_clock_drift_ppm,
            self.terms.pause_margin_us,
        );
        self.update_holder(incarnation, |holder| holder.record_lease(version, amount, expires_at));
        let duration_us = self.terms.lease_duration_us;
        Lease { budget: report.budget.clone(), version, amount, duration_us }
    }

    /// The amount of a process's next lease: its target, but at most its outstanding amount plus the free units. This
    /// limit enforces the safety rule of the module.
    fn next_amount(&self, incarnation: u64) -> u64 {
        // The reserve is kept for first leases, so that many nodes that join together can all start immediately.
        let is_newcomer = self.holders.get(&incarnation).is_some_and(|holder| holder.target.is_none());
        let reserved = if is_newcomer { 0 } else { self.newcomer_reserve() };
        let available = self.free().saturating_sub(reserved);
        self.target_amount(incarnation).min(self.outstanding(incarnation) + available)
    }

    /// The units that a process should have, as far as they are available.
    fn target_amount(&self, incarnation: u64) -> u64 {
        let Some(holder) = self.holders.get(&incarnation).filter(|holder| !holder.fenced) else {
            return 0;
        };
        // Every division meets a demand at least up to an equal part of the capacity. A demand that has grown since the
        // last division can therefore be met up to an equal part without waiting for the next one.
        let sharing = self.holders.values().filter(|other| other.shares_capacity()).count();
        let equal_part = self.terms.capacity / sharing.max(1) as u64;
        let immediate = holder.demand_milliunits.div_ceil(MILLIUNITS_PER_UNIT).min(equal_part);
        match holder.target {
            Some(target) => {
                let with_turn = target + u64::from(self.rotation.has_turn(incarnation));
                with_turn.max(immediate)
            }
            // A new holder gets at least one unit to start with.
            None => immediate.max(self.terms.min_per_node).max(1),
        }
    }

    /// Sets the targets of all holders by dividing the capacity according to demand. Each demand is raised to the
    /// minimum per node, so the minimum is met as long as the capacity suffices.
    pub fn divide(&mut self, now: Instant) {
        let min_milliunits = self.terms.min_per_node * MILLIUNITS_PER_UNIT;
        let demands: Vec<u64> = self
            .holders
            .values()
            .filter(|holder| holder.shares_capacity())
            .map(|holder| holder.demand_milliunits.max(min_milliunits))
            .collect();
        let divisible = self.terms.capacity.saturating_sub(self.newcomer_reserve());
        let parts = division::divide(divisible, &demands);
        let whole_units: u64 = parts.iter().map(|part| part / MILLIUNITS_PER_UNIT).sum();
        let mut fractions = BTreeMap::new();
        let sharing = self.holders.iter_mut().filter(|(_, holder)| holder.shares_capacity());
        for ((incarnation, holder), part) in sharing.zip(parts) {
            holder.target = Some(part / MILLIUNITS_PER_UNIT);
            let fraction = part % MILLIUNITS_PER_UNIT;
            if fraction > 0 {
                fractions.insert(*incarnation, fraction);
            }
        }
        let lease_duration = Span::from_micros(self.terms.lease_duration_us);
        self.rotation.rotate(now, lease_duration, &fractions, divisible - whole_units);
    }

    /// Sets whether the leader suspects that a holder has failed. The leases of a suspected holder stay outstanding;
    /// only its demand is left out of the division.
    pub fn set_suspected(&mut self, incarnation: u64, suspected: bool) {
        self.update_holder(incarnation, |holder| holder.suspected = suspected);
    }

    /// Fences a holder whose name another process has taken. It gets no new units, and its leases stay outstanding
    /// until they expire.
    pub fn fence(&mut self, incarnation: u64) {
        self.update_holder(incarnation, |holder| {
            holder.fenced = true;
            holder.demand_milliunits = 0;
        });
    }

    /// Frees the units of a process of which nothing runs any more. Returns whether it was a holder.
    pub fn release(&mut self, incarnation: u64) -> bool {
        let was_holder = self.update_holder(incarnation, LeaseHolder::release).is_some();
        self.holders.remove(&incarnation);
        was_holder
    }

    /// Frees the units of the leases that have expired by `now`.
    pub fn expire(&mut self, now: Instant) {
        while let Some(expiry) = self.expiries.first().copied() {
            if expiry.at_us > to_micros(now) {
                return;
            }
            self.update_holder(expiry.incarnation, |holder| holder.expire(now));
            debug_assert!(!self.expiries.contains(&expiry), "an expired lease was not removed");
            // A process that is alive renews its lease long before the last one expires.
            if self.holders.get(&expiry.incarnation).is_some_and(LeaseHolder::is_empty) {
                self.holders.remove(&expiry.incarnation);
            }
        }
    }

    fn free(&self) -> u64 {
        self.terms.capacity.saturating_sub(self.outstanding)
    }

    /// The units of the capacity that are reserved for first leases.
    fn newcomer_reserve(&self) -> u64 {
        // This can't overflow: the capacity is at most 2^40 and the reserve at most 1000 permille.
        self.terms.capacity * self.terms.newcomer_reserve_permille / 1000
    }

    /// Changes a holder, and updates the total outstanding amount and the holder's entry in `expiries` accordingly.
    fn update_holder<T>(
        &mut self,
        incarnation: u64,
        change: impl FnOnce(&mut LeaseHolder) -> T,
    ) -> Option<T> {
        let holder = self.holders.get_mut(&incarnation)?;
        let outstanding_before = holder.outstanding();
        let expiry_before = holder.next_expiry();
        let changed = change(holder);
        self.outstanding = self.outstanding - outstanding_before + holder.outstanding();
        let expiry_after = holder.next_expiry();
        if expiry_before != expiry_after {
            if let Some(at) = expiry_before {
                self.expiries.remove(&Expiry { at_us: to_micros(at), incarnation });
            }
            if let Some(at) = expiry_after {
                self.expiries.insert(Expiry { at_us: to_micros(at), incarnation });
            }
        }
        Some(changed)
    }
}
