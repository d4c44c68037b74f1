//! Updates by RFC 2136: what must hold before one, what it changes, all or nothing; and who may change what.

use crate::change::{between, Change};
use crate::name::Name;
use crate::record::Record;
use crate::record_type::Kind;
use crate::serial::Serial;
use crate::soa::Soa;
use crate::zone::Zone;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why an update is refused; nothing of it was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// It is not made as it must be.
    Malformed,
    /// A name in it is not in the zone.
    OutOfZone,
    /// A name that must be in use is not.
    NameMissing,
    /// A name that must not be in use is.
    NameThere,
    /// A set that must be there is not, or is another.
    SetMissing,
    /// A set that must not be there is.
    SetThere,
    /// Who sent it may not change this.
    NotAllowed,
    /// The zone takes no updates now.
    Frozen,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "not made as RFC 2136 says",
            Self::OutOfZone => "a name is out of the zone",
            Self::NameMissing => "a name that must be in use is not",
            Self::NameThere => "a name that must not be in use is",
            Self::SetMissing => "a set that must be there is not",
            Self::SetThere => "a set that must not be there is",
            Self::NotAllowed => "the key may not change this",
            Self::Frozen => "the zone takes no updates now",
        })
    }
}

/// How the class field of a record in an update is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sense {
    /// The zone's class.
    Own,
    /// The class NONE.
    None,
    /// The class ANY.
    Any,
    /// Another class.
    Other,
}

/// A record of an update as it was read; its data is in wire form without pointers, not checked yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Raw {
    /// The owner.
    pub name: Name,
    /// The kind.
    pub kind: Kind,
    /// What its class field says.
    pub sense: Sense,
    /// The time to live.
    pub ttl: u32,
    /// The data.
    pub data: Vec<u8>,
}

/// What must hold before an update (RFC 2136 section 2.4).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Need {
    /// The name has records.
    Name(Name),
    /// The name has none.
    NoName(Name),
    /// There is a set of the kind.
    Set(Name, Kind),
    /// There is none.
    NoSet(Name, Kind),
    /// The set has exactly these records.
    Exactly(Name, Kind, Vec<Vec<u8>>),
}

/// One step of an update (RFC 2136 section 2.5).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Add to a set.
    Add(Record),
    /// Take a set out.
    DropSet(Name, Kind),
    /// Take all records of a name out.
    DropName(Name),
    /// Take one record out.
    Drop(Name, Kind, Vec<u8>),
}

impl Edit {
    /// The name that it changes, and the kind where it is about one.
    pub fn about(&self) -> (&Name, Option<Kind>) {
        match self {
            Self::Add(record) => (&record.name, Some(record.kind)),
            Self::DropSet(name, kind) | Self::Drop(name, kind, _) => (name, Some(*kind)),
            Self::DropName(name) => (name, None),
        }
    }
}

/// One update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// What must hold.
    pub needs: Vec<Need>,
    /// What is done then.
    pub edits: Vec<Edit>,
}

/// The longest time to live (RFC 2181 section 8).
const TTL_MOST: u32 = (1 << 31) - 1;

impl Update {
    /// Reads the sections of an update for a zone (RFC 2136 sections 3.2 and 3.4.1).
    pub fn read(apex: &Name, needs: &[Raw], edits: &[Raw]) -> Result<Self, Refusal> {
        let mut update = Self::default();
        for raw in needs {
            update.need(apex, raw)?;
        }
        for raw in edits {
            let edit = Self::edit(apex, raw)?;
            update.edits.push(edit);
        }
        Ok(update)
    }

    fn need(&mut self, apex: &Name, raw: &Raw) -> Result<(), Refusal> {
        let Raw { name, kind, sense, ttl, data } = raw;
        if *ttl != 0 {
            return Err(Refusal::Malformed);
        }
        if !name.is_within(apex) {
            return Err(Refusal::OutOfZone);
        }
        let plain = kind.is_meta();
        let need = match sense {
            Sense::Any | Sense::None if !data.is_empty() => return Err(Refusal::Malformed),
            Sense::Any if *kind == Kind::ANY => Need::Name(name.clone()),
            Sense::None if *kind == Kind::ANY => Need::NoName(name.clone()),
            _ if plain => return Err(Refusal::Malformed),
            Sense::Any => Need::Set(name.clone(), *kind),
            Sense::None => Need::NoSet(name.clone(), *kind),
            Sense::Own => {
                let data = kind.canonical(data).ok_or(Refusal::Malformed)?;
                // All records of one set make one need.
                for need in &mut self.needs {
                    if let Need::Exactly(own, of, all) = need {
                        if own == name && of == kind {
                            all.push(data);
                            return Ok(());
                        }
                    }
                }
                Need::Exactly(name.clone(), *kind, vec![data])
            }
            Sense::Other => return Err(Refusal::Malformed),
        };
        self.needs.push(need);
        Ok(())
    }

