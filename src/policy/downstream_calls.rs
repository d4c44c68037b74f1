//! May this downstream call go now?
//!
//! The rule: calls that wait go in the order of their requests' rates, as far as three bounds allow: the
//! concurrency window, which follows what the dependency bears (see `call_window`); the budget, this
//! backend's share of what the dependency survives (see `call_budget`); and a pause after the dependency
//! rejected everything.

use super::learning::UNSEEN_COST_FRACTION;
use super::Policy;
use crate::request::RequestState;
use crate::*;

/// A call goes only where the budget has room for this many times its usual length.
const CALL_HEADROOM: f64 = 2.0;

impl Policy {
    /// A request waits to make a call, or to make it again.
    pub(super) fn queue_call(&mut self, id: RequestId) {
        self.call_budget.usage.call_requested();
        self.requests.set_known_state(id, RequestState::AwaitingCall);
        let give_up_at = self.now + self.time_for_call(id);
        self.requests.set_timer(id, self.now, give_up_at);
    }

    /// Starts calls, the highest rate first, as far as the bounds allow.
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

    /// Starts a call, which counts until it must have ended downstream even if it is cancelled.
    fn start_call(&mut self, id: RequestId, timeout: Span) {
        let call = &mut self.requests[id].call;
        call.started_at = self.now;
        call.ends_by = self.now + timeout + self.call_budget.usage.cancellation_lag();
        self.call_budget.usage.call_started();
        self.requests.set_state(id, RequestState::Calling);
    }

    /// The timeout of a call that goes now; none where the budget has no room and it has to wait.
    fn budgeted_call_timeout(&mut self, id: RequestId) -> Option<Span> {
        let timeout = self.call_timeout(id);
        let usual_secs = self.call_window.usual_call_secs;
        let unseen_secs = self.profile.mean_objective_secs * UNSEEN_COST_FRACTION;
        let headroom_secs = if usual_secs > 0.0 { usual_secs * CALL_HEADROOM } else { unseen_secs };
        let needed = timeout.min(Span::from_secs(headroom_secs).max(self.profile.timer_period));
        let committed_secs = self.requests.remaining_call_secs(self.now);
        self.call_budget.timeout(self.now, timeout, needed, committed_secs)
    }

    /// A call ended: the bounds learn from it, and its request goes on, waits to retry, or is answered.
    pub(super) fn call_ended(&mut self, id: RequestId, outcome: CallOutcome) {
        let request = &mut self.requests[id];
        if request.state != RequestState::Calling {
            return;
        }
        let took = self.now - request.call.started_at;
        if outcome == CallOutcome::Succeeded {
            request.call.attempts = 0;
            self.call_window.call_succeeded(took);
            return self.requests.set_known_state(id, RequestState::Running);
        }
        if outcome == CallOutcome::MaybeExecuted {
            request.call.attempts += 1;
        }
        self.learn_from_failed_call(took, outcome);
        self.queue_call(id); // In any case: also a call that is not retried counts as demand for calls.
        let request = &self.requests[id];
        if !request.response_owed {
            self.requests.set_known_state(id, RequestState::Finishing);
        } else if !request.may_retry_call(outcome) {
            self.leave_call_out(id);
        }
    }

    /// Lets the bounds learn from a failed call. What is not shared is paced by the window alone.
    fn learn_from_failed_call(&mut self, took: Span, outcome: CallOutcome) {
        self.call_window.call_failed(self.now, took, outcome);
        if outcome == CallOutcome::MaybeExecuted {
            self.call_budget.usage.call_cancelled(self.now);
        } else if matches!(self.settings.downstream, Downstream::Shared { .. }) {
            self.call_window.pause_if_closed(self.now + self.profile.timer_period);
        }
    }
}
