//! A storage in memory that loses power at a chosen step. Of the bytes that were not durable by then a chosen part is
//! left; files that were renamed without being durable are lost too.

use lynxtally_wal::Storage;
use std::collections::BTreeMap;
use std::io;

/// What is left of bytes that were written and not made durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsynced {
    /// Nothing.
    Lost,
    /// Their first half.
    HalfLeft,
    /// All, but zeros in place of the second half, as where only the length was written.
    HalfZeroed,
    /// All of them.
    Kept,
}

/// All that can happen to unsynced bytes.
pub const UNSYNCED: [Unsynced; 4] =
    [Unsynced::Lost, Unsynced::HalfLeft, Unsynced::HalfZeroed, Unsynced::Kept];

#[derive(Clone, Debug, Default)]
struct File {
    bytes: Vec<u8>,
    /// So many of them, from the start, are durable.
    durable: usize,
}

/// A directory in memory.
#[derive(Clone, Debug)]
pub struct MemoryStorage {
    files: BTreeMap<String, File>,
    /// Steps until the power is lost, where it will be.
    steps_left: Option<usize>,
    /// How many steps were taken.
    pub steps_taken: usize,
    unsynced: Unsynced,
}

impl Default for MemoryStorage {
    fn default() -> Self {
        Self { files: BTreeMap::new(), steps_left: None, steps_taken: 0, unsynced: Unsynced::Kept }
    }
}

impl MemoryStorage {
    /// The power is lost at the step after so many more.
    pub fn lose_power_after(&mut self, steps: usize, unsynced: Unsynced) {
        self.steps_left = Some(steps);
        self.unsynced = unsynced;
    }

    /// The directory after the power came back.
    pub fn restart(&self) -> Self {
        let mut files = self.files.clone();
        for file in files.values_mut() {
            let unsynced = file.bytes.len() - file.durable;
            match self.unsynced {
                Unsynced::Lost => file.bytes.truncate(file.durable),
                Unsynced::HalfLeft => file.bytes.truncate(file.durable + unsynced / 2),
                Unsynced::HalfZeroed => file.bytes[file.durable + unsynced / 2..].fill(0),
                Unsynced::Kept => {}
            }
            file.durable = file.bytes.len();
        }
        Self { files, ..Self::default() }
    }

    /// Flips a bit of one byte of a file.
    pub fn flip(&mut self, name: &str, offset: usize) {
        if let Some(byte) = self.files.get_mut(name).and_then(|file| file.bytes.get_mut(offset)) {
            *byte ^= 0x10;
        }
    }

    /// A file's length.
    pub fn length(&self, name: &str) -> usize {
        self.files.get(name).map_or(0, |file| file.bytes.len())
    }

    /// Takes a step; fails once the power is lost.
    fn step(&mut self) -> io::Result<()> {
        self.steps_taken += 1;
        match &mut self.steps_left {
            Some(0) => Err(io::Error::other("the power is gone")),
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
        file.durable = file.bytes.len();
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        // Three steps that can be the last: the file beside it, its durability, the renaming.
        let beside = format!("{name}.new");
        let durable = File { bytes: bytes.to_vec(), durable: bytes.len() };
        self.step()?;
        self.files.insert(beside.clone(), File { bytes: bytes.to_vec(), durable: 0 });
        self.step()?;
        self.files.insert(beside.clone(), durable.clone());
        self.step()?;
        self.files.remove(&beside);
        self.files.insert(name.to_owned(), durable);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        let file = self.file_mut(name)?;
        file.bytes.truncate(length as usize);
        file.durable = file.bytes.len();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.files.remove(name);
        Ok(())
    }
}
