//! Is the call timed out, retried or left out?
//!
//! The rule: a call that may be made again is timed out after several times the usual time, longer at each
//! attempt; any other after all the time that its request has. A failed call is retried where that is
//! harmless, because its request is idempotent or the call was never executed, and until it had its attempts;
//! a rejected one costs far less than the run that it would waste, and does not count. A call that can't be
//! had is left out where the class allows a degraded response; else its request fails.

use super::call_window::SLOW_CALL_FACTOR;
use super::Policy;
use crate::request::{Request, RequestState};
use crate::*;

/// Attempts of one call at most that may have been executed.
const MAX_CALL_ATTEMPTS: u32 = 3;

impl Request {
    /// Whether its call, which failed with this outcome, may be made again.
    pub(super) fn may_retry_call(&self, outcome: CallOutcome) -> bool {
        let harmless = self.effect == Effect::Idempotent || outcome == CallOutcome::NotExecuted;
        harmless && self.call.attempts < MAX_CALL_ATTEMPTS
    }

    /// Whether a call that goes now may be made again if it times out.
    fn has_call_retry_left(&self) -> bool {
        self.effect == Effect::Idempotent && self.call.attempts + 1 < MAX_CALL_ATTEMPTS
    }
}

impl Policy {
    /// The time that a request has for a call: until its response earns nothing more.
    pub(super) fn time_for_call(&self, id: RequestId) -> Span {
        let request = &self.requests[id];
        let late_fraction = self.settings.classes[request.class].late_utility_fraction;
        let until = if late_fraction > 0.0 { request.deadline } else { request.respond_by };
        until - self.now
    }

    /// The timeout of a call before the budget is asked. Catches lost and endless replies, which show as runs
    /// and places in the window held for all the time left; harms where calls suddenly take far longer.
    pub(super) fn call_timeout(&self, id: RequestId) -> Span {
        let request = &self.requests[id];
        let time_left = self.time_for_call(id);
        // Twice what counts as slow at the first attempt, and twice as long at each further one.
        let growth = f64::from(2 << request.call.attempts);
        let usual_secs = self.call_window.usual_call_secs;
        let patience = Span::from_secs(usual_secs * SLOW_CALL_FACTOR * growth);
        if request.has_call_retry_left() && patience > Span::ZERO {
            time_left.min(patience.max(self.profile.timer_period))
        } else {
            time_left
        }
    }

    /// A call can't be had: the request goes on without it for a degraded response, or fails.
    pub(super) fn leave_call_out(&mut self, id: RequestId) {
        let class = &self.settings.classes[self.requests[id].class];
        if class.degraded_utility_fraction > 0.0 {
            self.requests.set_state(id, RequestState::Running);
            self.check_deadlines(id);
        } else {
            self.finish(id, Action::Fail(id));
        }
    }
}
