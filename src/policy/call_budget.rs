//! How much of the shared dependency may this backend use?
//!
//! The rule: the dependency survives so many concurrent calls as a plain mean over the averaging window. This
//! backend keeps to its share, whatever becomes of the calls: what was in flight over the last window and
//! what is in flight now, each call to the last moment at which it may end downstream, stays under that mean.
//! Only a fraction of it may be used in a burst, the rest evenly. Under a lease its numbers hold instead:
//! calls in flight at each moment, and the longest of them, which bounds every mean as well.
//!
//! It answers any slowing of the dependency for all backends at once, also in the middle of calls, which
//! shows as timeouts everywhere and then the dependency's fall. It holds as each backend's sum stays under
//! its share whatever the dependency does, and so does the sum over all. Harms where a call would have come
//! back just past a timeout that was cut.

use super::learning::UNSEEN_COST_FRACTION;
use crate::dependency_usage::DependencyUsage;
use crate::*;

/// The fraction of this backend's share of concurrent calls that is used at most, in the mean.
const SAFE_SHARE_FRACTION: f64 = 0.8;
/// The fraction of the budget that may be used at once. What all backends spend at once as the dependency
/// slows crowds it, and is missing to all for the rest of the window.
const BURST_FRACTION: f64 = 0.25;

/// Bounds on calls at one moment.
pub(super) struct Concurrency {
    /// Calls in flight at most, with the cancelled ones.
    pub max_in_flight: f64,
    /// Calls that were cancelled here and are taken to run on downstream.
    pub cancelled: f64,
}

/// What may be used of the dependency, and what is.
pub(super) struct CallBudget {
    /// Concurrent calls in the mean; infinite where no dependency is shared.
    mean_calls: f64,
    /// The window of that mean; none where no dependency is shared.
    averaging_window: Option<Span>,
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
        // What processes before this one called is not known: it is taken for all of the budget, spent
        // evenly. On a cold machine there may have been several within the window, so no call is free; else
        // one at most.
        let unseen_call_secs = lag.secs() + mean_objective_secs * UNSEEN_COST_FRACTION;
        let free_secs = if settings.cold_start { 0.0 } else { unseen_call_secs };
        let window = averaging_window.unwrap_or(Span::ZERO);
        let spent_secs = mean_calls * window.secs() - free_secs;
        let even_calls = mean_calls * (1.0 - BURST_FRACTION);
        let summed_window = averaging_window.map(|window| window + lag);
        let usage = DependencyUsage::new(lag, summed_window, spent_secs, even_calls);
        Self { mean_calls, averaging_window, lease: None, usage }
    }

    /// What bounds the calls in flight at this moment. A lease holds at each moment, so its cancelled calls
    /// are counted one by one; the settings' share is a mean, for which their expected number serves.
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

    /// The timeout of a call that goes now, at most `wanted`; none where less than `needed` is left and it
    /// has to wait. `committed_secs` is the time that the calls in flight may still take, added up.
    pub fn timeout(&mut self, now: Instant, wanted: Span, needed: Span, committed_secs: f64) -> Option<Span> {
        let lag = self.usage.cancellation_lag();
        if let Some(lease) = self.lease {
            // Read only to free what is past: the sum is needed again when the lease is gone.
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
            // A budget that no call fits in lets one go when none did for a whole window.
            left_secs = left_secs.max(call_secs);
        }
        let timeout = wanted.min(Span::from_secs(left_secs) - lag);
        (fits_burst && left_secs >= call_secs).then_some(timeout)
    }
}
