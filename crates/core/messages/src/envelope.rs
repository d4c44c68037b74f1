//! The envelope round every message: `{"v": 1, "say": ...}`.

use crate::validation::FieldError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The protocol version of all messages here.
pub const PROTOCOL_VERSION: u32 = 1;
/// The longest message that is decoded, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// A message that may stand in an envelope.
pub trait Message: Serialize + DeserializeOwned {
    /// Checks the ranges that its types do not express.
    ///
    /// # Errors
    /// The first field that is out of range.
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
    /// Read before, by [`Version`].
    #[allow(dead_code)]
    #[serde(rename = "v")]
    version: u32,
    #[serde(rename = "say")]
    message: T,
}

/// Reads the version alone, so that an unknown version is told from an unknown field.
#[derive(Deserialize)]
struct Version {
    #[serde(rename = "v")]
    version: u32,
}

/// Why a message can't be decoded. Its text is one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// It is too long.
    TooLong {
        /// Its length in bytes.
        bytes: usize,
    },
    /// Its protocol version is not known here.
    UnknownVersion {
        /// The version that it states.
        version: u32,
    },
    /// It is no JSON, or not of the expected form.
    Malformed {
        /// The path of the field where decoding stopped.
        path: String,
        /// What the JSON decoder said.
        fault: String,
    },
    /// A field is out of range.
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
    /// A fault of the envelope itself: it is told at the version, the first field.
    fn envelope(fault: &serde_json::Error) -> Self {
        Self::Malformed { path: "v".to_owned(), fault: fault.to_string() }
    }
}

/// Decodes and validates a message.
///
/// # Errors
/// What is wrong with it and where.
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

/// Encodes a message with its envelope.
pub fn encode<T: Message>(message: &T) -> Vec<u8> {
    // Encoding fails only for maps whose keys are no strings, and no message has one.
    serde_json::to_vec(&OutgoingEnvelope { version: PROTOCOL_VERSION, message }).unwrap_or_default()
}
