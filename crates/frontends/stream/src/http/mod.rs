//! Heads of HTTP/1.1 messages (RFC 9110, RFC 9112): octets in, small typed values out, and back. No socket is known
//! here, and the protocol's names end here.

use lynxtally_flow::coding::{accepted, Coding};
use lynxtally_flow::resume::{part, strong};
use std::fmt;
use std::io::Write;

/// Room for a head, in octets.
pub const HEAD_MOST: usize = 16 * 1024;
const FIELDS_MOST: usize = 100;

/// Why a message can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// Its head is no head.
    Head,
    /// Its head is too large.
    HeadLarge,
    /// Its length is told twice, in two ways, or is no number.
    Length,
    /// Its body comes in a coding that is not taken.
    Coding,
    /// Its body's coding is broken, or ends too early.
    Coded,
    /// What is coded in few octets becomes far too many.
    Bomb,
    /// A chunk's size is no number, or none that can be counted to.
    ChunkSize,
    /// A chunk is not framed as it should be.
    Chunk,
    /// Extensions of chunks take too much room.
    Extension,
    /// Fields after the body can't be read, or take too much room.
    Trailer,
    /// No host is named, or more than one.
    Host,
    /// Nothing is done by this method.
    Method,
    /// Its target is none.
    Target,
    /// A field that we read can't be read.
    Field(&'static str),
    /// No stage takes it.
    Stage,
    /// It expects what nobody here does.
    Expectation,
    /// Its body is larger than the stage takes.
    BodyLarge,
    /// An upload goes on from another place than where it stands.
    Offset,
    /// No upload is known by this name.
    Upload,
    /// A customer has as much here as may be.
    Quota,
}

impl Bad {
    /// The status that says so.
    pub fn status(self) -> u16 {
        match self {
            Self::Stage | Self::Upload => 404,
            Self::Method => 405,
            Self::Offset => 409,
            Self::BodyLarge | Self::Bomb => 413,
            Self::Coding => 415,
            Self::Expectation => 417,
            Self::HeadLarge => 431,
            Self::Quota => 507,
            _ => 400,
        }
    }
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Head => f.write_str("the head can't be read"),
            Self::HeadLarge => f.write_str("the head is too large"),
            Self::Length => f.write_str("the length is told twice, in two ways, or is no number"),
            Self::Coding => f.write_str("the body's coding is not taken"),
            Self::Coded => f.write_str("the body's coding is broken"),
            Self::Bomb => f.write_str("the body becomes too large"),
            Self::ChunkSize => f.write_str("a chunk's size can't be read"),
            Self::Chunk => f.write_str("a chunk is not framed as it should be"),
            Self::Extension => f.write_str("extensions of chunks take too much room"),
            Self::Trailer => f.write_str("the fields after the body can't be read"),
            Self::Host => f.write_str("one host has to be named"),
            Self::Method => f.write_str("nothing is done by this method"),
            Self::Target => f.write_str("the target can't be read"),
            Self::Field(name) => write!(f, "`{name}` can't be read"),
            Self::Stage => f.write_str("nothing is found under this path"),
            Self::Expectation => f.write_str("the expectation can't be met"),
            Self::BodyLarge => f.write_str("the body is too large"),
            Self::Offset => f.write_str("the upload stands at another place"),
            Self::Upload => f.write_str("no upload is known by this name"),
            Self::Quota => f.write_str("as much as may be is kept already"),
        }
    }
}

impl std::error::Error for Bad {}

/// How a body's end is known (RFC 9112 section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    Empty,
    /// After so many octets.
    Length(u64),
    /// By its last chunk.
    Chunked,
    /// When the connection ends.
    Close,
}

/// A field as it came.
pub type Field = (String, Vec<u8>);

/// What fields say that we look at, each checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    length: Option<u64>,
    chunked: bool,
    /// The sender wants no further message on the connection.
    pub close: bool,
    keep_alive: bool,
    hosts: usize,
    /// The sender waits for a word before it sends the body.
    pub expects: bool,
    /// The coding that the sender likes to get.
    pub accepts: Coding,
    /// How the body is coded.
    pub coding: Coding,
    /// A coding that we don't know, or several.
    pub coded_otherwise: bool,
    /// A part is asked for, or given.
    pub ranged: bool,
    /// The part that is given: first and last octet, and the whole length.
    pub part: Option<(u64, u64, Option<u64>)>,
    /// The strong validator of what is given.
    pub validator: Option<String>,
    /// Whether parts can be asked for.
    pub parts: bool,
    /// It must be passed on as it is.
    pub untouchable: bool,
    /// The mark by which repeats are known.
    pub mark: Option<String>,
    /// The kind of what is given, without its parameters.
    pub kind: String,
    /// How the sender takes part in resumable uploads.
    pub upload: Upload,
}

