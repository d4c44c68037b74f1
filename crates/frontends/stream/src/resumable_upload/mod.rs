//! Serves resumable uploads (draft-ietf-httpbis-resumable-upload-05). The body of an upload is archived as it
//! arrives, by one request or by several. Once it is complete, it is sent from the archive to an upstream. If
//! a connection drops, the archive keeps what has arrived, and the client resumes from that offset.
//!
//! | module | contents |
//! | --- | --- |
//! | `create` | requests that create an upload |
//! | `append` | requests that append to an upload, and repeats of the last one |
//! | `query` | requests for the state of an upload, and its cancellation |
//! | `receive` | receives and archives the body of a request |
//! | `forward` | sends a complete upload to an upstream, once |
//! | `repeat` | answers requests that get the response to another request |
//! | `responses` | responses of the proxy's own |

mod append;
mod create;
mod forward;
mod query;
mod receive;
mod repeat;
mod responses;

pub(crate) use forward::ForwardContext;

use crate::http::{BodyUse, ConnectionUse, Framing, LocalResponse, MessageError, RequestHead};
use crate::proxy::{caller_number, AfterRequest, Proxy};
use crate::request_manager::{RequestHandle, RequestInfo, StreamCounts};
use crate::upload_archive::{ArchiveError, OperationResult, PendingOperation, UploadArchive};
use lynxtally::Span;
use lynxtally_engine::{RequestIdentity, RunEnd, Scheduler};
use lynxtally_flow::uploads::UploadId;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::Socket;
use lynxtally_net::sync::lock;
use std::net::IpAddr;
use std::sync::Arc;

/// The prefix of the paths by which clients address uploads.
const UPLOADS_PATH: &str = "/.uploads/";
/// The delay after which a client may retry a refused request that creates or resumes an upload.
const REFUSED_RETRY_AFTER: Span = Span::from_millis(1000);

fn upload_path(id: UploadId) -> String {
    format!("{UPLOADS_PATH}{id:016x}")
}

fn parse_upload_path(path: &str) -> Option<UploadId> {
    let text = path.strip_prefix(UPLOADS_PATH)?;
    let is_id = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_id.then(|| UploadId::from_str_radix(text, 16).ok())?
}

/// A request that creates an upload or addresses one.
struct UploadRequest<'a> {
    archive: &'a Arc<UploadArchive>,
    socket: &'a Arc<Socket>,
    from: IpAddr,
    head: &'a RequestHead,
}

