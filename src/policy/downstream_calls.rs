//! Starts downstream calls.
//!
//! Waiting calls start in the order of their requests' rates, within three bounds: the call window, which
//! follows signs of overload (`call_window`); the budget, this backend's share of the calls that the
//! dependency can take (`call_budget`); and, at the smallest window, a pause after a call that was rejected.

use super::learning::UNOBSERVED_COST_FRACTION;
use super::Policy;
use crate::request::RequestState;
use crate::*;

/// A call starts only if the budget has room for this many times the usual call time.
const CALL_HEADROOM: f64 = 2.0;

impl Policy {
    /// Queues a request to make its call, or to retry it.
    pub(super) fn queue_call(&mut self, id: RequestId) {
        self.call_budget.usage.call_requested();
        self.requests.set_known_state(id, RequestState::AwaitingCall);
        let expires_at = self.now + self.time_for_call(id);
        self.requests.set_timer(id, self.now, expires_at);
    }

    /// Starts queued calls within the bounds, the highest rate first.
    pub(super) fn start_queued_calls(&mut self) {
        if self.call_window.is_paused(self.now) {
            return;
        }
        let limit = self.call_budget.concurrency(self.now);
        while let Some(id) = self.requests.call_queue().highest() {
            let in_flight = self.requests.usage().calls;
            let is_budget_used_up = in_flight + limit.cancelled >= limit.max_in_flight;
            let max_in_flight = self.call_window.size.min(limit.max_in_flight);
            if is_budget_used_up || in_flight + 1.0 > max_in_flight {
                break;
            }
            let Some(timeout) = self.budgeted_call_timeout(id) else { break };
            self.start_call(id, timeout);
        }
    }

    /// Starts a call. It counts as in use until its latest possible end downstream, even if it is cancelled.
    fn start_call(&mut self, id: RequestId, timeout: Span) {
        let call = &mut self.requests[id].call;
        call.started_at = self.now;
        call.ends_by = self.now + timeout + self.call_budget.usage.cancellation_lag();
        self.call_budget.usage.call_started();
        self.requests.set_state(id, RequestState::Calling);
    }

    /// The timeout of a call that starts now; `None` if the budget has no room and the call has to wait.
    fn budgeted_call_timeout(&mut self, id: RequestId) -> Option<Span> {
        let timeout = self.call_timeout(id);
        let usual_secs = self.call_window.usual_call_secs;
        let unobserved_secs = self.profile.mean_objective_secs * UNOBSERVED_COST_FRACTION;
        let headroom_secs = if usual_secs > 0.0 { usual_secs * CALL_HEADROOM } else { unobserved_secs };
        let needed = timeout.min(Span::from_secs(headroom_secs).max(self.profile.timer_period));
        let committed_secs = self.requests.remaining_call_secs(self.now);
        self.call_budget.timeout(self.now, timeout, needed, committed_secs)
    }

    /// Handles the end of a call: updates the bounds, then resumes the request, retries or skips the call.
    pub(super) fn call_ended(&mut self, id: RequestId, outcome: CallOutcome) {
        let request = &mut self.requests[id];
        if request.state != RequestState::Calling {
            return;
        }
        let duration = self.now - request.call.started_at;
        if outcome == CallOutcome::Succeeded {
            request.call.attempts = 0;
            self.call_window.call_succeeded(duration);
            return self.requests.set_known_state(id, RequestState::Running);
        }
        if outcome == CallOutcome::MaybeExecuted {
            request.call.attempts += 1;
        }
        self.learn_from_failed_call(duration, outcome);
        self.queue_call(id); // Even a call that is not retried counts as requested.
        let request = &self.requests[id];
        if !request.response_owed {
            self.requests.set_known_state(id, RequestState::Finishing);
        } else if !request.may_retry_call(outcome) {
            self.skip_call(id);
        }
    }

    /// Updates the bounds with a failed call. If no dependency is shared, the window alone limits the rate.
    fn learn_from_failed_call(&mut self, duration: Span, outcome: CallOutcome) {
        self.call_window.call_failed(self.now, duration, outcome);
        if outcome == CallOutcome::MaybeExecuted {
            self.call_budget.usage.call_cancelled(self.now);
        } else if matches!(self.settings.downstream, Downstream::Shared { .. }) {
            self.call_window.pause_if_minimal(self.now + self.profile.timer_period);
        }
    }
}
