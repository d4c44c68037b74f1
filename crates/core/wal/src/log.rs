//! The log that entries are appended to.

use crate::files::{file_name, generations, FileKind};
use crate::frame::{encode_checksummed_file, write_frame, LOG_MAGIC};
use crate::recovery::{recover, Position, Recovered, TornTail};
use crate::storage::{OfFile, Storage, StorageError};

/// A log that entries are appended to.
#[derive(Debug)]
pub struct WriteAheadLog {
    name: String,
    generation: u64,
    next_number: u64,
    /// Whether the newest log file has its magic bytes already.
    has_header: bool,
    /// Entries, framed, that no batch has taken yet.
    pending: Vec<u8>,
    bytes_since_snapshot: u64,
}

/// Bytes to be appended to a file and made durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The file.
    pub file: String,
    /// What to append.
    pub bytes: Vec<u8>,
    /// Once it is durable, all entries below this number are.
    pub durable_below: u64,
}

/// A generation that has begun and waits for its snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rotation {
    /// The generation.
    pub generation: u64,
    /// The number of the first entry after the snapshot.
    pub first_entry: u64,
}

impl WriteAheadLog {
    /// Opens a log: reads what is there, cuts a torn tail off, and tells all it found.
    ///
    /// # Errors
    /// Where the storage fails. Damage is no error here: see [`Recovered::damage`].
    pub fn open(storage: &mut impl Storage, name: &str) -> Result<(Self, Recovered), StorageError> {
        let (log, recovered) = Self::inspect(storage, name)?;
        if let Some(tail) = &recovered.torn_tail {
            cut_off(storage, tail)?;
        }
        Ok((log, recovered))
    }

    /// The same as [`Self::open`] without changing anything.
    ///
    /// # Errors
    /// Where the storage fails.
    pub fn inspect(storage: &mut impl Storage, name: &str) -> Result<(Self, Recovered), StorageError> {
        let (Position { generation, next_number, has_header, entry_bytes }, recovered) =
            recover(storage, name)?;
        let log = Self {
            name: name.to_owned(),
            generation,
            next_number,
            has_header,
            pending: Vec::new(),
            bytes_since_snapshot: entry_bytes,
        };
        Ok((log, recovered))
    }

    /// Appends an entry and returns its number; it is durable once a [`Batch`] with it is.
    pub fn append(&mut self, entry: &[u8]) -> u64 {
        let number = self.next_number;
        write_frame(&mut self.pending, number, entry);
        self.next_number += 1;
        number
    }

    /// The number of the next entry.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// How many bytes of entries stand behind the last snapshot.
    pub fn bytes_since_snapshot(&self) -> u64 {
        self.bytes_since_snapshot
    }

    /// What was appended since the last batch; none where nothing was.
    pub fn take_batch(&mut self) -> Option<Batch> {
        if self.pending.is_empty() {
            return None;
        }
        self.bytes_since_snapshot += self.pending.len() as u64;
        let mut bytes = if self.has_header { Vec::new() } else { LOG_MAGIC.to_vec() };
        self.has_header = true;
        bytes.append(&mut self.pending);
        let file = file_name(&self.name, self.generation, FileKind::Log);
        Some(Batch { file, bytes, durable_below: self.next_number })
    }

    /// Begins a generation: entries from now on stand in a new log file. Whatever was appended before must have been
    /// taken as a batch. The snapshot of all before is written later, by [`Self::write_snapshot`].
    pub fn rotate(&mut self) -> Rotation {
        debug_assert!(self.pending.is_empty(), "entries of the old generation are left");
        self.generation += 1;
        self.has_header = false;
        self.bytes_since_snapshot = 0;
        Rotation { generation: self.generation, first_entry: self.next_number }
    }

    /// Writes a generation's snapshot. What is older than the snapshot before it is removed then: two generations stay,
    /// so that a damaged snapshot is no loss.
    ///
    /// # Errors
    /// Where the storage fails.
    pub fn write_snapshot(
        storage: &mut impl Storage,
        name: &str,
        rotation: Rotation,
        snapshot: &[u8],
    ) -> Result<(), StorageError> {
        let file = file_name(name, rotation.generation, FileKind::Snapshot);
        storage.replace(&file, &encode_checksummed_file(rotation.first_entry, snapshot)).of_file(&file)?;
        let files = storage.list().of_file(name)?;
        let snapshots = generations(&files, name, FileKind::Snapshot);
        let before = snapshots.into_iter().rev().find(|generation| *generation < rotation.generation);
        let Some(before) = before else { return Ok(()) };
        for kind in [FileKind::Snapshot, FileKind::Log] {
            let all = generations(&files, name, kind);
            for generation in all.into_iter().filter(|generation| *generation < before) {
                let file = file_name(name, generation, kind);
                storage.remove(&file).of_file(&file)?;
            }
        }
        Ok(())
    }

    /// Writes what was appended and makes it durable; for those who have no thread for it.
    ///
    /// # Errors
    /// Where the storage fails: then it is not known whether the entries are durable.
    pub fn commit(&mut self, storage: &mut impl Storage) -> Result<(), StorageError> {
        if let Some(batch) = self.take_batch() {
            storage.append(&batch.file, &batch.bytes).of_file(&batch.file)?;
            storage.sync(&batch.file).of_file(&batch.file)?;
        }
        Ok(())
    }
}

/// Cuts a torn tail off. It is kept in a file beside: an operator may want to see what it was.
fn cut_off(storage: &mut impl Storage, tail: &TornTail) -> Result<(), StorageError> {
    let bytes = storage.read(&tail.file).of_file(&tail.file)?.unwrap_or_default();
    let kept = format!("{}.cut", tail.file);
    storage.replace(&kept, &bytes[tail.offset as usize..]).of_file(&kept)?;
    storage.truncate(&tail.file, tail.offset).of_file(&tail.file)
}
