//! HTTP/1.1 as clients and the downstream dependency speak it: bytes in, typed values out. No socket is known here, and
//! the names of the protocol's headers end here (and in [`crate::response`], for what is written to clients).

mod headers;
mod parse_error;
mod request;

pub use parse_error::ParseError;
pub use request::{ReceivedRequest, RequestSchema};

use headers::Headers;

/// Room for a message's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Room for a request's body, in bytes.
pub const MAX_REQUEST_BODY_BYTES: usize = 2 * 1024;
/// Room for the body of a response to a downstream call, in bytes.
pub const MAX_CALL_RESPONSE_BODY_BYTES: usize = 64 * 1024;
/// A head with more headers is too large.
const MAX_HEADERS: usize = 64;

/// What a client asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientMessage {
    /// Whether this node is healthy.
    HealthCheck,
    /// That a request be served.
    Request(Box<ReceivedRequest>),
}

/// A complete message.
#[derive(Clone, Debug, PartialEq)]
pub struct Framed<T> {
    /// What it says.
    pub content: T,
    /// Whether its sender closes the connection after this exchange.
    pub closes_connection: bool,
}

/// The response to a downstream call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResponse {
    /// Its status.
    pub status: u16,
    /// Whether it says that the call was not executed.
    pub not_executed: bool,
    /// What goes to the executor.
    pub body: Vec<u8>,
}

/// Finds the messages in bytes that were split anywhere.
#[derive(Debug, Default)]
pub struct MessageReader {
    /// What was read and not parsed yet. Readers of a connection append here.
    pub buffer: Vec<u8>,
}

impl MessageReader {
    /// How much of what a client sends is buffered, in bytes: one message whole, and a bit of the next.
    pub const CLIENT_BUFFER_BYTES: usize = MAX_HEAD_BYTES + MAX_REQUEST_BODY_BYTES;
    /// The same for responses to downstream calls.
    pub const CALL_RESPONSE_BUFFER_BYTES: usize = MAX_HEAD_BYTES + MAX_CALL_RESPONSE_BODY_BYTES;

    /// The next complete message from a client, if there is one; `now_ms` is the time of the Unix clock.
    ///
    /// # Errors
    /// Why the message can't be accepted. Nothing after it can be parsed.
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

    /// Some clients send empty lines before a message; they mean nothing.
    fn skip_empty_lines(&mut self) {
        let blank = self.buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        self.buffer.drain(..blank);
    }

    /// The next complete response to a downstream call, if there is one. Interim responses (1xx) are skipped.
    ///
    /// # Errors
    /// Why the response can't be parsed. Nothing after it can be, either.
    pub fn next_call_response(&mut self) -> Result<Option<Framed<CallResponse>>, ParseError> {
        loop {
            let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Response::new(&mut slots);
            let parsed = head.parse(&self.buffer);
            let Some(body_start) = body_start(parsed, self.buffer.len())? else { return Ok(None) };
            match head.code {
                // After a switch of protocols nothing here can be parsed.
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

/// Where the body starts, once the head is complete.
fn body_start(parsed: httparse::Result<usize>, buffered: usize) -> Result<Option<usize>, ParseError> {
    match parsed {
        Ok(httparse::Status::Complete(start)) if start <= MAX_HEAD_BYTES => Ok(Some(start)),
        Ok(httparse::Status::Partial) if buffered < MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(ParseError::HeadTooLarge),
        Err(_) => Err(ParseError::MalformedHead),
    }
}

/// Writes a downstream call for the request with this id.
pub fn write_call(out: &mut Vec<u8>, id: &str, timeout_ms: u64, body: &[u8]) {
    let length = body.len();
    let head = format!(
        "POST /post HTTP/1.1\r\nHost: ledger\r\nX-Txn-Ref: {id}\r\n\
         X-Limit-Ms: {timeout_ms}\r\nContent-Length: {length}\r\n\r\n"
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}
