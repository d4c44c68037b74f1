//! Heads of HTTP/1.1 messages (RFC 9110, RFC 9112): parsed from bytes into typed values, and written to bytes
//! again. The module does no I/O, and the rest of the crate needs no field names.

mod error;
mod fields;
mod local_response;
mod request;
mod response;

pub use error::MessageError;
pub use fields::{ContentRange, KnownFields, UploadFields};
pub use local_response::{BodyUse, LocalResponse, UploadState};
pub use request::{ForwardedRequest, RangeRequest, RequestHead};
pub use response::ResponseHead;

use std::io::Write;

/// The largest head in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The most fields in a head.
const MAX_FIELDS: usize = 100;

/// The interim response that tells the client to send the body (RFC 9110 section 15.2.1).
pub const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// How the end of a body is determined (RFC 9112 section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    Empty,
    /// The body ends after this many bytes.
    Length(u64),
    /// The body ends with its last chunk.
    Chunked,
    /// The body ends when the connection is closed.
    Close,
}

/// The name and value of a field, as received.
pub type Field = (String, Vec<u8>);

/// A parsed head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedHead<T> {
    /// The parsed head.
    pub head: T,
    /// The length of the head in bytes.
    pub length: usize,
}

/// Whether a connection is kept open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// The connection is kept open for the next request.
    KeepAlive,
    /// The connection is closed, and the response says so.
    Close,
}

impl ConnectionUse {
    /// Closes the connection if `closes`, and keeps it open otherwise.
    pub fn closing_if(closes: bool) -> Self {
        if closes {
            Self::Close
        } else {
            Self::KeepAlive
        }
    }

    fn write(self, out: &mut Vec<u8>) {
        if self == Self::Close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
    }
}

fn write_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Writes the field that gives the framing of a body. If there is no body, a length of 0 is written only if
/// `writes_empty_length`.
fn write_framing(out: &mut Vec<u8>, framing: Framing, writes_empty_length: bool) {
    match framing {
        Framing::Empty if writes_empty_length => out.extend_from_slice(b"Content-Length: 0\r\n"),
        Framing::Empty | Framing::Close => {}
        Framing::Length(length) => {
            // Writing to memory cannot fail.
            let _ = write!(out, "Content-Length: {length}\r\n");
        }
        Framing::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
    }
}

/// The length of a head that was parsed from `available` bytes, or `None` if it is not complete yet.
fn head_length(parsed: httparse::Result<usize>, available: usize) -> Result<Option<usize>, MessageError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => Ok(Some(length)),
        Ok(httparse::Status::Partial) if available < MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(MessageError::HeadTooLarge),
        Err(_) => Err(MessageError::InvalidHead),
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        104 => "Upload Resumption Supported",
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        206 => "Partial Content",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        416 => "Range Not Satisfiable",
        417 => "Expectation Failed",
        422 => "Unprocessable Content",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        507 => "Insufficient Storage",
        _ => "Other",
    }
}