/// What is said of a resumable upload (draft-ietf-httpbis-resumable-upload-05).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Upload {
    /// Whether it ends with this message; none where it is no such upload.
    pub complete: Option<bool>,
    /// From where it goes on.
    pub offset: Option<u64>,
    /// How long it will be.
    pub length: Option<u64>,
}

/// Fields of one connection only (RFC 9110 section 7.6.1), and those that we say ourselves.
const OWN: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "proxy-authenticate",
    "proxy-authorization",
];
/// Marks are no longer than this.
const MARK_MOST: usize = 128;

fn number(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    // Eighteen digits are past any body, and can be added to without a thought.
    let plain = !text.is_empty() && text.len() <= 18 && text.bytes().all(|byte| byte.is_ascii_digit());
    plain.then(|| text.parse().ok())?
}

fn flag(value: &[u8]) -> Option<bool> {
    // A structured field's boolean (RFC 8941 section 3.3.6).
    match value.trim_ascii() {
        b"?1" => Some(true),
        b"?0" => Some(false),
        _ => None,
    }
}

impl Seen {
    fn of(fields: &[httparse::Header]) -> Result<(Self, Vec<Field>), Bad> {
        let (mut seen, mut dropped, mut kept) =
            (Self::default(), Vec::new(), Vec::with_capacity(fields.len()));
        for field in fields {
            let name = field.name.to_ascii_lowercase();
            let text = || std::str::from_utf8(field.value).map(str::trim);
            let once = |known: bool, name| if known { Err(Bad::Field(name)) } else { Ok(()) };
            match name.as_str() {
                "content-length" => {
                    if seen.length.is_some() {
                        return Err(Bad::Length);
                    }
                    seen.length = Some(number(field.value).ok_or(Bad::Length)?);
                }
                "transfer-encoding" => {
                    let chunked = text().is_ok_and(|text| text.eq_ignore_ascii_case("chunked"));
                    if seen.chunked {
                        return Err(Bad::Length);
                    }
                    if !chunked {
                        return Err(Bad::Coding);
                    }
                    seen.chunked = true;
                }
                "connection" => {
                    for word in text().map_err(|_| Bad::Field("Connection"))?.split(',') {
                        let word = word.trim().to_ascii_lowercase();
                        seen.close |= word == "close";
                        seen.keep_alive |= word == "keep-alive";
                        dropped.push(word);
                    }
                }
                "host" => seen.hosts += 1,
                "expect" => {
                    if !text().is_ok_and(|text| text.eq_ignore_ascii_case("100-continue")) {
                        return Err(Bad::Expectation);
                    }
                    seen.expects = true;
                }
                "accept-encoding" => seen.accepts = accepted(text().unwrap_or("")),
                "content-encoding" => {
                    let coding = text().ok().and_then(Coding::parse);
                    seen.coded_otherwise |= coding.is_none() || seen.coding != Coding::Identity;
                    seen.coding = coding.unwrap_or_default();
                }
                "range" => seen.ranged = true,
                "content-range" => {
                    seen.ranged = true;
                    seen.part = text().ok().and_then(part);
                }
                "etag" => seen.validator = text().ok().and_then(strong).map(str::to_owned),
                "accept-ranges" => seen.parts = text().is_ok_and(|text| text.eq_ignore_ascii_case("bytes")),
                "cache-control" => {
                    seen.untouchable |=
                        text().is_ok_and(|text| text.to_ascii_lowercase().contains("no-transform"));
                }
                "content-type" => {
                    let text = text().unwrap_or("");
                    seen.kind = text.split(';').next().unwrap_or("").trim().to_ascii_lowercase();
                }
                "idempotency-key" => {
                    once(seen.mark.is_some(), "Idempotency-Key")?;
                    let text = text().ok().filter(|text| !text.is_empty() && text.len() <= MARK_MOST);
                    seen.mark = Some(text.ok_or(Bad::Field("Idempotency-Key"))?.to_owned());
                }
                "upload-complete" => {
                    once(seen.upload.complete.is_some(), "Upload-Complete")?;
                    seen.upload.complete = Some(flag(field.value).ok_or(Bad::Field("Upload-Complete"))?);
                }
                "upload-offset" => {
                    once(seen.upload.offset.is_some(), "Upload-Offset")?;
                    seen.upload.offset = Some(number(field.value).ok_or(Bad::Field("Upload-Offset"))?);
                }
                "upload-length" => {
                    once(seen.upload.length.is_some(), "Upload-Length")?;
                    seen.upload.length = Some(number(field.value).ok_or(Bad::Field("Upload-Length"))?);
                }
                _ => {}
            }
            if !OWN.contains(&name.as_str()) {
                kept.push((field.name.to_owned(), field.value.to_vec()));
            }
        }
        if seen.chunked && seen.length.is_some() {
            return Err(Bad::Length);
        }
        // What a connection's field names is meant for us only; it can't take these from the message.
        let stays = |name: &str| name == "host" || !dropped.iter().any(|word| word == name);
        kept.retain(|(name, _)| stays(&name.to_ascii_lowercase()));
        Ok((seen, kept))
    }
}

