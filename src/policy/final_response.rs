//! The final response of each request, exactly one.
//!
//! A request that was never started or is idempotent may be rejected, so that its caller may try elsewhere.
//! Once its effect may have happened it can only fail. A caller that is gone gets no response.

use super::Policy;
use crate::request::RequestState;
use crate::*;

/// Whether a rejected caller should try another backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryAdvice {
    Retry,
    NoRetry,
}

impl Policy {
    /// Rejects a request with the current Retry-After.
    pub(super) fn reject(&mut self, id: RequestId, advice: RetryAdvice) {
        let retry_after = self.retry_after();
        let no_retry = advice == RetryAdvice::NoRetry;
        self.finish(id, Action::Reject { request: id, retry_after, no_retry });
    }

    /// Gives a request its final response if it has none yet. A run that can't be stopped goes on.
    pub(super) fn finish(&mut self, id: RequestId, response: Action) {
        let request = &mut self.requests[id];
        let may_have_had_effect = request.run.started && request.effect != Effect::Idempotent;
        let response = if may_have_had_effect { Action::Fail(id) } else { response };
        request.response.get_or_insert(response);
        let state = request.state;
        if let Some(tenant) = request.tenant.take_if(|_| !request.run.started) {
            self.learned.tenants.uncount(tenant);
        }
        if self.requests.leave_queue(id) {
            return;
        }
        if state == RequestState::Running && self.settings.stoppable {
            self.requests.set_state(id, RequestState::Finishing);
        } else {
            self.requests.mark_changed(id);
        }
    }

    /// Handles a caller that stopped waiting. A request that was not started ends. A run goes on, because
    /// duplicates may get its result, unless it waits for a call: the call is not made, and the
    /// executor ends the run.
    pub(super) fn caller_gone(&mut self, id: RequestId) {
        self.requests[id].response_owed = false;
        self.requests.leave_queue(id);
    }

    /// Handles the end of a run. The request fails if a response is still owed. A call in flight counts as
    /// cancelled.
    pub(super) fn run_ended(&mut self, id: RequestId, outcome: RunOutcome) {
        let has_responded = outcome == RunOutcome::Responded;
        let request = &mut self.requests[id];
        let is_measured = has_responded && request.state == RequestState::Running;
        if has_responded {
            request.response_owed = false;
        }
        if request.state == RequestState::Calling {
            self.call_budget.usage.call_cancelled(self.now);
        }
        self.requests.set_known_state(id, RequestState::Done);
        self.finish(id, Action::Fail(id));
        if is_measured {
            self.learn_from_run(id);
        }
    }
}
