//! A directory for the files of a test.

use std::path::PathBuf;

/// A directory that is removed after its test.
pub struct TestDirectory(pub PathBuf);

impl TestDirectory {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("lynxtally-stream-{}-{name}", std::process::id()));
        // A failed test may have left the directory behind.
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
