//! Why a server cannot be started.

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
    /// An address of the setting `listen` cannot be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The archive of uploads cannot be opened.
    Archive(OpenError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Thread(error) => write!(f, "a thread can't be started: {error}"),
            Self::Coroutine(error) => write!(f, "a coroutine can't be started: {error}"),
            Self::Listen { address, source } => write!(f, "`listen`: {address}: {source}"),
            Self::Archive(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for StartError {}
