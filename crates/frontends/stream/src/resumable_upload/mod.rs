//! Serves resumable uploads (draft-ietf-httpbis-resumable-upload-05). The body of an upload is archived as it
//! arrives, by one request or by several. Once it is complete, it is sent from the archive to an upstream. If
//! a connection drops, the archive keeps what has arrived, and the client resumes from that offset.

use crate::body_pipe::BodyPipe;
use crate::content_coder::ContentCoder;
use crate::http::{BodyUse, ConnectionUse, Framing, LocalResponse, MessageError, RequestHead, UploadState};
use crate::idempotency::request_identity;
use crate::proxied_request::ProxiedRequest;
use crate::proxy::{caller_number, AfterRequest, ArchivedBody, Proxy, BYTES_PER_TURN};
use crate::request_manager::{RequestHandle, RequestInfo, TransferReport};
use crate::upload_archive::{unix_seconds, ArchiveError, OperationResult, PendingOperation, UploadArchive};
use lynxtally_engine::{ContentFingerprint, FinalResponse, RunEnd, Scheduler};
use lynxtally_flow::uploads::{Upload, UploadError, UploadId};
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::{ReadOutcome, Socket};
use lynxtally_net::sync::lock;
use rand::Rng;
use std::fmt::Write;
use std::net::IpAddr;
use std::sync::Arc;

/// The prefix of the paths by which clients address uploads.
const UPLOADS_PATH: &str = "/.uploads/";
/// Bytes kept free for framing, beside the bytes that are read.
const FRAMING_BYTES: u64 = 64;

fn upload_path(id: UploadId) -> String {
    format!("{UPLOADS_PATH}{id:016x}")
}

fn parse_upload_path(path: &str) -> Option<UploadId> {
    let text = path.strip_prefix(UPLOADS_PATH)?;
    let is_id = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_id.then(|| UploadId::from_str_radix(text, 16).ok())?
}

/// How receiving the body of one request ended.
enum ReceiveOutcome {
    /// The whole body of the request is archived.
    Complete,
    /// Receiving stopped, and the proxy sends this response.
    Respond(LocalResponse),
    /// The client's connection failed or was closed.
    ClientGone(CloseReason),
}

/// The right of one request to append to an upload. It ends when another request takes the upload over.
struct UploadWriter<'a> {
    archive: &'a Arc<UploadArchive>,
    socket: &'a Arc<Socket>,
    handle: &'a Arc<RequestHandle>,
    id: UploadId,
    /// The number of the writer, given by `Uploads::create` or `Uploads::resume`.
    number: u64,
    /// CRC-32C of the bytes of the upload so far.
    checksum: u32,
}

