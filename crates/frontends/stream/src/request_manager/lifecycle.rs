//! A request from its submission to the end of its run.

use super::{RequestHandle, RequestManager};
use lynxtally::{Effect, Instant, Span};
use lynxtally_engine::{
    Fingerprint, Identified, IdentityRefusal, IncomingRequest, RequestIdentity, RunEnd, Scheduler,
};
use lynxtally_net::sync::lock;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// What the manager needs to know of a new request.
pub struct RequestInfo {
    /// The index of the tenant.
    pub tenant: Option<usize>,
    /// The identity by which duplicates of the request are recognized; none if it has no duplicates.
    pub identity: Option<RequestIdentity>,
    /// The length of the body that the head announces, in bytes.
    pub announced_bytes: Option<u64>,
    /// A number for the client's machine.
    pub caller: u64,
}

impl<P: Scheduler> RequestManager<P> {
    /// Submits a request to the scheduler. Returns false if the engine does not accept it.
    pub fn submit(&mut self, now: Instant, handle: &Arc<RequestHandle>, info: RequestInfo) -> bool {
        let expected_bytes = self.resources.sizes.expected_bytes(handle.class, info.announced_bytes);
        let floors_kb = 2.0 * self.resources.floor_bytes() as f64 / 1024.0;
        let request = IncomingRequest {
            class: handle.class,
            tenant: info.tenant,
            caller: info.caller,
            expected_work: Some(self.resources.expected_work(expected_bytes)),
            identity: info.identity,
            memory_kb: floors_kb,
            ..IncomingRequest::default()
        };
        match self.engine.submit(now, None, request, handle.clone(), handle.clone()) {
            Ok(id) => {
                handle.id.store(id.0, Ordering::Relaxed);
                true
            }
            Err(_) => false,
        }
    }

    /// Records that the whole content of a request was received.
    pub fn content_received(&mut self, handle: &Arc<RequestHandle>, fingerprint: Fingerprint) {
        let is_own = |other: &Arc<RequestHandle>| Arc::ptr_eq(other, handle);
        self.engine.content_received(handle.id(), fingerprint, is_own, &mut self.responses);
    }

    /// Gives an admitted request its identity, right before its effect may begin. A duplicate gets the response to the
    /// earlier request as its final response.
    ///
    /// # Errors
    /// The identity is refused; the effect must not begin.
    pub fn identify(
        &mut self,
        now: Instant,
        handle: &Arc<RequestHandle>,
        identity: RequestIdentity,
    ) -> Result<Identified, IdentityRefusal> {
        let id = handle.running_id().ok_or(IdentityRefusal::NotOpen)?;
        let retained_for = self.result_retention(handle.class);
        // Set before the engine may respond to the duplicate.
        lock(&handle.messages).is_duplicate = true;
        let identified = self.engine.identify(now, id, identity, retained_for, &mut self.responses);
        lock(&handle.messages).is_duplicate = identified == Ok(Identified::Duplicate);
        identified
    }

    /// Keeps the result of an admitted request for its duplicates, whatever its class. Its identity was submitted with it.
    pub fn retain_result(&mut self, now: Instant, handle: &RequestHandle) {
        if let Some(id) = handle.running_id() {
            self.engine.retain_result(now, id, self.result_retention(handle.class));
        }
    }

    /// Whether a request with this identity that arrives now would duplicate an earlier one, or conflict with it.
    pub fn is_identity_known(&self, now: Instant, identity: &RequestIdentity) -> bool {
        self.engine.is_identity_known(now, identity)
    }

    /// Forgets the result of a run that has ended, so that the next request with this identity is executed.
    pub fn forget_result(&mut self, identity: &RequestIdentity) {
        self.engine.forget_result(identity);
    }

    /// How long the result of a request of this class is kept for its duplicates.
    pub fn result_retention(&self, class: usize) -> Span {
        self.result_retention.get(class).copied().unwrap_or(Span::ZERO)
    }

    /// The effect of executing a request twice, as its class says.
    pub fn effect(&self, handle: &RequestHandle) -> Effect {
        self.resources.classes.get(handle.class).map_or(Effect::Idempotent, |class| class.effect)
    }

    /// Ends the run of a request. Calls after the first are ignored.
    pub fn end_request(&mut self, now: Instant, handle: &RequestHandle, end: RunEnd) {
        if handle.ended.swap(true, Ordering::Relaxed) {
            return;
        }
        let id = handle.id();
        if let RunEnd::Completed(_) = end {
            self.resources.retries.record_success();
            if let Some(bytes) = self.resources.running_mut(id).map(|request| request.attempt_bytes) {
                self.resources.sizes.record_completed(handle.class, bytes);
            }
        }
        if let Some(request) = self.resources.release_all(id) {
            if let Some(attempt) = request.attempt {
                self.end_attempt(now, attempt, request.attempt_bytes, None);
            }
        }
        self.engine.run_ended(now, id, end, &mut self.resources, &mut self.responses);
    }

    /// Records that the client of a request no longer waits for the response. The run goes on.
    pub fn caller_gone(&mut self, now: Instant, handle: &Arc<RequestHandle>) {
        self.engine.caller_gone(now, handle.id(), |other| Arc::ptr_eq(other, handle));
    }

    /// Records that the client of a request no longer waits for the response, and ends the run: as `end` if it was
    /// admitted.
    pub fn client_gone(&mut self, now: Instant, handle: &Arc<RequestHandle>, end: RunEnd) {
        self.caller_gone(now, handle);
        if handle.is_admitted() {
            self.end_request(now, handle, end);
        }
    }
}
