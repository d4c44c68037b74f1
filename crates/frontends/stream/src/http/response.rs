//! Heads of responses: parsed from what upstreams send, and written for clients.

use super::fields::ParsedFields;
use super::{
    head_length, reason_phrase, write_field, write_framing, ConnectionUse, Field, Framing, KnownFields,
    MessageError, ParsedHead, MAX_FIELDS,
};
use lynxtally_flow::coding::Coding;
use std::io::Write;

/// The head of an upstream's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// The fields that the proxy reads.
    pub known: KnownFields,
    /// The fields that are forwarded.
    pub fields: Vec<Field>,
}

impl ResponseHead {
    /// Parses the head at the start of `bytes`, of a response to a request with this method. Returns `None`
    /// if the head is not complete yet.
    ///
    /// # Errors
    /// What is wrong with the head.
    pub fn parse(bytes: &[u8], method: &str) -> Result<Option<ParsedHead<Self>>, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(bytes);
        let Some(length) = head_length(parsed, bytes.len())? else { return Ok(None) };
        let ParsedFields { known, forwarded } = ParsedFields::parse(response.headers)?;
        let status =
            response.code.filter(|code| (100..600).contains(code)).ok_or(MessageError::InvalidHead)?;
        let framing = response_framing(&known, method, status);
        let head = Self { status, framing, known, fields: forwarded };
        Ok(Some(ParsedHead { head, length }))
    }

    /// The value of a forwarded field.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| &value[..])
    }

    /// The length of the object, if the response has no body but gives the length that the body would have.
    fn announced_length(&self) -> Option<u64> {
        self.known.content_length.filter(|_| self.framing == Framing::Empty)
    }

    /// Appends the head for a client to `out`. `added_coding` is the content coding that the proxy adds to
    /// the body.
    pub fn write(
        &self,
        out: &mut Vec<u8>,
        framing: Framing,
        added_coding: Option<Coding>,
        connection: ConnectionUse,
    ) {
        // Writing to memory cannot fail.
        let _ = write!(out, "HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.fields {
            match added_coding {
                Some(_) => write_field_of_encoded(out, name, value),
                None => write_field(out, name, value),
            }
        }
        if let Some(coding) = added_coding {
            let _ = write!(out, "Content-Encoding: {}\r\nVary: Accept-Encoding\r\n", coding.name());
        }
        if self.status >= 200 {
            self.write_length(out, framing, added_coding);
            connection.write(out);
        }
        out.extend_from_slice(b"\r\n");
    }

    fn write_length(&self, out: &mut Vec<u8>, framing: Framing, added_coding: Option<Coding>) {
        match self.announced_length() {
            Some(length) if added_coding.is_none() => {
                let _ = write!(out, "Content-Length: {length}\r\n");
            }
            _ => write_framing(out, framing, self.status != 204 && self.status != 304),
        }
    }
}

/// Writes a field of a response whose body the proxy encodes.
fn write_field_of_encoded(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    let is = |other: &str| name.eq_ignore_ascii_case(other);
    if is("ETag") && value.starts_with(b"\"") {
        // The encoded object is not the same byte for byte, so its validator becomes a weak one (RFC 9110
        // section 8.8.1).
        out.extend_from_slice(b"ETag: W/");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    } else if !is("Accept-Ranges") && !is("Content-Encoding") {
        write_field(out, name, value);
    }
}

fn response_framing(known: &KnownFields, method: &str, status: u16) -> Framing {
    let has_no_body = method == "HEAD" || status < 200 || status == 204 || status == 304;
    if has_no_body {
        return Framing::Empty;
    }
    if known.is_chunked {
        return Framing::Chunked;
    }
    match known.content_length {
        Some(0) => Framing::Empty,
        Some(length) => Framing::Length(length),
        None => Framing::Close,
    }
}
