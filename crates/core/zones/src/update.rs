//! Updates by RFC 2136: what must hold before one, what it changes, all or nothing; and who may change what.

use crate::change::{diff, Change};
use crate::name::Name;
use crate::record::Record;
use crate::record_type::RecordType;
use crate::serial::Serial;
use crate::soa::Soa;
use crate::zone::Zone;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why an update is refused; nothing of it was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateError {
    /// It is not made as it must be.
    Malformed,
    /// A name in it is not in the zone.
    OutOfZone,
    /// A name that must be in use is not.
    NameMissing,
    /// A name that must not be in use is.
    NameExists,
    /// A set that must be there is not, or is another.
    SetMissing,
    /// A set that must not be there is.
    SetExists,
    /// Who sent it may not change this.
    NotAllowed,
    /// The zone takes no updates now.
    Frozen,
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "not made as RFC 2136 says",
            Self::OutOfZone => "a name is out of the zone",
            Self::NameMissing => "a name that must be in use is not",
            Self::NameExists => "a name that must not be in use is",
            Self::SetMissing => "a set that must be there is not",
            Self::SetExists => "a set that must not be there is",
            Self::NotAllowed => "the key may not change this",
            Self::Frozen => "the zone takes no updates now",
        })
    }
}

/// How the class field of a record in an update is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateClass {
    /// The zone's class.
    Zone,
    /// The class NONE.
    None,
    /// The class ANY.
    Any,
    /// Another class.
    Other,
}

/// A record of an update as it was read; its data is in wire form without pointers, not checked yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateRecord {
    /// The owner.
    pub name: Name,
    /// The type.
    pub kind: RecordType,
    /// What its class field says.
    pub class: UpdateClass,
    /// The time to live.
    pub ttl: u32,
    /// The data.
    pub data: Vec<u8>,
}

/// What must hold before an update (RFC 2136 section 2.4).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prerequisite {
    /// The name has records.
    NameInUse(Name),
    /// The name has none.
    NameNotInUse(Name),
    /// There is a set of the type.
    SetExists(Name, RecordType),
    /// There is none.
    SetMissing(Name, RecordType),
    /// The set has exactly these records.
    SetEquals(Name, RecordType, Vec<Vec<u8>>),
}

/// One step of an update (RFC 2136 section 2.5).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateOperation {
    /// Add to a set.
    AddRecord(Record),
    /// Take a set out.
    DeleteSet(Name, RecordType),
    /// Take all records of a name out.
    DeleteName(Name),
    /// Take one record out.
    DeleteRecord(Name, RecordType, Vec<u8>),
}

impl UpdateOperation {
    /// The name that it changes, and the type where it is about one.
    pub fn target(&self) -> (&Name, Option<RecordType>) {
        match self {
            Self::AddRecord(record) => (&record.name, Some(record.kind)),
            Self::DeleteSet(name, kind) | Self::DeleteRecord(name, kind, _) => (name, Some(*kind)),
            Self::DeleteName(name) => (name, None),
        }
    }
}

/// One update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// What must hold.
    pub prerequisites: Vec<Prerequisite>,
    /// What is done then.
    pub operations: Vec<UpdateOperation>,
}

/// The longest time to live (RFC 2181 section 8).
const MAX_TTL: u32 = (1 << 31) - 1;

impl Update {
    /// Reads the sections of an update for a zone (RFC 2136 sections 3.2 and 3.4.1).
    pub fn read(
        apex: &Name,
        prerequisites: &[UpdateRecord],
        operations: &[UpdateRecord],
    ) -> Result<Self, UpdateError> {
        let mut update = Self::default();
        for raw in prerequisites {
            update.prerequisite(apex, raw)?;
        }
        for raw in operations {
            let operation = Self::operation(apex, raw)?;
            update.operations.push(operation);
        }
        Ok(update)
    }

