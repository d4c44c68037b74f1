//! What is sent to another upstream after one has failed: the whole request, or a request for the rest of a download.

use super::{forwarded_request, ProxiedRequest};
use crate::body_pipe::BodyPipe;
use crate::http::{ContentRange, ForwardedRequest, Framing, RangeRequest};
use lynxtally_flow::coding::Coding;
use lynxtally_flow::resume::Piece;

impl ProxiedRequest {
    /// Whether all of the body received so far can be sent again.
    pub fn can_resend_body(&self) -> bool {
        self.request_body.kept_copy().is_some() || self.request_body.received_bytes() == 0
    }

    /// Sends the whole request again, to another upstream.
    pub fn resend(&mut self) {
        let mut head = Vec::new();
        self.request.write(&mut head, forwarded_request(&self.request, self.forwarded_framing));
        self.request_body.replay(&head, self.forwarded_framing);
        self.partial_head.clear();
    }

    /// The download under way, if the rest of it can be asked for elsewhere: its object has a strong validator, its
    /// bytes are those of the object, and it is known which of them it has.
    pub fn resumable_download(&self) -> Option<Piece> {
        let response = self.response.as_ref()?;
        let body = self.response_body.as_ref()?;
        let validator = response.known.strong_validator.clone()?;
        let Framing::Length(length) = response.framing else { return None };
        let download = match (response.status, response.known.content_range) {
            (200, _) if response.known.accepts_ranges => {
                Piece { validator, first: 0, end: length, whole: Some(length) }
            }
            (206, Some(ContentRange { first, last, complete_length })) if last - first + 1 == length => {
                Piece { validator, first, end: last + 1, whole: complete_length }
            }
            _ => return None,
        };
        let is_encoded = response.known.content_coding != Coding::Identity || response.known.has_other_coding;
        let is_plain_get = self.request.method == "GET" && !is_encoded;
        let has_rest = !body.is_complete() && download.rest(body.received_bytes()).is_some();
        (is_plain_get && has_rest).then_some(download)
    }

    /// Asks for the rest of a download, of an upstream that is yet to be chosen.
    pub fn request_rest(&mut self, download: Piece) {
        let received = self.response_body.as_ref().map_or(0, BodyPipe::received_bytes);
        let Some((first, end)) = download.rest(received) else { return };
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
