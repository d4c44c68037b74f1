//! A write-ahead log of numbered entries, with snapshots that shorten it. It knows no file system: a [`Storage`] carries
//! out what it says, and may fail or lose what was not made durable at any step.
//!
//! Files of a log called `zone`: `zone.G.snap`, a snapshot with generation G, and `zone.G.log`, the entries after it. A
//! new generation begins with its log ([`WriteAheadLog::rotate`]); its snapshot follows when it is ready, and is the
//! point from which the older ones are not needed. So nothing waits for a snapshot, and a stop at any step leaves a
//! snapshot and all logs after it.
//!
//! Every entry carries its number, its length and a CRC-32C over number and content. What breaks off at the end of the
//! newest log was never acknowledged and is cut off ([`TornTail`]); anything else is damage, and is reported
//! ([`DamagedFile`]).

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
