//! This backend's share of the concurrent calls that the shared dependency can take.
//!
//! The dependency can take a given mean of concurrent calls over the averaging window. The call time of the
//! last window plus that of the calls in flight, each counted to its latest possible end downstream, stays
//! within this backend's share of that mean. Only a part of this share may be used in a burst. A lease
//! instead bounds the number of calls in flight and the length of each call, which bounds every mean too.
//!
//! Without this, a dependency that slows down for all backends at once, even during calls, is overloaded by
//! the calls that time out at every backend. As each backend keeps to its share, so does their sum, whatever
//! the dependency does. Drawback: a call may time out just before its response.

use super::learning::UNOBSERVED_COST_FRACTION;
use crate::dependency_usage::DependencyUsage;
use crate::*;

/// Fraction of this backend's share of concurrent calls that is used at most, on average.
const SAFE_SHARE_FRACTION: f64 = 0.8;
/// Fraction of the budget that may be used in a burst. When the dependency slows down, the bursts of all
/// backends overload it together, and their call time is missing for the rest of the window.
const BURST_FRACTION: f64 = 0.25;

/// Bounds on the calls in flight at one moment.
pub(super) struct Concurrency {
    /// Maximum number of calls in flight, including cancelled ones.
    pub max_in_flight: f64,
    /// Calls that were cancelled here and may still run downstream.
    pub cancelled: f64,
}

/// The allowed usage of the dependency, and the usage so far.
pub(super) struct CallBudget {
    /// Allowed mean of concurrent calls; infinite without a shared dependency.
    mean_calls: f64,
    /// Window of that mean; `None` without a shared dependency.
    averaging_window: Option<Span>,
    /// Leased bounds, which replace the mean while there are any.
    pub lease: Option<CallLease>,
    pub usage: DependencyUsage,
}

impl CallBudget {
    pub fn new(settings: &Settings, mean_objective_secs: f64) -> Self {
        let (mean_calls, averaging_window, lag) = match settings.downstream {
            Downstream::Shared { concurrent_calls, averaging_window, cancellation_lag } => {
                (concurrent_calls * SAFE_SHARE_FRACTION, Some(averaging_window), cancellation_lag)
            }
            _ => (f64::INFINITY, None, Span::ZERO),
        };
        // The calls of earlier processes are unknown, so the budget is assumed to be spent, evenly over the
        // last window. Without a cold start, one call may start at once. With one, none may, as several
        // processes may have run within the window.
        let unobserved_call_secs = lag.secs() + mean_objective_secs * UNOBSERVED_COST_FRACTION;
        let allowance_secs = if settings.cold_start { 0.0 } else { unobserved_call_secs };
        let window = averaging_window.unwrap_or(Span::ZERO);
        let spent_secs = mean_calls * window.secs() - allowance_secs;
        let sustained_calls = mean_calls * (1.0 - BURST_FRACTION);
        let summed_window = averaging_window.map(|window| window + lag);
        let usage = DependencyUsage::new(lag, summed_window, spent_secs, sustained_calls);
        Self { mean_calls, averaging_window, lease: None, usage }
    }

    /// The bound on calls in flight now. A lease bounds each moment, so cancelled calls are counted one by
    /// one; the settings' share is a mean, for which the expected number of cancelled calls is enough.
    pub fn concurrency(&mut self, now: Instant) -> Concurrency {
        match self.lease {
            Some(lease) => Concurrency {
                max_in_flight: lease.max_in_flight as f64,
                cancelled: self.usage.max_cancelled(now) as f64,
            },
            None => Concurrency {
                max_in_flight: self.mean_calls.max(1.0),
                cancelled: self.usage.expected_cancelled(),
            },
        }
    }

    /// The timeout of a call that starts now, at most `wanted`; `None` if less than `needed` is left and it
    /// has to wait. `committed_secs` is the summed time that the calls in flight may still take.
    pub fn timeout(&mut self, now: Instant, wanted: Span, needed: Span, committed_secs: f64) -> Option<Span> {
        let lag = self.usage.cancellation_lag();
        if let Some(lease) = self.lease {
            // Read only to free expired buckets: the sum is used again once the lease ends.
            self.usage.recent_call_secs(now);
            return Some(wanted.min(lease.max_duration - lag));
        }
        let Some(averaging_window) = self.averaging_window else { return Some(wanted) };
        let budget_secs = self.mean_calls * averaging_window.secs();
        let call_secs = lag.secs() + needed.secs();
        let burst_secs = self.usage.burst_secs() + committed_secs + call_secs;
        let fits_burst = burst_secs <= (budget_secs * BURST_FRACTION).max(call_secs);
        let spent_secs = self.usage.recent_call_secs(now) + committed_secs;
        let mut left_secs = budget_secs - spent_secs;
        if spent_secs <= 0.0 {
            // A budget smaller than one call still admits one call after a whole window without calls.
            left_secs = left_secs.max(call_secs);
        }
        let timeout = wanted.min(Span::from_secs(left_secs) - lag);
        (fits_burst && left_secs >= call_secs).then_some(timeout)
    }
}
