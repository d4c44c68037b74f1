//! Resource records, and the sets of all records of one owner and type.

use crate::name::Name;
use crate::record_type::RecordType;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// One record.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Record {
    /// Its owner.
    pub name: Name,
    /// Its type.
    pub kind: RecordType,
    /// For how long it may be kept, in seconds.
    pub ttl: u32,
    /// Its data: wire form without pointers, names in lower case.
    pub data: Vec<u8>,
}

impl Record {
    /// What it is, but for its time to live.
    pub fn key(&self) -> (&Name, RecordType, &[u8]) {
        (&self.name, self.kind, &self.data)
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {} IN {} {}", self.name, self.ttl, self.kind, self.kind.format_data(&self.data))
    }
}

impl fmt::Debug for Record {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// All records of one owner and type; they have one time to live (RFC 2181 section 5.2).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordSet {
    /// The type.
    pub kind: RecordType,
    /// The time to live, in seconds.
    pub ttl: u32,
    /// Each record's data behind its length in two octets, in ascending order.
    data: Arc<[u8]>,
}

/// The data of the records in packed form.
pub fn unpack(packed: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = packed;
    std::iter::from_fn(move || {
        let (length, after) = rest.split_first_chunk::<2>()?;
        let (data, after) = after.split_at_checked(u16::from_be_bytes(*length) as usize)?;
        rest = after;
        Some(data)
    })
}

/// Data of records in packed form, in the order given.
pub fn pack<'a>(all: impl IntoIterator<Item = &'a [u8]>) -> Vec<u8> {
    let mut packed = Vec::new();
    for data in all {
        packed.extend((data.len() as u16).to_be_bytes());
        packed.extend_from_slice(data);
    }
    packed
}

impl RecordSet {
    /// A set of one record.
    pub(crate) fn new(kind: RecordType, ttl: u32, data: &[u8]) -> Self {
        Self { kind, ttl, data: pack([data]).into() }
    }

    /// The data of its records.
    pub fn records(&self) -> impl Iterator<Item = &[u8]> {
        unpack(&self.data)
    }

    /// The same in one piece.
    pub fn packed(&self) -> &[u8] {
        &self.data
    }

    /// How many records there are.
    pub fn count(&self) -> usize {
        self.records().count()
    }

    /// Whether there is a record with this data.
    pub fn has(&self, data: &[u8]) -> bool {
        self.records().any(|own| own == data)
    }

    /// Whether no record is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Adds a record; one that is there already is no second one.
    pub(crate) fn insert(&mut self, data: &[u8]) {
        let mut all: Vec<&[u8]> = self.records().collect();
        if let Err(at) = all.binary_search(&data) {
            all.insert(at, data);
        }
        self.data = pack(all).into();
    }

    /// Removes the record with this data.
    pub(crate) fn remove(&mut self, data: &[u8]) {
        self.data = pack(self.records().filter(|own| *own != data)).into();
    }

    /// Replaces the data of each record; their order stays.
    pub(crate) fn replace_each(&mut self, replace: impl Fn(&[u8]) -> Vec<u8>) {
        let data: Vec<Vec<u8>> = self.records().map(replace).collect();
        self.data = pack(data.iter().map(|data| &data[..])).into();
    }
}
