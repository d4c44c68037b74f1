//! Receives the body of a request and archives it.

use super::forward::ExecutionRequest;
use super::responses::{refusal, unfinished_response, upload_state};
use super::UploadRequest;
use crate::body_pipe::BodyPipe;
use crate::content_coder::ContentCoder;
use crate::http::{Framing, LocalResponse, MessageError, CONTINUE_RESPONSE};
use crate::idempotency::ContentDigest;
use crate::proxy::{AfterRequest, Proxy, BYTES_PER_TURN};
use crate::request_manager::{RequestHandle, TransferReport};
use crate::upload_archive::{unix_seconds, PendingOperation};
use lynxtally_engine::{RunEnd, Scheduler};
use lynxtally_flow::uploads::{UploadError, UploadId};
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::{ReadOutcome, Socket};
use lynxtally_net::sync::lock;
use std::sync::Arc;

/// Bytes kept free for framing, beside the bytes that are read.
const FRAMING_BYTES: u64 = 64;

/// The most bytes that are read at once of a body that is expected to have none.
const SHORT_BODY_BYTES: usize = 1024;

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
pub(super) struct UploadWriter<'a> {
    pub request: &'a UploadRequest<'a>,
    pub handle: &'a Arc<RequestHandle>,
    pub id: UploadId,
    /// The number of the writer, given by `Uploads::create` or `Uploads::resume`.
    pub number: u64,
    /// CRC-32C of the bytes of the upload so far.
    pub checksum: u32,
    /// The fingerprint of the bytes so far, if this request sends them from the first one on and a fingerprint is needed.
    pub digest: Option<ContentDigest>,
}

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Archives the body of a request. Then forwards the upload if it is complete, and otherwise responds with its offset and
    /// this status.
    pub(super) fn store_body(
        self: &Arc<Self>,
        mut writer: UploadWriter,
        received: &mut Vec<u8>,
        status: u16,
    ) -> AfterRequest {
        let UploadRequest { archive, socket, head, .. } = *writer.request;
        let (request, handle, id) = (writer.request, writer.handle, writer.id);
        let mut pipe = BodyPipe::new(head.framing, Framing::Close, ContentCoder::identity());
        let outcome = self.receive_upload(&mut writer, &mut pipe, received);
        let is_last = head.known.upload.complete == Some(true);
        let outcome = match outcome {
            ReceiveOutcome::Complete if is_last => {
                let completed = archive.uploads.with(|uploads| uploads.complete(id, writer.number));
                match completed {
                    Ok(true) => {
                        if let Some(digest) = writer.digest.take() {
                            archive.uploads.with(|uploads| uploads.set_fingerprint(id, digest.finish()));
                        }
                        return self.forward_upload(&ExecutionRequest { request, handle, id }, received);
                    }
                    Ok(false) => ReceiveOutcome::Respond(LocalResponse {
                        upload_state: upload_state(archive, id),
                        ..LocalResponse::from_error(MessageError::InvalidLength)
                    }),
                    Err(error) => ReceiveOutcome::Respond(refusal(error, upload_state(archive, id))),
                }
            }
            outcome => outcome,
        };
        // Whatever the outcome, the archived bytes are made durable before a response reports them.
        let durable = self.make_durable(archive, socket, id);
        let response = match (outcome, durable) {
            (ReceiveOutcome::ClientGone(reason), _) => {
                self.with_manager(|manager, now| manager.client_gone(now, handle, RunEnd::Stopped));
                return AfterRequest::Close(reason);
            }
            (_, Err(error)) => LocalResponse::new(500, error.to_string()),
            (ReceiveOutcome::Respond(response), _) => response,
            (ReceiveOutcome::Complete, Ok(())) => {
                let location = (status == 201).then(|| super::upload_path(id));
                let response = LocalResponse {
                    upload_state: upload_state(archive, id),
                    location,
                    ..LocalResponse::new(status, "")
                };
                let end = RunEnd::Completed(Vec::new());
                return self.end_with_response(request, handle, &response, end, true);
            }
        };
        self.end_with_response(request, handle, &response, RunEnd::Failed, pipe.is_complete())
    }

    /// Tells a client that waits for `100 Continue` to send its body.
    fn invite_body(&self, request: &UploadRequest, received: &[u8]) -> Result<(), CloseReason> {
        let has_body = request.head.framing != Framing::Empty;
        if request.head.known.expects_continue && has_body && received.is_empty() {
            self.write_all(request.socket, CONTINUE_RESPONSE)?;
        }
        Ok(())
    }

    /// Receives the body of an admitted request as far as it takes to know whether it has any bytes, and returns whether it
    /// has none.
    ///
    /// # Errors
    /// What happens to the connection of a request that ended in the meantime.
    pub(super) fn has_empty_body(
        &self,
        request: &UploadRequest,
        handle: &Arc<RequestHandle>,
        id: UploadId,
        received: &mut Vec<u8>,
    ) -> Result<bool, AfterRequest> {
        let gone = |reason| {
            self.with_manager(|manager, now| manager.client_gone(now, handle, RunEnd::Stopped));
            AfterRequest::Close(reason)
        };
        if !matches!(request.head.framing, Framing::Chunked) {
            return Ok(request.head.framing == Framing::Empty);
        }
        self.invite_body(request, received).map_err(gone)?;
        let mut pipe = BodyPipe::new(request.head.framing, Framing::Close, ContentCoder::identity());
        let mut is_valid = pipe.start().is_ok();
        loop {
            match pipe.receive(received, SHORT_BODY_BYTES) {
                Ok(used) => drop(received.drain(..used)),
                Err(_) => is_valid = false,
            }
            if !is_valid || pipe.received_bytes() > 0 || pipe.is_complete() {
                return Ok(is_valid && pipe.is_complete() && pipe.received_bytes() == 0);
            }
            if let Some(response) = handle.take_response() {
                self.with_manager(|manager, now| manager.end_request(now, handle, RunEnd::Failed));
                return Err(self.answer(request, handle, Some(id), response, false));
            }
            let bytes = self.read_available(request.socket, SHORT_BODY_BYTES).map_err(gone)?;
            if bytes.is_empty() {
                request.socket.wait();
            }
            received.extend_from_slice(&bytes);
        }
    }

    /// Receives the body of a request and archives it, until the body is complete or an error ends it.
    fn receive_upload(
        &self,
        writer: &mut UploadWriter,
        pipe: &mut BodyPipe,
        received: &mut Vec<u8>,
    ) -> ReceiveOutcome {
        let UploadRequest { archive, socket, .. } = *writer.request;
        let (handle, id) = (writer.handle, writer.id);
        let mut pending_append: Option<(usize, PendingOperation)> = None;
        let mut bytes_in_turn = 0;
        if let Err(reason) = self.invite_body(writer.request, received) {
            return ReceiveOutcome::ClientGone(reason);
        }
        if let Err(error) = pipe.start() {
            return ReceiveOutcome::Respond(LocalResponse::from_error(error));
        }
        loop {
            if let Some(response) = handle.take_response() {
                return ReceiveOutcome::Respond(unfinished_response(&response, upload_state(archive, id)));
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
        let uploads = &writer.request.archive.uploads;
        uploads.with(|uploads| uploads.append(id, number, length as u64, checksum, unix_seconds()))?;
        writer.checksum = checksum;
        if let Some(digest) = &mut writer.digest {
            digest.update(&bytes);
        }
        pipe.out.consume(length);
        let waker = writer.request.socket.waker();
        Ok((length, writer.request.archive.append(writer.id, bytes, move || waker.wakeup())))
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
            let _ = self.await_operation(writer.request.socket, &operation);
        }
        ReceiveOutcome::ClientGone(reason)
    }
}
