//! What the log of a zone holds: entries, snapshots and bases, and their stored form.
//!
//! The stored form has no names in it: the order of fields and of variants is the form.

use crate::change::{Change, ChangeError};
use crate::name::Name;
use crate::record::Record;
use crate::record_type::RecordType;
use crate::serial::Serial;
use crate::update::UpdateError;
use crate::zone::Zone;
use serde::{Deserialize, Serialize};
use std::fmt;

/// By what a repeated update is known.
pub type UpdateId = [u8; 16];

/// A record that may be held.
pub type LeasedRecord = (Name, RecordType, Vec<u8>);

/// What is kept of a zone on the log: one accepted step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ZoneLogEntry {
    /// An update or a lapse.
    Changed {
        /// What changed.
        change: Change,
        /// By what a repeat is known.
        update_id: Option<UpdateId>,
        /// For how many seconds what was added is held; 0 for good.
        lease: u32,
        /// Records that were held before and are there for good now.
        kept: Vec<LeasedRecord>,
    },
    /// These records, held until now, are there for good.
    Kept(Vec<LeasedRecord>),
    /// The file was read again: the accepted changes are put on the new base as they were on the old one.
    Based {
        /// The file with the new base.
        base: String,
        /// The version that it makes.
        serial: Serial,
        /// What was accepted while the new base was made ready, and is put on last.
        since: Change,
    },
    /// A whole version came from a primary: it is the base and the version in force.
    Followed {
        /// The file with it.
        base: String,
    },
}

/// All of a zone's state at one point of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The form of this snapshot.
    pub form: u16,
    /// The file with the base.
    pub base: String,
    /// From the base to the version in force.
    pub overlay: Change,
    /// The last changes.
    pub history: Vec<Change>,
    /// Repeats known, and how their first was answered.
    pub known_updates: Vec<(UpdateId, Result<Serial, UpdateError>)>,
    /// What is held, and for how many seconds.
    pub leases: Vec<(Name, RecordType, Vec<u8>, u32)>,
}

/// The form that is written now.
pub const FORMAT_VERSION: u16 = 1;

impl ZoneLogEntry {
    /// What changed.
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
    /// The octets are not an entry or a snapshot in the form of this version.
    Undecodable(postcard::Error),
    /// The file with a base that the log names is missing or damaged.
    MissingBase(String),
    /// An entry does not follow on the version before it.
    Change(ChangeError),
}

impl fmt::Display for ZoneLogError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Undecodable(fault) => write!(f, "an entry of another form: {fault}"),
            Self::MissingBase(file) => write!(f, "{file}: the base is missing or damaged"),
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
    // An entry or a snapshot holds plain values only, and memory is the only limit of the output.
    postcard::to_allocvec(value).expect("plain values always have a form")
}

/// Decodes it.
pub fn decode<'a, T: Deserialize<'a>>(octets: &'a [u8]) -> Result<T, ZoneLogError> {
    postcard::from_bytes(octets).map_err(ZoneLogError::Undecodable)
}

/// Encodes a base for its own file.
pub fn encode_base(zone: &Zone) -> Vec<u8> {
    encode(&(FORMAT_VERSION, zone.apex(), zone.all_records()))
}

/// Decodes a base; none where the octets are not one.
pub fn decode_base(octets: &[u8]) -> Option<Zone> {
    let (form, apex, all): (u16, Name, Vec<Record>) = decode(octets).ok()?;
    let mut zone = Zone::new(apex);
    let fit = form == FORMAT_VERSION && all.iter().all(|record| zone.add(record).is_ok());
    fit.then_some(zone)
}
