//! Serves requests that append to an upload, and recognizes repeats of the request that completed it.

use super::forward::ExecutionRequest;
use super::receive::UploadWriter;
use super::responses::{executed_response, refusal, upload_state};
use super::{UploadOrigin, UploadRequest, REFUSED_RETRY_AFTER};
use crate::http::{Framing, LocalResponse, MessageError, RequestHead};
use crate::proxy::{AfterRequest, Proxy};
use crate::request_manager::RequestHandle;
use crate::upload_archive::UploadArchive;
use lynxtally_engine::{RequestIdentity, RunEnd, Scheduler};
use lynxtally_flow::uploads::lifecycle::UploadPhase;
use lynxtally_flow::uploads::{UploadError, UploadId};
use std::sync::Arc;
use tracing::debug;

/// The media type of requests that append to an upload.
const PARTIAL_UPLOAD_TYPE: &str = "application/partial-upload";

/// Where a request appends to an upload.
#[derive(Clone, Copy, Debug)]
struct AppendPosition {
    offset: u64,
    is_last: bool,
    /// The length of the whole upload, if the request tells it.
    length: Option<u64>,
}

impl AppendPosition {
    fn of(head: &RequestHead) -> Result<Self, MessageError> {
        let upload = head.known.upload;
        let offset = upload.offset.ok_or(MessageError::InvalidField("Upload-Offset"))?;
        let is_last = upload.complete.ok_or(MessageError::InvalidField("Upload-Complete"))?;
        if head.known.media_type != PARTIAL_UPLOAD_TYPE {
            return Err(MessageError::UnsupportedCoding);
        }
        let length = upload.length.or(match head.framing {
            Framing::Length(length) if is_last => offset.checked_add(length),
            Framing::Empty if is_last => Some(offset),
            _ => None,
        });
        Ok(Self { offset, is_last, length })
    }
}

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Serves a request that appends to an upload.
    pub(super) fn serve_append(
        self: &Arc<Self>,
        request: &UploadRequest,
        id: UploadId,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        // A request that resumes an upload belongs to the class of the request that created it.
        let origin = match self.upload_origin(request.archive, id) {
            Ok(origin) => origin,
            Err(error) => return self.reject(request, error),
        };
        let is_forwarded = request.archive.uploads.with(|uploads| {
            matches!(uploads.phase(id), Some(UploadPhase::Forwarding | UploadPhase::Executed(_)))
        });
        if is_forwarded {
            return self.serve_append_to_forwarded(request, id, &origin, received);
        }
        match self.admit(request, origin.class, None, Some(id)) {
            Ok(handle) => self.resume_upload(request, &handle, id, received),
            Err(after) => after,
        }
    }

    /// Serves a request that appends to an upload of which a forward has begun. A repeat of the request that completed the
    /// upload gets the response to that one.
    fn serve_append_to_forwarded(
        self: &Arc<Self>,
        request: &UploadRequest,
        id: UploadId,
        origin: &UploadOrigin,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let may_repeat = self.is_repeat_of_last(request, id);
        let is_empty = request.head.framing == Framing::Empty;
        let identity =
            self.remembered_identity(request.archive, id, origin).filter(|_| may_repeat && is_empty);
        let Some(identity) = identity else {
            // A chunked body may be empty, which is known only once it is received.
            let class = if may_repeat { origin.class } else { self.settings.upload_query_class() };
            return match self.admit(request, class, None, Some(id)) {
                Ok(handle) => self.resume_upload(request, &handle, id, received),
                Err(after) => after,
            };
        };
        debug!(upload = super::upload_path(id), "repeated request joins the execution of the upload");
        self.count(|counts| counts.uploads_joined += 1);
        match self.admit(request, origin.class, Some(identity.clone()), Some(id)) {
            // The earlier request executed nothing, so this one does.
            Ok(handle) => {
                self.with_manager(|manager, now| manager.retain_result(now, &handle));
                let execution = ExecutionRequest { request, handle: &handle, id };
                self.forward_identified(&execution, identity, received)
            }
            Err(after) => after,
        }
    }

    /// Whether a request has the position of the last request of an upload, behind all bytes.
    fn is_repeat_of_last(&self, request: &UploadRequest, id: UploadId) -> bool {
        let offset = request.archive.uploads.with(|uploads| uploads.get(id).map(|upload| upload.offset));
        let position = AppendPosition::of(request.head);
        position.is_ok_and(|position| position.is_last && Some(position.offset) == offset)
            && !matches!(request.head.framing, Framing::Length(_))
    }

    /// Resumes an upload at the offset that the request gives, and archives the body of the request.
    fn resume_upload(
        self: &Arc<Self>,
        request: &UploadRequest,
        handle: &Arc<RequestHandle>,
        id: UploadId,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let archive = request.archive;
        let refuse = |response: &LocalResponse| {
            self.end_unread(request, handle, response, RunEnd::Unavailable(REFUSED_RETRY_AFTER))
        };
        let position = match AppendPosition::of(request.head) {
            Ok(position) => position,
            Err(error) => return refuse(&LocalResponse::from_error(error)),
        };
        let resumed = archive.uploads.with(|uploads| {
            let number = uploads.resume(id, position.offset)?;
            if let Some(length) = position.length {
                uploads.set_length(id, length)?;
            }
            Ok((number, uploads.get(id).map_or(0, |upload| upload.checksum)))
        });
        match resumed {
            Ok((number, checksum)) => {
                let writer = UploadWriter { request, handle, id, number, checksum, digest: None };
                self.store_body(writer, received, 204)
            }
            Err(UploadError::AlreadyForwarded) if self.is_repeat_of_last(request, id) => {
                match self.has_empty_body(request, handle, id, received) {
                    Ok(true) => self.repeat_of_forwarded(&ExecutionRequest { request, handle, id }, received),
                    Ok(false) => refuse(&refusal(UploadError::AlreadyForwarded, upload_state(archive, id))),
                    Err(after) => after,
                }
            }
            // A late request that was sent before the last one, without any bytes.
            Err(UploadError::AlreadyForwarded)
                if !position.is_last && request.head.framing == Framing::Empty =>
            {
                let response =
                    LocalResponse { upload_state: upload_state(archive, id), ..LocalResponse::new(204, "") };
                self.end_with_response(request, handle, &response, RunEnd::Completed(Vec::new()), true)
            }
            Err(error) => refuse(&refusal(error, upload_state(archive, id))),
        }
    }

    /// Answers an admitted repeat of the request that completed an upload.
    fn repeat_of_forwarded(
        self: &Arc<Self>,
        execution: &ExecutionRequest,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let ExecutionRequest { request, handle, id } = *execution;
        let archive = request.archive;
        let origin = self.upload_origin(archive, id).ok();
        let remembered = origin.and_then(|origin| self.remembered_identity(archive, id, &origin));
        match archive.uploads.with(|uploads| uploads.phase(id)) {
            Some(UploadPhase::Executed(outcome)) if remembered.is_none() => {
                debug!(upload = super::upload_path(id), ?outcome, "repeated request has no response to get");
                self.count(|counts| counts.uploads_refused += 1);
                let response = executed_response(outcome, upload_state(archive, id));
                self.end_unread(request, handle, &response, RunEnd::Failed)
            }
            // The forward began after this request was submitted.
            _ => self.forward_upload(execution, received),
        }
    }

    /// The identity of an upload's execution, if one with this identity is remembered in the life of this process.
    fn remembered_identity(
        &self,
        archive: &UploadArchive,
        id: UploadId,
        origin: &UploadOrigin,
    ) -> Option<RequestIdentity> {
        let identity = self.known_identity(archive, id, origin)?;
        self.with_manager(|manager, now| manager.is_identity_known(now, &identity)).then_some(identity)
    }
}
