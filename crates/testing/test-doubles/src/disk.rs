//! A folder in memory that loses power at a chosen step. What was not made durable by then is lost, or half of
//! it, or none of it, as the story asks; files that were renamed without being made durable too.

use lynxtally_wal::Storage;
use std::collections::BTreeMap;
use std::io;

/// What is left of octets that were written and not made durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// Nothing.
    Nothing,
    /// Their first half.
    Half,
    /// All, but zeros in place of the second half, as where only the length was written.
    Zeros,
    /// All of them.
    All,
}

/// All that can be left.
pub const LEFT: [Left; 4] = [Left::Nothing, Left::Half, Left::Zeros, Left::All];

#[derive(Clone, Debug, Default)]
struct File {
    octets: Vec<u8>,
    durable: usize,
}

/// The folder.
#[derive(Clone, Debug)]
pub struct MemoryDisk {
    files: BTreeMap<String, File>,
    /// Steps until the power goes.
    steps: Option<usize>,
    /// How many steps were taken.
    pub taken: usize,
    left: Left,
}

impl Default for MemoryDisk {
    fn default() -> Self {
        Self { files: BTreeMap::new(), steps: None, taken: 0, left: Left::All }
    }
}

impl MemoryDisk {
    /// The power goes at the step after so many more.
    pub fn lose_power_after(&mut self, steps: usize, left: Left) {
        (self.steps, self.left) = (Some(steps), left);
    }

    /// The folder after the power came back.
    pub fn restart(&self) -> Self {
        let mut files = self.files.clone();
        for file in files.values_mut() {
            let loose = file.octets.len() - file.durable;
            match self.left {
                Left::Nothing => file.octets.truncate(file.durable),
                Left::Half => file.octets.truncate(file.durable + loose / 2),
                Left::Zeros => file.octets[file.durable + loose / 2..].fill(0),
                Left::All => {}
            }
            file.durable = file.octets.len();
        }
        Self { files, steps: None, taken: 0, left: Left::All }
    }

    /// Changes one octet of a file.
    pub fn flip(&mut self, name: &str, at: usize) {
        if let Some(octet) = self.files.get_mut(name).and_then(|file| file.octets.get_mut(at)) {
            *octet ^= 0x10;
        }
    }

    /// A file's length.
    pub fn length(&self, name: &str) -> usize {
        self.files.get(name).map_or(0, |file| file.octets.len())
    }

    fn step(&mut self) -> io::Result<bool> {
        self.taken += 1;
        match &mut self.steps {
            Some(0) => Err(io::Error::other("the power is gone")),
            Some(steps) => {
                *steps -= 1;
                Ok(*steps > 0)
            }
            None => Ok(true),
        }
    }
}

impl Storage for MemoryDisk {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(name).map(|file| file.octets.clone()))
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn append(&mut self, name: &str, octets: &[u8]) -> io::Result<()> {
        self.step()?;
        self.files.entry(name.to_owned()).or_default().octets.extend_from_slice(octets);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let file = self.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.durable = file.octets.len();
        Ok(())
    }

    fn replace(&mut self, name: &str, octets: &[u8]) -> io::Result<()> {
        // Three steps that can be the last: the file beside it, its durability, the renaming.
        let aside = format!("{name}.new");
        self.step()?;
        self.files.insert(aside.clone(), File { octets: octets.to_vec(), durable: 0 });
        self.step()?;
        self.files.insert(aside.clone(), File { octets: octets.to_vec(), durable: octets.len() });
        self.step()?;
        self.files.remove(&aside);
        self.files.insert(name.to_owned(), File { octets: octets.to_vec(), durable: octets.len() });
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        let file = self.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.octets.truncate(length as usize);
        file.durable = file.octets.len();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.files.remove(name);
        Ok(())
    }
}
