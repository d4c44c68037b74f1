//! One immutable version of a zone. Changing a copy yields the next version, which shares all unchanged nodes with
//! it.

use crate::name::{within, LabelOffsets, Name};
use crate::name_tree::{each, edit, Cursor, Node};
use crate::record::{Record, RecordSet};
use crate::record_type::RecordType;
use crate::serial::Serial;
use crate::soa::{with_serial, Soa};
use smallvec::SmallVec;
use std::fmt;
use std::sync::Arc;

/// Why a record can't be added to a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The record's owner is outside the zone.
    OutOfZone,
    /// The type is only valid in queries and messages.
    Meta(RecordType),
    /// A CNAME next to other records of the same name, or the reverse (RFC 1034 section 3.6.2).
    Alias(RecordType),
    /// A second SOA, or a SOA below the apex.
    Soa,
    /// A second CNAME or DNAME at one name.
    TwoAliases(RecordType),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::OutOfZone => f.write_str("the owner is outside the zone"),
            Self::Meta(kind) => write!(f, "{kind} is not allowed in a zone"),
            Self::Alias(kind) => write!(f, "{kind} can't coexist with other records of the name"),
            Self::Soa => f.write_str("a second SOA, or one that is not at the apex"),
            Self::TwoAliases(kind) => write!(f, "a second {kind} at one name"),
        }
    }
}

/// One version of a zone.
#[derive(Clone, Debug)]
pub struct Zone {
    apex: Name,
    apex_labels: usize,
    root: Arc<Node>,
    counts: Counts,
}

/// What a version, or one of its nodes, holds.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    records: usize,
    names: usize,
    /// The record sets' data in packed form, and what a set takes besides.
    set_bytes: usize,
}

/// What a record set takes in memory besides its data.
const SET_OVERHEAD_BYTES: usize = 64;
/// About what a name with records takes in memory besides its record sets.
const NAME_BYTES: usize = 240;

impl Counts {
    fn of(node: &Node) -> Self {
        let sets = node.sets();
        Self {
            records: sets.iter().map(RecordSet::count).sum(),
            names: usize::from(!sets.is_empty()),
            set_bytes: sets.iter().map(|set| set.packed().len() + SET_OVERHEAD_BYTES).sum(),
        }
    }

    /// These counts after a node's counts changed.
    fn replace(self, before: Self, after: Self) -> Self {
        Self {
            records: self.records + after.records - before.records,
            names: self.names + after.names - before.names,
            set_bytes: self.set_bytes + after.set_bytes - before.set_bytes,
        }
    }
}

type Path<'a> = SmallVec<[&'a [u8]; 8]>;

impl Zone {
    /// Creates a zone without records.
    pub fn new(apex: Name) -> Self {
        let apex_labels = apex.labels().count();
        let root = Arc::new(Node::new(apex.labels().next().unwrap_or(&[])));
        Self { apex, apex_labels, root, counts: Counts::default() }
    }

    /// The topmost name of the zone.
    pub fn apex(&self) -> &Name {
        &self.apex
    }

    /// The node at the apex.
    pub fn root(&self) -> &Arc<Node> {
        &self.root
    }

    /// The number of records.
    pub fn record_count(&self) -> usize {
        self.counts.records
    }

    /// The number of names that have records.
    pub fn name_count(&self) -> usize {
        self.counts.names
    }

