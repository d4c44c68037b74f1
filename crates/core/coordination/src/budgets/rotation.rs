//! Units that do not go round: each holder that lacks a part of a unit has one in turn, by what it is owed.

use crate::serde_instant::{self, to_micros};
use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A turn lasts this many times the duration of a lease: passing a unit on takes up to one duration.
const TURN_LEASE_DURATIONS: f64 = 2.0;
/// Nobody is owed more than this, nor has had more ahead: thousandths of a unit times seconds.
const MAX_OWED: i64 = 1_000_000;
/// Thousandths in the unit that a turn is about.
const UNIT: f64 = 1000.0;

/// Whose turn it is.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Rotation {
    /// The incarnations that have one unit more, and since when, in microseconds.
    #[serde(rename = "having")]
    turn_since_us: BTreeMap<u64, u64>,
    /// What each incarnation lacked for how long, in thousandths of a unit times seconds, less what it had.
    owed: BTreeMap<u64, i64>,
    #[serde(rename = "now", with = "serde_instant")]
    last_rotation: Instant,
}

impl Rotation {
    pub fn has_turn(&self, incarnation: u64) -> bool {
        self.turn_since_us.contains_key(&incarnation)
    }

    /// Gives `units` in turn to those that lack a fraction of a unit, in thousandths. Who had one for a whole turn
    /// makes room where others wait.
    pub fn rotate(&mut self, now: Instant, lease_duration: Span, fractions: &BTreeMap<u64, u64>, units: u64) {
        self.turn_since_us.retain(|incarnation, _| fractions.contains_key(incarnation));
        self.owed.retain(|incarnation, _| fractions.contains_key(incarnation));
        self.account_for_time(now, fractions);
        let units = usize::try_from(units).unwrap_or(usize::MAX).min(fractions.len());
        let waiting = fractions.len() - self.turn_since_us.len();
        self.end_turns(now, lease_duration, units, waiting);
        self.start_turns(now, units);
    }

    /// Books what each lacked, or had too much, since the last rotation.
    fn account_for_time(&mut self, now: Instant, fractions: &BTreeMap<u64, u64>) {
        let passed = (now - self.last_rotation).secs();
        self.last_rotation = now;
        for (incarnation, fraction) in fractions {
            let had = if self.turn_since_us.contains_key(incarnation) { UNIT } else { 0.0 };
            let owed = self.owed.entry(*incarnation).or_default();
            *owed += ((*fraction as f64 - had) * passed) as i64;
            *owed = (*owed).clamp(-MAX_OWED, MAX_OWED);
        }
    }

    /// Ends the longest turns: those that lasted long enough, no more of them than there are others waiting, and
    /// those for which there is no unit any more.
    fn end_turns(&mut self, now: Instant, lease_duration: Span, units: usize, waiting: usize) {
        let turn_us = (lease_duration * TURN_LEASE_DURATIONS).micros();
        let now_us = to_micros(now);
        let mut longest_first: Vec<(u64, u64)> =
            self.turn_since_us.iter().map(|(incarnation, since_us)| (*since_us, *incarnation)).collect();
        longest_first.sort_unstable();
        let lasted = longest_first.iter().take_while(|(since_us, _)| now_us - since_us >= turn_us).count();
        let without_unit = self.turn_since_us.len().saturating_sub(units);
        let ending = lasted.min(waiting).max(without_unit);
        for (_, incarnation) in longest_first.into_iter().take(ending) {
            self.turn_since_us.remove(&incarnation);
        }
    }

    /// Starts the turns of those that are owed most.
    fn start_turns(&mut self, now: Instant, units: usize) {
        let mut most_owed_first: Vec<(i64, u64)> = self
            .owed
            .iter()
            .filter(|(incarnation, _)| !self.turn_since_us.contains_key(incarnation))
            .map(|(incarnation, owed)| (-owed, *incarnation))
            .collect();
        most_owed_first.sort_unstable();
        let starting = units - self.turn_since_us.len().min(units);
        for (_, incarnation) in most_owed_first.into_iter().take(starting) {
            self.turn_since_us.insert(incarnation, to_micros(now));
        }
    }
}
