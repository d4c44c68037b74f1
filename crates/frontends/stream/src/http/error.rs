//! Why a message cannot be taken, and the response that says so.

use std::fmt;

/// Why a message cannot be taken. The text goes into the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// The head cannot be parsed.
    InvalidHead,
    /// The head is larger than is taken.
    HeadTooLarge,
    /// The length of the body is given twice, in two ways, or not as a number; or the body is shorter or longer.
    InvalidLength,
    /// The body has a transfer or content coding that is not taken.
    UnsupportedCoding,
    /// The content coding of the body is broken, or ends too early.
    CorruptCoding,
    /// The body grows too far when it is decoded: a decompression bomb.
    ExpandsTooFar,
    /// The size of a chunk is no number, or too large to be counted.
    InvalidChunkSize,
    /// A chunk is not framed as it must be.
    InvalidChunk,
    /// The extensions of chunks cannot be parsed, or are too long.
    InvalidExtension,
    /// The trailer section cannot be parsed, or is too large.
    InvalidTrailer,
    /// No host is named, or more than one.
    InvalidHost,
    /// The method is not allowed.
    MethodNotAllowed,
    /// The target cannot be parsed.
    InvalidTarget,
    /// A field that is read here cannot be parsed, or is given twice, or is missing.
    InvalidField(&'static str),
    /// No request class matches the method and path.
    NoMatchingClass,
    /// The `Expect` field names an expectation that is not met here.
    UnknownExpectation,
    /// The body is larger than its request class takes.
    BodyTooLarge,
    /// An upload is resumed from another offset than the one it has.
    OffsetMismatch,
    /// No upload is known by this name.
    UnknownUpload,
    /// A tenant, or all together, have as many bytes archived as they may.
    QuotaExceeded,
}

impl MessageError {
    /// The status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::NoMatchingClass | Self::UnknownUpload => 404,
            Self::MethodNotAllowed => 405,
            Self::OffsetMismatch => 409,
            Self::BodyTooLarge | Self::ExpandsTooFar => 413,
            Self::UnsupportedCoding => 415,
            Self::UnknownExpectation => 417,
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
            Self::InvalidLength => "the length is told twice, in two ways, or is no number",
            Self::UnsupportedCoding => "the body's coding is not taken",
            Self::CorruptCoding => "the body's coding is broken",
            Self::ExpandsTooFar => "the body becomes too large",
            Self::InvalidChunkSize => "a chunk's size can't be read",
            Self::InvalidChunk => "a chunk is not framed as it should be",
            Self::InvalidExtension => "extensions of chunks take too much room",
            Self::InvalidTrailer => "the fields after the body can't be read",
            Self::InvalidHost => "one host has to be named",
            Self::MethodNotAllowed => "nothing is done by this method",
            Self::InvalidTarget => "the target can't be read",
            Self::InvalidField(name) => return write!(f, "`{name}` can't be read"),
            Self::NoMatchingClass => "nothing is found under this path",
            Self::UnknownExpectation => "the expectation can't be met",
            Self::BodyTooLarge => "the body is too large",
            Self::OffsetMismatch => "the upload stands at another place",
            Self::UnknownUpload => "no upload is known by this name",
            Self::QuotaExceeded => "as much as may be is kept already",
        })
    }
}

impl std::error::Error for MessageError {}
