//! A zone is an immutable version. A change makes the next one, which shares with it all that did not change.

use crate::name::{within, LabelOffsets, Name};
use crate::name_tree::{each, edit, Cursor, Node};
use crate::record::{Record, RecordSet};
use crate::record_type::RecordType;
use crate::serial::Serial;
use crate::soa::{with_serial, Soa};
use smallvec::SmallVec;
use std::fmt;
use std::sync::Arc;

/// Why a record can't stand in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// Its owner is not in the zone.
    OutOfZone,
    /// The type is for messages only.
    Meta(RecordType),
    /// An alias beside other data, or other data beside an alias (RFC 1034 section 3.6.2).
    Alias(RecordType),
    /// A second SOA, or one elsewhere than at the apex.
    Soa,
    /// A second alias at one name.
    TwoAliases(RecordType),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::OutOfZone => f.write_str("the owner is out of the zone"),
            Self::Meta(kind) => write!(f, "{kind} can't stand in a zone"),
            Self::Alias(kind) => write!(f, "{kind} beside other records of the name"),
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
    records: usize,
    names: usize,
}

type Path<'a> = SmallVec<[&'a [u8]; 8]>;

impl Zone {
    /// A zone without a record.
    pub fn new(apex: Name) -> Self {
        let apex_labels = apex.labels().count();
        let root = Arc::new(Node::new(apex.labels().next().unwrap_or(&[])));
        Self { apex, apex_labels, root, records: 0, names: 0 }
    }

    /// Its topmost name.
    pub fn apex(&self) -> &Name {
        &self.apex
    }

    /// The node at the apex.
    pub fn root(&self) -> &Arc<Node> {
        &self.root
    }

    /// How many records there are.
    pub fn record_count(&self) -> usize {
        self.records
    }

    /// How many names have records.
    pub fn name_count(&self) -> usize {
        self.names
    }

    /// Whether two are the very same version, part by part shared.
    pub fn is_same_version(&self, other: &Zone) -> bool {
        Arc::ptr_eq(&self.root, &other.root)
    }

    /// The set with its SOA, once it has one.
    pub fn soa_set(&self) -> Option<&RecordSet> {
        self.root.set(RecordType::SOA)
    }

    /// What it says of itself.
    pub fn soa(&self) -> Option<Soa> {
        Soa::parse(self.soa_set()?.records().next()?)
    }

    /// Its number; 0 before it has a SOA.
    pub fn serial(&self) -> Serial {
        self.soa().map_or(Serial(0), |soa| soa.serial)
    }

    /// The SOA as a record.
    pub fn soa_record(&self) -> Option<Record> {
        let set = self.soa_set()?;
        let data = set.records().next()?.to_vec();
        Some(Record { name: self.apex.clone(), kind: RecordType::SOA, ttl: set.ttl, data })
    }

    /// The labels from below the apex down; none where the name is not in the zone.
    fn path<'a>(&self, name: &'a [u8]) -> Option<Path<'a>> {
        if !within(name, self.apex.wire()) {
            return None;
        }
        let starts = LabelOffsets::of(name);
        let label = |n: usize| &name[starts.at(n) + 1..][..name[starts.at(n)] as usize];
        Some((0..starts.count() - self.apex_labels).rev().map(label).collect())
    }

    /// The node of a name in wire form and lower case, also where it only has others below it.
    pub fn node(&self, name: &[u8]) -> Option<&Node> {
        let mut node = &*self.root;
        for label in self.path(name)? {
            node = node.children().get(label)?;
        }
        Some(node)
    }

    /// One set.
    pub fn set(&self, name: &Name, kind: RecordType) -> Option<&RecordSet> {
        self.node(name.wire())?.set(kind)
    }

    /// Changes the sets of a name; `make` makes the name where it is not there.
    fn edit<R>(
        &mut self,
        name: &Name,
        make: bool,
        change: impl FnOnce(&mut SmallVec<[RecordSet; 1]>) -> R,
    ) -> Option<R> {
        if !make {
            self.node(name.wire())?;
        }
        let path = self.path(name.wire())?;
        let count = |node: &Node| node.sets().iter().map(RecordSet::count).sum::<usize>();
        let (mut before, mut after) = ((0, 0), (0, 0));
        let changed = edit(
            &mut self.root,
            &path,
            &mut |node| {
                before = (count(node), usize::from(!node.sets().is_empty()));
            },
            |node| {
                let result = change(node.sets_mut());
                after = (count(node), usize::from(!node.sets().is_empty()));
                result
            },
        );
        self.records = self.records + after.0 - before.0;
        self.names = self.names + after.1 - before.1;
        Some(changed)
    }

    /// Whether a record may be added, by the rules of one zone.
    fn fits(&self, record: &Record) -> Result<(), RecordError> {
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

    /// Adds a record. One that is there already is no second one; the set takes over its time to live. Tells
    /// whether anything changed.
    pub fn add(&mut self, record: &Record) -> Result<bool, RecordError> {
        self.fits(record)?;
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

    /// Takes a record out; tells whether it was there.
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

    /// Takes all of a type out; tells whether there was any.
    pub fn remove_set(&mut self, name: &Name, kind: RecordType) -> bool {
        self.set(name, kind).is_some() && {
            self.edit(name, false, |sets| sets.retain(|set| set.kind != kind));
            true
        }
    }

    /// The same version under another number.
    pub fn set_serial(&mut self, serial: Serial) {
        self.edit(&self.apex.clone(), false, |sets| {
            if let Some(set) = sets.iter_mut().find(|set| set.kind == RecordType::SOA) {
                set.replace_each(|data| with_serial(data, serial));
            }
        });
    }

    /// Visits each name with its sets; the apex first, then in an order that the names alone decide.
    pub fn for_each_name<'a>(&'a self, mut visit: impl FnMut(&Name, &'a [RecordSet])) {
        each(&self.root, &self.apex, &mut visit);
    }

    /// The same one at a time, for long ways; the version stays as it is for as long as the walk goes on.
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

/// Visits all names of a version, the apex first.
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
            // A node's label and all above it made a name once.
            let Ok(below) = name.child(node.label()) else { continue };
            if !node.children().is_empty() {
                self.above.push((below.clone(), Cursor::new(node.children())));
            }
            return Some((below, node));
        }
    }
}
