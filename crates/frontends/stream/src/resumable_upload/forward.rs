//! Forwards complete uploads to an upstream. [`Uploads`](lynxtally_flow::uploads::Uploads) decides whether a forward may
//! begin; the engine recognizes requests with the same idempotency key, whether or not they belong to the same upload.

use super::responses::{executed_response, failed_response, refusal, upload_state};
use super::{UploadOrigin, UploadRequest, REFUSED_RETRY_AFTER};
use crate::http::{LocalResponse, MessageError, RequestHead};
use crate::idempotency::{request_identity, ContentDigest};
use crate::proxied_request::ProxiedRequest;
use crate::proxy::{AfterRequest, ArchivedBody, Proxy};
use crate::request_manager::RequestHandle;
use crate::settings::MAX_RESPONSE_COPY_BYTES;
use crate::upload_archive::UploadArchive;
use lynxtally::Effect;
use lynxtally_engine::{
    ContentFingerprint, Fingerprint, Identified, IdentityRefusal, RequestIdentity, RunEnd, Scheduler,
};
use lynxtally_flow::uploads::lifecycle::{AfterForward, ForwardEnd, UploadPhase};
use lynxtally_flow::uploads::{ForwardRefusal, UploadError, UploadId};
use std::sync::Arc;
use tracing::debug;

/// The most bytes that are read at once to calculate a fingerprint.
const FINGERPRINT_READ_BYTES: usize = 128 * 1024;

/// A forward that has begun, and what is needed to end it.
#[derive(Clone)]
pub(crate) struct ForwardContext {
    pub archive: Arc<UploadArchive>,
    pub id: UploadId,
    /// The number of the forward.
    number: u64,
    /// The effect of executing the upload twice.
    effect: Effect,
    /// The identity that all requests for this execution have.
    identity: RequestIdentity,
    /// How long the upload is remembered once it was executed, in seconds.
    protected_secs: u64,
}

