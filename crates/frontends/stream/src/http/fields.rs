//! The header fields of a message: those that the proxy reads, each checked and typed, and those that it
//! forwards.

use super::{Field, MessageError};
use lynxtally_flow::coding::{preferred_coding, Coding};
use lynxtally_flow::resume::{self, strong_validator};

/// The longest idempotency key that is accepted.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// The most digits of a number in a field. It allows for any body length, and sums of such numbers cannot
/// overflow.
const MAX_NUMBER_DIGITS: usize = 18;

/// Fields that are not forwarded: those that apply to one connection only (RFC 9110 section 7.6.1), and those
/// that the proxy writes itself.
const NOT_FORWARDED: [&str; 11] = [
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

/// The range of an object that a message carries (RFC 9110 section 14.4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentRange {
    /// Position of the first byte.
    pub first: u64,
    /// Position of the last byte.
    pub last: u64,
    /// Length of the whole object, if known.
    pub complete_length: Option<u64>,
}

/// The fields of a resumable upload (draft-ietf-httpbis-resumable-upload-05).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UploadFields {
    /// Whether the upload is complete with this message; `None` if the field is missing.
    pub complete: Option<bool>,
    /// The offset at which the upload is resumed, in bytes.
    pub offset: Option<u64>,
    /// The length of the whole upload, in bytes.
    pub length: Option<u64>,
}

/// The fields that the proxy reads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownFields {
    pub(super) content_length: Option<u64>,
    pub(super) is_chunked: bool,
    pub(super) keep_alive: bool,
    pub(super) host_count: usize,
    /// The sender asks to close the connection after this exchange (`Connection: close`).
    pub closes_connection: bool,
    /// The sender waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The content coding that the sender prefers to receive.
    pub accepted_coding: Coding,
    /// The content coding of the body.
    pub content_coding: Coding,
    /// The body has a content coding that is not supported, or several codings.
    pub has_other_coding: bool,
    /// The message requests or carries a range of an object.
    pub is_ranged: bool,
    /// The range of the object that the message carries.
    pub content_range: Option<ContentRange>,
    /// The strong validator of the object.
    pub strong_validator: Option<String>,
    /// The server supports requests for ranges of the object.
    pub accepts_ranges: bool,
    /// The body must not be transformed.
    pub no_transform: bool,
    /// The key by which duplicates of the request are recognized.
    pub idempotency_key: Option<String>,
    /// The media type of the body, in lower case and without its parameters.
    pub media_type: String,
    /// The fields of a resumable upload.
    pub upload: UploadFields,
}

/// The result of parsing the fields of a head.
pub(super) struct ParsedFields {
    pub known: KnownFields,
    pub forwarded: Vec<Field>,
}

impl ParsedFields {
    /// Parses the fields of a head.
    pub(super) fn parse(headers: &[httparse::Header]) -> Result<Self, MessageError> {
        let mut known = KnownFields::default();
        let mut connection_options = Vec::new();
        let mut forwarded = Vec::with_capacity(headers.len());
        for header in headers {
            let name = header.name.to_ascii_lowercase();
            if name == "connection" {
                known.read_connection(header.value, &mut connection_options)?;
            } else {
                known.read(&name, header.value)?;
            }
            if !NOT_FORWARDED.contains(&name.as_str()) {
                forwarded.push((header.name.to_owned(), header.value.to_vec()));
            }
        }
        if known.is_chunked && known.content_length.is_some() {
            return Err(MessageError::InvalidLength);
        }
        // The fields that `Connection` lists apply to this connection only and are not forwarded. `Host` is
        // forwarded even if it is listed, because a client must not be able to remove it.
        let is_end_to_end =
            |name: &str| name == "host" || !connection_options.iter().any(|option| option == name);
        forwarded.retain(|(name, _)| is_end_to_end(&name.to_ascii_lowercase()));
        Ok(Self { known, forwarded })
    }
}

impl KnownFields {
    fn read_connection(&mut self, value: &[u8], options: &mut Vec<String>) -> Result<(), MessageError> {
        let text = parse_text(value).ok_or(MessageError::InvalidField("Connection"))?;
        for option in text.split(',') {
            let option = option.trim().to_ascii_lowercase();
            self.closes_connection |= option == "close";
            self.keep_alive |= option == "keep-alive";
            options.push(option);
        }
        Ok(())
    }

