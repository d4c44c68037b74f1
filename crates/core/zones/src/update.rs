//! Dynamic updates (RFC 2136): prerequisites, operations that are applied completely or not at all, and
//! permissions of keys.

use crate::change::{diff, Change};
use crate::name::Name;
use crate::record::Record;
use crate::record_type::RecordType;
use crate::serial::Serial;
use crate::soa::Soa;
use crate::zone::Zone;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why an update is refused. A refused update changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateError {
    /// The update violates the message format of RFC 2136.
    Malformed,
    /// A name in the update is outside the zone.
    OutOfZone,
    /// A name that must be in use has no records.
    NameMissing,
    /// A name that must not be in use has records.
    NameExists,
    /// A record set that must exist is missing or has other records.
    SetMissing,
    /// A record set that must not exist does exist.
    SetExists,
    /// The key of the update is not permitted to make this change, or the zone would get too large.
    NotAllowed,
    /// The zone accepts no updates at present.
    Frozen,
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the message violates RFC 2136",
            Self::OutOfZone => "a name is outside the zone",
            Self::NameMissing => "a name that must be in use has no records",
            Self::NameExists => "a name that must not be in use has records",
            Self::SetMissing => "a record set that must exist is missing or has other records",
            Self::SetExists => "a record set that must not exist does exist",
            Self::NotAllowed => "the key is not permitted to make this change",
            Self::Frozen => "the zone accepts no updates at present",
        })
    }
}

/// The meaning of a record's class field in an update.
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

/// A record from an update message. Its data is in wire form without compression pointers and not validated yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateRecord {
    /// The owner.
    pub name: Name,
    /// The type.
    pub kind: RecordType,
    /// The class, which selects the kind of prerequisite or operation.
    pub class: UpdateClass,
    /// The time to live.
    pub ttl: u32,
    /// The data.
    pub data: Vec<u8>,
}

/// A prerequisite of an update (RFC 2136 section 2.4).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prerequisite {
    /// The name has records.
    NameInUse(Name),
    /// The name has no records.
    NameNotInUse(Name),
    /// A record set of this type exists.
    SetExists(Name, RecordType),
    /// No record set of this type exists.
    SetMissing(Name, RecordType),
    /// The set has exactly these records.
    SetEquals(Name, RecordType, Vec<Vec<u8>>),
}

/// One operation of an update (RFC 2136 section 2.5).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateOperation {
    /// Adds a record to its set.
    AddRecord(Record),
    /// Deletes a record set.
    DeleteSet(Name, RecordType),
    /// Deletes all records of a name.
    DeleteName(Name),
    /// Deletes one record.
    DeleteRecord(Name, RecordType, Vec<u8>),
}

impl UpdateOperation {
    /// The owner name that the operation changes, and the type; none if it deletes the whole name.
    pub fn target(&self) -> (&Name, Option<RecordType>) {
        match self {
            Self::AddRecord(record) => (&record.name, Some(record.kind)),
            Self::DeleteSet(name, kind) | Self::DeleteRecord(name, kind, _) => (name, Some(*kind)),
            Self::DeleteName(name) => (name, None),
        }
    }
}

/// An update: its operations are applied if all prerequisites hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// The conditions that must hold.
    pub prerequisites: Vec<Prerequisite>,
    /// The operations, in order.
    pub operations: Vec<UpdateOperation>,
}

/// The largest valid TTL (RFC 2181 section 8).
const MAX_TTL: u32 = (1 << 31) - 1;

impl Update {
    /// Parses the prerequisite and update sections for a zone (RFC 2136 sections 3.2 and 3.4.1).
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
        let UpdateRecord { name, kind, class, ttl, data } = raw;
        if *ttl != 0 {
            return Err(UpdateError::Malformed);
        }
        if !name.is_within(apex) {
            return Err(UpdateError::OutOfZone);
        }
        let is_meta = kind.is_meta();
        let prerequisite = match class {
            UpdateClass::Any | UpdateClass::None if !data.is_empty() => return Err(UpdateError::Malformed),
            UpdateClass::Any if *kind == RecordType::ANY => Prerequisite::NameInUse(name.clone()),
            UpdateClass::None if *kind == RecordType::ANY => Prerequisite::NameNotInUse(name.clone()),
            _ if is_meta => return Err(UpdateError::Malformed),
            UpdateClass::Any => Prerequisite::SetExists(name.clone(), *kind),
            UpdateClass::None => Prerequisite::SetMissing(name.clone(), *kind),
            UpdateClass::Zone => {
                let data = kind.canonical_data(data).ok_or(UpdateError::Malformed)?;
                // All records of one set form a single prerequisite.
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
        let UpdateRecord { name, kind, class, ttl, data } = raw;
        if !name.is_within(apex) {
            return Err(UpdateError::OutOfZone);
        }
        let bare = *ttl == 0 && data.is_empty();
        let checked = || kind.canonical_data(data).ok_or(UpdateError::Malformed);
        match class {
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

    /// The records that the update adds, including those that may exist already.
    pub fn added_records(&self) -> impl Iterator<Item = &Record> + Clone {
        self.operations.iter().filter_map(|operation| match operation {
            UpdateOperation::AddRecord(record) => Some(record),
            _ => None,
        })
    }

    /// Checks all prerequisites (RFC 2136 section 3.2.5).
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

    /// Applies the operations and returns the next version and the change that leads to it (RFC 2136 section
    /// 3.4.2); none if nothing changes. The next version gets a newer serial even if the update contains no SOA.
    pub fn apply(&self, zone: &Zone) -> Option<(Zone, Change)> {
        let mut next = zone.clone();
        self.operations.iter().for_each(|operation| apply(&mut next, operation));
        complete_version(zone, next)
    }

    /// Checks prerequisites and permissions, then applies the operations. Returns none if nothing changes.
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

/// Gives a changed version its next serial and returns it with its change; none if nothing changed.
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

/// Applies one operation of an accepted update.
pub(crate) fn apply(zone: &mut Zone, operation: &UpdateOperation) {
    match operation {
        UpdateOperation::AddRecord(record) if record.kind == RecordType::SOA => {
            let newer = Soa::parse(&record.data).is_some_and(|soa| soa.serial.newer_than(zone.serial()));
            if record.name == *zone.apex() && newer {
                zone.remove_set(&record.name, RecordType::SOA);
                // The old SOA was removed above, so the new one can always be added.
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
            // A record that conflicts with existing data is ignored (RFC 2136 section 3.4.2.2).
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

/// The names that a grant covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// This name only.
    Exact(Name),
    /// This name and all names below it.
    Tree(Name),
    /// All names below this one, without the name itself.
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

/// The changes that a key permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The key's name.
    pub key: Name,
    /// The names that may be changed.
    pub scope: Scope,
    /// The types that may be changed; if empty, all but SOA and NS.
    pub kinds: Vec<RecordType>,
}

/// Whether a grant permits the operation for the key. Deleting a whole name needs a grant for all types.
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

/// The serial that a zone gets when its file was read again: the file's serial if that is newer than the zone's serial
/// in force, else the successor of the serial in force.
pub fn reload_serial(in_force: Serial, file: Serial) -> Serial {
    if file.newer_than(in_force) {
        file
    } else {
        in_force.next()
    }
}
