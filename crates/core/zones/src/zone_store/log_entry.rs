//! The contents of a zone's log (entries, snapshots and bases) and their stored format.
//!
//! The stored format contains no names: it depends on the order of fields and variants, which must not change.

use crate::change::{Change, ChangeError};
use crate::name::Name;
use crate::record::Record;
use crate::record_type::RecordType;
use crate::serial::Serial;
use crate::update::UpdateError;
use crate::zone::Zone;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The identifier by which a duplicate of an update is recognized.
pub type UpdateId = [u8; 16];

/// A record that can have a lease: owner, type and data.
pub type LeasedRecord = (Name, RecordType, Vec<u8>);

/// One accepted change of a zone, as it is stored in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ZoneLogEntry {
    /// An update, an incremental transfer or a lease expiry.
    Changed {
        /// The change of records.
        change: Change,
        /// The identifier of the update, for recognizing duplicates.
        update_id: Option<UpdateId>,
        /// The lease of the added records in seconds; 0 for permanent records.
        lease: u32,
        /// Records that lost their lease and are permanent now.
        kept: Vec<LeasedRecord>,
    },
    /// These records lost their lease and are permanent now.
    Kept(Vec<LeasedRecord>),
    /// The zone file was read again: the accepted changes are applied to the new base.
    Based {
        /// The name of the new base's file.
        base: String,
        /// The serial of the resulting version.
        serial: Serial,
        /// The changes accepted while the new base was prepared; they are applied last.
        since: Change,
    },
    /// A full transfer from a primary: it is the new base and the new version.
    Followed {
        /// The name of the file that holds the version.
        base: String,
    },
}

/// The complete state of a zone at one position of its log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The format version of this snapshot.
    pub form: u16,
    /// The name of the base's file.
    pub base: String,
    /// The change from the base to the version in force.
    pub overlay: Change,
    /// The change history that is kept for IXFR.
    pub history: Vec<Change>,
    /// The identifiers of known updates and their results.
    pub known_updates: Vec<(UpdateId, Result<Serial, UpdateError>)>,
    /// The leased records and their lease durations in seconds.
    pub leases: Vec<(Name, RecordType, Vec<u8>, u32)>,
}

/// The format version that is written.
pub const FORMAT_VERSION: u16 = 1;

impl ZoneLogEntry {
    /// The change of records, if the entry holds one.
    pub fn change(&self) -> Option<&Change> {
        match self {
            Self::Changed { change, .. } => Some(change),
            Self::Based { .. } | Self::Followed { .. } | Self::Kept(_) => None,
        }
    }
}

/// Why a zone can't be restored from its log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneLogError {
    /// The bytes are not an entry or a snapshot in this version's format.
    Undecodable(postcard::Error),
    /// A base file that the log names is missing or damaged.
    MissingBase(String),
    /// An entry does not apply to the version before it.
    Change(ChangeError),
}

impl fmt::Display for ZoneLogError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Undecodable(fault) => write!(f, "the log entry or snapshot has an unknown format: {fault}"),
            Self::MissingBase(file) => write!(f, "{file}: the base file is missing or damaged"),
            Self::Change(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for ZoneLogError {}

impl From<ChangeError> for ZoneLogError {
    fn from(fault: ChangeError) -> Self {
        Self::Change(fault)
    }
}

/// Encodes an entry or a snapshot for the log.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serializing plain values to memory can't fail.
    postcard::to_allocvec(value).expect("serializing plain values to memory can't fail")
}

/// Decodes an entry or a snapshot from the log.
pub fn decode<'a, T: Deserialize<'a>>(octets: &'a [u8]) -> Result<T, ZoneLogError> {
    postcard::from_bytes(octets).map_err(ZoneLogError::Undecodable)
}

/// Encodes a base for its file.
pub fn encode_base(zone: &Zone) -> Vec<u8> {
    encode(&(FORMAT_VERSION, zone.apex(), zone.all_records()))
}

/// Decodes a base; none if the bytes are damaged or in another format.
pub fn decode_base(octets: &[u8]) -> Option<Zone> {
    let (form, apex, all): (u16, Name, Vec<Record>) = decode(octets).ok()?;
    let mut zone = Zone::new(apex);
    let fit = form == FORMAT_VERSION && all.iter().all(|record| zone.add(record).is_ok());
    fit.then_some(zone)
}
