//! Ranks arriving requests and recognizes duplicates.
//!
//! An arrival joins the run queue at a rate of utility over demand. A duplicate of a request that was or may
//! have been started is never executed again: it gets the response of the first. Any other request is
//! rejected at once if it is not prepaid, arrives after the grace of a shutdown, or needs an idempotency key
//! that doesn't fit in memory.

use super::final_response::RetryAdvice;
use super::learning::{LEARNING_GAIN, RECEIVE_DELAY_GAIN};
use super::Policy;
use crate::request::{Request, RequestState, RequestTimer};
use crate::*;

/// Fraction of the latency objective that a tier leaves to the tier below it; it uses the rest itself.
const TIER_OBJECTIVE_FRACTION: f64 = 1.0 / 3.0;
/// Lower bound of the expected work, in seconds.
const MIN_EXPECTED_WORK_SECS: f64 = 1e-6;

impl Policy {
    /// Queues an arriving request, coalesces it with the request that it duplicates, or rejects it.
    pub(super) fn request_arrived(&mut self, arrival: Arrival) {
        let id = arrival.request;
        let arrived_at = self.now - arrival.receive_delay;
        let request = self.rank_request(&arrival, arrived_at);
        let effect = request.effect;
        self.requests.insert_queued(id, request);
        self.learned.callers.observe(arrival.caller, LEARNING_GAIN);
        self.learned.receive_delay.observe(arrival.receive_delay, RECEIVE_DELAY_GAIN);
        // Duplicates come first: if the effect may have happened, a duplicate gets the response of that run
        // and is never executed again or rejected, even in a shutdown or if the duplicate is not prepaid.
        let is_duplicate = self.duplicates_started_request(arrival.duplicate, effect);
        if !arrival.prepaid && (effect == Effect::Idempotent || !is_duplicate) {
            let retry_after = self.settings.max_retry_after;
            return self.finish(id, Action::Reject { request: id, retry_after, no_retry: false });
        }
        if is_duplicate {
            self.requests[id].run.started = true;
            self.requests.set_state(id, RequestState::Coalesced);
            return self.check_deadlines(id);
        }
        if self.shutdown.is_some_and(|shutdown| arrived_at >= shutdown.admit_until) {
            return self.reject(id, RetryAdvice::Retry);
        }
        if !self.retain_key(id, arrival.coalescable, arrived_at) {
            return self.reject(id, RetryAdvice::Retry);
        }
        self.set_first_deadline_check(id);
    }

    /// Builds the request with its deadlines and rate.
    fn rank_request(&mut self, arrival: &Arrival, arrived_at: Instant) -> Request {
        let utility_fraction = arrival.tenant.map_or(1.0, |tenant| self.expected_utility_fraction(tenant));
        let class = &self.settings.classes[arrival.class];
        let deadline = self.response_deadline(arrival, arrived_at + class.deadline);
        let respond_by = arrived_at + self.remaining_objective(class.latency_objective, arrival.is_retry);
        let work = arrival.expected_work.map_or(1.0, |work| work.secs().max(MIN_EXPECTED_WORK_SECS));
        let demand = self.demand(arrival.class, work);
        let utility_factor = if self.settings.utility_per_work { work } else { 1.0 };
        let utility = class.utility * utility_fraction * utility_factor;
        // The random factor mixes rates within a factor of two. Without it, of two classes with almost equal
        // rates, overload would reject every request of the lower one.
        let rate = utility / demand * (1.0 + self.rng.unit());
        Request {
            class: arrival.class,
            effect: class.effect,
            tenant: arrival.tenant,
            is_retry: arrival.is_retry,
            memory_kb: arrival.memory_kb,
            work,
            demand,
            rate,
            respond_by: respond_by.min(deadline),
            deadline,
            notified_state: RequestState::Queued,
            response_owed: true,
            timer: RequestTimer { at: deadline, ..RequestTimer::default() },
            ..Request::default()
        }
    }

    /// The latest time for the response: a margin before the caller's deadline or the end of the process.
    fn response_deadline(&self, arrival: &Arrival, class_deadline: Instant) -> Instant {
        let margin = self.profile.response_margin();
        let deadline = arrival.deadline.unwrap_or(class_deadline) - margin;
        self.shutdown.map_or(deadline, |shutdown| deadline.min(shutdown.deadline - margin))
    }

    /// The latency objective left for this tier, less the time that a retry waited unread at other backends.
    fn remaining_objective(&self, objective: Span, is_retry: bool) -> Span {
        let elapsed = if is_retry { self.elapsed_before_retry() } else { Span::ZERO };
        objective * TIER_OBJECTIVE_FRACTION.powi(self.settings.tier_depth as i32) - elapsed
    }

    /// Whether an arrival duplicates a request that was started or may still be.
    fn duplicates_started_request(&self, duplicate: Duplicate, effect: Effect) -> bool {
        match duplicate {
            Duplicate::No => false,
            Duplicate::OfReleased => true,
            Duplicate::Of(_) if effect == Effect::Idempotent => true,
            Duplicate::Of(first) => self
                .requests
                .get(first)
                .is_some_and(|first| first.run.started || first.state != RequestState::Done),
        }
    }

    /// Retains the idempotency key by which duplicates of this request are recognized. Returns false if a
    /// required key doesn't fit in memory: a duplicate would look new, and both could run. An idempotent
    /// request that gets no key is still accepted; its response is not shared.
    fn retain_key(&mut self, id: RequestId, coalescable: bool, arrived_at: Instant) -> bool {
        let request = &self.requests[id];
        let coalescing_window = self.settings.coalescing_window;
        let shares_response =
            request.effect == Effect::Idempotent && coalescable && coalescing_window > Span::ZERO;
        if request.effect != Effect::Deduplicated && !shares_response {
            return true;
        }
        let class = &self.settings.classes[request.class];
        let key_window = class.deduplication_window + self.profile.response_margin();
        let retained_for = if shares_response { coalescing_window } else { key_window };
        let memory_kb = self.requests.usage().memory_kb + self.settings.idempotency_key_kb;
        let fits = memory_kb <= self.memory_limit_kb();
        if fits {
            self.requests.retain_key(id, arrived_at + retained_for);
        }
        fits || shares_response
    }
}