    fn edit(apex: &Name, raw: &Raw) -> Result<Edit, Refusal> {
        let Raw { name, kind, sense, ttl, data } = raw;
        if !name.is_within(apex) {
            return Err(Refusal::OutOfZone);
        }
        let bare = *ttl == 0 && data.is_empty();
        let checked = || kind.canonical(data).ok_or(Refusal::Malformed);
        match sense {
            Sense::Any if *kind == Kind::ANY && bare => Ok(Edit::DropName(name.clone())),
            _ if kind.is_meta() => Err(Refusal::Malformed),
            Sense::Own if *ttl <= TTL_MOST => {
                Ok(Edit::Add(Record { name: name.clone(), kind: *kind, ttl: *ttl, data: checked()? }))
            }
            Sense::Any if bare => Ok(Edit::DropSet(name.clone(), *kind)),
            Sense::None if *ttl == 0 => Ok(Edit::Drop(name.clone(), *kind, checked()?)),
            _ => Err(Refusal::Malformed),
        }
    }

    /// Whether all that must hold does (RFC 2136 section 3.2.5).
    pub fn holds(&self, zone: &Zone) -> Result<(), Refusal> {
        for need in &self.needs {
            let used = |name: &Name| zone.node(name.wire()).is_some_and(|node| !node.sets().is_empty());
            match need {
                Need::Name(name) if !used(name) => return Err(Refusal::NameMissing),
                Need::NoName(name) if used(name) => return Err(Refusal::NameThere),
                Need::Set(name, kind) if zone.set(name, *kind).is_none() => return Err(Refusal::SetMissing),
                Need::NoSet(name, kind) if zone.set(name, *kind).is_some() => return Err(Refusal::SetThere),
                Need::Exactly(name, kind, all) => {
                    let mut all: Vec<&[u8]> = all.iter().map(|data| &data[..]).collect();
                    all.sort_unstable();
                    all.dedup();
                    let same = |set: &crate::record::Set| set.records().eq(all.iter().copied());
                    if !zone.set(name, *kind).is_some_and(same) {
                        return Err(Refusal::SetMissing);
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
        self.edits.iter().for_each(|edit| apply(&mut next, edit));
        finish(zone, next)
    }

    /// Judges what must hold, and who may do it, and makes the next version; none where nothing changes.
    pub fn judge(
        &self,
        zone: &Zone,
        grants: &[Grant],
        key: Option<&Name>,
    ) -> Result<Option<(Zone, Change)>, Refusal> {
        self.holds(zone)?;
        if !self.edits.iter().all(|edit| allowed(grants, key, edit)) {
            return Err(Refusal::NotAllowed);
        }
        Ok(self.apply(zone))
    }
}

/// Numbers a changed version; none where nothing changed.
pub fn finish(zone: &Zone, mut next: Zone) -> Option<(Zone, Change)> {
    if next.is_same(zone) || between(zone, &next).is_empty() {
        return None;
    }
    if !next.serial().newer_than(zone.serial()) {
        next.renumber(zone.serial().next());
    }
    let change = between(zone, &next);
    Some((next, change))
}

fn apply(zone: &mut Zone, edit: &Edit) {
    match edit {
        Edit::Add(record) if record.kind == Kind::SOA => {
            let newer = Soa::of(&record.data).is_some_and(|soa| soa.serial.newer_than(zone.serial()));
            if record.name == *zone.apex() && newer {
                zone.remove_set(&record.name, Kind::SOA);
                // A SOA at the apex that has none fits.
                let _ = zone.add(record);
            }
        }
        Edit::Add(record) => {
            if record.kind == Kind::CNAME || record.kind == Kind::DNAME {
                let others = zone.node(record.name.wire()).is_some_and(|node| {
                    node.sets().iter().any(|set| set.kind != record.kind && record.kind == Kind::CNAME)
                });
                if !others {
                    zone.remove_set(&record.name, record.kind);
                }
            }
            // What can't stand beside what is there is passed over (section 3.4.2.2).
            let _ = zone.add(record);
        }
        Edit::DropSet(name, kind) => {
            if name != zone.apex() || !matches!(*kind, Kind::SOA | Kind::NS) {
                zone.remove_set(name, *kind);
            }
        }
        Edit::DropName(name) => {
            let sets = zone.node(name.wire()).map_or(&[][..], |node| node.sets());
            let kinds: Vec<Kind> = sets.iter().map(|set| set.kind).collect();
            for kind in kinds {
                if name != zone.apex() || !matches!(kind, Kind::SOA | Kind::NS) {
                    zone.remove_set(name, kind);
                }
            }
        }
        Edit::Drop(name, kind, data) => {
            let last = || zone.set(name, *kind).is_some_and(|set| set.count() == 1);
            let kept = *kind == Kind::SOA || (*kind == Kind::NS && name == zone.apex() && last());
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
    /// Which kinds; empty means all but SOA and NS.
    pub kinds: Vec<Kind>,
}

/// Whether some key may make an edit. Taking a name out whole needs a grant for all kinds.
pub fn allowed(grants: &[Grant], key: Option<&Name>, edit: &Edit) -> bool {
    let (name, kind) = edit.about();
    grants.iter().any(|grant| {
        let kinds = match kind {
            Some(kind) if grant.kinds.is_empty() => !matches!(kind, Kind::SOA | Kind::NS),
            Some(kind) => grant.kinds.contains(&kind),
            None => grant.kinds.is_empty(),
        };
        Some(&grant.key) == key && kinds && grant.scope.covers(name)
    })
}

/// The serial that a reread file gets: its own where that is newer than the one in force, else the next.
pub fn serial_after(in_force: Serial, file: Serial) -> Serial {
    if file.newer_than(in_force) {
        file
    } else {
        in_force.next()
    }
}
