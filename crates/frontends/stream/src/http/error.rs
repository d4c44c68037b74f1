//! Errors of parsing messages, and the status codes of the responses that report them.

use std::fmt;

/// Why a message is refused. The text is sent in the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// The head cannot be parsed.
    InvalidHead,
    /// The head is larger than [`MAX_HEAD_BYTES`](super::MAX_HEAD_BYTES) or has too many fields.
    HeadTooLarge,
    /// The length of the body is given more than once or is not a number, or the body has another length.
    InvalidLength,
    /// The transfer or content coding of the body is not supported.
    UnsupportedCoding,
    /// The body is not valid in its content coding, or ends in the middle of it.
    CorruptCoding,
    /// The body grows beyond its limit when it is decoded: a decompression bomb.
    ExpandsTooFar,
    /// The size of a chunk is not a number, or is too large for 64 bits.
    InvalidChunkSize,
    /// The size line or the data of a chunk does not end with CRLF.
    InvalidChunk,
    /// Chunk extensions cannot be parsed, or exceed their limit.
    InvalidExtension,
    /// The trailer section cannot be parsed, or is too large.
    InvalidTrailer,
    /// The `Host` field is missing, or is given more than once.
    InvalidHost,
    /// The method is not allowed.
    MethodNotAllowed,
    /// The request target cannot be parsed.
    InvalidTarget,
    /// A field that the proxy reads cannot be parsed, is given more than once, or is missing.
    InvalidField(&'static str),
    /// No request class matches the method and path.
    NoMatchingClass,
    /// The `Expect` field names an unknown expectation.
    UnknownExpectation,
    /// The body is larger than its request class allows.
    BodyTooLarge,
    /// The offset given is not the current offset of the upload, or another request has taken the upload
    /// over.
    OffsetMismatch,
    /// The upload has been forwarded to an upstream, so it can't be changed or cancelled.
    AlreadyForwarded,
    /// No upload has this id.
    UnknownUpload,
    /// The uploads of the tenant, or all uploads together, would exceed their quota.
    QuotaExceeded,
    /// An earlier request of the tenant has the same idempotency key and other content.
    KeyConflict,
}

impl MessageError {
    /// The status code of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::NoMatchingClass | Self::UnknownUpload => 404,
            Self::MethodNotAllowed => 405,
            Self::OffsetMismatch | Self::AlreadyForwarded => 409,
            Self::BodyTooLarge | Self::ExpandsTooFar => 413,
            Self::UnsupportedCoding => 415,
            Self::UnknownExpectation => 417,
            Self::KeyConflict => 422,
            Self::HeadTooLarge => 431,
            Self::QuotaExceeded => 507,
            _ => 400,
        }
    }
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::InvalidHead => "the head can't be read",
            Self::HeadTooLarge => "the head is too large",
            Self::InvalidLength => "the length is given twice, in two ways, or is not a number",
            Self::UnsupportedCoding => "the body's coding is not taken",
            Self::CorruptCoding => "the body's coding is broken",
            Self::ExpandsTooFar => "the body becomes too large",
            Self::InvalidChunkSize => "a chunk's size can't be read",
            Self::InvalidChunk => "a chunk is not framed as it should be",
            Self::InvalidExtension => "extensions of chunks take too much room",
            Self::InvalidTrailer => "the fields after the body can't be read",
            Self::InvalidHost => "one host has to be named",
            Self::MethodNotAllowed => "this method is not allowed",
            Self::InvalidTarget => "the target can't be read",
            Self::InvalidField(name) => return write!(f, "`{name}` can't be read"),
            Self::NoMatchingClass => "nothing is found under this path",
            Self::UnknownExpectation => "the expectation can't be met",
            Self::BodyTooLarge => "the body is too large",
            Self::OffsetMismatch => "the upload has another offset",
            Self::AlreadyForwarded => "the upload is complete and was passed on",
            Self::UnknownUpload => "no upload is known by this name",
            Self::QuotaExceeded => "the storage quota for uploads is used up",
            Self::KeyConflict => "the idempotency key belongs to another request",
        })
    }
}

impl std::error::Error for MessageError {}
