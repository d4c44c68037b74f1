//! This backend's past and present use of its dependency, counted as at the dependency: a call that this backend
//! cancelled keeps running there for the cancellation lag.
//!
//! Call time is the number of calls in flight summed over time: two calls of one second each are two seconds.

use crate::expiry_set::ExpirySet;
use crate::sliding_sum::SlidingSum;
use crate::time::{Instant, Span};

/// A backend's use of its dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallUsage {
    /// Calls in flight downstream, including cancelled calls that may still run there.
    pub in_flight: u64,
    /// Calls that requests asked to make, since the policy's start.
    pub requested: u64,
    /// Calls that were started, since the policy's start.
    pub started: u64,
}

/// Call time and cancelled calls. The request table counts the calls in flight.
pub(crate) struct DependencyUsage {
    cancellation_lag: Span,
    /// Call time over the last window, in seconds; `None` if there is no averaging window. Only reading the sum frees
    /// its buckets, so it has to be read regularly even if the value is not needed: otherwise memory grows for the
    /// life of the process.
    recent_call_secs: Option<SlidingSum>,
    /// Call time beyond the sustained use, in seconds: a leaky bucket that drains at `sustained_calls`.
    burst_secs: f64,
    /// The number of concurrent calls up to which the use doesn't count as a burst.
    sustained_calls: f64,
    /// Expected number of cancelled calls that still run downstream, decaying over the cancellation lag.
    cancelled: f64,
    /// The latest end of each cancelled call downstream.
    cancelled_ends: ExpirySet,
    requested: u64,
    started: u64,
}

impl DependencyUsage {
    /// Sums call time over `window`, if there is one, starting as if `spent_secs` had been used evenly over the window
    /// before. Concurrent calls beyond `sustained_calls` count as a burst.
    pub fn new(cancellation_lag: Span, window: Option<Span>, spent_secs: f64, sustained_calls: f64) -> Self {
        Self {
            cancellation_lag,
            recent_call_secs: window.map(|window| SlidingSum::new(window, spent_secs)),
            burst_secs: 0.0,
            sustained_calls,
            cancelled: 0.0,
            cancelled_ends: ExpirySet::default(),
            requested: 0,
            started: 0,
        }
    }

    /// How long a call that this backend cancelled keeps running at the dependency.
    pub fn cancellation_lag(&self) -> Span {
        self.cancellation_lag
    }

    /// Adds the call time of `elapsed_secs` with `calls` calls in flight.
    pub fn advance(&mut self, now: Instant, elapsed_secs: f64, calls: f64) {
        if let Some(recent) = &mut self.recent_call_secs {
            recent.add(now, calls * elapsed_secs);
        }
        self.burst_secs = (self.burst_secs + (calls - self.sustained_calls) * elapsed_secs).max(0.0);
        self.cancelled *= (-elapsed_secs / self.cancellation_lag.secs().max(1e-3)).exp();
    }

    pub fn call_requested(&mut self) {
        self.requested += 1;
    }

    pub fn call_started(&mut self) {
        self.started += 1;
    }

    /// Counts a cancelled call as in use for the cancellation lag.
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

    /// The largest possible number of cancelled calls that still run downstream.
    pub fn max_cancelled(&mut self, now: Instant) -> u64 {
        self.cancelled_ends.count_after(now)
    }

    /// Call time over the window that ends now, in seconds; 0 without an averaging window.
    pub fn recent_call_secs(&mut self, now: Instant) -> f64 {
        self.recent_call_secs.as_mut().map_or(0.0, |recent| recent.sum(now))
    }

    /// Call time beyond the sustained use, in seconds.
    pub fn burst_secs(&self) -> f64 {
        self.burst_secs
    }

    /// The usage counts; `in_flight` is the number of calls in flight here, without cancelled ones.
    pub fn counts(&mut self, now: Instant, in_flight: f64) -> CallUsage {
        CallUsage {
            in_flight: in_flight as u64 + self.max_cancelled(now),
            requested: self.requested,
            started: self.started,
        }
    }
}