/// What a client asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// The method.
    pub method: String,
    /// The target, with its leading slash.
    pub target: String,
    /// Whether the client speaks HTTP/1.0.
    pub old: bool,
    /// How its body ends.
    pub framing: Framing,
    /// What its fields say.
    pub seen: Seen,
    /// Its fields that are passed on.
    pub fields: Vec<Field>,
}

/// What an upstream answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// How its body ends.
    pub framing: Framing,
    /// What its fields say.
    pub seen: Seen,
    /// Its fields that are passed on.
    pub fields: Vec<Field>,
}

impl Asked {
    /// The head at the front of what came, and its length; none while it is not whole.
    pub fn read(octets: &[u8]) -> Result<Option<(Self, usize)>, Bad> {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut head = httparse::Request::new(&mut fields);
        let Some(length) = whole(head.parse(octets), octets.len())? else { return Ok(None) };
        let (seen, fields) = Seen::of(head.headers)?;
        let old = head.version == Some(0);
        if seen.hosts > 1 || (seen.hosts == 0 && !old) {
            return Err(Bad::Host);
        }
        let method = head.method.unwrap_or("").to_owned();
        if method == "CONNECT" || method == "TRACE" {
            return Err(Bad::Method);
        }
        let target = head.path.unwrap_or("").to_owned();
        if !target.starts_with('/') && target != "*" {
            return Err(Bad::Target);
        }
        let framing = match (seen.chunked, seen.length) {
            // HTTP/1.0 knows no chunks (RFC 9112 section 6.1).
            (true, _) if old => return Err(Bad::Length),
            (true, _) => Framing::Chunked,
            (_, None | Some(0)) => Framing::Empty,
            (_, Some(length)) => Framing::Length(length),
        };
        Ok(Some((Self { method, target, old, framing, seen, fields }, length)))
    }

    /// Whether the connection ends with the answer.
    pub fn last(&self) -> bool {
        self.seen.close || (self.old && !self.seen.keep_alive)
    }

    /// The target without what stands behind its question mark.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }

    /// A field's value.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        self.fields.iter().find(|(own, _)| own.eq_ignore_ascii_case(name)).map(|(_, value)| &value[..])
    }

    /// The head for an upstream, with a body framed so, on a connection for this message alone. `rest` asks for a part
    /// of what this validator tells: the first octet, and the one past the last.
    pub fn write(&self, out: &mut Vec<u8>, framing: Framing, plain: bool, rest: Option<(u64, u64, &str)>) {
        let _ = write!(out, "{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in &self.fields {
            let is = |own: &str| name.eq_ignore_ascii_case(own);
            if (plain && is("Content-Encoding"))
                || (rest.is_some() && (is("Range") || is("If-Range") || is("Accept-Encoding")))
                || is("Via")
            {
                continue;
            }
            put(out, name, value);
        }
        if let Some((first, end, validator)) = rest {
            let _ = write!(out, "Range: bytes={first}-{}\r\nIf-Range: {validator}\r\n", end - 1);
        }
        self.via(out);
        body(out, framing, self.method != "GET" && self.method != "HEAD");
        out.extend_from_slice(b"Connection: close\r\n\r\n");
    }

    fn via(&self, out: &mut Vec<u8>) {
        let version = if self.old { "1.0" } else { "1.1" };
        out.extend_from_slice(b"Via: ");
        if let Some(before) = self.field("Via") {
            out.extend_from_slice(before);
            out.extend_from_slice(b", ");
        }
        let _ = write!(out, "{version} lynxtally\r\n");
    }
}

impl Reply {
    /// The head at the front of what came, and its length; none while it is not whole. `method` is what was asked by.
    pub fn read(octets: &[u8], method: &str) -> Result<Option<(Self, usize)>, Bad> {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut head = httparse::Response::new(&mut fields);
        let Some(length) = whole(head.parse(octets), octets.len())? else { return Ok(None) };
        let (seen, fields) = Seen::of(head.headers)?;
        let status = head.code.filter(|code| (100..600).contains(code)).ok_or(Bad::Head)?;
        let framing = match (seen.chunked, seen.length) {
            _ if method == "HEAD" || status < 200 || status == 204 || status == 304 => Framing::Empty,
            (true, _) => Framing::Chunked,
            (_, Some(0)) => Framing::Empty,
            (_, Some(length)) => Framing::Length(length),
            (_, None) => Framing::Close,
        };
        Ok(Some((Self { status, framing, seen, fields }, length)))
    }