/// The request that created an upload.
struct UploadOrigin {
    /// The index of its request class.
    class: usize,
    head: RequestHead,
}

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Whether a request creates a resumable upload, or addresses one.
    pub(crate) fn is_upload_request(&self, request: &RequestHead) -> bool {
        let creates_upload = request.known.upload.complete.is_some()
            && matches!(request.method.as_str(), "POST" | "PUT")
            && self.settings.class(request).is_ok_and(|class| self.settings.classes[class].resumable);
        creates_upload || request.path().starts_with(UPLOADS_PATH)
    }

    /// Serves a request that creates an upload or addresses one.
    pub(crate) fn serve_upload_request(
        self: &Arc<Self>,
        archive: &Arc<UploadArchive>,
        socket: &Arc<Socket>,
        from: IpAddr,
        head: &RequestHead,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let request = UploadRequest { archive, socket, from, head };
        match parse_upload_path(head.path()) {
            Some(id) if head.method == "PATCH" => self.serve_append(&request, id, received),
            Some(id) => self.serve_query(&request, id),
            None if head.path().starts_with(UPLOADS_PATH) => {
                self.reject(&request, MessageError::UnknownUpload)
            }
            None => self.serve_creation(&request, received),
        }
    }

    /// Submits a request to the scheduler, and waits until it is admitted: its body is not read before. A request that is
    /// not admitted, or gets the response to another one, is answered; then the error says what happens to the connection.
    fn admit(
        &self,
        request: &UploadRequest,
        class: usize,
        identity: Option<RequestIdentity>,
        id: Option<UploadId>,
    ) -> Result<Arc<RequestHandle>, AfterRequest> {
        let UploadRequest { socket, from, head, .. } = *request;
        let announced_bytes = match head.framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let handle = Arc::new(RequestHandle::new(class, socket.waker()));
        let tenant = self.settings.tenant(head);
        let info = RequestInfo { tenant, identity, announced_bytes, caller: caller_number(from) };
        if !self.with_manager(|manager, now| manager.submit(now, &handle, info)) {
            let has_no_body = head.framing == Framing::Empty;
            return Err(self.respond(socket, head, &LocalResponse::new(503, "not taken"), has_no_body));
        }
        while !handle.is_admitted() {
            if let Some(response) = handle.take_response() {
                return Err(self.answer(request, &handle, id, response, false));
            }
            if socket.is_broken() {
                break;
            }
            socket.wait();
        }
        // Nothing is begun for a client that is gone.
        if socket.is_broken() {
            self.with_manager(|manager, now| manager.client_gone(now, &handle, RunEnd::Stopped));
            return Err(AfterRequest::Close(CloseReason::Reset));
        }
        Ok(handle)
    }

    /// The request that created an upload.
    ///
    /// # Errors
    /// No upload has this id, or no class matches its request any more.
    fn upload_origin(&self, archive: &UploadArchive, id: UploadId) -> Result<UploadOrigin, MessageError> {
        let head = archive.uploads.with(|uploads| uploads.get(id).map(|upload| upload.request_head.clone()));
        let head = head.ok_or(MessageError::UnknownUpload)?;
        let head = RequestHead::parse(&head)?.ok_or(MessageError::UnknownUpload)?.head;
        Ok(UploadOrigin { class: self.settings.class(&head)?, head })
    }

    /// Changes the counters.
    fn count(&self, change: impl FnOnce(&mut StreamCounts)) {
        change(&mut lock(&self.manager).resources.counts);
    }

    /// Responds to a request that is refused before it is submitted.
    fn reject(&self, request: &UploadRequest, error: MessageError) -> AfterRequest {
        self.count(|counts| counts.invalid_messages += 1);
        let has_no_body = request.head.framing == Framing::Empty;
        self.respond(request.socket, request.head, &LocalResponse::from_error(error), has_no_body)
    }

    /// Ends the run of a request with a response of the proxy's own.
    fn end_with_response(
        &self,
        request: &UploadRequest,
        handle: &Arc<RequestHandle>,
        response: &LocalResponse,
        end: RunEnd,
        is_body_read: bool,
    ) -> AfterRequest {
        self.with_manager(|manager, now| manager.end_request(now, handle, end));
        self.respond(request.socket, request.head, response, is_body_read)
    }

    /// Ends the run of a request whose body was not read with a response of the proxy's own.
    fn end_unread(
        &self,
        request: &UploadRequest,
        handle: &Arc<RequestHandle>,
        response: &LocalResponse,
        end: RunEnd,
    ) -> AfterRequest {
        let has_no_body = request.head.framing == Framing::Empty;
        self.end_with_response(request, handle, response, end, has_no_body)
    }

    /// Sends a response of the proxy's own, and closes the connection if part of the request's body is
    /// unread.
    fn respond(
        &self,
        socket: &Arc<Socket>,
        request: &RequestHead,
        response: &LocalResponse,
        is_body_read: bool,
    ) -> AfterRequest {
        let closes = request.closes_connection() || !is_body_read;
        let mut out = Vec::new();
        response.write(&mut out, ConnectionUse::closing_if(closes), BodyUse::for_request(request.is_head()));
        if closes {
            return AfterRequest::Close(self.send_last_response(socket, &out));
        }
        match self.write_all(socket, &out) {
            Ok(()) => AfterRequest::NextRequest,
            Err(reason) => AfterRequest::Close(reason),
        }
    }

    fn write_all(&self, socket: &Arc<Socket>, mut out: &[u8]) -> Result<(), CloseReason> {
        loop {
            let written = socket.write(out)?;
            out = &out[written..];
            if out.is_empty() {
                return Ok(());
            }
            socket.wait();
        }
    }

    /// Waits for an operation of the archive.
    fn await_operation(&self, socket: &Arc<Socket>, operation: &PendingOperation) -> OperationResult {
        loop {
            match operation.take() {
                Some(result) => return result,
                None => socket.wait(),
            }
        }
    }

    /// Records the current offset of an upload in the log, and waits until the entry is durable.
    fn make_durable(
        &self,
        archive: &Arc<UploadArchive>,
        socket: &Arc<Socket>,
        id: UploadId,
    ) -> Result<(), ArchiveError> {
        let Some(entry) = archive.uploads.with(|uploads| uploads.progress_entry(id)) else { return Ok(()) };
        let waker = socket.waker();
        self.await_operation(socket, &archive.record(entry, move || waker.wakeup())).map(drop)
    }
}
