//! The reasons for which a message is not accepted.

use std::fmt;

/// The reason for which a message is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// The head is malformed.
    MalformedHead,
    /// The Content-Length header is missing, duplicate or not a number.
    InvalidLength,
    /// The header with this name is missing, duplicate or invalid.
    InvalidHeader(&'static str),
    /// The path names a request class that the settings don't have.
    UnknownClass,
    /// A header names a tenant that the settings don't have.
    UnknownTenant,
    /// The path does not exist.
    UnknownPath,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The head exceeds its maximum size or number of headers.
    HeadTooLarge,
    /// The body exceeds its maximum size.
    BodyTooLarge,
    /// The body has a transfer encoding, and none is supported.
    UnsupportedEncoding,
}

impl ParseError {
    /// The HTTP status of the response to the message.
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
            Self::InvalidLength => f.write_str("`Content-Length` is missing, duplicate or not a number"),
            Self::InvalidHeader(name) => write!(f, "`{name}` is missing, duplicate or invalid"),
            Self::UnknownClass => f.write_str("the request class in the path is unknown"),
            Self::UnknownTenant => f.write_str("the tenant is unknown"),
            Self::UnknownPath => f.write_str("the path is unknown"),
            Self::MethodNotAllowed => f.write_str("the path does not support this method"),
            Self::HeadTooLarge => f.write_str("the head is too large"),
            Self::BodyTooLarge => f.write_str("the body is too large"),
            Self::UnsupportedEncoding => f.write_str("the body's transfer encoding is not supported"),
        }
    }
}

impl std::error::Error for ParseError {}
