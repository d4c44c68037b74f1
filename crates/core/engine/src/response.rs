//! Final responses and the interface through which a frontend delivers them.

use lynxtally::Span;

/// The final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The result that its run made, unchanged.
    Completed(Vec<u8>),
    /// It had no effect: it was never started, or it is idempotent. The caller may send it elsewhere.
    Rejected {
        /// How long the caller should stay away.
        retry_after: Span,
        /// Asks that it not be retried elsewhere.
        no_retry: bool,
    },
    /// Failed, with no promise that it had no effect.
    Failed,
}

/// Delivers final responses, and reports the state of this backend to callers. `F` identifies where a response is
/// awaited, such as a connection.
pub trait Responder<ReplyTo> {
    /// Delivers the one final response; false where nobody takes it any more.
    fn respond(&mut self, reply_to: ReplyTo, response: FinalResponse) -> bool;
    /// What health checks report from now on.
    fn set_health(&mut self, _healthy: bool) {}
    /// The capacity that responses advertise from now on.
    fn advertise_capacity(&mut self, _capacity: f64) {}
    /// Connections that have been idle for so long are to be closed.
    fn close_idle_connections(&mut self, _idle_for: Span) {}
    /// A line for the log.
    fn log(&mut self, _text: &str) {}
}
