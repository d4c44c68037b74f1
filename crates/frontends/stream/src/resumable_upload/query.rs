//! Serves requests that ask for the state of an upload, or cancel it.

use super::responses::{executed_response, refusal, upload_state};
use super::UploadRequest;
use crate::http::{Framing, LocalResponse, MessageError};
use crate::proxy::{AfterRequest, Proxy};
use lynxtally_engine::{RunEnd, Scheduler};
use lynxtally_flow::uploads::lifecycle::{ForwardOutcome, UploadPhase};
use lynxtally_flow::uploads::UploadId;
use std::sync::Arc;

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Serves any request on an upload but one that appends to it.
    pub(super) fn serve_query(self: &Arc<Self>, request: &UploadRequest, id: UploadId) -> AfterRequest {
        let handle = match self.admit(request, self.settings.upload_query_class(), None, None) {
            Ok(handle) => handle,
            Err(after) => return after,
        };
        let response = match request.head.method.as_str() {
            "HEAD" | "GET" => self.report_state(request, id),
            "DELETE" => self.cancel(request, id),
            _ => LocalResponse::from_error(MessageError::MethodNotAllowed),
        };
        let has_no_body = request.head.framing == Framing::Empty;
        self.end_with_response(request, &handle, &response, RunEnd::Completed(Vec::new()), has_no_body)
    }

    fn report_state(&self, request: &UploadRequest, id: UploadId) -> LocalResponse {
        let archive = request.archive;
        let phase = archive.uploads.with(|uploads| uploads.phase(id));
        if phase == Some(UploadPhase::Executed(ForwardOutcome::Unknown)) {
            return executed_response(ForwardOutcome::Unknown, upload_state(archive, id));
        }
        // A connection that still sends this upload must not move the offset that this response reports.
        if let Err(error) = archive.uploads.with(|uploads| uploads.take_over(id)) {
            return refusal(error, None);
        }
        match self.make_durable(archive, request.socket, id) {
            Ok(()) => {
                LocalResponse { upload_state: upload_state(archive, id), ..LocalResponse::new(204, "") }
            }
            Err(error) => LocalResponse::new(500, error.to_string()),
        }
    }

    fn cancel(&self, request: &UploadRequest, id: UploadId) -> LocalResponse {
        let archive = request.archive;
        let discarded = self
            .upload_origin(archive, id)
            .map(|origin| archive.discard(id, self.settings.classes[origin.class].effect));
        match discarded {
            Ok(Ok(())) => LocalResponse::new(204, ""),
            Ok(Err(error)) => refusal(error, upload_state(archive, id)),
            Err(error) => LocalResponse::from_error(error),
        }
    }
}
