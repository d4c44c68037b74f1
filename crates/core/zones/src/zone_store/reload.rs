//! Replacing the base of a zone: by its file, read again, on which the accepted updates are put; or by a version from a
//! primary.

use super::{ZoneLogEntry, ZoneStore};
use crate::change::{diff, diff_at_names, Change, ChangeError};
use crate::name::Name;
use crate::record::Record;
use crate::record_type::RecordType;
use crate::serial::Serial;
use crate::update::reload_serial;
use crate::zone::Zone;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// A change of an operator's file that meets an accepted update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReloadConflict {
    /// The name.
    pub name: Name,
    /// The type.
    pub kind: RecordType,
    /// What happened.
    pub description: &'static str,
}

impl fmt::Display for ReloadConflict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}: {}", self.name, self.kind, self.description)
    }
}

/// Why a file that was read again is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReloadError {
    /// Its serial is lower than that of the file in force.
    SerialNotNewer {
        /// That of the file.
        file: Serial,
        /// That of the file before.
        before: Serial,
    },
    /// It is the same as the file in force.
    Unchanged,
}

impl fmt::Display for ReloadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::SerialNotNewer { file, before } => {
                write!(f, "the file's serial {file} is not newer than {before}, which was read before")
            }
            Self::Unchanged => f.write_str("the file is the same as before"),
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

/// What making a new base ready needs of a zone store; cheap to copy, as versions share their parts.
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
            return Err(ReloadError::SerialNotNewer { file, before });
        }
        if diff(&self.base, &base).is_empty() {
            return Err(ReloadError::Unchanged);
        }
        Ok(self.merge(base))
    }

    pub(super) fn merge(&self, base: Zone) -> PreparedReload {
        let mut conflicts = Vec::new();
        let mut merged = base.clone();
        let overlay = diff(&self.base, &self.latest);
        merge_changes(&mut merged, &overlay, Some((&self.base, &base)), &mut conflicts);
        let change = diff(&self.latest, &merged);
        PreparedReload { base, merged, change, seen: self.latest.clone(), conflicts }
    }
}

impl ZoneStore {
    /// What making a new base ready needs.
    pub fn reload_input(&self) -> ReloadInput {
        ReloadInput { base: self.base.clone(), latest: self.latest.clone() }
    }

    /// Takes a new base over: what was accepted since it was made ready is put on too, and all of it is the next
    /// version. Costs as much as was accepted meanwhile. The versions that are not needed any more come out: to
    /// let go of them may take long.
    pub fn reload(
        &mut self,
        base_file: String,
        ready: PreparedReload,
    ) -> (ZoneLogEntry, Vec<ReloadConflict>, Vec<Zone>) {
        let mut conflicts = ready.conflicts.clone();
        let retired = vec![self.base.clone(), self.latest.clone(), ready.seen.clone()];
        let since = if ready.seen.is_same_version(&self.latest) {
            Change { from: self.latest.serial(), to: self.latest.serial(), ..Change::default() }
        } else {
            diff(&ready.seen, &self.latest)
        };
        // Never back, whatever the file says.
        let serial = reload_serial(self.latest.serial(), ready.base.serial());
        self.install_base(base_file.clone(), ready, since.clone(), serial, &mut conflicts);
        (ZoneLogEntry::Based { base: base_file, serial, since }, conflicts, retired)
    }

    /// Makes a prepared base the base, and the changes accepted meanwhile a part of the latest version.
    pub(super) fn install_base(
        &mut self,
        file: String,
        ready: PreparedReload,
        since: Change,
        serial: Serial,
        conflicts: &mut Vec<ReloadConflict>,
    ) {
        let PreparedReload { base, mut merged, change, .. } = ready;
        merge_changes(&mut merged, &since, None, conflicts);
        merged.set_serial(serial);
        // Where nothing was accepted meanwhile the change stands as it is; else it is looked at anew, at the
        // names that are touched, of which the apex with its serial always is one.
        let mut touched: BTreeSet<&Name> = since.names().collect();
        touched.insert(merged.apex());
        let same = |record: &Record| !touched.contains(&record.name);
        let mut whole = diff_at_names(&self.latest, &merged, touched.iter().copied());
        whole.removed.extend(change.removed.into_iter().filter(same));
        whole.added.extend(change.added.into_iter().filter(same));
        self.base = base;
        self.base_file = file;
        self.latest = merged;
        self.reload_change = Some(Arc::new(whole));
    }

    /// A whole version from the primary is the next one, and the base too.
    pub fn replace_from_primary(
        &mut self,
        base_file: String,
        version: Zone,
        change: Change,
    ) -> (ZoneLogEntry, Vec<Zone>) {
        let retired = vec![self.base.clone(), self.latest.clone()];
        self.base = version.clone();
        self.base_file = base_file.clone();
        self.latest = version;
        self.reload_change = Some(Arc::new(change));
        (ZoneLogEntry::Followed { base: base_file }, retired)
    }

    /// Changes from the primary lead to the next version; the base stays.
    pub fn apply_from_primary(&mut self, changes: &[Change]) -> Result<ZoneLogEntry, ChangeError> {
        let mut next = self.latest.clone();
        for change in changes {
            next = change.apply(&next)?;
        }
        let change = diff(&self.latest, &next);
        self.latest = next;
        Ok(ZoneLogEntry::Changed { change, update_id: None, lease: 0, kept: Vec::new() })
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
            conflicts.push(ReloadConflict { name: at.0.clone(), kind: at.1, description: what });
            told.push(at);
        }
    };
    for record in change.deleted_records().filter(|record| record.kind != RecordType::SOA) {
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
            conflicts.push(ReloadConflict {
                name: record.name.clone(),
                kind: record.kind,
                description: what,
            });
        }
    }
}
