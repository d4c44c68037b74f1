//! Recovery: reads the newest valid snapshot and the entries after it.
//!
//! An unreadable end of the newest log file that no valid entry follows is treated as a torn tail: the remainder of a write
//! that was not synced, and therefore never acknowledged. It is truncated. A bit flip in the last synced entry can't be
//! distinguished from a torn tail, so that entry is truncated too.
//!
//! Anything else that is unreadable in the log files is damage. Reading ends there, and nothing may be appended until an
//! operator has examined the files. If a snapshot is damaged, an older one is used, provided that all log files after
//! it still exist.

use crate::files::{file_name, generations, is_snapshot, FileKind};
use crate::frame::{any_frame, decode_checksummed_file, read_frame, LOG_MAGIC};
use crate::storage::{FileContext, Storage, StorageError};
use std::fmt;

/// The incomplete, unacknowledged end of the newest log file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The name of the log file.
    pub file: String,
    /// Where the torn tail starts, in bytes from the start of the file.
    pub offset: u64,
    /// The length of the torn tail in bytes.
    pub length: u64,
}

/// The kind of damage to a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// A snapshot is incomplete or its checksum does not match.
    Snapshot,
    /// A log file does not start with the magic bytes.
    NotALog,
    /// The number of an entry is higher than expected: entries before it are missing.
    MissingEntries,
    /// The number of an entry is lower than expected.
    EntryOutOfOrder,
    /// An entry is unreadable and is not a torn tail: valid entries follow it, or the log file is not the newest.
    Checksum,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Snapshot => "the snapshot is incomplete or its checksum does not match",
            Self::NotALog => "the file does not start with the magic bytes of a log",
            Self::MissingEntries => "entries are missing before this one",
            Self::EntryOutOfOrder => "the entry's number is lower than expected",
            Self::Checksum => "the entry's checksum does not match, and later entries or log files follow",
        })
    }
}

/// A damaged file. Its content from the offset on can't be trusted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedFile {
    /// The name of the file.
    pub file: String,
    /// Where the damage starts, in bytes from the start of the file.
    pub offset: u64,
    /// The kind of damage.
    pub damage: Damage,
}

impl fmt::Display for DamagedFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: at octet {}: {}", self.file, self.offset, self.damage)
    }
}

impl std::error::Error for DamagedFile {}

/// The content of a log when it was opened.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The newest valid snapshot, if any.
    pub snapshot: Option<Vec<u8>>,
    /// The entries after the snapshot, up to the first damage in a log file.
    pub entries: Vec<Vec<u8>>,
    /// The torn tail of the newest log file, if any.
    pub torn_tail: Option<TornTail>,
    /// The damaged files. A single damaged snapshot is left out if an older snapshot replaced it without loss.
    pub damage: Vec<DamagedFile>,
}

/// Where appending continues after recovery.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Position {
    pub generation: u64,
    /// The number of the next entry.
    pub next_number: u64,
    /// Whether the newest log file already has its magic bytes.
    pub has_header: bool,
    /// The size of all entries that were read, with their headers.
    pub entry_bytes: u64,
}

/// Reads a log without changing its files.
pub(crate) fn recover(storage: &mut impl Storage, log: &str) -> Result<(Position, Recovered), StorageError> {
    let files = storage.list().with_file(log)?;
    let mut recovery = Recovery { log, position: Position::default(), recovered: Recovered::default() };
    let first_generation = recovery.read_snapshot(storage, &files)?;
    let mut logs = generations(&files, log, FileKind::Log);
    logs.retain(|generation| *generation >= first_generation);
    recovery.position.generation = logs.last().copied().unwrap_or(first_generation);
    for &generation in &logs {
        let is_newest = Some(&generation) == logs.last();
        let progress = recovery.read_log(storage, generation, is_newest)?;
        if progress == Progress::Stop {
            break;
        }
    }
    if logs.first() == Some(&first_generation) {
        recovery.ignore_replaced_snapshot();
    }
    Ok((recovery.position, recovery.recovered))
}

/// Whether reading continues with the next log file.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    Continue,
    Stop,
}

struct Recovery<'a> {
    log: &'a str,
    position: Position,
    recovered: Recovered,
}

impl Recovery<'_> {
    /// Reads the newest valid snapshot and returns its generation, or 0 if there is none.
    fn read_snapshot(&mut self, storage: &mut impl Storage, files: &[String]) -> Result<u64, StorageError> {
        for generation in generations(files, self.log, FileKind::Snapshot).into_iter().rev() {
            let file = file_name(self.log, generation, FileKind::Snapshot);
            let bytes = storage.read(&file).with_file(&file)?.unwrap_or_default();
            if let Some(snapshot) = decode_checksummed_file(&bytes) {
                self.position.next_number = snapshot.number;
                self.recovered.snapshot = Some(snapshot.content.to_vec());
                return Ok(generation);
            }
            // The state can still be restored from an older snapshot, if all log files after that snapshot exist.
            self.recovered.damage.push(DamagedFile { file, offset: 0, damage: Damage::Snapshot });
        }
        Ok(0)
    }

    /// Reads the entries of one log file.
    fn read_log(
        &mut self,
        storage: &mut impl Storage,
        generation: u64,
        is_newest: bool,
    ) -> Result<Progress, StorageError> {
        let file = file_name(self.log, generation, FileKind::Log);
        let bytes = storage.read(&file).with_file(&file)?.unwrap_or_default();
        if !bytes.starts_with(LOG_MAGIC) {
            let is_partial_magic = bytes.len() < LOG_MAGIC.len() && LOG_MAGIC.starts_with(&bytes);
            if !is_newest || !is_partial_magic {
                return Ok(self.report_damage(file, 0, Damage::NotALog));
            }
            return Ok(if bytes.is_empty() {
                Progress::Continue
            } else {
                self.report_torn_tail(file, 0, bytes.len())
            });
        }
        self.position.has_header = is_newest;
        let mut offset = LOG_MAGIC.len();
        while offset < bytes.len() {
            let Some(frame) = read_frame(&bytes, offset) else {
                let is_tail = is_newest && !any_frame(&bytes, offset + 1, self.position.next_number);
                return Ok(if is_tail {
                    self.report_torn_tail(file, offset, bytes.len())
                } else {
                    self.report_damage(file, offset, Damage::Checksum)
                });
            };
            if frame.number > self.position.next_number {
                return Ok(self.report_damage(file, offset, Damage::MissingEntries));
            }
            if frame.number < self.position.next_number {
                return Ok(self.report_damage(file, offset, Damage::EntryOutOfOrder));
            }
            self.recovered.entries.push(frame.content.to_vec());
            self.position.next_number += 1;
            self.position.entry_bytes += (frame.end - offset) as u64;
            offset = frame.end;
        }
        Ok(Progress::Continue)
    }

    fn report_damage(&mut self, file: String, offset: usize, damage: Damage) -> Progress {
        self.recovered.damage.push(DamagedFile { file, offset: offset as u64, damage });
        Progress::Stop
    }

    fn report_torn_tail(&mut self, file: String, offset: usize, end: usize) -> Progress {
        let length = (end - offset) as u64;
        self.recovered.torn_tail = Some(TornTail { file, offset: offset as u64, length });
        Progress::Continue
    }

    /// Clears the damage report if the only damage is to a snapshot that an older one replaced. The caller has checked that
    /// the log files since the older snapshot exist, so nothing is lost.
    fn ignore_replaced_snapshot(&mut self) {
        let [only] = &self.recovered.damage[..] else { return };
        if self.recovered.snapshot.is_some() && is_snapshot(&only.file) {
            self.recovered.damage.clear();
        }
    }
}
