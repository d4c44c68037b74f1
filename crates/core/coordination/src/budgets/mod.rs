//! Budgets: what all share, divided among those who are there, and divided anew as they come and go.
//!
//! For each holder a budget counts what it may be using at most: the largest of its grants that are not surely
//! over ([`holding`]). A new grant may not be larger than what is counted for the holder anyway, and what is
//! free. So the sum never passes the whole, whatever is lost, repeated, late or suspected. How much each should
//! have ([`division`]) decides only what is served, never that.

pub mod division;
mod holding;
mod turns;

use crate::time::{drifted, micros};
use holding::Holding;
use lynxtally::{Instant, Span};
use lynxtally_messages::{BudgetReport, BudgetTerms, Lease};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use turns::Turns;

/// So many budgets there may be.
pub const MOST: usize = 1024;

/// How a budget stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Division {
    /// Its terms.
    pub terms: BudgetTerms,
    /// What may be in use at most, over all nodes.
    pub counted: u64,
    /// What is not counted for anybody.
    pub free: u64,
    /// Whether the whole of the terms is in force: a smaller one waits until grants have ended.
    pub in_force: bool,
    /// How many hold, or may still be using, a part.
    pub holders: usize,
}

/// One budget.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub(crate) struct Budget {
    terms: BudgetTerms,
    holdings: BTreeMap<u64, Holding>,
    /// The sum of what is counted for each.
    counted: u64,
    /// When a grant of a holder is surely over, in microseconds.
    ends: BTreeSet<(u64, u64)>,
    /// Whose turn it is to have one more, of units that do not go round.
    turns: Turns,
    #[serde(with = "micros")]
    since: Instant,
}

fn order(at: Instant) -> u64 {
    (at - Instant::default()).micros()
}

impl Budget {
    pub fn new(terms: BudgetTerms, now: Instant) -> Self {
        Self {
            terms,
            holdings: BTreeMap::new(),
            counted: 0,
            ends: BTreeSet::new(),
            turns: Turns::default(),
            since: now,
        }
    }

    /// Other terms. A smaller whole comes into force as grants end; a longer span or another drift counts from
    /// the next grant on.
    pub fn change(&mut self, now: Instant, terms: BudgetTerms) -> Result<(), String> {
        if terms.kind != self.terms.kind {
            return Err("`what.budget.terms.kind` can't be changed".to_owned());
        }
        self.terms = terms;
        self.divide(now);
        Ok(())
    }

    fn free(&self) -> u64 {
        self.terms.capacity.saturating_sub(self.counted)
    }

    /// What only a first share is taken from.
    fn kept_back(&self) -> u64 {
        // The whole is at most 2^40 and the part at most a thousand.
        self.terms.capacity * self.terms.newcomer_reserve_permille / 1000
    }

    pub fn division(&self) -> Division {
        Division {
            terms: self.terms,
            counted: self.counted,
            free: self.free(),
            in_force: self.counted <= self.terms.capacity,
            holders: self.holdings.values().filter(|holding| holding.counted() > 0).count(),
        }
    }

    pub fn counted(&self, incarnation: u64) -> u64 {
        self.holdings.get(&incarnation).map_or(0, Holding::counted)
    }

    /// Changes a holding and keeps the sum.
    fn with<T>(&mut self, incarnation: u64, change: impl FnOnce(&mut Holding) -> T) -> Option<T> {
        let holding = self.holdings.get_mut(&incarnation)?;
        let before = (holding.counted(), holding.ends());
        let done = change(holding);
        let after = (holding.counted(), holding.ends());
        self.counted = self.counted - before.0 + after.0;
        if before.1 != after.1 {
            before.1.map(|at| self.ends.remove(&(order(at), incarnation)));
            after.1.map(|at| self.ends.insert((order(at), incarnation)));
        }
        Some(done)
    }

