//! Actions: what a [`Policy`](crate::Policy) returns for the host to carry out.
//!
//! The host is the program that embeds the policy. Actions are plain data and have to be carried out in the order in
//! which they are returned.

use crate::request_id::RequestId;
use crate::time::Span;

/// What the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request, or resume a stopped one.
    Start(RequestId),
    /// Stop a running request, so that it uses no core.
    Stop(RequestId),
    /// Send the final response that the request was rejected. The caller may send it again elsewhere: it was never
    /// started, or may be executed again.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the caller should send nothing to this backend.
        retry_after: Span,
        /// Whether the response asks the caller not to retry at another backend.
        no_retry: bool,
    },
    /// Send the final response that the request failed. Its effect may have happened.
    Fail(RequestId),
    /// Let a request make its downstream call.
    Call {
        /// The request.
        request: RequestId,
        /// The call's timeout.
        timeout: Span,
    },
    /// Let a request skip its downstream call and finish with a degraded response.
    Degrade(RequestId),
    /// Answer a queued request with the response of the request that it duplicates.
    Coalesce(RequestId),
    /// Retain the request's idempotency key for this long.
    RetainKey(RequestId, Span),
    /// Release the request's idempotency key.
    ReleaseKey(RequestId),
    /// Set the result of health checks. The host answers them itself, at little cost.
    SetHealth(bool),
    /// Set the capacity that responses advertise.
    AdvertiseCapacity(f64),
    /// Close the connections that have been idle for at least this long.
    CloseIdleConnections(Span),
    /// Set the policy's only timer; when it fires, the host passes [`Event::TimerFired`](crate::Event::TimerFired).
    SetTimer(Span),
    /// Write a line to the log.
    Log(String),
    /// Return the request's index to the [`RequestIdTable`](crate::RequestIdTable). Until then no other request may
    /// use the index. Nothing is sent to the caller.
    ReleaseId(RequestId),
}
