//! Timeouts and retries of downstream calls.
//!
//! A call that may be retried times out after a multiple of the usual call time, doubled at each attempt;
//! any other call gets all the time that its request has. A failed call is retried if its request is
//! idempotent or the call was not executed, up to the attempt limit. A rejected call does not count as
//! an attempt: repeating it costs far less than failing the request, which would waste the work of its
//! run so far. If a call can't be made, its request is degraded or fails.

use super::call_window::SLOW_CALL_FACTOR;
use super::Policy;
use crate::request::{Request, RequestState};
use crate::*;

/// Maximum number of attempts of one call that may have been executed.
const MAX_CALL_ATTEMPTS: u32 = 3;

impl Request {
    /// Whether the call may be retried after it failed with this outcome.
    pub(super) fn may_retry_call(&self, outcome: CallOutcome) -> bool {
        let harmless = self.effect == Effect::Idempotent || outcome == CallOutcome::NotExecuted;
        harmless && self.call.attempts < MAX_CALL_ATTEMPTS
    }

    /// Whether a call that starts now may be retried if it times out.
    fn has_call_retry_left(&self) -> bool {
        self.effect == Effect::Idempotent && self.call.attempts + 1 < MAX_CALL_ATTEMPTS
    }
}

impl Policy {
    /// The time that a request has for a call: until its response earns no more utility.
    pub(super) fn time_for_call(&self, id: RequestId) -> Span {
        let request = &self.requests[id];
        let late_fraction = self.settings.classes[request.class].late_utility_fraction;
        let until = if late_fraction > 0.0 { request.deadline } else { request.respond_by };
        until - self.now
    }

    /// The timeout of a call before the budget applies. Without it, a lost or endless response would hold the
    /// run and its place in the call window for all the time left. Drawback: calls that suddenly slow down
    /// fail.
    pub(super) fn call_timeout(&self, id: RequestId) -> Span {
        let request = &self.requests[id];
        let time_left = self.time_for_call(id);
        // At the first attempt, twice the time after which a failed call is a sign of overload; doubled at
        // each further attempt.
        let growth = f64::from(2 << request.call.attempts);
        let usual_secs = self.call_window.usual_call_secs;
        let attempt_timeout = Span::from_secs(usual_secs * SLOW_CALL_FACTOR * growth);
        if request.has_call_retry_left() && attempt_timeout > Span::ZERO {
            time_left.min(attempt_timeout.max(self.profile.timer_period))
        } else {
            time_left
        }
    }

    /// Skips a call that can't be made: the request gets a degraded response, or fails if its class has none.
    pub(super) fn skip_call(&mut self, id: RequestId) {
        let class = &self.settings.classes[self.requests[id].class];
        if class.degraded_utility_fraction > 0.0 {
            self.requests.set_state(id, RequestState::Running);
            self.check_deadlines(id);
        } else {
            self.finish(id, Action::Fail(id));
        }
    }
}
