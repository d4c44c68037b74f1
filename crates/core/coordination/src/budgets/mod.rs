//! Budgets: capacity that all nodes share, divided among them by leases.
//!
//! A lease (Gray and Cheriton, 1989) lets a node use an amount for a limited time. Nobody can be made to hear a
//! revocation, so a lease ends by itself: at the node, which counts its duration from before it first asked, and here,
//! later, once all that was started under it is surely over.
//!
//! Safety rule: who may use what. For each holder the budget counts what it may be using at most, its *outstanding*
//! amount: the largest of its leases that are not surely over ([`holder`]). A new lease is never larger than what is
//! outstanding for its holder anyway and what is free. So the sum of what is outstanding never passes the capacity,
//! whatever is lost, repeated, late or suspected.
//!
//! Who may hold a lease after a pause? A paused node may start nothing under a lease that expired meanwhile: its own
//! clock goes on during the pause and it looks at that before it starts anything (`lynxtally-lease-client`). Units of
//! a silent holder, suspected or not, are granted to others only after the duration, the longest time in flight, the
//! clock drift and the pause margin have passed here ([`surely_over_at`](crate::clock::surely_over_at)). A process
//! whose name another has taken is fenced: it gets no new lease, and what it holds counts until then as well.
//!
//! Four states of an amount: *in force* at the node, which may start things under it now; *in use*, with what was started
//! under earlier leases and still runs; *outstanding* here, the most that may be in use; *surely over*, when nothing can be
//! in use any more and the units are free.
//!
//! How much each holder *should* have ([`division`], [`rotation`]) decides only how well the capacity is used, never
//! whether it is kept.

pub mod division;
mod holder;
mod rotation;

use crate::clock::surely_over_at;
use crate::error::AdminError;
use crate::serde_instant::{self, to_micros};
use division::MILLIUNITS_PER_UNIT;
use holder::LeaseHolder;
use lynxtally::{Instant, Span};
use lynxtally_messages::{BudgetReport, BudgetTerms, Lease};
use rotation::Rotation;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// There may be as many budgets.
pub const MAX_BUDGETS: usize = 1024;

/// How a budget stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetStatus {
    /// Its terms.
    pub terms: BudgetTerms,
    /// What may be in use at most, over all nodes.
    pub outstanding: u64,
    /// What is not outstanding.
    pub free: u64,
    /// Whether the capacity of the terms is in force: a smaller one waits until leases have ended.
    pub capacity_in_force: bool,
    /// How many processes may be using a part of it.
    pub holders: usize,
}

/// One budget.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub(crate) struct Budget {
    terms: BudgetTerms,
    /// By incarnation.
    #[serde(rename = "holdings")]
    holders: BTreeMap<u64, LeaseHolder>,
    /// The sum of what is outstanding for each holder.
    #[serde(rename = "counted")]
    outstanding: u64,
    /// When the next lease of each holder is surely over.
    #[serde(rename = "ends")]
    expiries: BTreeSet<Expiry>,
    /// Whose turn it is to have one more, of units that do not go round.
    #[serde(rename = "turns")]
    rotation: Rotation,
    #[serde(rename = "since", with = "serde_instant")]
    created_at: Instant,
}

