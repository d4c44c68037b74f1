//! What ends the adapter, and the text that it prints then.

use lynxtally_settings::{describe_json_error, SettingError};
use std::{fmt, io};

/// Why the adapter can't go on.
#[derive(Debug)]
pub enum AdapterError {
    /// Standard input can't be read.
    Input(io::Error),
    /// Standard output can't be written.
    Output(io::Error),
    /// The input ended after a batch began and before it was over.
    InputEndedInsideBatch,
    /// A line of the input is wrong.
    Line {
        /// The line's number, from 1.
        number: u64,
        /// What is wrong with it.
        error: MessageError,
    },
}

/// What is wrong with a message.
#[derive(Debug)]
pub enum MessageError {
    /// It can't be read.
    Json(serde_json::Error),
    /// A batch begins inside another.
    BatchInsideBatch,
    /// An event outside all batches.
    EventOutsideBatch,
    /// It concerns an instance that was never started.
    UnknownInstance(u64),
    /// The settings of a backend that starts are wrong.
    Settings(SettingError),
    /// The class of this name is not in the settings.
    UnknownClass(String),
    /// The tenant of this name is not in the settings.
    UnknownTenant(String),
    /// A request arrived under the name of one that is open.
    DuplicateName(String),
    /// No run ends with this status.
    UnknownRunStatus(u64),
    /// No call ends with this status.
    UnknownCallStatus(u64),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Input(error) => write!(f, "standard input: {error}"),
            Self::Output(error) => write!(f, "standard output: {error}"),
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
            Self::BatchInsideBatch => f.write_str("a frame inside a batch"),
            Self::EventOutsideBatch => f.write_str("an event outside a batch"),
            Self::UnknownInstance(instance) => write!(f, "instance {instance} was never started"),
            Self::Settings(error) => write!(f, "settings: {error}"),
            Self::UnknownClass(name) => write!(f, "field `profile`: no class named {name:?} in the settings"),
            Self::UnknownTenant(name) => {
                write!(f, "field `client-group`: no tenant named {name:?} in the settings")
            }
            Self::DuplicateName(name) => write!(f, "field `xid`: {name:?} came twice"),
            Self::UnknownRunStatus(status) => write!(f, "field `status`: {status} is no outcome of a run"),
            Self::UnknownCallStatus(status) => write!(f, "field `status`: {status} is no outcome of a call"),
        }
    }
}

impl std::error::Error for MessageError {}
