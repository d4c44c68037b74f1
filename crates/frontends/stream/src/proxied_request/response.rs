//! The response direction of a proxied request: from the upstream to the client.

use super::{ProxiedRequest, ProxyError};
use crate::body_pipe::BodyPipe;
use crate::content_coder::ContentCoder;
use crate::http::{ConnectionUse, Framing, MessageError, ParsedHead, ResponseHead, MAX_HEAD_BYTES};
use lynxtally_flow::coding::Coding;
use lynxtally_flow::resume::{PartialDownload, ResumeMismatch};

/// Suffixes of the media types, beside `text/`, whose bodies get smaller when they are encoded.
const COMPRESSIBLE_SUFFIXES: [&str; 5] = ["json", "xml", "javascript", "csv", "ndjson"];

impl ProxiedRequest {
    /// The head of the upstream's response.
    pub fn response(&self) -> Option<&ResponseHead> {
        self.response.as_ref()
    }

    /// Receives bytes of the upstream's response, until `room` bytes wait.
    ///
    /// # Errors
    /// The response is not valid, or is not the rest of the download that was asked for.
    pub fn receive_response(&mut self, bytes: &[u8], room: usize) -> Result<(), ProxyError> {
        if let Some(body) = self.response_body.as_mut().filter(|_| self.resumed_download.is_none()) {
            let used = body.receive(bytes, room).map_err(ProxyError::Upstream)?;
            // Bytes behind the end of the response are ignored: the connection carries one response only.
            if used < bytes.len() && !body.is_complete() {
                return Err(ProxyError::Upstream(MessageError::InvalidLength));
            }
            return Ok(());
        }
        self.partial_head.extend_from_slice(bytes);
        self.receive_heads(room)
    }

    /// Parses interim responses, and the final response once its head is complete.
    fn receive_heads(&mut self, room: usize) -> Result<(), ProxyError> {
        loop {
            let parsed = ResponseHead::parse(&self.partial_head, &self.request.method);
            let Some(ParsedHead { head, length }) = parsed.map_err(ProxyError::Upstream)? else {
                if self.partial_head.len() >= MAX_HEAD_BYTES {
                    return Err(ProxyError::Upstream(MessageError::HeadTooLarge));
                }
                return Ok(());
            };
            self.partial_head.drain(..length);
            match head.status {
                // The proxy requests no change of protocol, and cannot parse what follows one.
                101 => return Err(ProxyError::Upstream(MessageError::InvalidHead)),
                100 | 102 | 104 => {}
                ..=199 => self.forward_interim(&head),
                _ => {
                    let body = std::mem::take(&mut self.partial_head);
                    return self.receive_final(head, &body, room);
                }
            }
        }
    }

    fn forward_interim(&mut self, head: &ResponseHead) {
        // HTTP/1.0 has no interim responses, and none can be inserted into a response that has begun.
        if !self.request.is_http_10 && self.resumed_download.is_none() {
            head.write(self.preface.append_to(), Framing::Empty, None, ConnectionUse::KeepAlive);
        }
    }

    fn receive_final(&mut self, head: ResponseHead, body: &[u8], room: usize) -> Result<(), ProxyError> {
        if let Some(download) = self.resumed_download.take() {
            return self.resume_response(&download, &head, body, room);
        }
        // The upstream refused the request before it had the whole body. The response goes to the client at
        // once, and the rest of the body is discarded.
        if head.status >= 400 && !self.request_body.is_complete() {
            self.is_body_refused = true;
            self.closes_connection = true;
            self.request_body.out.discard();
        }
        let added_coding = self.added_coding(&head);
        let framing = match head.framing {
            Framing::Empty => Framing::Empty,
            Framing::Length(_) if added_coding.is_none() => head.framing,
            _ if self.request.is_http_10 => Framing::Close,
            _ => Framing::Chunked,
        };
        self.closes_connection |= framing == Framing::Close;
        let coder = added_coding
            .map_or_else(|| Ok(ContentCoder::identity()), ContentCoder::encoder)
            .map_err(ProxyError::Upstream)?;
        let mut pipe = BodyPipe::new(head.framing, framing, coder);
        let connection = ConnectionUse::closing_if(self.closes_connection);
        head.write(pipe.out.append_to(), framing, added_coding, connection);
        pipe.start().map_err(ProxyError::Upstream)?;
        pipe.receive(body, room).map_err(ProxyError::Upstream)?;
        self.response = Some(head);
        self.response_body = Some(pipe);
        Ok(())
    }

    /// Resumes a download with the response of another upstream, if that upstream has the same object.
    fn resume_response(
        &mut self,
        download: &PartialDownload,
        head: &ResponseHead,
        body: &[u8],
        room: usize,
    ) -> Result<(), ProxyError> {
        let pipe = self.response_body.as_mut().ok_or(ProxyError::Upstream(MessageError::InvalidHead))?;
        let content_range = head.field("Content-Range").and_then(|value| std::str::from_utf8(value).ok());
        let received = pipe.received_bytes();
        download
            .check_continuation(received, head.status, head.known.strong_validator.as_deref(), content_range)
            .map_err(ProxyError::ObjectChanged)?;
        let bytes_left = download.end - download.first - received;
        let is_the_rest = match head.framing {
            Framing::Length(length) => length == bytes_left,
            Framing::Chunked => true,
            Framing::Empty | Framing::Close => false,
        };
        if !is_the_rest {
            return Err(ProxyError::ObjectChanged(ResumeMismatch::Part));
        }
        pipe.resume_from(head.framing);
        pipe.receive(body, room).map_err(ProxyError::Upstream)?;
        Ok(())
    }