/// When a lease of a holder is surely over. Ordered by time; stored as a pair.
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

    /// Changes the terms. A smaller capacity comes into force as leases end; another duration, drift or margin counts
    /// from the next lease on.
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

    /// What a process may be using at most.
    pub fn outstanding(&self, incarnation: u64) -> u64 {
        self.holders.get(&incarnation).map_or(0, LeaseHolder::outstanding)
    }

    /// A process reports what it uses and gets its next lease. `version` is larger than that of all leases before.
    pub fn renew(&mut self, now: Instant, version: u64, incarnation: u64, report: &BudgetReport) -> Lease {
        self.holders.entry(incarnation).or_default();
        self.update_holder(incarnation, |holder| {
            holder.acknowledge(report);
            holder.demand_milliunits = report.demand_milliunits;
            holder.suspected = false;
        });
        let amount = self.next_amount(incarnation);
        let end = surely_over_at(
            now,
            self.terms.lease_duration_us,
            report.max_in_flight_us,
            self.terms.max_clock_drift_ppm,
            self.terms.pause_margin_us,
        );
        self.update_holder(incarnation, |holder| holder.record_lease(version, amount, end));
        let duration_us = self.terms.lease_duration_us;
        Lease { budget: report.budget.clone(), version, amount, duration_us }
    }

    /// The amount of a process's next lease: its target, but never more than what is outstanding for it anyway and
    /// what is free. This is the safety rule of the module.
    fn next_amount(&self, incarnation: u64) -> u64 {
        // The reserve is there for those that have nothing yet, so that a crowd of them starts at once.
        let is_newcomer = self.holders.get(&incarnation).is_some_and(|holder| holder.target.is_none());
        let reserved = if is_newcomer { 0 } else { self.newcomer_reserve() };
        let available = self.free().saturating_sub(reserved);
        self.target(incarnation).min(self.outstanding(incarnation) + available)
    }

    /// What a process should have.
    fn target(&self, incarnation: u64) -> u64 {
        let Some(holder) = self.holders.get(&incarnation).filter(|holder| !holder.fenced) else {
            return 0;
        };
        // Any division meets a demand up to an equal part, so what was not needed yet at the last one may be had now.
        let sharing = self.holders.values().filter(|other| other.shares_capacity()).count();
        let equal_part = self.terms.capacity / sharing.max(1) as u64;
        let at_once = holder.demand_milliunits.div_ceil(MILLIUNITS_PER_UNIT).min(equal_part);
        match holder.target {
            Some(target) => {
                let with_turn = target + u64::from(self.rotation.has_turn(incarnation));
                with_turn.max(at_once)
            }
            // A newcomer has at least one unit to begin with.
            None => at_once.max(self.terms.min_per_node).max(1),
        }
    }

    /// Divides the capacity anew by demand. The minimum of each node is part of its demand, so it is met as far as
    /// the capacity goes round.
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

    /// The leader hears nothing of a holder, or hears it again. Its leases go on counting; only its demand does not.
    pub fn set_suspected(&mut self, incarnation: u64, suspected: bool) {
        self.update_holder(incarnation, |holder| holder.suspected = suspected);
    }

    /// Another process has taken a holder's name: it gets nothing more, and what it holds counts until it is over.
    pub fn fence(&mut self, incarnation: u64) {
        self.update_holder(incarnation, |holder| {
            holder.fenced = true;
            holder.demand_milliunits = 0;
        });
    }

    /// Nothing that a holder started runs any more: what it held is free. Whether it was a holder.
    pub fn release(&mut self, incarnation: u64) -> bool {
        let was_holder = self.update_holder(incarnation, LeaseHolder::release).is_some();
        self.holders.remove(&incarnation);
        was_holder
    }

    /// Frees what is surely over.
    pub fn expire(&mut self, now: Instant) {
        while let Some(expiry) = self.expiries.first().copied() {
            if expiry.at_us > to_micros(now) {
                return;
            }
            self.update_holder(expiry.incarnation, |holder| holder.expire(now));
            debug_assert!(!self.expiries.contains(&expiry), "an expired lease is gone");
            // A process that is alive has a new lease long before its last one is over.
            if self.holders.get(&expiry.incarnation).is_some_and(LeaseHolder::is_empty) {
                self.holders.remove(&expiry.incarnation);
            }
        }
    }

    fn free(&self) -> u64 {
        self.terms.capacity.saturating_sub(self.outstanding)
    }

    /// The part of the capacity that only first leases are taken from.
    fn newcomer_reserve(&self) -> u64 {
        // The capacity is at most 2^40 and the part at most a thousand, so this does not overflow.
        self.terms.capacity * self.terms.newcomer_reserve_permille / 1000
    }

    /// Changes a holder, and with it the sum and the expiry that are kept of it.
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
