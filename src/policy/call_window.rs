//! Limits concurrent downstream calls by additive increase, multiplicative decrease (AIMD).
//!
//! A whole window of successful calls widens the window by one. A call that was rejected, or that failed
//! after far more than the usual time, narrows it, unless the call started before the last narrowing.

use super::learning::LEARNING_GAIN;
use crate::*;

/// A sign of overload cuts the window to this fraction.
const CUT_FRACTION: f64 = 0.7;
/// A call that failed after this many times the usual call time is a sign of overload.
pub(super) const SLOW_CALL_FACTOR: f64 = 4.0;

/// The call window and the usual call time.
pub(super) struct CallWindow {
    /// Maximum number of calls in flight.
    pub size: f64,
    last_cut: Instant,
    paused_until: Instant,
    /// Mean call time, in seconds; 0 until a call ended. Failed calls can raise it but not lower it.
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

    /// Whether calls are paused, see `pause_if_minimal`.
    pub fn is_paused(&self, now: Instant) -> bool {
        now < self.paused_until
    }

    /// Moves the mean call time by a fraction of a call's difference from it; the first call sets the mean.
    fn learn_call_secs(&mut self, difference_secs: f64) {
        let gain = if self.usual_call_secs > 0.0 { LEARNING_GAIN } else { 1.0 };
        self.usual_call_secs += difference_secs * gain;
    }

    /// Records a successful call, however slow: only failures narrow the window; the budget bounds the rest.
    pub fn call_succeeded(&mut self, duration: Span) {
        self.size += 1.0 / self.size;
        self.learn_call_secs(duration.secs() - self.usual_call_secs);
    }

    /// Records a failed call. A short timeout only shows that its request had little time left. Calls that
    /// started before the last cut met the same overload and don't cut the window again.
    pub fn call_failed(&mut self, now: Instant, duration: Span, outcome: CallOutcome) {
        let is_slow = duration.secs() > self.usual_call_secs * SLOW_CALL_FACTOR;
        let is_overload_sign = outcome == CallOutcome::NotExecuted || is_slow;
        if is_overload_sign && now - self.last_cut > duration {
            self.size = (self.size * CUT_FRACTION).max(1.0);
            self.last_cut = now;
        }
        if outcome == CallOutcome::MaybeExecuted {
            self.learn_call_secs((duration.secs() - self.usual_call_secs).max(0.0));
        }
    }

    /// Pauses all calls if the window has its minimum size. A dependency that is down and rejects every call
    /// is then tried once a timer period, instead of thousands of times a second.
    pub fn pause_if_minimal(&mut self, until: Instant) {
        if self.size <= 1.0 {
            self.paused_until = until;
        }
    }
}