    /// The content coding that the proxy adds to a response: the one that the client prefers. It is added
    /// only to a response that is complete, long, not encoded yet, compressible, and allowed to be changed.
    fn added_coding(&self, head: &ResponseHead) -> Option<Coding> {
        let request = &self.request.known;
        let response = &head.known;
        let preferred = Some(request.accepted_coding).filter(|coding| *coding != Coding::Identity)?;
        let min_bytes = self.settings.min_encoded_bytes?;
        let is_long = match head.framing {
            Framing::Empty => false,
            Framing::Length(length) => length >= min_bytes,
            Framing::Chunked | Framing::Close => true,
        };
        let is_encoded = response.content_coding != Coding::Identity || response.has_other_coding;
        let is_part = request.is_ranged || response.is_ranged;
        let may_change = !request.no_transform && !response.no_transform && !self.request.is_http_10;
        let is_candidate = head.status == 200 && is_long && !is_encoded && !is_part && may_change;
        (is_candidate && is_compressible(&response.media_type)).then_some(preferred)
    }

    /// How many of the next `length` bytes of the response may be written to the client unchanged.
    pub fn response_passthrough_length(&self, length: usize) -> usize {
        if !self.preface.is_empty() || self.resumed_download.is_some() || self.response_copy.is_some() {
            return 0;
        }
        self.response_body.as_ref().map_or(0, |body| body.passthrough_length(length))
    }

    /// Counts bytes of the response that were written to the client unchanged.
    ///
    /// # Errors
    /// The response is shorter than its framing said.
    pub fn record_response_passthrough(&mut self, bytes: &[u8]) -> Result<(), ProxyError> {
        let Some(body) = &mut self.response_body else { return Ok(()) };
        body.record_passthrough(bytes).map_err(ProxyError::Upstream)
    }

    /// Sends out what the content coder holds back, so that it does not wait for the upstream's next bytes.
    ///
    /// # Errors
    /// The response cannot be encoded.
    pub fn flush_response(&mut self) -> Result<(), ProxyError> {
        let Some(body) = &mut self.response_body else { return Ok(()) };
        body.flush().map_err(ProxyError::Upstream)
    }

    /// Handles the end of the upstream's connection, and returns whether the response is complete.
    ///
    /// # Errors
    /// What is wrong with the end of the response.
    pub fn end_of_response(&mut self) -> Result<bool, ProxyError> {
        if self.resumed_download.is_some() {
            return Ok(false);
        }
        let Some(body) = &mut self.response_body else { return Ok(false) };
        body.end_of_input().map_err(ProxyError::Upstream)
    }

    /// The output to the client that is to be written next.
    pub fn client_output(&self) -> &[u8] {
        match &self.response_body {
            Some(body) if self.preface.is_empty() => body.out.front(),
            _ => self.preface.front(),
        }
    }

    /// Removes `count` bytes of output that were written to the client.
    pub fn consume_client_output(&mut self, count: usize) {
        self.copy_output(count);
        match &mut self.response_body {
            Some(body) if self.preface.is_empty() => body.out.consume(count),
            _ => self.preface.consume(count),
        }
    }

    /// Adds output to the copy of the response. The copy is dropped if it would exceed its limit.
    fn copy_output(&mut self, count: usize) {
        let Some(mut copy) = self.response_copy.take() else { return };
        if copy.len() + count > self.settings.max_response_copy_bytes {
            return;
        }
        // Interim responses are not part of the response that is copied.
        if self.preface.is_empty() {
            copy.extend_from_slice(&self.client_output()[..count]);
        }
        self.response_copy = Some(copy);
    }

    /// Takes the copy of the upstream's whole response, if one was kept.
    pub fn take_response_copy(&mut self) -> Option<Vec<u8>> {
        self.response_copy.take().filter(|_| !self.is_local_response)
    }

    /// The bytes held for the client.
    pub fn buffered_response_bytes(&self) -> u64 {
        let before_body = self.preface.len() + self.partial_head.len();
        let in_body = self.response_body.as_ref().map_or(0, BodyPipe::buffered_bytes);
        before_body as u64 + in_body
    }

    /// Whether the whole response was written to the client.
    pub fn is_done(&self) -> bool {
        let is_body_done = self.response_body.as_ref().is_some_and(BodyPipe::is_done);
        self.preface.is_empty() && (self.is_local_response || is_body_done)
    }

    /// Whether the whole response was received, even if some of it still waits to be written.
    pub fn is_response_complete(&self) -> bool {
        self.is_local_response || self.response_body.as_ref().is_some_and(BodyPipe::is_complete)
    }

    /// Whether the final response to the client has begun.
    pub fn has_response_begun(&self) -> bool {
        self.is_local_response || self.response_body.is_some()
    }
}

fn is_compressible(media_type: &str) -> bool {
    let has_suffix = COMPRESSIBLE_SUFFIXES.iter().any(|suffix| media_type.ends_with(suffix));
    media_type.starts_with("text/") || has_suffix
}