    fn prerequisite(&mut self, apex: &Name, raw: &UpdateRecord) -> Result<(), UpdateError> {
        let UpdateRecord { name, kind, class: sense, ttl, data } = raw;
        if *ttl != 0 {
            return Err(UpdateError::Malformed);
        }
        if !name.is_within(apex) {
            return Err(UpdateError::OutOfZone);
        }
        let plain = kind.is_meta();
        let prerequisite = match sense {
            UpdateClass::Any | UpdateClass::None if !data.is_empty() => return Err(UpdateError::Malformed),
            UpdateClass::Any if *kind == RecordType::ANY => Prerequisite::NameInUse(name.clone()),
            UpdateClass::None if *kind == RecordType::ANY => Prerequisite::NameNotInUse(name.clone()),
            _ if plain => return Err(UpdateError::Malformed),
            UpdateClass::Any => Prerequisite::SetExists(name.clone(), *kind),
            UpdateClass::None => Prerequisite::SetMissing(name.clone(), *kind),
            UpdateClass::Zone => {
                let data = kind.canonical_data(data).ok_or(UpdateError::Malformed)?;
                // All records of one set make one need.
                for prerequisite in &mut self.prerequisites {
                    if let Prerequisite::SetEquals(own, of, all) = prerequisite {
                        if own == name && of == kind {
                            all.push(data);
                            return Ok(());
                        }
                    }
                }
                Prerequisite::SetEquals(name.clone(), *kind, vec![data])
            }
            UpdateClass::Other => return Err(UpdateError::Malformed),
        };
        self.prerequisites.push(prerequisite);
        Ok(())
    }

    fn operation(apex: &Name, raw: &UpdateRecord) -> Result<UpdateOperation, UpdateError> {
        let UpdateRecord { name, kind, class: sense, ttl, data } = raw;
        if !name.is_within(apex) {
            return Err(UpdateError::OutOfZone);
        }
        let bare = *ttl == 0 && data.is_empty();
        let checked = || kind.canonical_data(data).ok_or(UpdateError::Malformed);
        match sense {
            UpdateClass::Any if *kind == RecordType::ANY && bare => {
                Ok(UpdateOperation::DeleteName(name.clone()))
            }
            _ if kind.is_meta() => Err(UpdateError::Malformed),
            UpdateClass::Zone if *ttl <= MAX_TTL => Ok(UpdateOperation::AddRecord(Record {
                name: name.clone(),
                kind: *kind,
                ttl: *ttl,
                data: checked()?,
            })),
            UpdateClass::Any if bare => Ok(UpdateOperation::DeleteSet(name.clone(), *kind)),
            UpdateClass::None if *ttl == 0 => {
                Ok(UpdateOperation::DeleteRecord(name.clone(), *kind, checked()?))
            }
            _ => Err(UpdateError::Malformed),
        }
    }

