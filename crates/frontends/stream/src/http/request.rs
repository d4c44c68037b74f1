//! Heads of requests: parsed from what clients send, and written for upstreams.

use super::fields::ParsedFields;
use super::{
    head_length, write_field, write_framing, Field, Framing, KnownFields, MessageError, ParsedHead,
    MAX_FIELDS,
};
use std::io::Write;

/// What a parsed field takes besides its name and value: two pointers with lengths, and two allocations.
const FIELD_BYTES: usize = 80;

/// The head of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The request method.
    pub method: String,
    /// The request target: a path with its query, or `*`.
    pub target: String,
    /// Whether the client uses HTTP/1.0.
    pub is_http_10: bool,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// The fields that the proxy reads.
    pub known: KnownFields,
    /// The fields that are forwarded.
    pub fields: Vec<Field>,
}

/// A request for the rest of an object, of which another upstream has sent the first part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RangeRequest<'a> {
    /// Position of the first requested byte.
    pub first: u64,
    /// Position behind the last requested byte.
    pub end: u64,
    /// The validator of the object.
    pub validator: &'a str,
}

/// How a request is forwarded to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedRequest<'a> {
    /// The framing in which the body is sent to the upstream.
    pub framing: Framing,
    /// Whether the proxy removes the content coding of the body.
    pub is_decoded: bool,
    /// The range to ask for; `None` for the whole object.
    pub range: Option<RangeRequest<'a>>,
}

impl RequestHead {
    /// Parses the head at the start of `bytes`. Returns `None` if the head is not complete yet.
    ///
    /// # Errors
    /// What is wrong with the head.
    pub fn parse(bytes: &[u8]) -> Result<Option<ParsedHead<Self>>, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut headers);
        let parsed = request.parse(bytes);
        let Some(length) = head_length(parsed, bytes.len())? else { return Ok(None) };
        let ParsedFields { known, forwarded } = ParsedFields::parse(request.headers)?;
        let is_http_10 = request.version == Some(0);
        if known.host_count > 1 || (known.host_count == 0 && !is_http_10) {
            return Err(MessageError::InvalidHost);
        }
        let method = request.method.unwrap_or("").to_owned();
        if method == "CONNECT" || method == "TRACE" {
            return Err(MessageError::MethodNotAllowed);
        }
        let target = request.path.unwrap_or("").to_owned();
        if !target.starts_with('/') && target != "*" {
            return Err(MessageError::InvalidTarget);
        }
        let framing = request_framing(&known, is_http_10)?;
        let head = Self { method, target, is_http_10, framing, known, fields: forwarded };
        Ok(Some(ParsedHead { head, length }))
    }

    /// About how much memory the parsed head takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let fields = self.fields.iter().map(|(name, value)| FIELD_BYTES + name.len() + value.len());
        self.method.len() + self.target.len() + fields.sum::<usize>()
    }

    /// Whether the client's connection ends after the response.
    pub fn closes_connection(&self) -> bool {
        self.known.closes_connection || (self.is_http_10 && !self.known.keep_alive)
    }

    /// Whether this is a `HEAD` request, whose response has no body even if the response's fields announce one.
    pub fn is_head(&self) -> bool {
        self.method == "HEAD"
    }

    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }

    /// The value of a forwarded field.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| &value[..])
    }

    /// Appends the head for an upstream to `out`. It asks the upstream to close the connection after the
    /// response.
    pub fn write(&self, out: &mut Vec<u8>, forwarded: ForwardedRequest) {
        // Writing to memory cannot fail.
        let _ = write!(out, "{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in &self.fields {
            if !is_replaced(name, forwarded) {
                write_field(out, name, value);
            }
        }
        if let Some(RangeRequest { first, end, validator }) = forwarded.range {
            let _ = write!(out, "Range: bytes={first}-{}\r\nIf-Range: {validator}\r\n", end - 1);
        }
        self.write_via(out);
        let writes_empty_length = self.method != "GET" && self.method != "HEAD";
        write_framing(out, forwarded.framing, writes_empty_length);
        out.extend_from_slice(b"Connection: close\r\n\r\n");
    }

    fn write_via(&self, out: &mut Vec<u8>) {
        let version = if self.is_http_10 { "1.0" } else { "1.1" };
        out.extend_from_slice(b"Via: ");
        if let Some(earlier) = self.field("Via") {
            out.extend_from_slice(earlier);
            out.extend_from_slice(b", ");
        }
        let _ = write!(out, "{version} lynxtally\r\n");
    }
}

/// Whether a field of the client is left out, because the proxy replaces it or because it does not apply any
/// more.
fn is_replaced(name: &str, forwarded: ForwardedRequest) -> bool {
    let is = |other: &str| name.eq_ignore_ascii_case(other);
    if forwarded.is_decoded && is("Content-Encoding") {
        return true;
    }
    if forwarded.range.is_some() && (is("Range") || is("If-Range") || is("Accept-Encoding")) {
        return true;
    }
    is("Via")
}

fn request_framing(known: &KnownFields, is_http_10: bool) -> Result<Framing, MessageError> {
    if known.is_chunked && is_http_10 {
        // HTTP/1.0 has no chunked coding (RFC 9112 section 6.1).
        return Err(MessageError::InvalidLength);
    }
    if known.is_chunked {
        return Ok(Framing::Chunked);
    }
    match known.content_length {
        None | Some(0) => Ok(Framing::Empty),
        Some(length) => Ok(Framing::Length(length)),
    }
}
