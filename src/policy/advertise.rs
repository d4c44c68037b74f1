//! Advertised capacity, health check result and Retry-After.
//!
//! The advertised capacity follows the target concurrency: the number of requests that keeps the cores and
//! the downstream calls busy without a long queue. It falls as the receive delay grows. Retry-After is the
//! time to drain the queue, randomized so that rejected callers don't return at the same moment. During a
//! shutdown health checks fail, no capacity is advertised, and Retry-After has its maximum.

use super::Policy;
use crate::outbox::BackendState;
use crate::*;

/// The target residence time is this many times the run time, so half of the requests may wait.
const RESIDENCE_FACTOR: f64 = 2.0;
/// Upper bound of the target residence time, as a fraction of the mean latency objective.
const MAX_RESIDENCE_FRACTION: f64 = 0.3;
/// A dominant class multiplies that bound by this, so that there are more requests to choose from.
const DOMINANT_RESIDENCE_FACTOR: f64 = 2.0;
/// Lower bound of the target concurrency per core with a dominant class, whatever its requests cost.
const DOMINANT_MIN_PER_CORE: f64 = 4.0;
/// Highest threshold advertised outside a shutdown.
const MAX_THRESHOLD: f64 = 0.5;
/// Lowest weight advertised outside a shutdown.
const MIN_WEIGHT: f64 = 0.1;
/// Credits are rounded to multiples of 1 / `CREDIT_STEPS`, so that they change less often.
const CREDIT_STEPS: f64 = 4.0;

impl Policy {
    /// The state to report to health checks and callers.
    pub(super) fn advertised_state(&self) -> BackendState {
        BackendState { healthy: self.shutdown.is_none(), capacity: self.advertised_capacity() }
    }

    /// The capacity in the callers' format; `None` if callers use none.
    fn advertised_capacity(&self) -> Option<f64> {
        let is_closed = self.shutdown.is_some();
        match self.settings.capacity_format {
            CapacityFormat::None => None,
            CapacityFormat::Threshold if is_closed => Some(1.0),
            _ if is_closed => Some(0.0),
            // 0 up to the target concurrency; 0.5 at twice the target, so that callers send half elsewhere.
            CapacityFormat::Threshold => Some(((self.occupancy() - 1.0) / 2.0).clamp(0.0, MAX_THRESHOLD)),
            // Full weight up to half of the target concurrency.
            CapacityFormat::Weight => Some((1.5 - self.occupancy()).clamp(MIN_WEIGHT, 1.0)),
            CapacityFormat::Credits => Some(self.credits()),
        }
    }

    /// Requests that each caller may have here: the target concurrency over the number of sending callers.
    /// At least 1, because a caller that sends nothing gets no responses and forgets the advertised credits.
    fn credits(&self) -> f64 {
        let caller_concurrency = self.target_concurrency() * self.learned.callers.same_caller_probability();
        ((caller_concurrency * CREDIT_STEPS).round() / CREDIT_STEPS).max(1.0)
    }

    /// The number of present requests divided by the target concurrency.
    fn occupancy(&self) -> f64 {
        let requests = self.requests.usage().started + self.requests.run_queue().len();
        requests / self.target_concurrency().max(1.0)
    }

    /// The number of requests that this backend should have (Little's law). It falls as the receive delay
    /// grows: reading costs core time even for rejected requests, so a rising delay means callers send too
    /// many, whatever the cause. Drawback: a short pause reduces it until the advertised capacity expires.
    fn target_concurrency(&self) -> f64 {
        let cores = self.profile.cores;
        let cost_secs = self.learned.costs.mean_cost_secs();
        let residence_secs = self.target_residence_secs(cost_secs);
        let min_per_core = if self.profile.has_dominant_class { DOMINANT_MIN_PER_CORE } else { 1.0 };
        let concurrency = (cores / cost_secs * residence_secs).max(cores * min_per_core);
        concurrency * (1.0 - self.receive_saturation())
    }

    /// The target time from arrival to response, in seconds.
    fn target_residence_secs(&self, cost_secs: f64) -> f64 {
        let max_residence_secs = self.profile.mean_objective_secs * MAX_RESIDENCE_FRACTION;
        if self.profile.has_dominant_class {
            return max_residence_secs * DOMINANT_RESIDENCE_FACTOR;
        }
        let run_secs = cost_secs + self.learned.costs.mean_wait_secs();
        (run_secs * RESIDENCE_FACTOR).min(max_residence_secs)
    }

    /// Retry-After of a rejection: the time to drain the queue. Zero with a dominant class, because
    /// callers that hold off would hold off its requests too.
    pub(super) fn retry_after(&mut self) -> Span {
        let longest = self.settings.max_retry_after;
        if self.shutdown.is_some() {
            return longest;
        }
        let queue_secs = self.queued_work_secs / self.profile.cores + self.learned.receive_delay.secs();
        let queue_secs = if self.profile.has_dominant_class { 0.0 } else { queue_secs };
        let spread = 0.5 + self.rng.unit();
        (Span::from_secs(queue_secs) * spread).min(longest)
    }
}
