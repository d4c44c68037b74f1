//! Requests that were read, and callers that no longer wait.

use super::executor::RequestWork;
use super::EventLoop;
use crate::http::ReceivedRequest;
use crate::idempotency::{request_identity, RequestIdentity};
use crate::messages::{ConnectionCommand, ConnectionHandle, RequestRead};
use lynxtally::{Effect, Instant, Span};
use lynxtally_engine::{FinalResponse, IncomingRequest, Rejection, RejectionReason};
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
            "request read"
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

    /// Answers a request that the engine did not accept.
    ///
    /// "Rejected" promises that the request was not executed. That is true before the executor is up. Under an id that
    /// is in use, this request can't be told from the one that has it, which may run: for a request with effects, the
    /// response must not promise what could be taken for the other's.
    fn respond_to_rejection(&self, id: &str, effect: Effect, rejection: &Rejection<ConnectionHandle>) {
        let reason = rejection.reason;
        if self.counters.requests_refused.get() == 0 {
            warn!(id, ?reason, "a request was not accepted; later ones are only counted");
        }
        self.counters.requests_refused.increment();
        let was_not_executed = match reason {
            RejectionReason::NotReady => true,
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

    /// The connection of a request ended so that its caller no longer waits.
    pub(super) fn client_disconnected(
        &mut self,
        now: Instant,
        id: &str,
        connection: &ConnectionHandle,
        reason: CloseReason,
    ) {
        let Some(request) = self.engine.find(id) else { return };
        // A request on another connection may have the same id.
        if self.engine.caller_gone(now, request, |own| Arc::ptr_eq(own, connection)) {
            debug!(id, %reason, "caller gone");
            self.counters.client_disconnected.increment();
            self.counters.in_flight.decrement();
        }
    }
}

/// A request in the engine's terms.
fn incoming_request(now: Instant, request: &ReceivedRequest, identity: RequestIdentity) -> IncomingRequest {
    IncomingRequest {
        class: request.class,
        tenant: request.tenant,
        caller: request.client,
        expected_work: request.expected_work_ms.map(|work| Span::from_secs(work / 1000.0)),
        deadline: request.deadline_ms.map(|deadline| Instant::from_micros(deadline * 1000)),
        is_retry: request.is_retry,
        receive_delay: now - Instant::from_micros(request.arrived_ms.saturating_mul(1000)),
        idempotency_key: identity.key,
        fingerprint: identity.fingerprint,
        coalescable: request.subject.is_some(),
        memory_kb: request.memory_kb,
    }
}
