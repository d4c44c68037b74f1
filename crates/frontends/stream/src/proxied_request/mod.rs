//! The state of one proxied request, without I/O. It is fed the bytes that the client and the upstream send,
//! and holds the bytes that are to be written to either side. Both bodies are passed on as they arrive.
//!
//! This module implements the request direction, `response` the response direction, and `resend` what is sent
//! to another upstream after one has failed.

mod resend;
mod response;
mod settings;

pub use settings::{ForwardingSettings, ProxyError};

use crate::body_pipe::BodyPipe;
use crate::content_coder::ContentCoder;
use crate::http::{BodyUse, ConnectionUse};
use crate::http::{
    ForwardedRequest, Framing, LocalResponse, MessageError, RequestHead, ResponseHead, CONTINUE_RESPONSE,
};
use crate::idempotency::ContentDigest;
use crate::output_buffer::OutputBuffer;
use lynxtally_engine::Fingerprint;
use lynxtally_flow::coding::Coding;
use lynxtally_flow::resume::PartialDownload;

/// One proxied request.
pub struct ProxiedRequest {
    request: RequestHead,
    settings: ForwardingSettings,
    /// The output to the upstream: first the head of the request, then its body.
    pub request_body: BodyPipe,
    /// The framing in which the body goes to the upstream.
    forwarded_framing: Framing,
    /// Output to the client that comes before the upstream's response or replaces it.
    preface: OutputBuffer,
    /// Bytes of the upstream's response up to the end of its head.
    partial_head: Vec<u8>,
    response: Option<ResponseHead>,
    /// The upstream's response in the form in which it is sent to the client.
    response_body: Option<BodyPipe>,
    /// The download that is being resumed. While it is set, the next response is expected to be the rest of
    /// the download.
    resumed_download: Option<PartialDownload>,
    /// The upstream responded with an error before it had the whole body. The rest of the body is discarded.
    is_body_refused: bool,
    /// The body is received only to compare the request with an earlier one; nothing is forwarded.
    is_compared: bool,
    /// The proxy sends a response of its own instead of the upstream's.
    is_local_response: bool,
    /// The client's connection ends after the response.
    closes_connection: bool,
    /// A copy of the output to the client, if one is kept.
    response_copy: Option<Vec<u8>>,
}

impl ProxiedRequest {
    /// Creates the state for a request whose head has arrived.
    ///
    /// # Errors
    /// The announced length of the body exceeds the limit, or the body's content coding cannot be decoded.
    pub fn new(request: RequestHead, settings: ForwardingSettings) -> Result<Self, MessageError> {
        if matches!(request.framing, Framing::Length(length) if length > settings.max_body_bytes) {
            return Err(MessageError::BodyTooLarge);
        }
        let coder = request_coder(&request, &settings)?;
        // The length of a decoded body is not known until its end.
        let forwarded_framing = if coder.is_identity() { request.framing } else { Framing::Chunked };
        let mut request_body = BodyPipe::new(request.framing, forwarded_framing, coder);
        if settings.keeps_body_copy {
            request_body.keep_copy();
        }
        if settings.fingerprints_content {
            request_body.calculate_fingerprint(ContentDigest::new(&request));
        }
        let forwarded = forwarded_request(&request, forwarded_framing);
        request.write(request_body.out.append_to(), forwarded);
        request_body.start()?;
        let closes_connection = request.closes_connection();
        let response_copy = (settings.max_response_copy_bytes > 0).then(Vec::new);
        Ok(Self {
            request,
            settings,
            request_body,
            forwarded_framing,
            preface: OutputBuffer::default(),
            partial_head: Vec::new(),
            response: None,
            response_body: None,
            resumed_download: None,
            is_body_refused: false,
            is_compared: false,
            is_local_response: false,
            closes_connection,
            response_copy,
        })
    }

    /// Handles the admission of the request: a client that waits for `100 Continue` is told to send its body.
    pub fn on_admitted(&mut self) {
        self.ask_for_body();
    }

    fn ask_for_body(&mut self) {
        let nothing_received = self.request_body.received_bytes() == 0;
        let expects_continue = self.request.known.expects_continue;
        if expects_continue && !self.request_body.is_complete() && nothing_received {
            self.preface.append_to().extend_from_slice(CONTINUE_RESPONSE);
        }
    }

    /// Starts to receive the body without forwarding anything, to compare the request with an earlier one.
    pub fn receive_for_comparison(&mut self) {
        if !std::mem::replace(&mut self.is_compared, true) {
            self.ask_for_body();
        }
    }

