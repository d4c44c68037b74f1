//! The HTTP/1.1 codec for clients and the downstream dependency. It parses bytes into typed values and does no I/O.
//!
//! The header names of the protocol appear only in this module and in [`crate::response`], which writes the responses
//! to clients.

mod headers;
mod parse_error;
mod request;

pub use parse_error::ParseError;
pub use request::{ReceivedRequest, RequestSchema};

use headers::Headers;

/// The maximum size of a message's head.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The maximum size of a request's body.
pub const MAX_REQUEST_BODY_BYTES: usize = 2 * 1024;
/// The maximum size of the body of a response to a downstream call.
pub const MAX_CALL_RESPONSE_BODY_BYTES: usize = 64 * 1024;
/// The maximum number of headers in a message.
const MAX_HEADERS: usize = 64;

/// A parsed message from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientMessage {
    /// The client asks whether this node is healthy.
    HealthCheck,
    /// The client sends a request to run.
    Request(Box<ReceivedRequest>),
}

/// A complete message with its connection option.
#[derive(Clone, Debug, PartialEq)]
pub struct Framed<T> {
    /// The parsed message.
    pub content: T,
    /// Whether the sender closes the connection after this exchange.
    pub closes_connection: bool,
}

/// The response to a downstream call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResponse {
    /// The HTTP status.
    pub status: u16,
    /// Whether the dependency declares, with a header, that it did not execute the call.
    pub not_executed: bool,
    /// The body, which is forwarded to the executor.
    pub body: Vec<u8>,
}

/// Extracts complete messages from a byte stream.
#[derive(Debug, Default)]
pub struct MessageReader {
    /// The bytes that are not parsed yet. The owner of the connection appends what it reads.
    pub buffer: Vec<u8>,
}

impl MessageReader {
    /// The buffer size for the bytes of a client: the size of the largest message.
    pub const CLIENT_BUFFER_BYTES: usize = MAX_HEAD_BYTES + MAX_REQUEST_BODY_BYTES;
    /// The buffer size for responses to downstream calls: the size of the largest response.
    pub const CALL_RESPONSE_BUFFER_BYTES: usize = MAX_HEAD_BYTES + MAX_CALL_RESPONSE_BODY_BYTES;

    /// Returns the next message from a client, or `None` while it is incomplete. `now_ms` is the current Unix time.
    ///
    /// # Errors
    /// Returns the reason if the message is not accepted. The bytes after such a message can't be parsed either.
    pub fn next_client_message(
        &mut self,
        schema: &RequestSchema,
        now_ms: u64,
    ) -> Result<Option<Framed<ClientMessage>>, ParseError> {
        self.skip_empty_lines();
        let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut slots);
        let parsed = head.parse(&self.buffer);
        let Some(body_start) = body_start(parsed, self.buffer.len())? else { return Ok(None) };
        let headers = Headers::parse(head.headers)?;
        let length = headers.content_length.unwrap_or(0);
        if length > MAX_REQUEST_BODY_BYTES {
            return Err(ParseError::BodyTooLarge);
        }
        let closes_connection = headers.connection_close || head.version == Some(0);
        let body_end = body_start + length;
        let path = head.path.unwrap_or("");
        let path = path.split_once('?').map_or(path, |(path, _query)| path);
        // Health checks are `GET /alive`, requests `POST /ops/CLASS`.
        let content = match (path.rsplit_once('/'), head.method) {
            (Some(("", "alive")), Some("GET" | "HEAD")) => ClientMessage::HealthCheck,
            (Some(("/ops", class)), Some("POST")) => {
                if self.buffer.len() < body_end {
                    return Ok(None);
                }
                let body = self.buffer[body_start..body_end].to_vec();
                ClientMessage::Request(Box::new(headers.into_request(class, schema, now_ms, body)?))
            }
            (Some(("", "alive") | ("/ops", _)), _) => return Err(ParseError::MethodNotAllowed),
            _ => return Err(ParseError::UnknownPath),
        };
        if self.buffer.len() < body_end {
            return Ok(None);
        }
        self.buffer.drain(..body_end);
        Ok(Some(Framed { content, closes_connection }))
    }

    /// Removes the empty lines that some clients send before a message.
    fn skip_empty_lines(&mut self) {
        let blank = self.buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        self.buffer.drain(..blank);
    }

    /// Returns the next response to a downstream call, or `None` while it is incomplete. Interim responses (1xx) are
    /// skipped.
    ///
    /// # Errors
    /// Returns the reason if the response can't be parsed. The bytes after it can't be parsed either.
    pub fn next_call_response(&mut self) -> Result<Option<Framed<CallResponse>>, ParseError> {
        loop {
            let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Response::new(&mut slots);
            let parsed = head.parse(&self.buffer);
            let Some(body_start) = body_start(parsed, self.buffer.len())? else { return Ok(None) };
            match head.code {
                // The bytes after 101 (Switching Protocols) are not HTTP/1.1.
                Some(101) => return Err(ParseError::MalformedHead),
                Some(100..=199) => drop(self.buffer.drain(..body_start)),
                _ => return self.final_call_response(),
            }
        }
    }

    fn final_call_response(&mut self) -> Result<Option<Framed<CallResponse>>, ParseError> {
        let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut slots);
        let parsed = head.parse(&self.buffer);
        let Some(body_start) = body_start(parsed, self.buffer.len())? else { return Ok(None) };
        let headers = Headers::parse(head.headers)?;
        let length = headers.content_length.ok_or(ParseError::InvalidLength)?;
        if length > MAX_CALL_RESPONSE_BODY_BYTES {
            return Err(ParseError::BodyTooLarge);
        }
        let body_end = body_start + length;
        if self.buffer.len() < body_end {
            return Ok(None);
        }
        let status = head.code.ok_or(ParseError::MalformedHead)?;
        let closes_connection = headers.connection_close || head.version == Some(0);
        let not_executed = headers.not_executed;
        let body = self.buffer[body_start..body_end].to_vec();
        self.buffer.drain(..body_end);
        Ok(Some(Framed { content: CallResponse { status, not_executed, body }, closes_connection }))
    }
}

/// Returns the offset of the body, or `None` while the head is incomplete.
fn body_start(parsed: httparse::Result<usize>, buffered: usize) -> Result<Option<usize>, ParseError> {
    match parsed {
        Ok(httparse::Status::Complete(start)) if start <= MAX_HEAD_BYTES => Ok(Some(start)),
        Ok(httparse::Status::Partial) if buffered < MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(ParseError::HeadTooLarge),
        Err(_) => Err(ParseError::MalformedHead),
    }
}

/// Writes the HTTP request of a downstream call for the request with this id.
pub fn write_call(out: &mut Vec<u8>, id: &str, timeout_ms: u64, body: &[u8]) {
    let length = body.len();
    let head = format!(
        "POST /post HTTP/1.1\r\nHost: ledger\r\nX-Txn-Ref: {id}\r\n\
         X-Limit-Ms: {timeout_ms}\r\nContent-Length: {length}\r\n\r\n"
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}