    /// About what the records take in memory, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.counts.set_bytes + self.counts.names * NAME_BYTES
    }

    /// Whether both are the same version. Compares the shared root node, so it costs the same for any size.
    pub fn is_same_version(&self, other: &Zone) -> bool {
        Arc::ptr_eq(&self.root, &other.root)
    }

    /// The record set of the SOA; none if the zone has no SOA yet.
    pub fn soa_set(&self) -> Option<&RecordSet> {
        self.root.set(RecordType::SOA)
    }

    /// The fields of the SOA; none if the zone has no SOA yet.
    pub fn soa(&self) -> Option<Soa> {
        Soa::parse(self.soa_set()?.records().next()?)
    }

    /// The serial; 0 if the zone has no SOA yet.
    pub fn serial(&self) -> Serial {
        self.soa().map_or(Serial(0), |soa| soa.serial)
    }

    /// The SOA as a record.
    pub fn soa_record(&self) -> Option<Record> {
        let set = self.soa_set()?;
        let data = set.records().next()?.to_vec();
        Some(Record { name: self.apex.clone(), kind: RecordType::SOA, ttl: set.ttl, data })
    }

    /// The labels below the apex, outermost first; none if the name is outside the zone.
    fn path<'a>(&self, name: &'a [u8]) -> Option<Path<'a>> {
        if !within(name, self.apex.wire()) {
            return None;
        }
        let starts = LabelOffsets::of(name);
        let label = |n: usize| &name[starts.at(n) + 1..][..name[starts.at(n)] as usize];
        Some((0..starts.count() - self.apex_labels).rev().map(label).collect())
    }

    /// The node of a name in lower-case wire form. A node without records exists if there are names below it.
    pub fn node(&self, name: &[u8]) -> Option<&Node> {
        let mut node = &*self.root;
        for label in self.path(name)? {
            node = node.children().get(label)?;
        }
        Some(node)
    }

    /// The record set of a name and type.
    pub fn set(&self, name: &Name, kind: RecordType) -> Option<&RecordSet> {
        self.node(name.wire())?.set(kind)
    }

    /// Changes the record sets of a name and updates the counts. With `create_missing`, a missing node is created.
    fn edit<R>(
        &mut self,
        name: &Name,
        create_missing: bool,
        change: impl FnOnce(&mut SmallVec<[RecordSet; 1]>) -> R,
    ) -> Option<R> {
        if !create_missing {
            self.node(name.wire())?;
        }
        let path = self.path(name.wire())?;
        let (mut before, mut after) = (Counts::default(), Counts::default());
        let changed = edit(
            &mut self.root,
            &path,
            &mut |node| {
                before = Counts::of(node);
            },
            |node| {
                let result = change(node.sets_mut());
                after = Counts::of(node);
                result
            },
        );
        self.counts = self.counts.replace(before, after);
        Some(changed)
    }

    /// Checks whether a record may be added.
    fn check_record(&self, record: &Record) -> Result<(), RecordError> {
        let kind = record.kind;
        if !record.name.is_within(&self.apex) {
            return Err(RecordError::OutOfZone);
        }
        if kind.is_meta() {
            return Err(RecordError::Meta(kind));
        }
        let node = self.node(record.name.wire());
        if kind == RecordType::SOA
            && (record.name != self.apex || node.is_some_and(|node| node.set(kind).is_some()))
        {
            return Err(RecordError::Soa);
        }
        let Some(node) = node else { return Ok(()) };
        let other = |set: &RecordSet| {
            set.kind != kind && (kind == RecordType::CNAME || set.kind == RecordType::CNAME)
        };
        if let Some(set) = node.sets().iter().find(|set| other(set)) {
            return Err(RecordError::Alias(if kind == RecordType::CNAME { kind } else { set.kind }));
        }
        let alias = kind == RecordType::CNAME || kind == RecordType::DNAME;
        if alias && node.set(kind).is_some_and(|set| !set.has(&record.data)) {
            return Err(RecordError::TwoAliases(kind));
        }
        Ok(())
    }

    /// Adds a record and returns whether anything changed. The set takes over the record's TTL, even if the record
    /// exists already.
    pub fn add(&mut self, record: &Record) -> Result<bool, RecordError> {
        self.check_record(record)?;
        let Record { name, kind, ttl, data } = record;
        if self.set(name, *kind).is_some_and(|set| set.ttl == *ttl && set.has(data)) {
            return Ok(false);
        }
        self.edit(name, true, |sets| match sets.iter_mut().find(|set| set.kind == *kind) {
            Some(set) => {
                set.insert(data);
                set.ttl = *ttl;
            }
            None => {
                let at = sets.partition_point(|set| set.kind < *kind);
                sets.insert(at, RecordSet::new(*kind, *ttl, data));
            }
        });
        Ok(true)
    }

    /// Removes a record; returns whether it existed.
    pub fn remove(&mut self, name: &Name, kind: RecordType, data: &[u8]) -> bool {
        if !self.set(name, kind).is_some_and(|set| set.has(data)) {
            return false;
        }
        self.edit(name, false, |sets| {
            if let Some(set) = sets.iter_mut().find(|set| set.kind == kind) {
                set.remove(data);
            }
            sets.retain(|set| !set.is_empty());
        });
        true
    }

    /// Removes a record set; returns whether it existed.
    pub fn remove_set(&mut self, name: &Name, kind: RecordType) -> bool {
        self.set(name, kind).is_some() && {
            self.edit(name, false, |sets| sets.retain(|set| set.kind != kind));
            true
        }
    }

    /// Sets the serial in the SOA.
    pub fn set_serial(&mut self, serial: Serial) {
        self.edit(&self.apex.clone(), false, |sets| {
            if let Some(set) = sets.iter_mut().find(|set| set.kind == RecordType::SOA) {
                set.replace_each(|data| with_serial(data, serial));
            }
        });
    }

    /// Calls `visit` for each name with records: first the apex, then an order that depends on the names alone.
    pub fn for_each_name<'a>(&'a self, mut visit: impl FnMut(&Name, &'a [RecordSet])) {
        each(&self.root, &self.apex, &mut visit);
    }

    /// Iterates over all nodes one at a time, for long walks that are interrupted. The iterator keeps this version
    /// alive.
    pub fn walk(&self) -> Walk {
        Walk {
            first: Some(self.root.clone()),
            above: vec![(self.apex.clone(), Cursor::new(self.root.children()))],
        }
    }

    /// All records: the SOA first, then the others (RFC 5936 section 2.2).
    pub fn all_records(&self) -> Vec<Record> {
        let mut all: Vec<Record> = self.soa_record().into_iter().collect();
        self.for_each_name(|name, sets| {
            for set in sets.iter().filter(|set| set.kind != RecordType::SOA) {
                all.extend(set.records().map(|data| Record {
                    name: name.clone(),
                    kind: set.kind,
                    ttl: set.ttl,
                    data: data.to_vec(),
                }));
            }
        });
        all
    }
}

/// An iterator over all nodes of a version, the apex first.
#[derive(Clone, Debug)]
pub struct Walk {
    first: Option<Arc<Node>>,
    above: Vec<(Name, Cursor)>,
}

impl Iterator for Walk {
    type Item = (Name, Arc<Node>);

    fn next(&mut self) -> Option<(Name, Arc<Node>)> {
        if let Some(root) = self.first.take() {
            return Some((self.above[0].0.clone(), root));
        }
        loop {
            let (name, cursor) = self.above.last_mut()?;
            let Some(node) = cursor.next() else {
                self.above.pop();
                continue;
            };
            // Names were checked when they were added, so their length is valid.
            let Ok(below) = name.child(node.label()) else { continue };
            if !node.children().is_empty() {
                self.above.push((below.clone(), Cursor::new(node.children())));
            }
            return Some((below, node));
        }
    }
}
