//! The difference between two versions of a zone as lists of records, and a bounded history of such changes for
//! IXFR (RFC 1995).

use crate::name::Name;
use crate::name_tree::Node;
use crate::record::{Record, RecordSet};
use crate::record_type::RecordType;
use crate::serial::Serial;
use crate::zone::Zone;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

/// The difference between two versions. Both lists contain the SOA if it changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The serial of the older version.
    pub from: Serial,
    /// The serial of the newer version.
    pub to: Serial,
    /// Records to remove.
    pub removed: Vec<Record>,
    /// Records to add.
    pub added: Vec<Record>,
}

/// Why a change can't be applied to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// The change starts from another serial: the version's serial, then the change's.
    SerialMismatch(Serial, Serial),
    /// A record to remove does not exist.
    Missing(Record),
    /// A record to add exists already or violates a rule of the zone.
    Rejected(Record),
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::SerialMismatch(own, from) => {
                write!(f, "the zone has serial {own}, but the change starts from serial {from}")
            }
            Self::Missing(record) => write!(f, "the record to remove does not exist: {record}"),
            Self::Rejected(record) => write!(f, "the record to add exists or conflicts: {record}"),
        }
    }
}

impl Change {
    /// Whether the change removes and adds nothing.
    pub fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.added.is_empty()
    }

    /// The inverse change.
    pub fn reversed(&self) -> Self {
        Self { from: self.to, to: self.from, removed: self.added.clone(), added: self.removed.clone() }
    }

    /// The number of records in both lists.
    pub fn len(&self) -> usize {
        self.removed.len() + self.added.len()
    }

    /// About what the change takes in memory, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let records = self.removed.iter().chain(&self.added);
        size_of::<Self>() + records.map(Record::memory_bytes).sum::<usize>()
    }

    /// Removed records, without those that only get another TTL.
    pub fn deleted_records(&self) -> impl Iterator<Item = &Record> {
        without(&self.removed, &self.added)
    }

    /// Added records, without those that only get another TTL.
    pub fn new_records(&self) -> impl Iterator<Item = &Record> {
        without(&self.added, &self.removed)
    }

    /// The owner names of all changed records, with repetitions.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.removed.iter().chain(&self.added).map(|record| &record.name)
    }

    /// Applies the change to the older version and returns the newer one. On an error nothing is applied.
    pub fn apply(&self, zone: &Zone) -> Result<Zone, ChangeError> {
        if zone.serial() != self.from {
            return Err(ChangeError::SerialMismatch(zone.serial(), self.from));
        }
        let mut next = zone.clone();
        for record in &self.removed {
            if !next.remove(&record.name, record.kind, &record.data) {
                return Err(ChangeError::Missing(record.clone()));
            }
        }
        for record in &self.added {
            if next.add(record) != Ok(true) {
                return Err(ChangeError::Rejected(record.clone()));
            }
        }
        Ok(next)
    }
}

/// The records of `all` that `other` does not contain under any TTL.
fn without<'a>(all: &'a [Record], other: &'a [Record]) -> impl Iterator<Item = &'a Record> {
    let known: BTreeSet<_> = other.iter().map(Record::key).collect();
    all.iter().filter(move |record| !known.contains(&record.key()))
}

/// Computes the difference between two versions. Shared subtrees are skipped, so the cost grows with the size of
/// the difference.
pub fn diff(old: &Zone, new: &Zone) -> Change {
    let mut change = Change { from: old.serial(), to: new.serial(), ..Change::default() };
    diff_nodes(Some(old.root()), Some(new.root()), old.apex(), &mut change);
    change
}

/// Computes the difference between two versions at the given names only.
pub fn diff_at_names<'a>(old: &Zone, new: &Zone, names: impl Iterator<Item = &'a Name>) -> Change {
    let mut change = Change { from: old.serial(), to: new.serial(), ..Change::default() };
    for name in names {
        let sets = |zone: &Zone| zone.node(name.wire()).map_or(Vec::new(), |node| node.sets().to_vec());
        diff_sets(&sets(old), &sets(new), name, &mut change);
    }
    change
}

fn diff_nodes(old: Option<&Arc<Node>>, new: Option<&Arc<Node>>, name: &Name, change: &mut Change) {
    if let (Some(old), Some(new)) = (old, new) {
        if Arc::ptr_eq(old, new) {
            return;
        }
    }
    let sets = |node: Option<&'_ Arc<Node>>| node.map_or(&[][..], |node| node.sets()).to_vec();
    diff_sets(&sets(old), &sets(new), name, change);
    let none = Default::default();
    let (a, b) = (old.map_or(&none, |node| node.children()), new.map_or(&none, |node| node.children()));
    a.diff(b, &mut |old, new| {
        let Some(label) = old.or(new).map(|node| node.label()) else { return };
        if let Ok(below) = name.child(label) {
            diff_nodes(old, new, &below, change);
        }
    });
}

fn diff_sets(old: &[RecordSet], new: &[RecordSet], name: &Name, change: &mut Change) {
    let find = |sets: &[RecordSet], kind: RecordType| sets.iter().find(|set| set.kind == kind).cloned();
    let record = |kind: RecordType, ttl: u32, data: &[u8]| Record {
        name: name.clone(),
        kind,
        ttl,
        data: data.to_vec(),
    };
    for set in old {
        let other = find(new, set.kind);
        if other.as_ref() == Some(set) {
            continue;
        }
        for data in set.records() {
            let stays = other.as_ref().is_some_and(|other| other.ttl == set.ttl && other.has(data));
            if !stays {
                change.removed.push(record(set.kind, set.ttl, data));
            }
        }
    }
    for set in new {
        let other = find(old, set.kind);
        if other.as_ref() == Some(set) {
            continue;
        }
        for data in set.records() {
            let existed = other.as_ref().is_some_and(|other| other.ttl == set.ttl && other.has(data));
            if !existed {
                change.added.push(record(set.kind, set.ttl, data));
            }
        }
    }
}

/// The most recent changes without a gap, limited by the number of records that they contain and by their memory.
#[derive(Clone, Debug, Default)]
pub struct ChangeHistory {
    changes: VecDeque<Arc<Change>>,
    records: usize,
    max_records: usize,
    bytes: usize,
    max_bytes: usize,
}

impl ChangeHistory {
    /// Creates an empty history for at most `max_records` records, which take at most `max_bytes` of memory.
    pub fn new(max_records: usize, max_bytes: usize) -> Self {
        Self { max_records, max_bytes, ..Self::default() }
    }

    /// Appends the newest change. If it does not start from the last serial, the earlier history is useless and is
    /// dropped.
    pub fn push(&mut self, change: Arc<Change>) {
        if self.changes.back().is_some_and(|last| last.to != change.from) {
            self.clear();
        }
        self.records += change.len();
        self.bytes += change.memory_bytes();
        self.changes.push_back(change);
        while self.records > self.max_records || self.bytes > self.max_bytes {
            let Some(first) = self.changes.pop_front() else { break };
            self.records -= first.len();
            self.bytes -= first.memory_bytes();
        }
    }

    /// Drops all changes.
    pub fn clear(&mut self) {
        self.changes.clear();
        self.records = 0;
        self.bytes = 0;
    }

    /// The changes from a serial on; none if the history does not reach back that far.
    pub fn since(&self, serial: Serial) -> Option<Vec<Arc<Change>>> {
        let at = self.changes.iter().position(|change| change.from == serial)?;
        Some(self.changes.range(at..).cloned().collect())
    }

    /// All changes in the history, the oldest first.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Change>> {
        self.changes.iter()
    }
}
