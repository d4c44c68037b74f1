//! The file operations that a log needs.

use std::fmt;
use std::io;

/// A directory of files. Any operation may fail, and a crash may lose data that was not synced.
pub trait Storage {
    /// Reads a file; `None` if it does not exist.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Lists the file names, sorted.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Appends bytes to a file, creating it if it does not exist. The bytes are durable only after [`Storage::sync`].
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's content and its directory entry durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Replaces a file atomically and durably: after a crash the file has its old or its new content.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to `length` bytes, durably.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A failed storage operation.
#[derive(Debug)]
pub struct StorageError {
    /// The file, or the name of the log if the operation was to list its files.
    pub file: String,
    /// The error of the operation.
    pub source: io::Error,
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file, self.source)
    }
}

impl std::error::Error for StorageError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}

/// Adds the name of the file to an I/O error.
pub(crate) trait FileContext<T> {
    fn with_file(self, file: &str) -> Result<T, StorageError>;
}

impl<T> FileContext<T> for io::Result<T> {
    fn with_file(self, file: &str) -> Result<T, StorageError> {
        self.map_err(|source| StorageError { file: file.to_owned(), source })
    }
}
