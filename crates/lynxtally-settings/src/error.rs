//! What is wrong with settings.

use std::fmt;

/// What is wrong with a settings object: the key by its path, and what was expected there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The key's path, empty where the object as a whole is meant.
    pub path: String,
    /// What is wrong with it, and what is expected: the rest of a sentence that begins with the key.
    pub problem: String,
}

impl SettingError {
    /// An error of one key.
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
