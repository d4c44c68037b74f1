//! What is sent to another upstream after one has failed: the whole request, or a request for the rest of a
//! download.

use super::{forwarded_request, ProxiedRequest};
use crate::body_pipe::BodyPipe;
use crate::http::{ContentRange, ForwardedRequest, Framing, RangeRequest};
use lynxtally_flow::coding::Coding;
use lynxtally_flow::resume::PartialDownload;

impl ProxiedRequest {
    /// Whether all of the body received so far can be sent again.
    pub fn can_resend_body(&self) -> bool {
        self.request_body.kept_copy().is_some() || self.request_body.received_bytes() == 0
    }

    /// Prepares the output for another upstream: replaces what waits to be sent by the head of the request and
    /// the copy of the body received so far.
    pub fn resend(&mut self) {
        let mut head = Vec::new();
        self.request.write(&mut head, forwarded_request(&self.request, self.forwarded_framing));
        self.request_body.replay(&head, self.forwarded_framing);
        self.partial_head.clear();
    }

    /// The download in progress, if another upstream can be asked for the rest of it. It can if the object
    /// has a strong validator, its bytes are passed on unchanged, and their positions in the object are
    /// known.
    pub fn resumable_download(&self) -> Option<PartialDownload> {
        let response = self.response.as_ref()?;
        let body = self.response_body.as_ref()?;
        let validator = response.known.strong_validator.clone()?;
        let Framing::Length(length) = response.framing else { return None };
        let download = match (response.status, response.known.content_range) {
            (200, _) if response.known.accepts_ranges => {
                PartialDownload { validator, first: 0, end: length, complete_length: Some(length) }
            }
            (206, Some(ContentRange { first, last, complete_length })) if last - first + 1 == length => {
                PartialDownload { validator, first, end: last + 1, complete_length }
            }
            _ => return None,
        };
        let is_encoded = response.known.content_coding != Coding::Identity || response.known.has_other_coding;
        let is_plain_get = self.request.method == "GET" && !is_encoded;
        let has_rest = !body.is_complete() && download.remaining(body.received_bytes()).is_some();
        (is_plain_get && has_rest).then_some(download)
    }

    /// Prepares the output for another upstream: replaces what waits to be sent by a request for the rest of a
    /// download.
    pub fn request_rest(&mut self, download: PartialDownload) {
        let received = self.response_body.as_ref().map_or(0, BodyPipe::received_bytes);
        let Some((first, end)) = download.remaining(received) else { return };
        let mut head = Vec::new();
        let range = RangeRequest { first, end, validator: &download.validator };
        let forwarded = ForwardedRequest { framing: Framing::Empty, is_decoded: false, range: Some(range) };
        self.request.write(&mut head, forwarded);
        self.request_body.drop_copy();
        self.request_body.replay(&head, Framing::Empty);
        self.partial_head.clear();
        self.resumed_download = Some(download);
    }
}
