//! Handles the ends of downstream calls.

use super::EventLoop;
use crate::executor_link::Command;
use crate::messages::CallEnd;
use lynxtally::{CallOutcome, Instant};
use tracing::debug;

impl EventLoop {
    /// Counts the end of a call, and forwards a successful response to the run that waits for it. A call that was
    /// cancelled in the meantime is only counted.
    pub(super) fn call_ended(&mut self, now: Instant, id: &str, number: u64, end: CallEnd) {
        let outcome = end.outcome();
        match outcome {
            CallOutcome::Succeeded => self.counters.calls_succeeded.increment(),
            CallOutcome::NotExecuted => self.counters.calls_not_executed.increment(),
            CallOutcome::MaybeExecuted => self.counters.calls_maybe_executed.increment(),
        }
        let Some(request) = self.engine.find(id) else { return };
        if !self.engine.call_ended(now, request, number, outcome) {
            return;
        }
        debug!(id, ?outcome, "call ended");
        let Some(work) = self.engine.executor_state(request) else { return };
        work.call = None;
        if let CallEnd::Response(response) = end {
            if outcome == CallOutcome::Succeeded {
                let response = Command::CallResponse { id: id.to_owned(), body: response.body };
                self.executor.send(work, response);
            }
        }
    }
}
