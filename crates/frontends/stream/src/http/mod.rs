//! Heads of HTTP/1.1 messages (RFC 9110, RFC 9112): bytes are parsed to typed values, and these are written again. No
//! socket is known here, and the names of the protocol's fields end here.

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

/// The largest head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The most fields in a head.
const MAX_FIELDS: usize = 100;

/// The interim response that asks for the body (RFC 9110 section 15.2.1).
pub const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// How the end of a body is known (RFC 9112 section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// After so many bytes.
    Length(u64),
    /// By its last chunk.
    Chunked,
    /// When the connection ends.
    Close,
}

/// A field as it was received: its name and its value.
pub type Field = (String, Vec<u8>);

/// A head that was parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedHead<T> {
    /// The head.
    pub head: T,
    /// How many bytes it took.
    pub length: usize,
}

/// Whether a connection is used after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// For the next request.
    KeepAlive,
    /// Not any more, and the response says so.
    Close,
}

impl ConnectionUse {
    /// The use of a connection that ends with this response, or does not.
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

/// Writes the field that says how a body is framed; for no body only where `writes_empty_length`.
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

/// The length of a head that was parsed from so many bytes, or none while it is not complete.
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
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        507 => "Insufficient Storage",
        _ => "Other",
    }
}
