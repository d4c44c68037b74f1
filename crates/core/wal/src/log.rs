//! Appending entries, rotating to a new generation, and writing snapshots.

use crate::files::{file_name, generations, FileKind};
use crate::frame::{encode_checksummed_file, write_frame, LOG_MAGIC};
use crate::recovery::{recover, Position, Recovered, TornTail};
use crate::storage::{FileContext, Storage, StorageError};

/// A write-ahead log that is open for appending.
#[derive(Debug)]
pub struct WriteAheadLog {
    name: String,
    generation: u64,
    next_number: u64,
    /// Whether the magic bytes of the newest log file have been written.
    has_header: bool,
    /// Framed entries that are not part of a batch yet.
    pending: Vec<u8>,
    bytes_since_snapshot: u64,
}

/// Bytes to append to a file and then sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The name of the file.
    pub file: String,
    /// The bytes to append.
    pub bytes: Vec<u8>,
    /// All entries with numbers below this are durable once the batch is synced.
    pub durable_below: u64,
}

/// A generation whose log file has been started and whose snapshot is still to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rotation {
    /// The number of the generation.
    pub generation: u64,
    /// The number of the first entry that the snapshot does not cover.
    pub first_entry: u64,
}

impl WriteAheadLog {
    /// Opens a log: reads its files and truncates a torn tail. Check [`Recovered::damage`] before appending: entries after
    /// the damage are missing from the result.
    ///
    /// # Errors
    /// A storage operation failed. Damage is not an error.
    pub fn open(storage: &mut impl Storage, name: &str) -> Result<(Self, Recovered), StorageError> {
        let (log, recovered) = Self::inspect(storage, name)?;
        if let Some(tail) = &recovered.torn_tail {
            truncate_tail(storage, tail)?;
        }
        Ok((log, recovered))
    }

    /// Reads a log like [`Self::open`], but leaves a torn tail in place.
    ///
    /// # Errors
    /// A storage operation failed.
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

    /// Appends an entry in memory and returns its number. It is durable once the [`Batch`] that contains it is synced.
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

    /// The size in bytes of the entries since the last rotation or, if there was none since opening, of all recovered and
    /// later entries. Entries that are not part of a batch yet do not count.
    pub fn bytes_since_snapshot(&self) -> u64 {
        self.bytes_since_snapshot
    }

    /// Returns the entries appended since the last batch, or `None` if there are none. The caller has to write batches in
    /// order.
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

    /// Starts a new generation: later entries go to a new log file. All entries appended before must have been taken as a
    /// batch. [`Self::write_snapshot`] writes the snapshot, which covers the entries before the rotation.
    pub fn rotate(&mut self) -> Rotation {
        debug_assert!(self.pending.is_empty(), "entries of the old generation are left");
        self.generation += 1;
        self.has_header = false;
        self.bytes_since_snapshot = 0;
        Rotation { generation: self.generation, first_entry: self.next_number }
    }

    /// Writes the snapshot of a generation, then removes all files older than the previous snapshot. The previous snapshot
    /// and the log files after it remain, so that the state can be recovered if the new snapshot is damaged.
    ///
    /// # Errors
    /// A storage operation failed.
    pub fn write_snapshot(
        storage: &mut impl Storage,
        name: &str,
        rotation: Rotation,
        snapshot: &[u8],
    ) -> Result<(), StorageError> {
        let file = file_name(name, rotation.generation, FileKind::Snapshot);
        storage.replace(&file, &encode_checksummed_file(rotation.first_entry, snapshot)).with_file(&file)?;
        let files = storage.list().with_file(name)?;
        let snapshots = generations(&files, name, FileKind::Snapshot);
        let previous = snapshots.into_iter().rev().find(|generation| *generation < rotation.generation);
        let Some(previous) = previous else { return Ok(()) };
        for kind in [FileKind::Snapshot, FileKind::Log] {
            let existing = generations(&files, name, kind);
            for generation in existing.into_iter().filter(|generation| *generation < previous) {
                let file = file_name(name, generation, kind);
                storage.remove(&file).with_file(&file)?;
            }
        }
        Ok(())
    }

    /// Writes and syncs the entries appended since the last batch. For callers that write on their own thread; others use
    /// [`Self::take_batch`] and hand the batch to a writer thread.
    ///
    /// # Errors
    /// A storage operation failed. It is unknown then whether the entries are durable.
    pub fn commit(&mut self, storage: &mut impl Storage) -> Result<(), StorageError> {
        if let Some(batch) = self.take_batch() {
            storage.append(&batch.file, &batch.bytes).with_file(&batch.file)?;
            storage.sync(&batch.file).with_file(&batch.file)?;
        }
        Ok(())
    }
}

/// Truncates a torn tail after saving its bytes in a `.cut` file, so that an operator can look at them.
fn truncate_tail(storage: &mut impl Storage, tail: &TornTail) -> Result<(), StorageError> {
    let bytes = storage.read(&tail.file).with_file(&tail.file)?.unwrap_or_default();
    let saved = format!("{}.cut", tail.file);
    storage.replace(&saved, &bytes[tail.offset as usize..]).with_file(&saved)?;
    storage.truncate(&tail.file, tail.offset).with_file(&tail.file)
}
