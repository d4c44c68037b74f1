//! Submits received requests to the engine and handles clients that disconnect.

use super::executor::RequestWork;
use super::EventLoop;
use crate::http::ReceivedRequest;
use crate::idempotency::request_identity;
use crate::messages::{ConnectionCommand, ConnectionHandle, RequestRead};
use lynxtally::{Effect, Instant, Span};
use lynxtally_engine::{FinalResponse, IncomingRequest, Rejection, RejectionReason, RequestIdentity};
use lynxtally_net::close_reason::CloseReason;
use std::sync::Arc;
use tracing::{debug, warn};

impl EventLoop {
    /// Submits a request to the engine.
    pub(super) fn request_read(&mut self, now: Instant, read: RequestRead) {
        let RequestRead { request, connection } = read;
        self.counters.requests.increment(request.class);
        let settings = &self.config.backend.settings;
        let effect = settings.classes[request.class].effect;
        let identity = request_identity(&request, effect, settings.coalescing_window);
        let incoming = incoming_request(now, &request, identity);
        debug!(
            id = request.id,
            class = request.class,
            client = request.client,
            is_retry = request.is_retry,
            receive_delay_ms = incoming.receive_delay.micros() / 1000,
            "submitting a request to the engine"
        );
        let id = request.id.clone();
        let work = RequestWork {
            id: request.id,
            class: request.class,
            body: request.body,
            ..RequestWork::default()
        };
        match self.engine.submit(now, Some(&id), incoming, work, connection) {
            Ok(_) => self.counters.in_flight.increment(),
            Err(rejection) => self.respond_to_rejection(&id, effect, &rejection),
        }
    }

    /// Answers a request that the engine rejected.
    ///
    /// The response `Rejected` guarantees that the request was not executed. It is given if the engine is not ready,
    /// because it then executes nothing, or if too many keys are remembered. If the id is in use, the client can't
    /// distinguish this request from the other one with the same id, which may be running or may have been executed. Unless the request is idempotent, it is then answered with `Failed`,
    /// because the client could apply the guarantee to the open request. For a similar reason, `Failed` is the answer
    /// if the idempotency key belongs to another request.
    fn respond_to_rejection(&self, id: &str, effect: Effect, rejection: &Rejection<ConnectionHandle>) {
        let reason = rejection.reason;
        if self.counters.requests_refused.get() == 0 {
            warn!(
                id,
                ?reason,
                "engine rejected a request on submission; further ones are counted, not logged"
            );
        }
        self.counters.requests_refused.increment();
        let was_not_executed = match reason {
            RejectionReason::NotReady | RejectionReason::TooManyKeys => true,
            RejectionReason::NameInUse => effect == Effect::Idempotent,
            RejectionReason::KeyConflict => false,
        };
        let response = if was_not_executed {
            self.counters.rejected.increment();
            FinalResponse::Rejected { retry_after: Span::ZERO, no_retry: false }
        } else {
            self.counters.failed.increment();
            FinalResponse::Failed
        };
        rejection.reply_to.push(ConnectionCommand::Respond(response));
    }

    /// Tells the engine that the client of an open request no longer waits for the response.
    pub(super) fn client_disconnected(
        &mut self,
        now: Instant,
        id: &str,
        connection: &ConnectionHandle,
        reason: CloseReason,
    ) {
        let Some(request) = self.engine.find(id) else { return };
        // The open request with this id may belong to another connection.
        if self.engine.caller_gone(now, request, |reply_to| Arc::ptr_eq(reply_to, connection)) {
            debug!(id, %reason, "client disconnected before its response");
            self.counters.client_disconnected.increment();
            self.counters.in_flight.decrement();
        }
    }
}

/// Converts a request to the form that the engine takes.
fn incoming_request(
    now: Instant,
    request: &ReceivedRequest,
    identity: Option<RequestIdentity>,
) -> IncomingRequest {
    IncomingRequest {
        class: request.class,
        tenant: request.tenant,
        caller: request.client,
        expected_work: request.expected_work_ms.map(|work| Span::from_secs(work / 1000.0)),
        deadline: request.deadline_ms.map(|deadline| Instant::from_micros(deadline * 1000)),
        is_retry: request.is_retry,
        receive_delay: now - Instant::from_micros(request.arrived_ms.saturating_mul(1000)),
        identity,
        coalescable: request.subject.is_some(),
        memory_kb: request.memory_kb,
    }
}
