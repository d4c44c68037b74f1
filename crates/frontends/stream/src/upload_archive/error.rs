//! Errors of the upload archive. Their texts are sent in the body of a 500 response, or reported when the
//! server cannot start.

use lynxtally_wal::StorageError;
use std::fmt;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;

/// Why an operation of the archive failed. It can be cloned, because one failure may be the result of many
/// operations.
#[derive(Clone, Debug)]
pub enum ArchiveError {
    /// The archive's thread has ended.
    Closed,
    /// The file of an upload cannot be read or written.
    File(Arc<io::Error>),
    /// The log of uploads cannot be written, in this operation or an earlier one.
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

/// Why the archive cannot be opened.
#[derive(Debug)]
pub struct OpenError {
    /// The directory of the archive.
    pub directory: PathBuf,
    /// What failed.
    pub cause: OpenErrorCause,
}

/// The step of opening the archive that failed.
#[derive(Debug)]
pub enum OpenErrorCause {
    /// The directory cannot be created or listed.
    Directory(io::Error),
    /// The log of uploads cannot be read or written.
    Log(StorageError),
    /// The snapshot of the uploads cannot be decoded.
    Snapshot(postcard::Error),
    /// A file whose upload is not in the log cannot be removed.
    RemoveOrphan {
        /// The name of the file.
        file: String,
        /// The error of the file system.
        source: io::Error,
    },
    /// The archive's thread cannot be started.
    Thread(io::Error),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let directory = self.directory.display();
        match &self.cause {
            OpenErrorCause::Directory(error) => {
                write!(f, "{directory}: the directory cannot be used: {error}")
            }
            OpenErrorCause::Log(error) => {
                write!(f, "{directory}: the log of uploads cannot be used: {error}")
            }
            OpenErrorCause::Snapshot(error) => {
                write!(f, "{directory}: the snapshot of the uploads cannot be decoded: {error}")
            }
            OpenErrorCause::RemoveOrphan { file, source } => write!(
                f,
                "{directory}/{file}: an upload file without a log entry cannot be removed: {source}"
            ),
            OpenErrorCause::Thread(error) => {
                write!(f, "the thread of the upload archive cannot be started: {error}")
            }
        }
    }
}

impl std::error::Error for OpenError {}

/// How the file of an upload differs from what the log records.
#[derive(Debug)]
pub(super) enum Mismatch {
    /// The file cannot be read or truncated.
    Unreadable(io::Error),
    /// The file is shorter than the log records.
    Short { present: u64, recorded: u64 },
    /// The checksum of the file differs from the recorded one.
    Checksum,
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => write!(f, "the file cannot be read or truncated: {error}"),
            Self::Short { present, recorded } => {
                write!(f, "the file has only {present} of the {recorded} bytes that the log records")
            }
            Self::Checksum => f.write_str("the checksum of the file differs from the one in the log"),
        }
    }
}

impl From<io::Error> for Mismatch {
    fn from(error: io::Error) -> Self {
        Self::Unreadable(error)
    }
}