/// The response to an operation on an upload that was refused.
fn refusal(error: UploadError, upload_state: Option<UploadState>) -> LocalResponse {
    let message_error = match error {
        UploadError::Unknown => MessageError::UnknownUpload,
        UploadError::WrongOffset(_) | UploadError::TakenOver => MessageError::OffsetMismatch,
        UploadError::WrongLength => MessageError::BodyTooLarge,
        UploadError::QuotaExceeded => MessageError::QuotaExceeded,
    };
    LocalResponse { upload_state, ..LocalResponse::from_error(message_error) }
}

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Whether a request creates a resumable upload, or addresses one.
    pub(crate) fn is_upload_request(&self, request: &RequestHead) -> bool {
        let creates_upload = request.known.upload.complete.is_some()
            && matches!(request.method.as_str(), "POST" | "PUT")
            && self.settings.class(request).is_ok_and(|class| self.settings.classes[class].resumable);
        creates_upload || request.path().starts_with(UPLOADS_PATH)
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

    /// Serves a request that creates an upload or addresses one.
    pub(crate) fn serve_upload_request(
        self: &Arc<Self>,
        archive: &Arc<UploadArchive>,
        socket: &Arc<Socket>,
        from: IpAddr,
        request: RequestHead,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let has_no_body = request.framing == Framing::Empty;
        let reject = |error: MessageError| {
            lock(&self.manager).resources.counts.invalid_messages += 1;
            self.respond(socket, &request, &LocalResponse::from_error(error), has_no_body)
        };
        let upload_id = parse_upload_path(request.path());
        let class = match (upload_id, request.path().starts_with(UPLOADS_PATH)) {
            (None, true) => return reject(MessageError::UnknownUpload),
            (None, false) => self.settings.class(&request),
            // A request that resumes an upload belongs to the class of the request that created it.
            (Some(id), _) if request.method == "PATCH" => {
                let head =
                    archive.uploads.with(|uploads| uploads.get(id).map(|upload| upload.request_head.clone()));
                let created_by = head.as_deref().and_then(|head| RequestHead::parse(head).ok().flatten());
                created_by
                    .ok_or(MessageError::UnknownUpload)
                    .and_then(|created_by| self.settings.class(&created_by.head))
            }
            (Some(_), _) => Ok(self.settings.upload_query_class()),
        };
        let class = match class {
            Ok(class) => class,
            Err(error) => return reject(error),
        };
        let announced_bytes = match request.framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let handle = Arc::new(RequestHandle::new(class, socket.waker()));
        let tenant = self.settings.tenant(&request);
        // What creates an upload may be only the first part of its content, so it is not compared with other requests.
        // The content of the whole upload is known once it is forwarded.
        let identity = match upload_id {
            None => request_identity(&self.settings, class, &request, ContentFingerprint::Unavailable),
            Some(_) => None,
        };
        let info = RequestInfo { tenant, identity, announced_bytes, caller: caller_number(from) };
        if !self.with_manager(|manager, now| manager.submit(now, &handle, info)) {
            return self.respond(socket, &request, &LocalResponse::new(503, "not taken"), has_no_body);
        }
        // The body is not read before the scheduler has admitted the request.
        while !handle.is_admitted() {
            if let Some(response) = handle.take_response() {
                return self.respond(socket, &request, &local_response(&response, None), has_no_body);
            }
            if socket.is_broken() {
                break;
            }
            socket.wait();
        }
        // Nothing is begun for a client that is gone.
        if socket.is_broken() {
            self.with_manager(|manager, now| manager.client_gone(now, &handle));
            return AfterRequest::Close(CloseReason::Reset);
        }
        match (upload_id, request.method.as_str()) {
            (Some(id), "PATCH") => self.resume_upload(archive, socket, &handle, id, &request, received),
            (Some(id), method) => {
                let response = match method {
                    // A connection that still sends this upload must not move the offset that this response
                    // reports.
                    "HEAD" | "GET" => match archive.uploads.with(|uploads| uploads.take_over(id)) {
                        Ok(_) => None,
                        Err(error) => Some(refusal(error, None)),
                    },
                    "DELETE" if archive.uploads.with(|uploads| uploads.get(id).is_some()) => {
                        archive.remove(id);
                        Some(LocalResponse::new(204, ""))
                    }
                    "DELETE" => Some(LocalResponse::from_error(MessageError::UnknownUpload)),
                    _ => Some(LocalResponse::from_error(MessageError::MethodNotAllowed)),
                };
                let response = response.unwrap_or_else(|| match self.make_durable(archive, socket, id) {
                    Ok(()) => LocalResponse {
                        upload_state: upload_state(archive, id),
                        ..LocalResponse::new(204, "")
                    },
                    Err(error) => LocalResponse::new(500, error.to_string()),
                });
                self.with_manager(|manager, now| {
                    manager.end_request(now, &handle, RunEnd::Completed(Vec::new()))
                });
                self.respond(socket, &request, &response, has_no_body)
            }
            (None, _) => self.create_upload(archive, socket, &handle, &request, received),
        }
    }

    /// Creates an upload, and archives the body of the request.
    fn create_upload(
        self: &Arc<Self>,
        archive: &Arc<UploadArchive>,
        socket: &Arc<Socket>,
        handle: &Arc<RequestHandle>,
        request: &RequestHead,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let id = rand::rng().random::<UploadId>();
        let complete = request.known.upload.complete == Some(true);
        let length = request.known.upload.length.or(match request.framing {
            Framing::Length(length) if complete => Some(length),
            Framing::Empty if complete => Some(0),
            _ => None,
        });
        let tenant = self.settings.tenant_field.as_deref().and_then(|field| request.field(field));
        let upload = Upload {
            tenant: tenant.map(|name| String::from_utf8_lossy(name).into_owned()).unwrap_or_default(),
            request_head: stored_head(request),
            length,
            offset: 0,
            checksum: 0,
            updated_secs: unix_seconds(),
            is_complete: false,
        };
        let created = archive.uploads.with(|uploads| uploads.create(id, upload));
        let (entry, number) = match created {
            Ok(created) => created,
            Err(error) => {
                return self.end_with_response(
                    socket,
                    handle,
                    request,
                    &refusal(error, None),
                    RunEnd::Unavailable(REFUSED_RETRY_AFTER),
                )
            }
        };
        let waker = socket.waker();
        if let Err(error) = self.await_operation(socket, &archive.record(entry, move || waker.wakeup())) {
            archive.uploads.with(|uploads| uploads.remove(id));
            return self.end_with_response(
                socket,
                handle,
                request,
                &LocalResponse::new(500, error.to_string()),
                RunEnd::Failed,
            );
        }
        let mut out = Vec::new();
        if !request.is_http_10 {
            LocalResponse { location: Some(upload_path(id)), ..LocalResponse::new(104, "") }.write(
                &mut out,
                ConnectionUse::KeepAlive,
                BodyUse::Omitted,
            );
        }
        if let Err(reason) = self.write_all(socket, &out) {
            self.with_manager(|manager, now| manager.client_gone(now, handle));
            return AfterRequest::Close(reason);
        }
        let writer = UploadWriter { archive, socket, handle, id, number, checksum: 0 };
        self.store_body(writer, request, received, 201)
    }

    /// Resumes an upload at the offset that the request gives, and archives the body of the request.
    fn resume_upload(
        self: &Arc<Self>,
        archive: &Arc<UploadArchive>,
        socket: &Arc<Socket>,
        handle: &Arc<RequestHandle>,
        id: UploadId,
        request: &RequestHead,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let upload = request.known.upload;
        let (Some(offset), Some(complete)) = (upload.offset, upload.complete) else {
            let error = MessageError::InvalidField(if upload.offset.is_none() {
                "Upload-Offset"
            } else {
                "Upload-Complete"
            });
            return self.end_with_response(
                socket,
                handle,
                request,
                &LocalResponse::from_error(error),
                RunEnd::Unavailable(REFUSED_RETRY_AFTER),
            );
        };
        if request.known.media_type != "application/partial-upload" {
            return self.end_with_response(
                socket,
                handle,
                request,
                &LocalResponse::from_error(MessageError::UnsupportedCoding),
                RunEnd::Unavailable(REFUSED_RETRY_AFTER),
            );
        }
        let announced_length = upload.length.or(match request.framing {
            Framing::Length(length) if complete => offset.checked_add(length),
            Framing::Empty if complete => Some(offset),
            _ => None,
        });
        let resumed = archive.uploads.with(|uploads| {
            let number = uploads.resume(id, offset)?;
            if let Some(length) = announced_length {
                uploads.set_length(id, length)?;
            }
            Ok((number, uploads.get(id).map_or(0, |upload| upload.checksum)))
        });
        match resumed {
            Ok((number, checksum)) => {
                let writer = UploadWriter { archive, socket, handle, id, number, checksum };
                self.store_body(writer, request, received, 204)
            }
            Err(error) => {
                let response = refusal(error, upload_state(archive, id));
                self.end_with_response(
                    socket,
                    handle,
                    request,
                    &response,
                    RunEnd::Unavailable(REFUSED_RETRY_AFTER),
                )
            }
        }
    }

    /// Ends the run of a request with a response of the proxy's own.
    fn end_with_response(
        &self,
        socket: &Arc<Socket>,
        handle: &Arc<RequestHandle>,
        request: &RequestHead,
        response: &LocalResponse,
        end: RunEnd,
    ) -> AfterRequest {
        self.with_manager(|manager, now| manager.end_request(now, handle, end));
        self.respond(socket, request, response, request.framing == Framing::Empty)
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

    /// Archives the body of a request. Then forwards the upload if it is complete, and otherwise responds
    /// with its offset.
    fn store_body(
        self: &Arc<Self>,
        mut writer: UploadWriter,
        request: &RequestHead,
        received: &mut Vec<u8>,
        status: u16,
    ) -> AfterRequest {
        let (archive, socket, handle, id) = (writer.archive, writer.socket, writer.handle, writer.id);
        let mut pipe = BodyPipe::new(request.framing, Framing::Close, ContentCoder::identity());
        let mut outcome = self.receive_upload(&mut writer, &mut pipe, request, received);
        if let (ReceiveOutcome::Complete, Some(true)) = (&outcome, request.known.upload.complete) {
            match archive.uploads.with(|uploads| uploads.complete(id, writer.number)) {
                Ok(true) => {}
                Ok(false) => {
                    outcome = ReceiveOutcome::Respond(LocalResponse {
                        upload_state: upload_state(archive, id),
                        ..LocalResponse::from_error(MessageError::InvalidLength)
                    })
                }
                Err(error) => outcome = ReceiveOutcome::Respond(refusal(error, upload_state(archive, id))),
            }
        }
        // Whatever the outcome, the archived bytes are made durable before a response reports them.
        let durable = self.make_durable(archive, socket, id);
        let response = match (outcome, durable) {
            (ReceiveOutcome::ClientGone(reason), _) => {
                self.with_manager(|manager, now| manager.client_gone(now, handle));
                return AfterRequest::Close(reason);
            }
            (_, Err(error)) => LocalResponse::new(500, error.to_string()),
            (ReceiveOutcome::Respond(response), _) => response,
            (ReceiveOutcome::Complete, Ok(())) if request.known.upload.complete == Some(true) => {
                return self.forward_upload(archive, socket, handle, id, received);
            }
            (ReceiveOutcome::Complete, Ok(())) => {
                let location = (status == 201).then(|| upload_path(id));
                let response = LocalResponse {
                    upload_state: upload_state(archive, id),
                    location,
                    ..LocalResponse::new(status, "")
                };
                self.with_manager(|manager, now| {
                    manager.end_request(now, handle, RunEnd::Completed(Vec::new()))
                });
                return self.respond(socket, request, &response, true);
            }
        };
        self.with_manager(|manager, now| manager.end_request(now, handle, RunEnd::Failed));
        self.respond(socket, request, &response, pipe.is_complete())
    }

    /// Receives the body of a request and archives it, until the body is complete or an error ends it.
    fn receive_upload(
        &self,
        writer: &mut UploadWriter,
        pipe: &mut BodyPipe,
        request: &RequestHead,
        received: &mut Vec<u8>,
    ) -> ReceiveOutcome {
        let (archive, socket, handle, id) = (writer.archive, writer.socket, writer.handle, writer.id);
        let mut pending_append: Option<(usize, PendingOperation)> = None;
        let mut bytes_in_turn = 0;
        if request.known.expects_continue && request.framing != Framing::Empty && received.is_empty() {
            if let Err(reason) = self.write_all(socket, crate::http::CONTINUE_RESPONSE) {
                return ReceiveOutcome::ClientGone(reason);
            }
        }
        if let Err(error) = pipe.start() {
            return ReceiveOutcome::Respond(LocalResponse::from_error(error));
        }
        loop {
            if let Some(response) = handle.take_response() {
                return ReceiveOutcome::Respond(local_response(&response, upload_state(archive, id)));
            }
            let mut report = TransferReport::default();
            let mut progressed = false;
            if let Some((bytes, result)) =
                pending_append.as_ref().and_then(|(bytes, operation)| Some((*bytes, operation.take()?)))
            {
                pending_append = None;
                report.written_to_upstream = bytes as u64;
                if let Err(error) = result {
                    return ReceiveOutcome::Respond(LocalResponse::new(500, error.to_string()));
                }
            }
            let allowance = lock(&self.manager).allowance(handle);
            let appending = pending_append.as_ref().map_or(0, |(bytes, _)| *bytes as u64);
            let room =
                allowance.upstream_window.saturating_sub(pipe.buffered_bytes() + appending + FRAMING_BYTES)
                    as usize;
            if !pipe.is_complete() && room > 0 {
                let bytes = if received.is_empty() {
                    match self.read_available(socket, room) {
                        Ok(bytes) => bytes,
                        Err(reason) => return self.archive_rest(writer, pipe, pending_append, reason),
                    }
                } else {
                    received.drain(..received.len().min(room)).collect()
                };
                if !bytes.is_empty() {
                    progressed = true;
                    report.received_from_client = bytes.len() as u64;
                    bytes_in_turn += bytes.len();
                    match pipe.receive(&bytes, room) {
                        Ok(used) => drop(received.splice(..0, bytes[used..].iter().copied())),
                        Err(error) => {
                            return ReceiveOutcome::Respond(LocalResponse {
                                upload_state: upload_state(archive, id),
                                ..LocalResponse::from_error(error)
                            })
                        }
                    }
                }
            }
            if pending_append.is_none() && !pipe.out.is_empty() {
                match self.append_to_archive(writer, pipe) {
                    Ok(sent) => pending_append = Some(sent),
                    Err(error) => return ReceiveOutcome::Respond(refusal(error, upload_state(archive, id))),
                }
                progressed = true;
            }
            report.held_for_upstream =
                pipe.buffered_bytes() + pending_append.as_ref().map_or(0, |(bytes, _)| *bytes as u64);
            report.awaits_client_body = !pipe.is_complete() && report.held_for_upstream == 0;
            self.with_manager(|manager, now| manager.record_transfer(now, handle, report));
            if pipe.is_complete() && pipe.out.is_empty() && pending_append.is_none() {
                return ReceiveOutcome::Complete;
            }
            if !progressed {
                bytes_in_turn = 0;
                socket.wait();
            } else if bytes_in_turn >= BYTES_PER_TURN {
                bytes_in_turn = 0;
                self.fair_yield.yield_on(socket);
            }
        }
    }

    /// Reads at most `max_bytes` that the client has sent; none if none are available yet.
    ///
    /// # Errors
    /// Why the client sends nothing more.
    fn read_available(&self, socket: &Socket, max_bytes: usize) -> Result<Vec<u8>, CloseReason> {
        self.scratch.with(|scratch| {
            let max_bytes = max_bytes.min(scratch.len());
            match socket.read(&mut scratch[..max_bytes])? {
                ReadOutcome::Bytes(bytes) => Ok(scratch[..bytes].to_vec()),
                ReadOutcome::WouldBlock => Ok(Vec::new()),
                ReadOutcome::EndOfStream => Err(CloseReason::Truncated),
            }
        })
    }

    /// Sends the decoded bytes that wait in the pipe to the archive.
    fn append_to_archive(
        &self,
        writer: &mut UploadWriter,
        pipe: &mut BodyPipe,
    ) -> Result<(usize, PendingOperation), UploadError> {
        let bytes = pipe.out.front().to_vec();
        let checksum = crc32c::crc32c_append(writer.checksum, &bytes);
        let length = bytes.len();
        let (id, number) = (writer.id, writer.number);
        let uploads = &writer.archive.uploads;
        uploads.with(|uploads| uploads.append(id, number, length as u64, checksum, unix_seconds()))?;
        writer.checksum = checksum;
        pipe.out.consume(length);
        let waker = writer.socket.waker();
        Ok((length, writer.archive.append(writer.id, bytes, move || waker.wakeup())))
    }

    /// Archives the rest of the received bytes after the client's connection has dropped.
    fn archive_rest(
        &self,
        writer: &mut UploadWriter,
        pipe: &mut BodyPipe,
        pending_append: Option<(usize, PendingOperation)>,
        reason: CloseReason,
    ) -> ReceiveOutcome {
        let mut last_append = pending_append.map(|(_, operation)| operation);
        if !pipe.out.is_empty() {
            // If another request has taken the upload over, these bytes are discarded: the client sends them
            // again in that request.
            last_append =
                self.append_to_archive(writer, pipe).ok().map(|(_, operation)| operation).or(last_append);
        }
        if let Some(operation) = last_append {
            // A failed append is reported when the offset is recorded.
            let _ = self.await_operation(writer.socket, &operation);
        }
        ReceiveOutcome::ClientGone(reason)
    }

    /// Forwards a complete upload from the archive to an upstream.
    fn forward_upload(
        self: &Arc<Self>,
        archive: &Arc<UploadArchive>,
        socket: &Arc<Socket>,
        handle: &Arc<RequestHandle>,
        id: UploadId,
        received: &mut Vec<u8>,
    ) -> AfterRequest {
        let stored = archive
            .uploads
            .with(|uploads| uploads.get(id).map(|upload| (upload.request_head.clone(), upload.offset)));
        let request = stored.and_then(|(mut head, length)| {
            // The stored head ends with an empty line; the length of the body is added before it.
            head.truncate(head.len() - 2);
            head.extend_from_slice(format!("Content-Length: {length}\r\n\r\n").as_bytes());
            Some((RequestHead::parse(&head).ok()??.head, length))
        });
        let forwarded = request.ok_or(MessageError::UnknownUpload).and_then(|(request, length)| {
            let class = self.settings.class(&request)?;
            Ok((ProxiedRequest::new(request, self.settings.classes[class].forwarding.clone())?, length))
        });
        match forwarded {
            Ok((proxied, length)) => {
                let body = ArchivedBody {
                    archive: archive.clone(),
                    id,
                    offset: 0,
                    length,
                    unused: Vec::new(),
                    pending_read: None,
                };
                self.run_exchange(socket, handle, proxied, Some(body), Some(length), received)
            }
            Err(error) => {
                archive.remove(id);
                self.with_manager(|manager, now| manager.end_request(now, handle, RunEnd::Failed));
                AfterRequest::Close(self.close_with(socket, &LocalResponse::from_error(error)))
            }
        }
    }
}

/// The delay after which a client may retry a refused request that creates or resumes an upload.
const REFUSED_RETRY_AFTER: lynxtally::Span = lynxtally::Span::from_millis(1000);

fn upload_state(archive: &UploadArchive, id: UploadId) -> Option<UploadState> {
    archive.uploads.with(|uploads| {
        let upload = uploads.get(id)?;
        Some(UploadState { offset: upload.offset, is_complete: upload.is_complete })
    })
}

/// The response to a request that was not admitted, or was not finished by its deadline.
fn local_response(response: &FinalResponse, upload_state: Option<UploadState>) -> LocalResponse {
    match response {
        FinalResponse::Rejected { retry_after, .. } => {
            let retry_after_secs = Some((retry_after.secs().ceil() as u64).max(1));
            LocalResponse {
                retry_after_secs,
                upload_state,
                ..LocalResponse::new(503, "not taken; nothing of it was done")
            }
        }
        // The deadline of the request has passed, but a new request can resume the upload at its offset.
        _ => LocalResponse {
            retry_after_secs: Some(1),
            upload_state,
            ..LocalResponse::new(503, "not done in time")
        },
    }
}

/// The head that is stored with an upload for its upstream: that of the request that created it, without the
/// fields about the upload. The length of the body is added once it is known.
fn stored_head(request: &RequestHead) -> Vec<u8> {
    let mut text = String::new();
    let _ = write!(text, "{} {} HTTP/1.1\r\n", request.method, request.target);
    let mut head = text.into_bytes();
    for (name, value) in &request.fields {
        if !name.to_ascii_lowercase().starts_with("upload-") {
            head.extend_from_slice(name.as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(value);
            head.extend_from_slice(b"\r\n");
        }
    }
    head.extend_from_slice(b"\r\n");
    head
}
