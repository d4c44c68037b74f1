//! Responses that the proxy sends itself, instead of forwarding one of an upstream.

use super::{reason_phrase, ConnectionUse, MessageError};
use std::io::Write;

/// The interop version of the draft on resumable uploads that is implemented
/// (draft-ietf-httpbis-resumable-upload-05).
const UPLOAD_DRAFT_VERSION: u8 = 6;

/// The progress of an upload, as reported to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UploadState {
    /// The number of bytes that are archived.
    pub offset: u64,
    /// Whether all bytes of the upload are archived.
    pub is_complete: bool,
}

/// Whether a response is written with its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyUse {
    /// The response is written with its body.
    Included,
    /// The response is written without its body, because the request was a `HEAD` request.
    Omitted,
}

impl BodyUse {
    /// Leaves the body out for `HEAD` requests.
    pub fn for_request(is_head: bool) -> Self {
        if is_head {
            Self::Omitted
        } else {
            Self::Included
        }
    }
}

/// A response that the proxy sends itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalResponse {
    /// The status code.
    pub status: u16,
    /// The body: an explanation in plain text.
    pub text: String,
    /// The seconds after which the client may retry.
    pub retry_after_secs: Option<u64>,
    /// The progress of the upload that the request addressed.
    pub upload_state: Option<UploadState>,
    /// The path by which the upload can be resumed.
    pub location: Option<String>,
}

impl LocalResponse {
    /// Creates a response with only a status code and a text.
    pub fn new(status: u16, text: impl Into<String>) -> Self {
        Self { status, text: text.into(), retry_after_secs: None, upload_state: None, location: None }
    }

    /// Creates the response to a message that is refused.
    pub fn from_error(error: MessageError) -> Self {
        Self::new(error.status(), error.to_string())
    }

    /// Appends the response to `out`.
    pub fn write(&self, out: &mut Vec<u8>, connection: ConnectionUse, body: BodyUse) {
        // Writing to memory cannot fail.
        let _ = write!(out, "HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        if let Some(seconds) = self.retry_after_secs {
            let _ = write!(out, "Retry-After: {seconds}\r\n");
        }
        if let Some(UploadState { offset, is_complete }) = self.upload_state {
            let complete = u8::from(is_complete);
            let _ = write!(
                out,
                "Upload-Offset: {offset}\r\nUpload-Complete: ?{complete}\r\nCache-Control: no-store\r\n"
            );
        }
        if let Some(location) = &self.location {
            let _ = write!(
                out,
                "Location: {location}\r\nUpload-Draft-Interop-Version: {UPLOAD_DRAFT_VERSION}\r\n"
            );
        }
        if self.status >= 200 {
            self.write_body(out, connection, body);
        } else {
            out.extend_from_slice(b"\r\n");
        }
    }

    fn write_body(&self, out: &mut Vec<u8>, connection: ConnectionUse, body: BodyUse) {
        let text = if self.text.is_empty() { String::new() } else { format!("{}\n", self.text) };
        if self.status != 204 {
            let _ = write!(out, "Content-Type: text/plain\r\nContent-Length: {}\r\n", text.len());
        }
        connection.write(out);
        out.extend_from_slice(b"\r\n");
        if body == BodyUse::Included {
            out.extend_from_slice(text.as_bytes());
        }
    }
}
