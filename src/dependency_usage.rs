//! What this backend has used of its dependency lately, and uses now, as the dependency would count it: a call that
//! was cancelled here runs on downstream for the cancellation lag.

use crate::expiry_set::ExpirySet;
use crate::sliding_sum::SlidingSum;
use crate::time::{Instant, Span};

/// How this backend uses its dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallUsage {
    /// Calls in flight downstream, with those that were cancelled and may still run there.
    pub in_flight: u64,
    /// Calls that requests wanted to make, since the start.
    pub requested: u64,
    /// Calls that were started, since the start.
    pub started: u64,
}

/// Call time and cancelled calls. The calls in flight here are in the request table's usage.
pub(crate) struct DependencyUsage {
    cancellation_lag: Span,
    /// Call time over the last window, in seconds; none where it is not averaged. Its buckets are freed only by reading
    /// it, so a sum that nobody reads would grow for as long as the process lives.
    recent_call_secs: Option<SlidingSum>,
    /// Call time beyond the even use, in seconds.
    burst_secs: f64,
    /// Concurrent calls that count as even use.
    even_calls: f64,
    /// Cancelled calls that still run downstream, as a number that fades over the lag.
    cancelled: f64,
    /// When each cancelled call ends downstream at the latest.
    cancelled_ends: ExpirySet,
    requested: u64,
    started: u64,
}

impl DependencyUsage {
    /// Call time is summed over `window`, if there is one, and begins at `spent_secs`, spread evenly over it; concurrent
    /// calls up to `even_calls` are no burst.
    pub fn new(cancellation_lag: Span, window: Option<Span>, spent_secs: f64, even_calls: f64) -> Self {
        Self {
            cancellation_lag,
            recent_call_secs: window.map(|window| SlidingSum::new(window, spent_secs)),
            burst_secs: 0.0,
            even_calls,
            cancelled: 0.0,
            cancelled_ends: ExpirySet::default(),
            requested: 0,
            started: 0,
        }
    }

    /// How long the dependency goes on with a call that was cancelled here.
    pub fn cancellation_lag(&self) -> Span {
        self.cancellation_lag
    }

    /// Counts the time that passed with so many calls in flight.
    pub fn advance(&mut self, now: Instant, elapsed_secs: f64, calls: f64) {
        if let Some(recent) = &mut self.recent_call_secs {
            recent.add(now, calls * elapsed_secs);
        }
        self.burst_secs = (self.burst_secs + (calls - self.even_calls) * elapsed_secs).max(0.0);
        self.cancelled *= (-elapsed_secs / self.cancellation_lag.secs().max(1e-3)).exp();
    }

    /// A request wants to make a call.
    pub fn call_requested(&mut self) {
        self.requested += 1;
    }

    /// A call was started.
    pub fn call_started(&mut self) {
        self.started += 1;
    }

    /// A call was cancelled: until the dependency lets go of it, it counts.
    pub fn call_cancelled(&mut self, now: Instant) {
        let lag_secs = self.cancellation_lag.secs();
        self.cancelled += 1.0;
        self.cancelled_ends.add(now + self.cancellation_lag);
        if let Some(recent) = &mut self.recent_call_secs {
            recent.add(now, lag_secs);
        }
        self.burst_secs += lag_secs;
    }

    /// The expected number of cancelled calls that still run downstream.
    pub fn expected_cancelled(&self) -> f64 {
        self.cancelled
    }

    /// The number of cancelled calls that may still run downstream.
    pub fn max_cancelled(&mut self, now: Instant) -> u64 {
        self.cancelled_ends.count_after(now)
    }

    /// Call time over the window that ends now, in seconds; 0 where it is not averaged.
    pub fn recent_call_secs(&mut self, now: Instant) -> f64 {
        self.recent_call_secs.as_mut().map_or(0.0, |recent| recent.sum(now))
    }

    /// Call time beyond the even use, in seconds.
    pub fn burst_secs(&self) -> f64 {
        self.burst_secs
    }

    /// The counts, with the number of calls in flight here.
    pub fn counts(&mut self, now: Instant, in_flight: f64) -> CallUsage {
        CallUsage {
            in_flight: in_flight as u64 + self.max_cancelled(now),
            requested: self.requested,
            started: self.started,
        }
    }
}
