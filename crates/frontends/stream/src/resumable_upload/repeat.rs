//! Answers requests that do not run themselves: those that were not admitted, and those that wait for the execution of
//! their upload by another request.

use super::forward::ExecutionRequest;
use super::responses::{failed_response, unfinished_response, upload_state};
use super::UploadRequest;
use crate::http::{Framing, LocalResponse, MessageError};
use crate::proxy::{AfterRequest, Proxy};
use crate::request_manager::RequestHandle;
use crate::upload_archive::UploadArchive;
use lynxtally::Effect;
use lynxtally_engine::{FinalResponse, RunEnd, Scheduler};
use lynxtally_flow::uploads::lifecycle::{ForwardOutcome, UploadPhase};
use lynxtally_flow::uploads::UploadId;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::sync::lock;
use std::sync::Arc;

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Waits for the response to the execution of an upload by another request.
    pub(super) fn await_execution(&self, execution: &ExecutionRequest) -> AfterRequest {
        let ExecutionRequest { request, handle, id } = *execution;
        loop {
            if let Some(response) = handle.take_response() {
                // Releases what the request holds; the engine has ended it unless its deadline has passed.
                self.with_manager(|manager, now| manager.end_request(now, handle, RunEnd::Failed));
                return self.answer(request, handle, Some(id), response, true);
            }
            if request.socket.is_broken() {
                self.with_manager(|manager, now| manager.client_gone(now, handle, RunEnd::Stopped));
                return AfterRequest::Close(CloseReason::Reset);
            }
            request.socket.wait();
        }
    }

    /// Sends the final response that the manager has for a request.
    pub(super) fn answer(
        &self,
        request: &UploadRequest,
        handle: &Arc<RequestHandle>,
        id: Option<UploadId>,
        response: FinalResponse,
        is_body_read: bool,
    ) -> AfterRequest {
        let archive = request.archive;
        let state = id.and_then(|id| upload_state(archive, id));
        let local = match response {
            FinalResponse::Completed(bytes) => {
                if let Some(id) = id {
                    let effect = lock(&self.manager).effect(handle);
                    archive.response_delivered(id, effect, self.protected_secs(handle.class));
                }
                if !bytes.is_empty() {
                    self.count(|counts| counts.replayed += 1);
                    return AfterRequest::Close(self.send_last_response(request.socket, &bytes));
                }
                LocalResponse {
                    upload_state: state,
                    ..LocalResponse::new(502, "the upload was executed before, but the response is not kept")
                }
            }
            FinalResponse::KeyConflict => {
                self.count(|counts| counts.key_conflicts += 1);
                LocalResponse::from_error(MessageError::KeyConflict)
            }
            FinalResponse::Rejected { .. } => unfinished_response(&response, state),
            FinalResponse::Failed | FinalResponse::WithoutResult => {
                failed_response(self.phase_after_failure(archive, id), state)
            }
        };
        if matches!(local.status, 502 | 504) {
            self.count(|counts| counts.uploads_refused += 1);
        }
        self.respond(
            request.socket,
            request.head,
            &local,
            is_body_read || request.head.framing == Framing::Empty,
        )
    }

    /// The phase of an upload whose request failed. An upload that was not forwarded itself counts as executed if another
    /// request with its idempotency key was executed.
    fn phase_after_failure(&self, archive: &UploadArchive, id: Option<UploadId>) -> Option<UploadPhase> {
        let id = id?;
        let phase = archive.uploads.with(|uploads| uploads.phase(id))?;
        let origin = self.upload_origin(archive, id).ok()?;
        let identity = self.known_identity(archive, id, &origin);
        let (UploadPhase::Complete, Some(identity)) = (phase, identity) else { return Some(phase) };
        let is_idempotent = self.settings.classes[origin.class].effect == Effect::Idempotent;
        let is_known = self.with_manager(|manager, now| {
            if is_idempotent {
                // The response is not kept, so the next request executes the upload again.
                manager.forget_result(&identity);
            }
            manager.is_identity_known(now, &identity)
        });
        let is_executed = is_known && !is_idempotent;
        Some(if is_executed { UploadPhase::Executed(ForwardOutcome::Unknown) } else { phase })
    }
}
