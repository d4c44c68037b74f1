//! The clock of the replicated state: what passed by the clocks of the leaders, never more than what really passed.

use crate::serde_instant;
use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};

/// Parts per million in a whole.
const MILLION: u64 = 1_000_000;

/// What a leader observed when it wrote a log entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timestamp {
    /// The term in which it knew itself the leader before it looked at its clock.
    pub term: u64,
    /// Its clock after the request had arrived.
    pub leader_clock: Instant,
}

/// A timestamp was taken in another term than its entry was written in: it does not tell when the entry was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TermMismatch;

/// Time as the replicated state counts it.
///
/// Safety rule. Leases are counted from here to the moment when their units may be granted again, so this clock must
/// never run ahead of real time: between two entries it advances by what *one* leader's clock advanced within that
/// leader's term, and from one term to the next by nothing. A new leader therefore extends leases and never cuts them
/// short, whatever its clock shows.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct StateClock {
    #[serde(with = "serde_instant")]
    now: Instant,
    /// The term whose leader's clock is followed.
    term: u64,
    /// Where that leader's clock stood at the first entry of its term.
    #[serde(rename = "from", with = "serde_instant")]
    leader_clock_at_term_start: Instant,
    /// What time it was here then.
    #[serde(rename = "base", with = "serde_instant")]
    time_at_term_start: Instant,
}

impl StateClock {
    /// Follows the timestamp of an entry that was written in `entry_term`.
    ///
    /// A timestamp and an entry of one term come from one leader that led all the time between them. What stands in
    /// the log of earlier terms was written before that leader's first clock reading, so no more is counted from
    /// there on than really passed.
    pub fn follow(&mut self, entry_term: u64, timestamp: Timestamp) -> Result<(), TermMismatch> {
        if timestamp.term != entry_term || entry_term < self.term {
            return Err(TermMismatch);
        }
        if entry_term > self.term {
            self.term = entry_term;
            self.leader_clock_at_term_start = timestamp.leader_clock;
            self.time_at_term_start = self.now;
        }
        let passed_in_term = timestamp.leader_clock - self.leader_clock_at_term_start;
        // Entries of one leader may stand in another order than their timestamps.
        self.now = self.now.max(self.time_at_term_start + passed_in_term);
        Ok(())
    }

    pub fn now(&self) -> Instant {
        self.now
    }
}

/// When all that a node started under a lease or reservation is surely over, by the clock here.
///
/// The node counts the duration from before it first sent its request; the leader looked at its clock after that. Both
/// the duration and the longest time in flight are extended by what the two clocks may drift apart, rounded up, and a
/// margin is added for a pause of the node between its clock reading and what it starts then.
pub(crate) fn surely_over_at(
    now: Instant,
    duration_us: u64,
    max_in_flight_us: u64,
    max_clock_drift_ppm: u64,
    pause_margin_us: u64,
) -> Instant {
    let in_use = Span::from_micros(duration_us.saturating_add(max_in_flight_us));
    now + extend_by_drift(in_use, max_clock_drift_ppm) + Span::from_micros(pause_margin_us)
}

fn extend_by_drift(duration: Span, drift_ppm: u64) -> Span {
    let parts = u128::from(duration.micros()) * u128::from(MILLION + drift_ppm);
    Span::from_micros(u64::try_from(parts.div_ceil(u128::from(MILLION))).unwrap_or(u64::MAX))
}
