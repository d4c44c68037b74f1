//! A write-ahead log of numbered entries, with snapshots that let older entries be deleted. Use it for state that has to
//! survive a crash or a loss of power at any step. The log accesses files only through a [`Storage`], whose operations may
//! fail, and which may lose any data that was not synced.
//!
//! # Files
//!
//! A log named `zone` consists of snapshots `zone.G.snap` and log files `zone.G.log`, where `G` is the generation. A log
//! file holds the entries after the snapshot of its generation. [`WriteAheadLog::rotate`] starts a new generation with an
//! empty log file; [`WriteAheadLog::write_snapshot`] adds its snapshot later. Appends therefore never wait for a
//! snapshot, and a crash at any step leaves a snapshot and all log files after it.
//!
//! # Incomplete writes and damage
//!
//! Every entry carries its number, its length and a CRC-32C over number and content. An incomplete write at the end of the
//! newest log file ([`TornTail`]) was never acknowledged and is truncated. Anything else that can't be read is reported
//! as damage ([`DamagedFile`]).

#![forbid(unsafe_code)]

mod files;
mod frame;
mod log;
mod recovery;
mod storage;

pub use frame::{decode_checksummed_file, encode_checksummed_file, ChecksummedFile};
pub use log::{Batch, Rotation, WriteAheadLog};
pub use recovery::{Damage, DamagedFile, Recovered, TornTail};
pub use storage::{Storage, StorageError};