/// An admitted request that may execute its upload, of which all bytes were received.
pub(super) struct ExecutionRequest<'a> {
    pub request: &'a UploadRequest<'a>,
    pub handle: &'a Arc<RequestHandle>,
    pub id: UploadId,
}

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Forwards a complete upload, unless it is executed already or another request with its idempotency key is: then the
    /// request gets the response to that one.
    pub(super) fn forward_upload(
        self: &Arc<Self>,
        execution: &ExecutionRequest,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let ExecutionRequest { request, handle, id } = *execution;
        let identity = match self.execution_identity(request, id) {
            // A request of another class, such as a query, would be forwarded by the rules of that class.
            Ok((class, identity)) if class == handle.class => identity,
            Ok(_) => return self.end_forwardless(execution, &not_taken(request.archive, id)),
            Err(response) => return self.end_forwardless(execution, &response),
        };
        let identified = self.with_manager(|manager, now| manager.identify(now, handle, identity.clone()));
        let response = match identified {
            Ok(Identified::FirstRun) => return self.forward_identified(execution, identity, received),
            Ok(Identified::Duplicate) => {
                debug!(upload = super::upload_path(id), "request joins an execution with its identity");
                self.count(|counts| counts.uploads_joined += 1);
                return self.await_execution(execution);
            }
            Err(IdentityRefusal::KeyConflict) => {
                self.count(|counts| counts.key_conflicts += 1);
                LocalResponse::from_error(MessageError::KeyConflict)
            }
            // An upload without a client's key is executed once by its own state; only the response is not kept.
            Err(IdentityRefusal::TooManyKeys) if !identity.is_client_key() => {
                return self.forward_identified(execution, identity, received);
            }
            Err(IdentityRefusal::TooManyKeys | IdentityRefusal::NotOpen) => not_taken(request.archive, id),
        };
        self.end_forwardless(execution, &response)
    }

    /// Ends a request whose upload is complete and is not forwarded by it.
    fn end_forwardless(&self, execution: &ExecutionRequest, response: &LocalResponse) -> AfterRequest {
        let ExecutionRequest { request, handle, id } = *execution;
        let durable = self.make_durable(request.archive, request.socket, id);
        let failure = durable.err().map(|error| LocalResponse::new(500, error.to_string()));
        let response = failure.as_ref().unwrap_or(response);
        self.end_with_response(request, handle, response, RunEnd::NotStarted, true)
    }

    /// Forwards a complete upload for the first request with this identity.
    pub(super) fn forward_identified(
        self: &Arc<Self>,
        execution: &ExecutionRequest,
        identity: RequestIdentity,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let ExecutionRequest { request, handle, id } = *execution;
        let archive = request.archive;
        let effect = self.settings.classes[handle.class].effect;
        let protected_secs = self.protected_secs(handle.class);
        let progress = archive.uploads.with(|uploads| uploads.progress_entry(id));
        let begun = match archive.uploads.with(|uploads| uploads.begin_forward(id, effect)) {
            Ok(begun) => begun,
            Err(refused) => {
                let response = self.refused_forward(archive, id, refused);
                return self.end_with_response(request, handle, &response, RunEnd::NotStarted, true);
            }
        };
        let entries = progress.into_iter().chain(begun.entry).collect();
        let waker = request.socket.waker();
        let recorded = archive.record_all(entries, move || waker.wakeup());
        let prepared = match self.await_operation(request.socket, &recorded) {
            Ok(_) => {
                self.forwarded_request(begun.request_head, begun.length).map_err(LocalResponse::from_error)
            }
            Err(error) => Err(LocalResponse::new(500, error.to_string())),
        };
        match prepared {
            Ok(proxied) => {
                let (archive, number) = (archive.clone(), begun.number);
                let context = ForwardContext { archive, id, number, effect, identity, protected_secs };
                let body = ArchivedBody::new(begun.length, context);
                self.run_exchange(request.socket, handle, proxied, Some(body), Some(begun.length), received)
            }
            Err(response) => {
                archive.end_forward(id, begun.number, effect, ForwardEnd::NotReached, protected_secs);
                self.end_with_response(request, handle, &response, RunEnd::NotStarted, true)
            }
        }
    }

    /// How long an upload of this class is remembered at least once it was executed, in seconds.
    pub(super) fn protected_secs(&self, class: usize) -> u64 {
        let retention = self.with_manager(|manager, _| manager.result_retention(class));
        retention.secs().ceil() as u64
    }

    fn refused_forward(
        &self,
        archive: &UploadArchive,
        id: UploadId,
        refused: ForwardRefusal,
    ) -> LocalResponse {
        let state = upload_state(archive, id);
        match refused {
            ForwardRefusal::Unknown => refusal(UploadError::Unknown, None),
            ForwardRefusal::Incomplete => LocalResponse::from_error(MessageError::InvalidLength),
            ForwardRefusal::UnderWay => {
                self.count(|counts| counts.uploads_refused += 1);
                failed_response(Some(UploadPhase::Forwarding), state)
            }
            ForwardRefusal::Executed(outcome) => {
                self.count(|counts| counts.uploads_refused += 1);
                executed_response(outcome, state)
            }
        }
    }

    /// The request that is sent to an upstream.
    fn forwarded_request(&self, mut head: Vec<u8>, length: u64) -> Result<ProxiedRequest, MessageError> {
        // The stored head ends with an empty line; the length of the body is added before it.
        head.truncate(head.len() - 2);
        head.extend_from_slice(format!("Content-Length: {length}\r\n\r\n").as_bytes());
        let request = RequestHead::parse(&head)?.ok_or(MessageError::InvalidHead)?.head;
        let class = self.settings.class(&request)?;
        let mut forwarding = self.settings.classes[class].forwarding.clone();
        // The fingerprint is already known, and the response is kept for repeats whatever the class.
        forwarding.fingerprints_content = false;
        forwarding.max_response_copy_bytes = MAX_RESPONSE_COPY_BYTES;
        ProxiedRequest::new(request, forwarding)
    }

    /// The class of a complete upload, and the identity that all requests for its execution have: by the client's
    /// idempotency key, if its class has them, and otherwise by the upload.
    ///
    /// # Errors
    /// The response if the upload was removed or can't be read.
    fn execution_identity(
        &self,
        request: &UploadRequest,
        id: UploadId,
    ) -> Result<(usize, RequestIdentity), LocalResponse> {
        let origin = self.upload_origin(request.archive, id).map_err(LocalResponse::from_error)?;
        if let Some(identity) = self.known_identity(request.archive, id, &origin) {
            return Ok((origin.class, identity));
        }
        let fingerprint = self.calculate_fingerprint(request, id, &origin)?;
        request.archive.uploads.with(|uploads| uploads.set_fingerprint(id, fingerprint));
        let identity = self.known_identity(request.archive, id, &origin);
        let identity = identity.ok_or_else(|| refusal(UploadError::Unknown, None))?;
        Ok((origin.class, identity))
    }

    /// The identity of an upload's execution, unless it needs a fingerprint that is not calculated yet.
    pub(super) fn known_identity(
        &self,
        archive: &UploadArchive,
        id: UploadId,
        origin: &UploadOrigin,
    ) -> Option<RequestIdentity> {
        let UploadOrigin { class, head } = origin;
        if request_identity(&self.settings, *class, head, ContentFingerprint::Pending).is_none() {
            return Some(RequestIdentity::of_upload(*class, id));
        }
        let fingerprint = archive.uploads.with(|uploads| uploads.fingerprint(id))?;
        request_identity(&self.settings, *class, head, ContentFingerprint::Known(fingerprint))
    }

    /// Calculates the fingerprint of a complete upload, as it is calculated for a request that is not stored.
    ///
    /// # Errors
    /// The response if the upload was removed or can't be read.
    fn calculate_fingerprint(
        &self,
        request: &UploadRequest,
        id: UploadId,
        origin: &UploadOrigin,
    ) -> Result<Fingerprint, LocalResponse> {
        let archive = request.archive;
        let known_length = || archive.uploads.with(|uploads| uploads.get(id).map(|upload| upload.offset));
        let length = known_length().ok_or_else(|| refusal(UploadError::Unknown, None))?;
        let mut digest = ContentDigest::new(&origin.head);
        let mut offset = 0;
        while offset < length {
            let max_bytes = (length - offset).min(FINGERPRINT_READ_BYTES as u64) as usize;
            let waker = request.socket.waker();
            let read = archive.read(id, offset, max_bytes, move || waker.wakeup());
            let bytes = self.await_operation(request.socket, &read);
            if known_length().is_none() {
                return Err(refusal(UploadError::Unknown, None));
            }
            let bytes = bytes.map_err(|error| LocalResponse::new(500, error.to_string()))?;
            if bytes.is_empty() {
                return Err(LocalResponse::new(500, "the file of the upload is too short"));
            }
            digest.update(&bytes);
            offset += bytes.len() as u64;
        }
        Ok(digest.finish())
    }

    /// Ends the forward of an upload, if it has not ended yet: first in the state of the upload, so that requests that waited
    /// for it find it there, and then in the engine. Returns false if it has ended before, or the upload was removed.
    pub(crate) fn end_forward(
        &self,
        handle: &RequestHandle,
        context: &ForwardContext,
        end: ForwardEnd,
        response: Option<Vec<u8>>,
    ) -> bool {
        let ForwardContext { ref archive, id, number, effect, ref identity, protected_secs } = *context;
        let Some(after) = archive.end_forward(id, number, effect, end, protected_secs) else {
            return false;
        };
        debug!(upload = super::upload_path(id), ?end, ?after, "forward of an upload ended");
        // The response to a client that did not get it is kept for its next request. Otherwise that one is executed.
        let awaits_delivery = after == AfterForward::AwaitsDelivery && response.is_some();
        let is_executed = matches!(after, AfterForward::Executed(_));
        let (succeeded, run_end) = match end {
            ForwardEnd::NotReached => (None, RunEnd::Unavailable(REFUSED_RETRY_AFTER)),
            ForwardEnd::Answered { is_server_error, .. } => {
                (Some(!is_server_error), RunEnd::Completed(response.unwrap_or_default()))
            }
            ForwardEnd::Lost => (None, RunEnd::Failed),
        };
        self.with_manager(|manager, now| {
            manager.release_upstream(now, handle, succeeded);
            manager.end_request(now, handle, run_end);
            if !is_executed && !awaits_delivery {
                manager.forget_result(identity);
            }
        });
        true
    }
}

/// The response to a request of which nothing was done.
fn not_taken(archive: &UploadArchive, id: UploadId) -> LocalResponse {
    LocalResponse {
        retry_after_secs: Some(REFUSED_RETRY_AFTER.secs() as u64),
        upload_state: upload_state(archive, id),
        ..LocalResponse::new(503, "not taken; nothing of it was done")
    }
}
