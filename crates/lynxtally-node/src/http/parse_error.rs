//! Why a message can't be accepted.

use std::fmt;

/// Why a message can't be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// Its head is malformed.
    MalformedHead,
    /// Its length is missing, given twice or not a number.
    InvalidLength,
    /// The header with this name is missing, given twice or invalid.
    InvalidHeader(&'static str),
    /// No request class has this name.
    UnknownClass,
    /// No tenant has this name.
    UnknownTenant,
    /// Nothing exists at this path.
    UnknownPath,
    /// The path does not take this method.
    MethodNotAllowed,
    /// Its head is too large.
    HeadTooLarge,
    /// Its body is too large.
    BodyTooLarge,
    /// Its body has an encoding that is not supported.
    UnsupportedEncoding,
}

impl ParseError {
    /// The HTTP status that says so.
    pub fn status(self) -> u16 {
        match self {
            Self::MalformedHead
            | Self::InvalidLength
            | Self::InvalidHeader(_)
            | Self::UnknownClass
            | Self::UnknownTenant => 400,
            Self::UnknownPath => 404,
            Self::MethodNotAllowed => 405,
            Self::BodyTooLarge => 413,
            Self::HeadTooLarge => 431,
            Self::UnsupportedEncoding => 501,
        }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::MalformedHead => f.write_str("the head is malformed"),
            Self::InvalidLength => f.write_str("the length is missing, given twice or not a number"),
            Self::InvalidHeader(name) => write!(f, "`{name}` is missing, given twice or invalid"),
            Self::UnknownClass => f.write_str("no request class has this name"),
            Self::UnknownTenant => f.write_str("no tenant has this name"),
            Self::UnknownPath => f.write_str("nothing exists at this path"),
            Self::MethodNotAllowed => f.write_str("the path does not take this method"),
            Self::HeadTooLarge => f.write_str("the head is too large"),
            Self::BodyTooLarge => f.write_str("the body is too large"),
            Self::UnsupportedEncoding => f.write_str("the body's encoding is not supported"),
        }
    }
}

impl std::error::Error for ParseError {}
