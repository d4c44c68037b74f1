//! The envelope of every message, `{"v": 1, "say": ...}`, and how it is encoded and decoded.

use crate::validation::FieldError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The protocol version of all messages in this crate.
pub const PROTOCOL_VERSION: u32 = 1;
/// The longest message that [`decode`] accepts, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// A type that can be sent in an envelope.
pub trait Message: Serialize + DeserializeOwned {
    /// Checks the limits that the Rust types of the fields do not express, such as ranges and lengths.
    ///
    /// # Errors
    /// Returns the first field that violates a limit.
    fn validate(&self) -> Result<(), FieldError>;
}

#[derive(Serialize)]
struct OutgoingEnvelope<'a, T> {
    #[serde(rename = "v")]
    version: u32,
    #[serde(rename = "say")]
    message: &'a T,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct In")]
struct IncomingEnvelope<T> {
    /// Unused: [`decode`] has already checked the version with [`Version`]. The field is declared because unknown
    /// fields are denied.
    #[allow(dead_code)]
    #[serde(rename = "v")]
    version: u32,
    #[serde(rename = "say")]
    message: T,
}

/// Decodes only the version, so that a message of another version is reported as such and not by its unknown fields.
#[derive(Deserialize)]
struct Version {
    #[serde(rename = "v")]
    version: u32,
}

/// Why a message can't be decoded. The error text is a single line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    TooLong {
        /// The length of the message in bytes.
        bytes: usize,
    },
    /// The message has a protocol version other than [`PROTOCOL_VERSION`].
    UnknownVersion {
        /// The version stated in the message.
        version: u32,
    },
    /// The message is not JSON, or its fields don't match the message type.
    Malformed {
        /// The path of the field where decoding stopped.
        path: String,
        /// The error text of the JSON decoder.
        fault: String,
    },
    /// A field violates a limit.
    Invalid(FieldError),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::TooLong { bytes } => {
                write!(f, "the message has {bytes} octets; {MAX_MESSAGE_BYTES} at most are read")
            }
            Self::UnknownVersion { version } => {
                write!(f, "`v` is {version}; {PROTOCOL_VERSION} is expected")
            }
            Self::Malformed { path, fault } => write!(f, "`{path}` can't be read: {fault}"),
            Self::Invalid(field) => write!(f, "`say.{}` {}", field.path, field.violation),
        }
    }
}

impl std::error::Error for DecodeError {}

impl DecodeError {
    /// An error in the envelope itself. It is reported at `v`, the first field of the envelope.
    fn envelope(fault: &serde_json::Error) -> Self {
        Self::Malformed { path: "v".to_owned(), fault: fault.to_string() }
    }
}

/// Decodes and validates a message.
///
/// # Errors
/// Returns the first fault that was found, with the path of its field.
pub fn decode<T: Message>(bytes: &[u8]) -> Result<T, DecodeError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLong { bytes: bytes.len() });
    }
    let Version { version } = serde_json::from_slice(bytes).map_err(|fault| DecodeError::envelope(&fault))?;
    if version != PROTOCOL_VERSION {
        return Err(DecodeError::UnknownVersion { version });
    }
    let mut json = serde_json::Deserializer::from_slice(bytes);
    let envelope: IncomingEnvelope<T> = serde_path_to_error::deserialize(&mut json).map_err(|fault| {
        DecodeError::Malformed { path: fault.path().to_string(), fault: fault.inner().to_string() }
    })?;
    json.end().map_err(|fault| DecodeError::envelope(&fault))?;
    envelope.message.validate().map_err(DecodeError::Invalid)?;
    Ok(envelope.message)
}

/// Encodes a message in an envelope.
pub fn encode<T: Message>(message: &T) -> Vec<u8> {
    // Encoding can fail only for a map whose keys are not strings, and no message has one.
    serde_json::to_vec(&OutgoingEnvelope { version: PROTOCOL_VERSION, message }).unwrap_or_default()
}