    /// A holder reports, and asks. `version` is greater than that of all grants before.
    pub fn ask(&mut self, now: Instant, version: u64, incarnation: u64, want: &BudgetReport) -> Lease {
        self.holdings.entry(incarnation).or_default();
        self.with(incarnation, |holding| {
            holding.reported(want);
            holding.need = want.demand_milliunits;
            holding.suspect = false;
        });
        let counted = self.counted(incarnation);
        let target = self.target(incarnation);
        // What is kept back is there for those who have nothing yet, so that a crowd of them begins at once.
        let first = self.holdings.get(&incarnation).is_some_and(|holding| holding.target.is_none());
        let kept = if first { 0 } else { self.kept_back() };
        let amount = target.min(counted + self.free().saturating_sub(kept));
        let BudgetTerms {
            lease_duration_us: span_us,
            max_clock_drift_ppm: drift,
            pause_margin_us: margin_us,
            ..
        } = self.terms;
        let whole_span = Span::from_micros(span_us.saturating_add(want.max_in_flight_us));
        let end = now + drifted(whole_span, drift) + Span::from_micros(margin_us);
        self.with(incarnation, |holding| holding.give(version, amount, end));
        Lease { budget: want.budget.clone(), version, amount, duration_us: span_us }
    }

    /// What a holder should have.
    fn target(&self, incarnation: u64) -> u64 {
        let Some(holding) = self.holdings.get(&incarnation).filter(|holding| !holding.muted) else {
            return 0;
        };
        // Any division gives a need this much at least, so what was not needed yet at the last one may be had now.
        let there = self.holdings.values().filter(|other| !other.muted && !other.suspect).count();
        let fair = self.terms.capacity / there.max(1) as u64;
        let at_once = holding.need.div_ceil(division::UNIT).min(fair);
        match holding.target {
            Some(target) => (target + u64::from(self.turns.has(incarnation))).max(at_once),
            // A newcomer has one unit at least, to begin with.
            None => at_once.max(self.terms.min_per_node).max(1),
        }
    }

    /// Divides what there is anew. The floor is part of the need, so it is met as far as it goes round.
    pub fn divide(&mut self, now: Instant) {
        let floor = self.terms.min_per_node * division::UNIT;
        let there = |holding: &&mut Holding| !holding.muted && !holding.suspect;
        let needs: Vec<u64> = self.holdings.values_mut().filter(there).map(|h| h.need.max(floor)).collect();
        let whole = self.terms.capacity.saturating_sub(self.kept_back());
        let wants = division::wants(whole, &needs);
        let units: u64 = wants.iter().map(|want| want / division::UNIT).sum();
        let mut lacking = BTreeMap::new();
        let there = |(_, holding): &(&u64, &mut Holding)| !holding.muted && !holding.suspect;
        for ((incarnation, holding), want) in self.holdings.iter_mut().filter(there).zip(wants) {
            holding.target = Some(want / division::UNIT);
            if want % division::UNIT > 0 {
                lacking.insert(*incarnation, want % division::UNIT);
            }
        }
        self.turns.turn(now, Span::from_micros(self.terms.lease_duration_us), &lacking, whole - units);
    }

    /// The leader hears nothing of a holder, or hears it again. It goes on being counted; only what it needs is
    /// not.
    pub fn suspect(&mut self, incarnation: u64, suspect: bool) {
        self.with(incarnation, |holding| holding.suspect = suspect);
    }

    /// Another has taken a holder's name: it gets nothing more, and is counted until what it had is over.
    pub fn mute(&mut self, incarnation: u64) {
        self.with(incarnation, |holding| (holding.muted, holding.need) = (true, 0));
    }

    /// A holder is surely over; false where it held nothing.
    pub fn over(&mut self, incarnation: u64) -> bool {
        let held = self.with(incarnation, Holding::clear).is_some();
        self.holdings.remove(&incarnation);
        held
    }

    /// What surely ran out is free again.
    pub fn lapse(&mut self, now: Instant) {
        while let Some(&(at, incarnation)) = self.ends.first().filter(|(at, _)| *at <= order(now)) {
            self.with(incarnation, |holding| holding.lapse(now));
            debug_assert!(!self.ends.contains(&(at, incarnation)), "what lapsed is gone");
            // One that is there has a new grant long before its last one is over.
            if self.holdings.get(&incarnation).is_some_and(Holding::is_empty) {
                self.holdings.remove(&incarnation);
            }
        }
    }
}