    /// Whether the response is kept for repeats of the request. It is not once it has become too large.
    pub fn keeps_response(&self) -> bool {
        self.response_copy.is_some()
    }

    /// Whether the body is received only to compare the request with an earlier one.
    pub fn is_compared(&self) -> bool {
        self.is_compared
    }

    /// Takes the fingerprint of the content, once the whole body was received. It can be taken only once.
    pub fn take_fingerprint(&mut self) -> Option<Fingerprint> {
        self.request_body.take_fingerprint()
    }

    /// Whether more of the request's body is expected.
    pub fn wants_request_body(&self) -> bool {
        !self.request_body.is_complete()
    }

    /// Whether the upstream has refused the rest of the body.
    pub fn is_body_refused(&self) -> bool {
        self.is_body_refused
    }

    /// Receives bytes of the request's body and decodes them until `room` bytes wait. Returns how many bytes
    /// are used: fewer than all only if some are behind the end of the body.
    ///
    /// # Errors
    /// The body is not valid, or is larger than its class allows.
    pub fn receive_request_body(&mut self, bytes: &[u8], room: usize) -> Result<usize, ProxyError> {
        let used = self.request_body.receive(bytes, room).map_err(ProxyError::Client)?;
        self.check_body_size()?;
        if self.is_body_refused || self.is_local_response || self.is_compared {
            // The body is read only to find its end.
            self.request_body.out.discard();
        }
        Ok(used)
    }

    /// Decodes more of the request's body, until `room` bytes wait.
    ///
    /// # Errors
    /// As for [`Self::receive_request_body`].
    pub fn decode_more_request_body(&mut self, room: usize) -> Result<(), ProxyError> {
        self.request_body.decode_more(room).map_err(ProxyError::Client)?;
        self.check_body_size()
    }

    /// Counts bytes of the request's body that were written to the upstream unchanged.
    ///
    /// # Errors
    /// As for [`Self::receive_request_body`].
    pub fn record_request_passthrough(&mut self, bytes: &[u8]) -> Result<(), ProxyError> {
        self.request_body.record_passthrough(bytes).map_err(ProxyError::Client)?;
        self.check_body_size()
    }

    fn check_body_size(&self) -> Result<(), ProxyError> {
        let max_bytes = self.settings.max_body_bytes;
        let is_decoded = self.forwarded_framing != self.request.framing;
        let received_too_many = self.request_body.received_bytes() > max_bytes;
        let decoded_too_many = is_decoded && self.request_body.encoded_bytes() > max_bytes;
        if received_too_many || decoded_too_many {
            return Err(ProxyError::Client(MessageError::BodyTooLarge));
        }
        Ok(())
    }

    /// Whether the client's connection ends after the response.
    pub fn closes_connection(&self) -> bool {
        self.closes_connection || !self.request_body.is_complete()
    }

    /// Sends a response of the proxy's own. Returns false if the upstream's response has begun, because it is
    /// too late then.
    pub fn respond_locally(&mut self, response: &LocalResponse) -> bool {
        if self.has_response_begun() {
            return false;
        }
        let closes_connection = self.closes_connection();
        self.is_local_response = true;
        self.closes_connection = closes_connection;
        let connection = ConnectionUse::closing_if(closes_connection);
        let body = BodyUse::for_request(self.request.is_head());
        response.write(self.preface.append_to(), connection, body);
        true
    }

    /// Sends the kept response of an earlier request, byte for byte, because this request is a duplicate of it.
    pub fn replay_response(&mut self, bytes: &[u8]) {
        self.is_local_response = true;
        self.closes_connection = true;
        self.preface.append_to().extend_from_slice(bytes);
    }
}

/// The coder that decodes the request's body if upstreams do not accept its content coding.
fn request_coder(request: &RequestHead, settings: &ForwardingSettings) -> Result<ContentCoder, MessageError> {
    let coding = request.known.content_coding;
    let has_body = request.framing != Framing::Empty;
    let is_taken = request.known.has_other_coding || settings.upstream_codings.contains(&coding);
    if has_body && !is_taken && coding != Coding::Identity {
        ContentCoder::decoder(coding, settings.growth_limit)
    } else {
        Ok(ContentCoder::identity())
    }
}

/// Describes how the whole request is forwarded, with its body in this framing. The framing differs from the
/// received one only if the body is decoded.
fn forwarded_request(request: &RequestHead, framing: Framing) -> ForwardedRequest<'static> {
    ForwardedRequest { framing, is_decoded: framing != request.framing, range: None }
}
