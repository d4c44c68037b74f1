//! An in-memory [`Storage`] that simulates a power loss at a chosen step. The test chooses which part of the bytes that
//! were written but not synced survives. Renaming a file doesn't make its bytes durable.

use lynxtally_wal::Storage;
use std::collections::BTreeMap;
use std::io;

/// Which part of the bytes that were written but not synced survives a power loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedOutcome {
    /// No byte survives.
    Lost,
    /// The first half survives.
    FirstHalfKept,
    /// The file keeps its length, but the second half of the unsynced bytes reads as zeros, as if only the length was stored.
    HalfZeroed,
    /// All bytes survive.
    Kept,
}

/// Every outcome, for tests that try each of them.
pub const UNSYNCED_OUTCOMES: [UnsyncedOutcome; 4] = [
    UnsyncedOutcome::Lost,
    UnsyncedOutcome::FirstHalfKept,
    UnsyncedOutcome::HalfZeroed,
    UnsyncedOutcome::Kept,
];

#[derive(Clone, Debug, Default)]
struct File {
    bytes: Vec<u8>,
    /// Length of the durable part, from the start of the file.
    durable_bytes: usize,
}

/// A directory in memory. Each operation that changes it counts as a step; `replace` counts as three: write a temporary file,
/// sync it, rename it.
#[derive(Clone, Debug)]
pub struct MemoryStorage {
    files: BTreeMap<String, File>,
    /// Steps that still succeed before the power loss; `None` if no power loss is planned.
    steps_left: Option<usize>,
    /// Steps taken since the start, the failed ones included.
    pub steps_taken: usize,
    unsynced_outcome: UnsyncedOutcome,
}

impl Default for MemoryStorage {
    fn default() -> Self {
        Self {
            files: BTreeMap::new(),
            steps_left: None,
            steps_taken: 0,
            unsynced_outcome: UnsyncedOutcome::Kept,
        }
    }
}

impl MemoryStorage {
    /// Plans a power loss: the next `steps` steps succeed and every later step fails.
    pub fn lose_power_after(&mut self, steps: usize, unsynced_outcome: UnsyncedOutcome) {
        self.steps_left = Some(steps);
        self.unsynced_outcome = unsynced_outcome;
    }

    /// Returns the directory as it is found after the restart. All that survived is durable.
    pub fn restart(&self) -> Self {
        let mut files = self.files.clone();
        for file in files.values_mut() {
            let unsynced_bytes = file.bytes.len() - file.durable_bytes;
            match self.unsynced_outcome {
                UnsyncedOutcome::Lost => file.bytes.truncate(file.durable_bytes),
                UnsyncedOutcome::FirstHalfKept => {
                    file.bytes.truncate(file.durable_bytes + unsynced_bytes / 2)
                }
                UnsyncedOutcome::HalfZeroed => file.bytes[file.durable_bytes + unsynced_bytes / 2..].fill(0),
                UnsyncedOutcome::Kept => {}
            }
            file.durable_bytes = file.bytes.len();
        }
        Self { files, ..Self::default() }
    }

    /// Flips one bit of the byte at `offset`. Does nothing if the file has no such byte.
    pub fn flip_bit(&mut self, name: &str, offset: usize) {
        if let Some(byte) = self.files.get_mut(name).and_then(|file| file.bytes.get_mut(offset)) {
            *byte ^= 0x10;
        }
    }

    /// Length of a file in bytes; 0 if it does not exist.
    pub fn length(&self, name: &str) -> usize {
        self.files.get(name).map_or(0, |file| file.bytes.len())
    }

    /// Counts a step; fails if the power loss has happened.
    fn step(&mut self) -> io::Result<()> {
        self.steps_taken += 1;
        match &mut self.steps_left {
            Some(0) => Err(io::Error::other("simulated power loss")),
            Some(steps) => {
                *steps -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn file_mut(&mut self, name: &str) -> io::Result<&mut File> {
        self.files.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Storage for MemoryStorage {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(name).map(|file| file.bytes.clone()))
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        self.files.entry(name.to_owned()).or_default().bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let file = self.file_mut(name)?;
        file.durable_bytes = file.bytes.len();
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        // The power loss can come before each of the three steps: write a temporary file, sync it, rename it.
        let temporary = format!("{name}.new");
        let durable = File { bytes: bytes.to_vec(), durable_bytes: bytes.len() };
        self.step()?;
        self.files.insert(temporary.clone(), File { bytes: bytes.to_vec(), durable_bytes: 0 });
        self.step()?;
        self.files.insert(temporary.clone(), durable.clone());
        self.step()?;
        self.files.remove(&temporary);
        self.files.insert(name.to_owned(), durable);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        let file = self.file_mut(name)?;
        file.bytes.truncate(length as usize);
        file.durable_bytes = file.bytes.len();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.files.remove(name);
        Ok(())
    }
}
