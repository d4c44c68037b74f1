//! How many downstream calls may be in flight, by what the dependency bears?
//!
//! The rule is additive increase, multiplicative decrease: a whole window of successful calls widens it by
//! one, and a sign of crowding downstream cuts it to a fraction, once for each generation of calls. Crowding
//! is a call that was rejected, or failed after far more than the usual time.

use super::learning::LEARNING_GAIN;
use crate::*;

/// Crowding cuts the window to this fraction.
const CUT_FRACTION: f64 = 0.7;
/// A call that failed after this many times the usual time is a sign of crowding.
pub(super) const SLOW_CALL_FACTOR: f64 = 4.0;

/// The bound of calls in flight, and what is usual of them.
pub(super) struct CallWindow {
    /// Calls in flight at most.
    pub size: f64,
    last_cut: Instant,
    paused_until: Instant,
    /// The mean time of a call, in seconds; 0 until one ended. Only failures that took longer raise it.
    pub usual_call_secs: f64,
}

impl CallWindow {
    pub fn new(settings: &Settings, now: Instant) -> Self {
        let unbounded = settings.downstream == Downstream::Peers;
        Self {
            size: if unbounded { f64::INFINITY } else { f64::from(settings.cores) },
            last_cut: now,
            paused_until: now,
            usual_call_secs: 0.0,
        }
    }

    /// Whether no call goes for now.
    pub fn is_paused(&self, now: Instant) -> bool {
        now < self.paused_until
    }

    /// Moves the mean time of a call by a part of the difference; the first call moves it all the way.
    fn learn_call_secs(&mut self, difference_secs: f64) {
        let gain = if self.usual_call_secs > 0.0 { LEARNING_GAIN } else { 1.0 };
        self.usual_call_secs += difference_secs * gain;
    }

    /// Takes in a successful call, however slow: only failures narrow the window; the budget bounds the rest.
    pub fn call_succeeded(&mut self, took: Span) {
        self.size += 1.0 / self.size;
        self.learn_call_secs(took.secs() - self.usual_call_secs);
    }

    /// Takes in a failed call. A timeout that was short only as its request had little time says nothing of
    /// the dependency. Calls begun before the last cut ran into the same crowding, and cut no further.
    pub fn call_failed(&mut self, now: Instant, took: Span, outcome: CallOutcome) {
        let is_slow = took.secs() > self.usual_call_secs * SLOW_CALL_FACTOR;
        let is_crowded = outcome == CallOutcome::NotExecuted || is_slow;
        if is_crowded && now - self.last_cut > took {
            self.size = (self.size * CUT_FRACTION).max(1.0);
            self.last_cut = now;
        }
        if outcome == CallOutcome::MaybeExecuted {
            self.learn_call_secs((took.secs() - self.usual_call_secs).max(0.0));
        }
    }

    /// Pauses all calls where the window is as small as it gets. Catches a dependency that is down and
    /// rejects every call, which shows as thousands of calls a second: it is tried once a timer period, not
    /// as fast as it rejects.
    pub fn pause_if_closed(&mut self, until: Instant) {
        if self.size <= 1.0 {
            self.paused_until = until;
        }
    }
}
