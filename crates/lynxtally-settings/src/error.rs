//! The error type for invalid settings.

use std::fmt;

/// An invalid setting: the path of its key, and what is wrong with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The path of the key; empty if the error concerns the whole object.
    pub path: String,
    /// What is wrong and what is expected, as the rest of a sentence that starts with the key.
    pub problem: String,
}

impl SettingError {
    /// An error that concerns one key.
    pub fn new(path: impl Into<String>, problem: impl Into<String>) -> Self {
        Self { path: path.into(), problem: problem.into() }
    }
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.path.as_str() {
            "" | "." => f.write_str(&self.problem),
            path => write!(f, "`{path}` {}", self.problem),
        }
    }
}

impl std::error::Error for SettingError {}
