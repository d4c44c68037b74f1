//! Final responses, and the interface through which a frontend delivers them.

use lynxtally::Span;

/// The final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The request was executed; this is the result of its run, unchanged.
    Completed(Vec<u8>),
    /// The request had no effect: it was never started, or it is idempotent. The caller may send it to another backend.
    Rejected {
        /// How long the caller should wait before it sends another request to this backend.
        retry_after: Span,
        /// Asks the caller not to retry the request on another backend.
        no_retry: bool,
    },
    /// The request failed. It may have had an effect.
    Failed,
    /// The request was not executed, because it duplicates an earlier one. That one may have had an effect, and there is no
    /// result to give.
    WithoutResult,
    /// The request was not executed, because its idempotency key belongs to a request with other content. That one may
    /// have had an effect.
    KeyConflict,
}

/// Delivers final responses and reports the state of this backend to callers. Implemented by a frontend. `ReplyTo`
/// identifies where a response is awaited, such as a connection.
pub trait Responder<ReplyTo> {
    /// Delivers the final response to a request. Returns false if the caller can't be reached any more.
    fn respond(&mut self, reply_to: ReplyTo, response: FinalResponse) -> bool;
    /// Sets what health checks report from now on.
    fn set_health(&mut self, _healthy: bool) {}
    /// Sets the capacity that responses advertise from now on.
    fn advertise_capacity(&mut self, _capacity: f64) {}
    /// Closes the connections that have been idle for at least this long.
    fn close_idle_connections(&mut self, _idle_for: Span) {}
    /// Writes a line of the scheduler to the log.
    fn log(&mut self, _text: &str) {}
}
