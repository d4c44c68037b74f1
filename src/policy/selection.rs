//! May this request start?
//!
//! The rule is the greedy selection of the SLICE paper (docs/design.md cites it): queued requests stand in
//! the order of their rates, utility over demand, and the highest start until one no longer fits under the
//! learned throughput, or the machine would not survive it (see `capacity`). One that is not expected to
//! respond in time is given up in place of being started (see `deadline`). Where the queue itself exceeds the
//! memory, the lowest rates are rejected.

use super::final_response::RetryAdvice;
use super::Policy;
use crate::request::RequestState;
use crate::*;

impl Policy {
    /// Starts queued requests as far as they fit, and bounds the queue's memory.
    pub(super) fn select_requests(&mut self) {
        while let Some(id) = self.requests.run_queue().highest() {
            if self.now >= self.last_useful_start(id) {
                self.give_up_or_demote(id, RetryAdvice::NoRetry);
                continue;
            }
            let request = &self.requests[id];
            if !self.fits_throughput(request.demand) || !self.is_safe_to_start(request.memory_kb) {
                break;
            }
            self.start(id);
        }
        while self.requests.usage().memory_kb > self.memory_limit_kb() {
            let Some(id) = self.requests.run_queue().lowest() else { break };
            self.reject(id, RetryAdvice::Retry);
        }
    }

    /// The latest useful start of a queued request. Where every one finds a free core, even a long shot costs
    /// nobody anything; it is tried for as long as its response is wanted.
    fn last_useful_start(&self, id: RequestId) -> Instant {
        let request = &self.requests[id];
        let wanted_cores = self.requests.usage().running + self.requests.run_queue().len();
        if wanted_cores <= self.profile.cores {
            request.respond_by
        } else {
            self.refusal_time(request)
        }
    }

    /// Starts a queued request.
    pub(super) fn start(&mut self, id: RequestId) {
        self.requests.set_state(id, RequestState::Running);
        let run = &mut self.requests[id].run;
        run.started = true;
        run.started_at = self.now;
        self.check_deadlines(id);
    }
}
