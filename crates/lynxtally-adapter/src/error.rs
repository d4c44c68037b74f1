//! The errors that end the adapter, and their texts.

use lynxtally_settings::{describe_json_error, SettingError};
use std::{fmt, io};

/// The error that ended the adapter.
#[derive(Debug)]
pub enum AdapterError {
    /// Standard input could not be read.
    Input(io::Error),
    /// Standard output could not be written.
    Output(io::Error),
    /// The input ended before the end of a batch.
    InputEndedInsideBatch,
    /// An input line has an invalid message.
    Line {
        /// The line's number, starting at 1.
        number: u64,
        /// What is wrong with the message.
        error: MessageError,
    },
}

/// What is wrong with a message.
#[derive(Debug)]
pub enum MessageError {
    /// The message is not valid JSON, or lacks a field.
    Json(serde_json::Error),
    /// A batch starts before the previous one ended.
    BatchInsideBatch,
    /// A message other than the start of a batch came while no batch was open.
    EventOutsideBatch,
    /// The message concerns an instance that was never started.
    UnknownInstance(u64),
    /// The settings of a starting backend are invalid.
    Settings(SettingError),
    /// The settings have no class of this name.
    UnknownClass(String),
    /// The settings have no tenant of this name.
    UnknownTenant(String),
    /// A request arrived under the name of an open request.
    DuplicateName(String),
    /// The status is not one that a run can end with.
    UnknownRunStatus(u64),
    /// The status is not one that a call can end with.
    UnknownCallStatus(u64),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Input(error) => write!(f, "cannot read standard input: {error}"),
            Self::Output(error) => write!(f, "cannot write to standard output: {error}"),
            Self::InputEndedInsideBatch => f.write_str("input ended inside a batch"),
            Self::Line { number, error } => write!(f, "line {number}: {error}"),
        }
    }
}

impl std::error::Error for AdapterError {}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => f.write_str(&describe_json_error(error)),
            Self::BatchInsideBatch => {
                f.write_str("a `frame` message inside a batch; `eob` is expected first")
            }
            Self::EventOutsideBatch => f.write_str("a message outside a batch; `frame` is expected first"),
            Self::UnknownInstance(instance) => write!(f, "instance {instance} was never started"),
            Self::Settings(error) => write!(f, "settings: {error}"),
            Self::UnknownClass(name) => write!(f, "field `profile`: no class named {name:?} in the settings"),
            Self::UnknownTenant(name) => {
                write!(f, "field `client-group`: no tenant named {name:?} in the settings")
            }
            Self::DuplicateName(name) => write!(f, "field `xid`: {name:?} is the name of an open request"),
            Self::UnknownRunStatus(status) => {
                write!(f, "field `status`: {status} is not a status that a run ends with")
            }
            Self::UnknownCallStatus(status) => {
                write!(f, "field `status`: {status} is not a status that a call ends with")
            }
        }
    }
}

impl std::error::Error for MessageError {}
