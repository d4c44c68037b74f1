//! Resource records and record sets.

use crate::name::Name;
use crate::record_type::RecordType;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A resource record.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Record {
    /// The owner name.
    pub name: Name,
    /// The type.
    pub kind: RecordType,
    /// The time to live in seconds.
    pub ttl: u32,
    /// The data in wire form without compression pointers, with names in lower case.
    pub data: Vec<u8>,
}

/// What an allocation takes besides its content, in bytes.
const ALLOCATION_OVERHEAD_BYTES: usize = 16;

impl Record {
    /// About what the record takes in memory, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let content = self.name.wire().len() + self.data.capacity();
        size_of::<Self>() + content + 2 * ALLOCATION_OVERHEAD_BYTES
    }

    /// Everything but the TTL. Two records with the same key are the same record.
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

/// All records of one owner and type. They share one TTL (RFC 2181 section 5.2).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordSet {
    /// The type.
    pub kind: RecordType,
    /// The time to live, in seconds.
    pub ttl: u32,
    /// The data of the records in ascending order, each preceded by its length in two octets.
    data: Arc<[u8]>,
}

/// Iterates over the records' data in packed form.
pub fn unpack(packed: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = packed;
    std::iter::from_fn(move || {
        let (length, after) = rest.split_first_chunk::<2>()?;
        let (data, after) = after.split_at_checked(u16::from_be_bytes(*length) as usize)?;
        rest = after;
        Some(data)
    })
}

/// Packs the data of records: each is preceded by its length in two octets.
pub fn pack<'a>(all: impl IntoIterator<Item = &'a [u8]>) -> Vec<u8> {
    let mut packed = Vec::new();
    for data in all {
        packed.extend((data.len() as u16).to_be_bytes());
        packed.extend_from_slice(data);
    }
    packed
}

impl RecordSet {
    /// Creates a set of one record.
    pub(crate) fn new(kind: RecordType, ttl: u32, data: &[u8]) -> Self {
        Self { kind, ttl, data: pack([data]).into() }
    }

    /// The data of each record.
    pub fn records(&self) -> impl Iterator<Item = &[u8]> {
        unpack(&self.data)
    }

    /// The data of all records in packed form.
    pub fn packed(&self) -> &[u8] {
        &self.data
    }

    /// The number of records.
    pub fn count(&self) -> usize {
        self.records().count()
    }

    /// Whether the set has a record with this data.
    pub fn has(&self, data: &[u8]) -> bool {
        self.records().any(|own| own == data)
    }

    /// Whether the set has no records.
    pub(crate) fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Adds a record, unless the set has it already.
    pub(crate) fn insert(&mut self, data: &[u8]) {
        let mut all: Vec<&[u8]> = self.records().collect();
        if let Err(at) = all.binary_search(&data) {
            all.insert(at, data);
        }
        self.data = pack(all).into();
    }

    /// Removes the record with this data, if there is one.
    pub(crate) fn remove(&mut self, data: &[u8]) {
        self.data = pack(self.records().filter(|own| *own != data)).into();
    }

    /// Replaces the data of each record and keeps their order.
    pub(crate) fn replace_each(&mut self, replace: impl Fn(&[u8]) -> Vec<u8>) {
        let data: Vec<Vec<u8>> = self.records().map(replace).collect();
        self.data = pack(data.iter().map(|data| &data[..])).into();
    }
}
