//! What can go wrong with the upload archive. The texts go into the body of a 500 response, and into the error that
//! ends a start.

use lynxtally_wal::StorageError;
use std::fmt;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;

/// Why an operation on the archive failed. One failure may be the answer to many operations, so it can be cloned.
#[derive(Clone, Debug)]
pub enum ArchiveError {
    /// The thread that carries out operations has ended.
    Closed,
    /// The file of an upload cannot be read or written.
    File(Arc<io::Error>),
    /// The log of uploads cannot be written, now or at an earlier operation.
    Log(Arc<StorageError>),
}

impl fmt::Display for ArchiveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("the archive is closed"),
            Self::File(error) => error.fmt(f),
            Self::Log(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ArchiveError {}

impl From<io::Error> for ArchiveError {
    fn from(error: io::Error) -> Self {
        Self::File(Arc::new(error))
    }
}

impl From<StorageError> for ArchiveError {
    fn from(error: StorageError) -> Self {
        Self::Log(Arc::new(error))
    }
}

/// Why an archive cannot be opened.
#[derive(Debug)]
pub struct OpenError {
    /// The directory of the archive.
    pub directory: PathBuf,
    /// What failed.
    pub cause: OpenErrorCause,
}

/// What failed when an archive was opened.
#[derive(Debug)]
pub enum OpenErrorCause {
    /// The directory cannot be created or listed.
    Directory(io::Error),
    /// The log of uploads cannot be read or written.
    Log(StorageError),
    /// The snapshot of the uploads cannot be decoded.
    Snapshot(postcard::Error),
    /// The file of an upload that is not in the log cannot be removed.
    RemoveOrphan {
        /// The name of the file.
        file: String,
        /// Why.
        source: io::Error,
    },
    /// The thread that carries out operations cannot be started.
    Thread(io::Error),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let directory = self.directory.display();
        match &self.cause {
            OpenErrorCause::Directory(error) => write!(f, "{directory}: {error}"),
            OpenErrorCause::Log(error) => write!(f, "{directory}: {error}"),
            OpenErrorCause::Snapshot(error) => {
                write!(f, "{directory}: a snapshot of another form: {error}")
            }
            OpenErrorCause::RemoveOrphan { file, source } => write!(f, "{directory}/{file}: {source}"),
            OpenErrorCause::Thread(error) => write!(f, "a thread can't be started: {error}"),
        }
    }
}

impl std::error::Error for OpenError {}

/// Why the file of an upload is not what the log says.
#[derive(Debug)]
pub(super) enum Mismatch {
    /// It cannot be read, or not be shortened.
    Unreadable(io::Error),
    /// It is shorter than the log says.
    Short { present: u64, recorded: u64 },
    /// Its checksum differs from the recorded one.
    Checksum,
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => error.fmt(f),
            Self::Short { present, recorded } => {
                write!(f, "only {present} of the {recorded} bytes that the log records are there")
            }
            Self::Checksum => f.write_str("its checksum is not the one that the log records"),
        }
    }
}

impl From<io::Error> for Mismatch {
    fn from(error: io::Error) -> Self {
        Self::Unreadable(error)
    }
}
