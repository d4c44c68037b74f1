//! The interface through which the engine runs requests, and how their runs end.

use lynxtally::{RequestId, Span};

/// Starts, stops and resumes runs. Their ends come back through [`crate::Engine::run_ended`]. `W` is what the executor
/// keeps of a request.
pub trait Executor<ExecutorState> {
    /// Starts a request, or resumes it where it was stopped and kept its progress.
    fn start(&mut self, request: RequestId, executor_state: &mut ExecutorState);
    /// Takes a running request off the cores.
    fn stop(&mut self, request: RequestId, executor_state: &mut ExecutorState);
    /// Starts a request's downstream call; false where none can be made, so that it is not executed.
    fn start_call(
        &mut self,
        request: RequestId,
        executor_state: &mut ExecutorState,
        number: u64,
        timeout: Span,
    ) -> bool;
    /// Cancels the call with this number; its end is still reported.
    fn cancel_call(&mut self, executor_state: &mut ExecutorState, number: u64);
    /// Has a request finish without its call.
    fn degrade(&mut self, _request: RequestId, _executor_state: &mut ExecutorState) {}
    /// Asks for the gauges, to be reported by [`crate::Engine::update_gauges`].
    fn request_gauges(&mut self) {}
    /// The scheduler's timer fired.
    fn on_timer(&mut self) {}
    /// The request is over: nothing more is reported of it, and its id may be given to another.
    fn release(&mut self, _request: RequestId, _executor_state: ExecutorState) {}
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// Successfully, with this result.
    Completed(Vec<u8>),
    /// With an error.
    Failed,
    /// It was stopped, or ended because nobody waits.
    Stopped,
    /// Nothing was started.
    NotStarted,
    /// Nobody was available to execute it, and nothing of it was done: it may be retried after so long.
    Unavailable(Span),
}
