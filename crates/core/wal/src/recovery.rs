//! Reads a log back: the newest whole snapshot, and the entries after it.
//!
//! The rule: an unreadable end of the newest log with no whole entry behind it is taken for a torn tail, which a write that
//! was not synced leaves: it was never acknowledged, and is cut off. A flipped bit in a synced last entry looks the same and
//! can't be told from it. Anything else in the logs is damage: reading ends there, and nothing may be appended before an
//! operator has looked. In place of a damaged snapshot an older one is taken, where the logs reach back to it.

use crate::files::{file_name, generations, is_snapshot, FileKind};
use crate::frame::{any_frame, decode_checksummed_file, read_frame, LOG_MAGIC};
use crate::storage::{OfFile, Storage, StorageError};
use std::fmt;

/// The unacknowledged end of the newest log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The file.
    pub file: String,
    /// From where on, in bytes.
    pub offset: u64,
    /// How many bytes.
    pub length: u64,
}

/// What is wrong with a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// A snapshot is not whole.
    Snapshot,
    /// A log does not begin as one.
    NotALog,
    /// Entries are missing before this one.
    MissingEntries,
    /// An entry has a lower number than the one before.
    EntryOutOfOrder,
    /// An entry can't be read, and whole entries follow or it is not in the newest log.
    Checksum,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Snapshot => "a snapshot that is not whole",
            Self::NotALog => "this is no log",
            Self::MissingEntries => "entries are missing",
            Self::EntryOutOfOrder => "an entry out of order",
            Self::Checksum => "an entry whose checksum is wrong, with more behind it",
        })
    }
}

/// A file that is not what it should be; what stands behind the offset can't be trusted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedFile {
    /// The file.
    pub file: String,
    /// Where, in bytes from its start.
    pub offset: u64,
    /// What was found.
    pub damage: Damage,
}

impl fmt::Display for DamagedFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: at octet {}: {}", self.file, self.offset, self.damage)
    }
}

impl std::error::Error for DamagedFile {}

/// What was found when a log was opened.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The newest whole snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The entries after it.
    pub entries: Vec<Vec<u8>>,
    /// The unacknowledged end of the newest log.
    pub torn_tail: Option<TornTail>,
    /// What is damaged. The entries end there.
    pub damage: Vec<DamagedFile>,
}

/// Where appending goes on after recovery.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Position {
    pub generation: u64,
    /// The number of the next entry.
    pub next_number: u64,
    /// Whether the newest log has its magic bytes already.
    pub has_header: bool,
    /// The length of all entries read.
    pub entry_bytes: u64,
}

/// Reads a log without changing anything.
pub(crate) fn recover(storage: &mut impl Storage, log: &str) -> Result<(Position, Recovered), StorageError> {
    let files = storage.list().of_file(log)?;
    let mut recovery = Recovery { log, position: Position::default(), recovered: Recovered::default() };
    let base = recovery.read_snapshot(storage, &files)?;
    let mut logs = generations(&files, log, FileKind::Log);
    logs.retain(|generation| *generation >= base);
    recovery.position.generation = logs.last().copied().unwrap_or(base);
    for &generation in &logs {
        let is_newest = Some(&generation) == logs.last();
        let readable = recovery.read_log(storage, generation, is_newest)?;
        if readable == Readable::Ended {
            break;
        }
    }
    if logs.first() == Some(&base) {
        recovery.excuse_damaged_snapshot();
    }
    Ok((recovery.position, recovery.recovered))
}

/// Whether what follows a log can be read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Readable {
    Next,
    Ended,
}

struct Recovery<'a> {
    log: &'a str,
    position: Position,
    recovered: Recovered,
}

impl Recovery<'_> {
    /// Finds the newest whole snapshot, and tells its generation.
    fn read_snapshot(&mut self, storage: &mut impl Storage, files: &[String]) -> Result<u64, StorageError> {
        for generation in generations(files, self.log, FileKind::Snapshot).into_iter().rev() {
            let file = file_name(self.log, generation, FileKind::Snapshot);
            let bytes = storage.read(&file).of_file(&file)?.unwrap_or_default();
            if let Some(sealed) = decode_checksummed_file(&bytes) {
                self.position.next_number = sealed.number;
                self.recovered.snapshot = Some(sealed.content.to_vec());
                return Ok(generation);
            }
            // An older one with all logs since may stand in for it.
            self.recovered.damage.push(DamagedFile { file, offset: 0, damage: Damage::Snapshot });
        }
        Ok(0)
    }

    /// Reads the entries of one log.
    fn read_log(
        &mut self,
        storage: &mut impl Storage,
        generation: u64,
        is_newest: bool,
    ) -> Result<Readable, StorageError> {
        let file = file_name(self.log, generation, FileKind::Log);
        let bytes = storage.read(&file).of_file(&file)?.unwrap_or_default();
        if !bytes.starts_with(LOG_MAGIC) {
            let broke_off = bytes.len() < LOG_MAGIC.len() && LOG_MAGIC.starts_with(&bytes);
            if !is_newest || !broke_off {
                return Ok(self.damaged(file, 0, Damage::NotALog));
            }
            return Ok(if bytes.is_empty() { Readable::Next } else { self.torn(file, 0, bytes.len()) });
        }
        self.position.has_header = is_newest;
        let mut offset = LOG_MAGIC.len();
        while offset < bytes.len() {
            let Some(frame) = read_frame(&bytes, offset) else {
                let is_tail = is_newest && !any_frame(&bytes, offset + 1, self.position.next_number);
                return Ok(if is_tail {
                    self.torn(file, offset, bytes.len())
                } else {
                    self.damaged(file, offset, Damage::Checksum)
                });
            };
            if frame.number > self.position.next_number {
                return Ok(self.damaged(file, offset, Damage::MissingEntries));
            }
            if frame.number < self.position.next_number {
                return Ok(self.damaged(file, offset, Damage::EntryOutOfOrder));
            }
            self.recovered.entries.push(frame.content.to_vec());
            self.position.next_number += 1;
            self.position.entry_bytes += (frame.end - offset) as u64;
            offset = frame.end;
        }
        Ok(Readable::Next)
    }

    fn damaged(&mut self, file: String, offset: usize, damage: Damage) -> Readable {
        self.recovered.damage.push(DamagedFile { file, offset: offset as u64, damage });
        Readable::Ended
    }

    fn torn(&mut self, file: String, offset: usize, end: usize) -> Readable {
        let length = (end - offset) as u64;
        self.recovered.torn_tail = Some(TornTail { file, offset: offset as u64, length });
        Readable::Next
    }

    /// A damaged newer snapshot alone is no loss where the logs reach from the older one.
    fn excuse_damaged_snapshot(&mut self) {
        let [only] = &self.recovered.damage[..] else { return };
        if self.recovered.snapshot.is_some() && is_snapshot(&only.file) {
            self.recovered.damage.clear();
        }
    }
}
