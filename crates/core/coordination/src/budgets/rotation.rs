//! Assigns the units that are left over after a division to the holders in turn.
//!
//! A division gives each holder a number of whole units and a fraction of a unit, but only whole units can be leased.
//! The holders with a fraction share the whole units that are left over: each gets one extra unit in turn. The next turn
//! goes to the holder with the largest deficit, which is the sum over time of what the holder lacked.

use crate::serde_instant::{self, to_micros};
use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The length of a turn in lease durations. Moving a unit from one holder to the next takes up to one lease duration.
const TURN_LEASE_DURATIONS: f64 = 2.0;
/// The largest absolute value of a deficit, in thousandths of a unit times seconds.
const MAX_DEFICIT: i64 = 1_000_000;
/// Thousandths of a unit per unit.
const MILLIUNITS_PER_UNIT: f64 = 1000.0;

/// The holders that have an extra unit, and the deficits that decide who is next.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Rotation {
    /// The incarnations that have an extra unit, with the start of their turn in microseconds.
    #[serde(rename = "having")]
    turn_since_us: BTreeMap<u64, u64>,
    /// The deficit of each incarnation, in thousandths of a unit times seconds. It grows by the holder's fraction of a
    /// unit while the holder has no extra unit, and shrinks by 1 minus that fraction while it has one.
    #[serde(rename = "owed")]
    deficits: BTreeMap<u64, i64>,
    #[serde(rename = "now", with = "serde_instant")]
    last_rotation: Instant,
}

impl Rotation {
    pub fn has_turn(&self, incarnation: u64) -> bool {
        self.turn_since_us.contains_key(&incarnation)
    }

    /// Assigns `units` extra units to the holders in `fractions`, which has the fraction of each incarnation in
    /// thousandths of a unit. A holder whose turn has reached its full length loses the extra unit if others are waiting.
    pub fn rotate(&mut self, now: Instant, lease_duration: Span, fractions: &BTreeMap<u64, u64>, units: u64) {
        self.turn_since_us.retain(|incarnation, _| fractions.contains_key(incarnation));
        self.deficits.retain(|incarnation, _| fractions.contains_key(incarnation));
        self.update_deficits(now, fractions);
        let units = usize::try_from(units).unwrap_or(usize::MAX).min(fractions.len());
        let waiting = fractions.len() - self.turn_since_us.len();
        self.end_turns(now, lease_duration, units, waiting);
        self.start_turns(now, units);
    }

    /// Adds to each deficit what the holder lacked, or had in excess, since the last rotation.
    fn update_deficits(&mut self, now: Instant, fractions: &BTreeMap<u64, u64>) {
        let passed = (now - self.last_rotation).secs();
        self.last_rotation = now;
        for (incarnation, fraction) in fractions {
            let had = if self.turn_since_us.contains_key(incarnation) { MILLIUNITS_PER_UNIT } else { 0.0 };
            let deficit = self.deficits.entry(*incarnation).or_default();
            *deficit += ((*fraction as f64 - had) * passed) as i64;
            *deficit = (*deficit).clamp(-MAX_DEFICIT, MAX_DEFICIT);
        }
    }

    /// Ends the oldest turns: those that have reached their full length, but no more of them than there are holders
    /// waiting. If there are more turns than `units`, at least the excess turns end.
    fn end_turns(&mut self, now: Instant, lease_duration: Span, units: usize, waiting: usize) {
        let turn_us = (lease_duration * TURN_LEASE_DURATIONS).micros();
        let now_us = to_micros(now);
        let mut oldest_first: Vec<(u64, u64)> =
            self.turn_since_us.iter().map(|(incarnation, since_us)| (*since_us, *incarnation)).collect();
        oldest_first.sort_unstable();
        let complete = oldest_first.iter().take_while(|(since_us, _)| now_us - since_us >= turn_us).count();
        let in_excess = self.turn_since_us.len().saturating_sub(units);
        let ending = complete.min(waiting).max(in_excess);
        for (_, incarnation) in oldest_first.into_iter().take(ending) {
            self.turn_since_us.remove(&incarnation);
        }
    }

    /// Starts the turns of the holders with the largest deficits.
    fn start_turns(&mut self, now: Instant, units: usize) {
        let mut largest_deficit_first: Vec<(i64, u64)> = self
            .deficits
            .iter()
            .filter(|(incarnation, _)| !self.turn_since_us.contains_key(incarnation))
            .map(|(incarnation, deficit)| (-deficit, *incarnation))
            .collect();
        largest_deficit_first.sort_unstable();
        let starting = units - self.turn_since_us.len().min(units);
        for (_, incarnation) in largest_deficit_first.into_iter().take(starting) {
            self.turn_since_us.insert(incarnation, to_micros(now));
        }
    }
}
