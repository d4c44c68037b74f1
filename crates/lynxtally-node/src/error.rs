//! What ends the program with an error.

use crate::config::LoadError;
use lynxtally_net::startup::LogLevelError;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// What ends the program with an error. Displayed as one line for the person who started it.
#[derive(Debug)]
pub enum NodeError {
    /// The log level can't be used.
    LogLevel(LogLevelError),
    /// The configuration can't be used.
    Config(LoadError),
    /// The system delivers no signals.
    Signals(io::Error),
    /// The address of the settings can't be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        error: io::Error,
    },
    /// The system starts no thread.
    Thread(io::Error),
    /// No stack could be allocated for a coroutine.
    Coroutine(io::Error),
    /// A part of the node failed while it ran.
    ComponentFailed,
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::LogLevel(error) => error.fmt(f),
            Self::Config(error) => error.fmt(f),
            Self::Signals(error) => write!(f, "signals can't be listened to: {error}"),
            Self::Listen { address, error } => {
                write!(f, "`listen`: {address} can't be listened on: {error}")
            }
            Self::Thread(error) => write!(f, "a thread can't be started: {error}"),
            Self::Coroutine(error) => write!(f, "a coroutine can't be started: {error}"),
            Self::ComponentFailed => f.write_str("a part of the node failed; the log says why"),
        }
    }
}

impl std::error::Error for NodeError {}

impl From<LogLevelError> for NodeError {
    fn from(error: LogLevelError) -> Self {
        Self::LogLevel(error)
    }
}

impl From<LoadError> for NodeError {
    fn from(error: LoadError) -> Self {
        Self::Config(error)
    }
}