    /// The length that it tells of a body that does not come with it.
    fn told(&self) -> Option<u64> {
        self.seen.length.filter(|_| self.framing == Framing::Empty)
    }

    /// The head for a client, with a body framed and coded so.
    pub fn write(&self, out: &mut Vec<u8>, framing: Framing, coding: Option<Coding>, last: bool) {
        let reason = reason(self.status);
        let _ = write!(out, "HTTP/1.1 {} {reason}\r\n", self.status);
        for (name, value) in &self.fields {
            let is = |own: &str| name.eq_ignore_ascii_case(own);
            if coding.is_some() && is("ETag") && value.starts_with(b"\"") {
                // Coded by us it is no more the same, octet by octet (RFC 9110 section 8.8.1).
                out.extend_from_slice(b"ETag: W/");
                out.extend_from_slice(value);
                out.extend_from_slice(b"\r\n");
            } else if !(coding.is_some() && (is("Accept-Ranges") || is("Content-Encoding"))) {
                put(out, name, value);
            }
        }
        if let Some(coding) = coding {
            let _ = write!(out, "Content-Encoding: {}\r\nVary: Accept-Encoding\r\n", coding.name());
        }
        if self.status >= 200 {
            match self.told() {
                Some(length) if coding.is_none() => {
                    let _ = write!(out, "Content-Length: {length}\r\n");
                }
                _ => body(out, framing, self.status != 204 && self.status != 304),
            }
            out.extend_from_slice(if last { b"Connection: close\r\n" } else { b"" });
        }
        out.extend_from_slice(b"\r\n");
    }
}

fn put(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

fn body(out: &mut Vec<u8>, framing: Framing, says_none: bool) {
    match framing {
        Framing::Empty if says_none => out.extend_from_slice(b"Content-Length: 0\r\n"),
        Framing::Empty | Framing::Close => {}
        Framing::Length(length) => {
            let _ = write!(out, "Content-Length: {length}\r\n");
        }
        Framing::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
    }
}

fn whole(parsed: httparse::Result<usize>, length: usize) -> Result<Option<usize>, Bad> {
    match parsed {
        Ok(httparse::Status::Complete(end)) if end <= HEAD_MOST => Ok(Some(end)),
        Ok(httparse::Status::Partial) if length < HEAD_MOST => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Bad::HeadLarge),
        Err(_) => Err(Bad::Head),
    }
}

/// The word that asks for the body (RFC 9110 section 15.2.1).
pub const GO_ON: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// An answer of our own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Own {
    /// The status.
    pub status: u16,
    /// What is wrong, for people.
    pub text: String,
    /// In how many seconds to come back.
    pub back_in: Option<u64>,
    /// Where an upload stands, and whether it is complete.
    pub stands: Option<(u64, bool)>,
    /// Where an upload can be gone on with.
    pub place: Option<String>,
}

impl Own {
    /// One that only says what is wrong.
    pub fn new(status: u16, text: impl Into<String>) -> Self {
        Self { status, text: text.into(), back_in: None, stands: None, place: None }
    }

    /// What a message that can't be taken is answered.
    pub fn bad(bad: Bad) -> Self {
        Self::new(bad.status(), bad.to_string())
    }

    /// Writes it. Without a body where `bare`.
    pub fn write(&self, out: &mut Vec<u8>, last: bool, bare: bool) {
        let _ = write!(out, "HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        if let Some(back_in) = self.back_in {
            let _ = write!(out, "Retry-After: {back_in}\r\n");
        }
        if let Some((offset, complete)) = self.stands {
            let complete = u8::from(complete);
            let _ = write!(
                out,
                "Upload-Offset: {offset}\r\nUpload-Complete: ?{complete}\r\nCache-Control: no-store\r\n"
            );
        }
        if let Some(place) = &self.place {
            let _ = write!(out, "Location: {place}\r\nUpload-Draft-Interop-Version: {DRAFT}\r\n");
        }
        if self.status >= 200 {
            let text = if self.text.is_empty() { String::new() } else { format!("{}\n", self.text) };
            if self.status != 204 {
                let _ = write!(out, "Content-Type: text/plain\r\nContent-Length: {}\r\n", text.len());
            }
            out.extend_from_slice(if last { b"Connection: close\r\n\r\n" } else { b"\r\n" });
            out.extend_from_slice(if bare { b"" } else { text.as_bytes() });
        } else {
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// The version of the draft on resumable uploads that is spoken (draft-ietf-httpbis-resumable-upload-05).
pub const DRAFT: u8 = 6;

/// A status in words.
fn reason(status: u16) -> &'static str {
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