    /// Reads the field with this name, given in lower case. Unknown fields are ignored.
    fn read(&mut self, name: &str, value: &[u8]) -> Result<(), MessageError> {
        match name {
            "content-length" => self.read_content_length(value)?,
            "transfer-encoding" => self.read_transfer_encoding(value)?,
            "host" => self.host_count += 1,
            "expect" => self.read_expect(value)?,
            "accept-encoding" => self.accepted_coding = preferred_coding(parse_text(value).unwrap_or("")),
            "content-encoding" => self.read_content_encoding(value),
            "range" => self.is_ranged = true,
            "content-range" => {
                self.is_ranged = true;
                self.content_range = parse_content_range(value);
            }
            "etag" => self.strong_validator = parse_text(value).and_then(strong_validator).map(str::to_owned),
            "accept-ranges" => self.accepts_ranges = is_token(value, "bytes"),
            "cache-control" => {
                let directives = parse_text(value).unwrap_or("").to_ascii_lowercase();
                self.no_transform |= directives.contains("no-transform");
            }
            "content-type" => self.media_type = parse_media_type(value),
            "idempotency-key" => self.read_idempotency_key(value)?,
            "upload-complete" => {
                set_once(&mut self.upload.complete, parse_boolean(value), "Upload-Complete")?;
            }
            "upload-offset" => set_once(&mut self.upload.offset, parse_number(value), "Upload-Offset")?,
            "upload-length" => set_once(&mut self.upload.length, parse_number(value), "Upload-Length")?,
            _ => {}
        }
        Ok(())
    }

    fn read_content_length(&mut self, value: &[u8]) -> Result<(), MessageError> {
        if self.content_length.is_some() {
            return Err(MessageError::InvalidLength);
        }
        let length = parse_number(value).ok_or(MessageError::InvalidLength)?;
        self.content_length = Some(length);
        Ok(())
    }

    fn read_transfer_encoding(&mut self, value: &[u8]) -> Result<(), MessageError> {
        if self.is_chunked {
            return Err(MessageError::InvalidLength);
        }
        if !is_token(value, "chunked") {
            return Err(MessageError::UnsupportedCoding);
        }
        self.is_chunked = true;
        Ok(())
    }

    fn read_expect(&mut self, value: &[u8]) -> Result<(), MessageError> {
        if !is_token(value, "100-continue") {
            return Err(MessageError::UnknownExpectation);
        }
        self.expects_continue = true;
        Ok(())
    }

    fn read_content_encoding(&mut self, value: &[u8]) {
        let coding = parse_text(value).and_then(Coding::parse);
        let is_second = self.content_coding != Coding::Identity;
        self.has_other_coding |= coding.is_none() || is_second;
        self.content_coding = coding.unwrap_or_default();
    }

    fn read_idempotency_key(&mut self, value: &[u8]) -> Result<(), MessageError> {
        let has_valid_length = |key: &&str| !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES;
        let key = parse_text(value).filter(has_valid_length).map(str::to_owned);
        set_once(&mut self.idempotency_key, key, "Idempotency-Key")
    }
}

/// Sets a field that may be given only once.
fn set_once<T>(field: &mut Option<T>, parsed: Option<T>, name: &'static str) -> Result<(), MessageError> {
    if field.is_some() {
        return Err(MessageError::InvalidField(name));
    }
    let value = parsed.ok_or(MessageError::InvalidField(name))?;
    *field = Some(value);
    Ok(())
}

fn parse_text(value: &[u8]) -> Option<&str> {
    std::str::from_utf8(value).ok().map(str::trim)
}

fn is_token(value: &[u8], token: &str) -> bool {
    parse_text(value).is_some_and(|text| text.eq_ignore_ascii_case(token))
}

fn parse_number(value: &[u8]) -> Option<u64> {
    let text = parse_text(value)?;
    let has_valid_length = !text.is_empty() && text.len() <= MAX_NUMBER_DIGITS;
    // `parse` would accept a sign, so only digits are let through.
    let is_number = has_valid_length && text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok())?
}

/// Parses a boolean of structured fields (RFC 8941 section 3.3.6).
fn parse_boolean(value: &[u8]) -> Option<bool> {
    match value.trim_ascii() {
        b"?1" => Some(true),
        b"?0" => Some(false),
        _ => None,
    }
}

fn parse_content_range(value: &[u8]) -> Option<ContentRange> {
    let (first, last, complete_length) = parse_text(value).and_then(resume::parse_content_range)?;
    Some(ContentRange { first, last, complete_length })
}

fn parse_media_type(value: &[u8]) -> String {
    let text = parse_text(value).unwrap_or("");
    let without_parameters = text.split(';').next().unwrap_or("");
    without_parameters.trim().to_ascii_lowercase()
}
