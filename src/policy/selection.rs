//! Starts queued requests.
//!
//! This is the greedy selection of the SLICE paper (docs/design.md): in the order of their rates, utility
//! over demand, queued requests start until one doesn't fit under the learned throughput or is more than
//! the machine can take (`capacity`). One that is not expected to respond in time is rejected or demoted
//! instead (`deadline`). If the queue itself exceeds the memory, the lowest rates are rejected.

use super::final_response::RetryAdvice;
use super::Policy;
use crate::request::RequestState;
use crate::*;

impl Policy {
    /// Starts queued requests as long as they fit, and bounds the memory of the queue.
    pub(super) fn select_requests(&mut self) {
        while let Some(id) = self.requests.run_queue().highest() {
            if self.now >= self.start_cutoff(id) {
                self.reject_or_demote(id, RetryAdvice::NoRetry);
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

    /// When a queued request may no longer start. If every request finds a free core, even one that is
    /// expected to be late costs the others nothing, and may start as long as its response is wanted.
    fn start_cutoff(&self, id: RequestId) -> Instant {
        let request = &self.requests[id];
        let wanted_cores = self.requests.usage().running + self.requests.run_queue().len();
        if wanted_cores <= self.profile.cores {
            request.respond_by
        } else {
            self.latest_start(request)
        }
    }

    pub(super) fn start(&mut self, id: RequestId) {
        self.requests.set_state(id, RequestState::Running);
        let run = &mut self.requests[id].run;
        run.started = true;
        run.started_at = self.now;
        self.check_deadlines(id);
    }
}
