//! What a log needs of a directory.

use std::fmt;
use std::io;

/// A directory. Each operation may fail, and what was not made durable may be lost at any step.
pub trait Storage {
    /// A file's bytes; none where there is no such file.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// The files there are, in the order of their names.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Appends bytes to a file, creating it where it is not there. Durable only after `sync`.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file durable, its name included.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Puts a whole file in place, durably; after a stop at any step there is the old one or the new one.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Shortens a file, durably.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// The storage failed.
#[derive(Debug)]
pub struct StorageError {
    /// The file.
    pub file: String,
    /// Why.
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

/// Names the file of an error.
pub(crate) trait OfFile<T> {
    fn of_file(self, file: &str) -> Result<T, StorageError>;
}

impl<T> OfFile<T> for io::Result<T> {
    fn of_file(self, file: &str) -> Result<T, StorageError> {
        self.map_err(|source| StorageError { file: file.to_owned(), source })
    }
}
