//! The interface through which the engine runs requests, and the ways in which a run can end.

use lynxtally::{RequestId, Span};

/// Starts, stops and resumes runs. The driver reports the end of each run with [`crate::Engine::run_ended`].
/// `ExecutorState` is what the executor stores with each open request.
pub trait Executor<ExecutorState> {
    /// Starts the run of a request, or resumes a run that was stopped and kept its progress.
    fn start(&mut self, request: RequestId, executor_state: &mut ExecutorState);
    /// Stops the run of a request, so that it uses no core any more.
    fn stop(&mut self, request: RequestId, executor_state: &mut ExecutorState);
    /// Starts the downstream call of a request. Returns false if the call can't be sent; it was then not executed.
    fn start_call(
        &mut self,
        request: RequestId,
        executor_state: &mut ExecutorState,
        number: u64,
        timeout: Span,
    ) -> bool;
    /// Cancels the call with this number. The driver still reports its end with [`crate::Engine::call_ended`].
    fn cancel_call(&mut self, executor_state: &mut ExecutorState, number: u64);
    /// Lets a running request finish with a degraded response, without its downstream call.
    fn degrade(&mut self, _request: RequestId, _executor_state: &mut ExecutorState) {}
    /// Receives the content of a request that will not be run, because it may be a duplicate. The driver reports the
    /// content with [`crate::Engine::content_received`]. Only called for requests whose content was pending when they
    /// were submitted.
    fn receive_content(&mut self, _request: RequestId, _executor_state: &mut ExecutorState) {}
    /// Requests a measurement of the gauges, which the driver reports with [`crate::Engine::update_gauges`].
    fn request_gauges(&mut self) {}
    /// Called each time the scheduler's timer expires.
    fn on_timer(&mut self) {}
    /// Drops the state of a request that has ended. Its id may be assigned to another request from now on.
    fn release(&mut self, _request: RequestId, _executor_state: ExecutorState) {}
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// The run succeeded with this result.
    Completed(Vec<u8>),
    /// The run ended with an error.
    Failed,
    /// The run was stopped, or ended itself because no caller waits for the response.
    Stopped,
    /// The run was never started.
    NotStarted,
    /// No executor was available, so nothing was executed. The request may be retried after this time.
    Unavailable(Span),
}
