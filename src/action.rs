//! What the host is to do: the output of the decisions, plain data.

use crate::request_id::RequestId;
use crate::time::Span;

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request, or resume a stopped one.
    Start(RequestId),
    /// Take a running request off the cores.
    Stop(RequestId),
    /// Final response: rejected. It had no effect: it was never started, or may be executed again.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the caller should stay away from this backend.
        retry_after: Span,
        /// Ask that it not be retried elsewhere.
        no_retry: bool,
    },
    /// Final response: failed, with no promise that it had no effect.
    Fail(RequestId),
    /// Let a request make its downstream call.
    Call {
        /// The request.
        request: RequestId,
        /// The call's timeout.
        timeout: Span,
    },
    /// Leave the call out and finish with a degraded response.
    Degrade(RequestId),
    /// Answer a queued request with the response of the one it duplicates.
    Coalesce(RequestId),
    /// Retain the request's idempotency key for so long.
    RetainKey(RequestId, Span),
    /// Release the request's idempotency key.
    ReleaseKey(RequestId),
    /// What health checks report from now on, answered cheaply.
    SetHealth(bool),
    /// The capacity that responses advertise from now on.
    AdvertiseCapacity(f64),
    /// Close the connections that have been idle for so long.
    CloseIdleConnections(Span),
    /// Set the one timer.
    SetTimer(Span),
    /// A line for the log.
    Log(String),
    /// The request's index is free again. For the host's id table; nothing goes out.
    ReleaseId(RequestId),
}
