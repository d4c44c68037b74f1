//! The errors that end the program.

use crate::config::LoadError;
use lynxtally_net::startup::LogLevelError;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// An error that ends the program. Its display text is one line for the operator who started the program.
#[derive(Debug)]
pub enum NodeError {
    /// The environment variable for the log level has an invalid value.
    LogLevel(LogLevelError),
    /// The configuration can't be read or is invalid.
    Config(LoadError),
    /// The signal handlers can't be installed.
    Signals(io::Error),
    /// The listening socket can't be opened.
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A thread can't be started.
    Thread(io::Error),
    /// No stack could be allocated for a coroutine.
    Coroutine(io::Error),
    /// A component of the node panicked.
    ComponentFailed,
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::LogLevel(error) => error.fmt(f),
            Self::Config(error) => error.fmt(f),
            Self::Signals(error) => write!(f, "failed to install signal handlers: {error}"),
            Self::Listen { address, error } => {
                write!(f, "`listen`: failed to listen on {address}: {error}")
            }
            Self::Thread(error) => write!(f, "failed to start a thread: {error}"),
            Self::Coroutine(error) => write!(f, "failed to start a coroutine: {error}"),
            Self::ComponentFailed => f.write_str("a component of the node panicked; the log has the cause"),
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