    /// Whether all that must hold does (RFC 2136 section 3.2.5).
    pub fn check_prerequisites(&self, zone: &Zone) -> Result<(), UpdateError> {
        for prerequisite in &self.prerequisites {
            let used = |name: &Name| zone.node(name.wire()).is_some_and(|node| !node.sets().is_empty());
            match prerequisite {
                Prerequisite::NameInUse(name) if !used(name) => return Err(UpdateError::NameMissing),
                Prerequisite::NameNotInUse(name) if used(name) => return Err(UpdateError::NameExists),
                Prerequisite::SetExists(name, kind) if zone.set(name, *kind).is_none() => {
                    return Err(UpdateError::SetMissing)
                }
                Prerequisite::SetMissing(name, kind) if zone.set(name, *kind).is_some() => {
                    return Err(UpdateError::SetExists)
                }
                Prerequisite::SetEquals(name, kind, all) => {
                    let mut all: Vec<&[u8]> = all.iter().map(|data| &data[..]).collect();
                    all.sort_unstable();
                    all.dedup();
                    let same = |set: &crate::record::RecordSet| set.records().eq(all.iter().copied());
                    if !zone.set(name, *kind).is_some_and(same) {
                        return Err(UpdateError::SetMissing);
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Makes the next version (RFC 2136 section 3.4.2) and what leads to it; none where nothing changes. A
    /// version that changed has a newer serial, also where the update brings none.
    pub fn apply(&self, zone: &Zone) -> Option<(Zone, Change)> {
        let mut next = zone.clone();
        self.operations.iter().for_each(|operation| apply(&mut next, operation));
        complete_version(zone, next)
    }

    /// Judges what must hold, and who may do it, and makes the next version; none where nothing changes.
    pub fn evaluate(
        &self,
        zone: &Zone,
        grants: &[Grant],
        key: Option<&Name>,
    ) -> Result<Option<(Zone, Change)>, UpdateError> {
        self.check_prerequisites(zone)?;
        if !self.operations.iter().all(|operation| is_allowed(grants, key, operation)) {
            return Err(UpdateError::NotAllowed);
        }
        Ok(self.apply(zone))
    }
}

/// Numbers a changed version; none where nothing changed.
pub fn complete_version(zone: &Zone, mut next: Zone) -> Option<(Zone, Change)> {
    if next.is_same_version(zone) || diff(zone, &next).is_empty() {
        return None;
    }
    if !next.serial().newer_than(zone.serial()) {
        next.set_serial(zone.serial().next());
    }
    let change = diff(zone, &next);
    Some((next, change))
}

fn apply(zone: &mut Zone, operation: &UpdateOperation) {
    match operation {
        UpdateOperation::AddRecord(record) if record.kind == RecordType::SOA => {
            let newer = Soa::parse(&record.data).is_some_and(|soa| soa.serial.newer_than(zone.serial()));
            if record.name == *zone.apex() && newer {
                zone.remove_set(&record.name, RecordType::SOA);
                // A SOA at the apex that has none fits.
                let _ = zone.add(record);
            }
        }
        UpdateOperation::AddRecord(record) => {
            if record.kind == RecordType::CNAME || record.kind == RecordType::DNAME {
                let others = zone.node(record.name.wire()).is_some_and(|node| {
                    node.sets().iter().any(|set| set.kind != record.kind && record.kind == RecordType::CNAME)
                });
                if !others {
                    zone.remove_set(&record.name, record.kind);
                }
            }
            // What can't stand beside what is there is passed over (section 3.4.2.2).
            let _ = zone.add(record);
        }
        UpdateOperation::DeleteSet(name, kind) => {
            if name != zone.apex() || !matches!(*kind, RecordType::SOA | RecordType::NS) {
                zone.remove_set(name, *kind);
            }
        }
        UpdateOperation::DeleteName(name) => {
            let sets = zone.node(name.wire()).map_or(&[][..], |node| node.sets());
            let kinds: Vec<RecordType> = sets.iter().map(|set| set.kind).collect();
            for kind in kinds {
                if name != zone.apex() || !matches!(kind, RecordType::SOA | RecordType::NS) {
                    zone.remove_set(name, kind);
                }
            }
        }
        UpdateOperation::DeleteRecord(name, kind, data) => {
            let last = || zone.set(name, *kind).is_some_and(|set| set.count() == 1);
            let kept = *kind == RecordType::SOA || (*kind == RecordType::NS && name == zone.apex() && last());
            if !kept {
                zone.remove(name, *kind, data);
            }
        }
    }
}

/// Which names a grant is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// This one.
    Exact(Name),
    /// This one and all below.
    Tree(Name),
    /// All below, but not this one.
    Below(Name),
}

impl Scope {
    fn covers(&self, name: &Name) -> bool {
        match self {
            Self::Exact(own) => own == name,
            Self::Tree(top) => name.is_within(top),
            Self::Below(top) => name != top && name.is_within(top),
        }
    }
}

/// What the holder of a key may change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The key's name.
    pub key: Name,
    /// Which names.
    pub scope: Scope,
    /// Which types; empty means all but SOA and NS.
    pub kinds: Vec<RecordType>,
}

/// Whether some key may make an edit. Taking a name out whole needs a grant for all types.
pub fn is_allowed(grants: &[Grant], key: Option<&Name>, operation: &UpdateOperation) -> bool {
    let (name, kind) = operation.target();
    grants.iter().any(|grant| {
        let kinds = match kind {
            Some(kind) if grant.kinds.is_empty() => !matches!(kind, RecordType::SOA | RecordType::NS),
            Some(kind) => grant.kinds.contains(&kind),
            None => grant.kinds.is_empty(),
        };
        Some(&grant.key) == key && kinds && grant.scope.covers(name)
    })
}

/// The serial that a reread file gets: its own where that is newer than the one in force, else the next.
pub fn reload_serial(in_force: Serial, file: Serial) -> Serial {
    if file.newer_than(in_force) {
        file
    } else {
        in_force.next()
    }
}
