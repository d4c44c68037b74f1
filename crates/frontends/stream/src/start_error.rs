//! Errors of starting a server.

use crate::upload_archive::OpenError;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why a server cannot be started.
#[derive(Debug)]
pub enum StartError {
    /// A thread cannot be started.
    Thread(io::Error),
    /// A coroutine cannot be started.
    Coroutine(io::Error),
    /// The server cannot listen on an address of the setting `listen`.
    Listen {
        /// The address in the settings.
        address: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
    /// The upload archive cannot be opened.
    Archive(OpenError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Thread(error) => write!(f, "a thread cannot be started: {error}"),
            Self::Coroutine(error) => write!(f, "a coroutine cannot be started: {error}"),
            Self::Listen { address, source } => write!(f, "`listen`: cannot listen on {address}: {source}"),
            Self::Archive(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for StartError {}
