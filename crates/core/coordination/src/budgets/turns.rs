//! Units that do not go round: each in turn, by what each still lacks.

use crate::time::micros;
use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A turn lasts this many times the span of a grant: giving a unit back and on takes up to a span.
const LASTS: f64 = 2.0;

/// Whose turn it is.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Turns {
    /// Those who have one unit more, and since when, in microseconds.
    having: BTreeMap<u64, u64>,
    /// What each has lacked for how long, in thousandths of a unit times seconds; less what it had.
    owed: BTreeMap<u64, i64>,
    #[serde(with = "micros")]
    now: Instant,
}

/// Nobody is owed more than this, nor has had more ahead.
const OWED_MOST: i64 = 1_000_000;

impl Turns {
    pub fn has(&self, incarnation: u64) -> bool {
        self.having.contains_key(&incarnation)
    }

    /// Gives `units` to those who lack a part of a unit. Who had one for a whole turn makes room where others wait.
    pub fn turn(&mut self, now: Instant, span: Span, lacking: &BTreeMap<u64, u64>, units: u64) {
        let past = (now - self.now).secs();
        self.now = now;
        let at = (now - Instant::default()).micros();
        self.having.retain(|incarnation, _| lacking.contains_key(incarnation));
        self.owed.retain(|incarnation, _| lacking.contains_key(incarnation));
        for (incarnation, part) in lacking {
            let had = if self.having.contains_key(incarnation) { 1000.0 } else { 0.0 };
            let owed = self.owed.entry(*incarnation).or_default();
            *owed += ((*part as f64 - had) * past) as i64;
            *owed = (*owed).clamp(-OWED_MOST, OWED_MOST);
        }
        let units = usize::try_from(units).unwrap_or(usize::MAX).min(lacking.len());
        let lasts = (span * LASTS).micros();
        let waiting = lacking.len() - self.having.len();
        // The longest turns end first, no more of them than there are others who wait.
        let mut long: Vec<(u64, u64)> = self.having.iter().map(|(who, since)| (*since, *who)).collect();
        long.sort_unstable();
        let over = long.iter().take_while(|(since, _)| at - since >= lasts).count().min(waiting);
        let too_many = self.having.len().saturating_sub(units);
        for (_, incarnation) in long.into_iter().take(over.max(too_many)) {
            self.having.remove(&incarnation);
        }
        let mut next: Vec<(i64, u64)> = self
            .owed
            .iter()
            .filter(|(incarnation, _)| !self.having.contains_key(incarnation))
            .map(|(incarnation, owed)| (-owed, *incarnation))
            .collect();
        next.sort_unstable();
        for (_, incarnation) in next.into_iter().take(units - self.having.len().min(units)) {
            self.having.insert(incarnation, at);
        }
    }
}
