//! The clock of the replicated state. It is driven by the timestamps of log entries and never runs ahead of real time.

use crate::serde_instant;
use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};

/// The denominator of a rate in parts per million.
const PPM_SCALE: u64 = 1_000_000;

/// The timestamp of a log entry, which the leader takes before it writes the entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timestamp {
    /// The term in which the leader knew that it was the leader, before it read its clock.
    pub term: u64,
    /// The leader's clock, read after the request had arrived.
    pub leader_clock: Instant,
}

/// The timestamp was taken in another term than the one in which its entry was written, so it does not show when the
/// entry was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TermMismatch;

/// The time of the replicated state.
///
/// Safety rule: this clock must never run ahead of real time, because it decides when the units of an expired lease may
/// be granted again. Within a term it advances by as much as the clock of that term's leader. Between the last entry of
/// a term and the first entry of the next it does not advance, because the clocks of two leaders can't be compared. A
/// change of leader can therefore extend leases but never shorten them, whatever the clock of the new leader shows.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct StateClock {
    #[serde(with = "serde_instant")]
    now: Instant,
    /// The term of the last timestamp.
    term: u64,
    /// The clock of this term's leader at the first entry of the term.
    #[serde(rename = "from", with = "serde_instant")]
    leader_clock_at_term_start: Instant,
    /// The time of the replicated state at the first entry of the term.
    #[serde(rename = "base", with = "serde_instant")]
    time_at_term_start: Instant,
}

impl StateClock {
    /// Advances the clock to the timestamp of an entry that was written in `entry_term`.
    ///
    /// If the timestamp and the entry have the same term, both come from the same leader, which stayed the leader from
    /// one to the other. All entries of earlier terms were written before that leader first read its clock, so the time
    /// counted from that reading has really passed since those entries.
    pub fn advance(&mut self, entry_term: u64, timestamp: Timestamp) -> Result<(), TermMismatch> {
        if timestamp.term != entry_term || entry_term < self.term {
            return Err(TermMismatch);
        }
        if entry_term > self.term {
            self.term = entry_term;
            self.leader_clock_at_term_start = timestamp.leader_clock;
            self.time_at_term_start = self.now;
        }
        let passed_in_term = timestamp.leader_clock - self.leader_clock_at_term_start;
        // The timestamps of one term need not be in the order of its entries.
        self.now = self.now.max(self.time_at_term_start + passed_in_term);
        Ok(())
    }

    pub fn now(&self) -> Instant {
        self.now
    }
}

/// The time at which a lease or reservation granted `now` expires by the clock of the replicated state. By then,
/// everything that the node started under it has ended.
///
/// The node counts the duration from before it first sent its request, and the leader read its clock after that, so the
/// lease ends at the node first. The duration and the longest time in flight are extended by the largest possible drift
/// between the two clocks, rounded up. The pause margin covers a pause of the node between reading its clock and
/// starting a call.
pub(crate) fn safe_expiry(
    now: Instant,
    duration_us: u64,
    max_in_flight_us: u64,
    max_clock_drift_ppm: u64,
    pause_margin_us: u64,
) -> Instant {
    let longest_use = Span::from_micros(duration_us.saturating_add(max_in_flight_us));
    now + extend_by_drift(longest_use, max_clock_drift_ppm) + Span::from_micros(pause_margin_us)
}

fn extend_by_drift(duration: Span, drift_ppm: u64) -> Span {
    let parts = u128::from(duration.micros()) * u128::from(PPM_SCALE + drift_ppm);
    Span::from_micros(u64::try_from(parts.div_ceil(u128::from(PPM_SCALE))).unwrap_or(u64::MAX))
}
