//! Reading a zone's file again: the accepted updates are put on the new base.

use crate::change::{between, Change};
use crate::name::Name;
use crate::record::Record;
use crate::record_type::RecordType;
use crate::serial::Serial;
use crate::zone::Zone;
use std::collections::BTreeSet;
use std::fmt;

/// A change of an operator's file that meets an accepted update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReloadConflict {
    /// The name.
    pub name: Name,
    /// The type.
    pub kind: RecordType,
    /// What happened.
    pub what: &'static str,
}

impl fmt::Display for ReloadConflict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}: {}", self.name, self.kind, self.what)
    }
}

/// Why a file that was read again is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReloadError {
    /// Its serial is lower than that of the file in force.
    Lower {
        /// That of the file.
        file: Serial,
        /// That of the file before.
        before: Serial,
    },
    /// It is the same as the file in force.
    Same,
}

impl fmt::Display for ReloadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Lower { file, before } => {
                write!(f, "the file's serial {file} is not newer than {before}, which was read before")
            }
            Self::Same => f.write_str("the file is the same as before"),
        }
    }
}

/// A new base, made ready aside while the zone goes on: as of this version.
#[derive(Clone, Debug)]
pub struct PreparedReload {
    /// The new base.
    pub base: Zone,
    /// The base with the accepted changes on it.
    pub(super) merged: Zone,
    /// What leads there from the version that was seen.
    pub(super) change: Change,
    /// The version in force when it was made.
    pub(super) seen: Zone,
    /// What met.
    pub conflicts: Vec<ReloadConflict>,
}

/// What making a new base ready needs of a keeper; costs nothing to copy.
#[derive(Clone, Debug)]
pub struct ReloadInput {
    pub(super) base: Zone,
    pub(super) latest: Zone,
}

impl ReloadInput {
    /// Makes a new base ready; costs as much as the file is long, so it is done aside. Changes accepted since are
    /// put on in [`super::ZoneStore::reload`].
    pub fn prepare(&self, base: Zone) -> Result<PreparedReload, ReloadError> {
        let (file, before) = (base.serial(), self.base.serial());
        if file != before && !file.newer_than(before) {
            return Err(ReloadError::Lower { file, before });
        }
        if between(&self.base, &base).is_empty() {
            return Err(ReloadError::Same);
        }
        Ok(self.merge(base))
    }

    pub(super) fn merge(&self, base: Zone) -> PreparedReload {
        let mut conflicts = Vec::new();
        let mut merged = base.clone();
        let overlay = between(&self.base, &self.latest);
        merge_changes(&mut merged, &overlay, Some((&self.base, &base)), &mut conflicts);
        let change = between(&self.latest, &merged);
        PreparedReload { base, merged, change, seen: self.latest.clone(), conflicts }
    }
}

/// Puts accepted changes on another version. Where the file changed the same set, the accepted change stands,
/// and the meeting is told.
pub(super) fn merge_changes(
    zone: &mut Zone,
    change: &Change,
    bases: Option<(&Zone, &Zone)>,
    conflicts: &mut Vec<ReloadConflict>,
) {
    let mut told: Vec<(Name, RecordType)> = Vec::new();
    let mut meets = |record: &Record, conflicts: &mut Vec<ReloadConflict>| {
        let Some((old, new)) = bases else { return };
        let at = (record.name.clone(), record.kind);
        if old.set(&at.0, at.1) != new.set(&at.0, at.1) && !told.contains(&at) {
            let what = "changed in the file and by updates; the updates stand on the file's records";
            conflicts.push(ReloadConflict { name: at.0.clone(), kind: at.1, what });
            told.push(at);
        }
    };
    for record in change.gone().filter(|record| record.kind != RecordType::SOA) {
        meets(record, conflicts);
        zone.remove(&record.name, record.kind, &record.data);
    }
    let before: BTreeSet<_> = change.removed.iter().map(Record::key).collect();
    for record in change.added.iter().filter(|record| record.kind != RecordType::SOA) {
        // Of a record that only got another time to live nobody said that it should be there.
        let there =
            |zone: &Zone| zone.set(&record.name, record.kind).is_some_and(|set| set.has(&record.data));
        let fresh = !before.contains(&record.key());
        if !fresh && !there(zone) {
            continue;
        }
        if fresh {
            meets(record, conflicts);
        }
        if zone.add(record).is_err() {
            let what = "an updated record can't stand beside the file's; it is left out";
            conflicts.push(ReloadConflict { name: record.name.clone(), kind: record.kind, what });
        }
    }
}
