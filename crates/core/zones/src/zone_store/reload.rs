//! Replacing the base of a zone, either by the zone file after it was read again, with the accepted updates
//! applied to it, or by a version from a primary.

use super::confirmed::{has_record, record_in, ConfirmedRecords};
use super::reload_window::OpenWindow;
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

/// A change in the operator's file that conflicts with an accepted update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReloadConflict {
    /// The owner name of the record set.
    pub name: Name,
    /// The type of the record set.
    pub kind: RecordType,
    /// How the conflict was resolved.
    pub description: &'static str,
}

impl fmt::Display for ReloadConflict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}: {}", self.name, self.kind, self.description)
    }
}

/// Why a zone file that was read again is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReloadError {
    /// The file's serial is not newer than that of the file read before.
    SerialNotNewer {
        /// The serial of the file.
        file: Serial,
        /// The serial of the file read before.
        before: Serial,
    },
    /// The file has the same records as the one read before.
    Unchanged,
}

impl fmt::Display for ReloadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::SerialNotNewer { file, before } => {
                write!(
                    f,
                    "the file's serial {file} is not newer than {before}, the serial of the file read before"
                )
            }
            Self::Unchanged => f.write_str("the file's records did not change"),
        }
    }
}

/// A new base, prepared in the background while the zone keeps serving and accepting updates.
#[derive(Clone, Debug)]
pub struct PreparedReload {
    /// The new base.
    pub base: Zone,
    /// The new base with the accepted changes applied.
    pub(super) merged: Zone,
    /// The change from `prepared_from` to `merged`.
    pub(super) change: Change,
    /// The newest version when the preparation began.
    pub(super) prepared_from: Zone,
    /// Conflicts between the file and accepted updates.
    pub conflicts: Vec<ReloadConflict>,
    /// The records of the new base that accepted updates added too.
    pub(super) confirmed: ConfirmedRecords,
    /// Records that accepted updates added, that the old base had and that `merged` lacks.
    pub(super) dropped_by_file: Vec<Record>,
    /// Keeps the store recording the updates that it accepts.
    pub(super) window: OpenWindow,
}

/// The part of a zone store that preparing a new base needs. Copying it is cheap: versions share their nodes.
#[derive(Clone, Debug)]
pub struct ReloadInput {
    pub(super) base: Zone,
    pub(super) latest: Zone,
    pub(super) confirmed: ConfirmedRecords,
    pub(super) window: OpenWindow,
}

impl ReloadInput {
    /// Prepares a new base. The cost grows with the size of the file, so callers run it in the background.
    /// [`super::ZoneStore::reload`] then applies the changes that were accepted during the preparation.
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
        PreparedReload {
            confirmed: self.confirmed.for_new_base(&overlay, &base),
            dropped_by_file: self.confirmed.missing_in(&merged),
            base,
            merged,
            change,
            prepared_from: self.latest.clone(),
            conflicts,
            window: self.window.clone(),
        }
    }
}

impl ZoneStore {
    /// Returns the input for [`ReloadInput::prepare`]. The store records the updates that it accepts from now on, until
    /// the input and what was prepared from it are dropped.
    pub fn reload_input(&mut self) -> ReloadInput {
        ReloadInput {
            base: self.base.clone(),
            latest: self.latest.clone(),
            confirmed: self.confirmed.clone(),
            window: self.reload_window.open(),
        }
    }

    /// Installs a prepared base as the next version, with the changes accepted since its preparation applied. The
    /// cost grows with the number of these changes only. Returns the old versions too: dropping them can take
    /// long, so the caller does it in the background.
    pub fn reload(
        &mut self,
        base_file: String,
        ready: PreparedReload,
    ) -> (ZoneLogEntry, Vec<ReloadConflict>, Vec<Zone>) {
        let mut conflicts = ready.conflicts.clone();
        let retired = vec![self.base.clone(), self.latest.clone(), ready.prepared_from.clone()];
        let since = self.changes_since_preparation(&ready);
        let added_meanwhile: Vec<Record> = self.reload_window.added_records().cloned().collect();
        // The serial never decreases, even if the file has an older one.
        let serial = reload_serial(self.latest.serial(), ready.base.serial());
        self.install_base(base_file.clone(), ready, since.clone(), serial, &mut conflicts);
        self.record_confirmations(&since, added_meanwhile.iter());
        (ZoneLogEntry::Based { base: base_file, serial, since }, conflicts, retired)
    }

    /// The change that leads from the prepared version to one that reflects all accepted updates.
    ///
    /// Besides the difference between the versions it has effects that this difference can't show: a record that an
    /// update added is in `added` if the new file dropped it, and a record that an update deleted is in `removed` if it
    /// is in the new file only. Replaying the log entry then leads to the same version: the records in `added` are taken
    /// from the version before, those in `removed` are put into it, and the merge with the new base is as here.
    fn changes_since_preparation(&self, ready: &PreparedReload) -> Change {
        let mut since = if ready.prepared_from.is_same_version(&self.latest) {
            Change { from: self.latest.serial(), to: self.latest.serial(), ..Change::default() }
        } else {
            diff(&ready.prepared_from, &self.latest)
        };
        self.assert_dropped_records(ready, &mut since);
        // The version that replaying the entry starts from; a record that does not fit into it is left out.
        let Ok(mut before) = since.reversed().apply(&self.latest) else { return since };
        let present: Vec<Record> = self.reload_window.deleted_records(&ready.merged);
        for record in present {
            let is_known = [&self.latest, &before].iter().any(|zone| has_record(zone, &record));
            // Takes over the TTL of its set, so that the other records of the set stay as they are.
            let ttl = before.set(&record.name, record.kind).map_or(record.ttl, |set| set.ttl);
            let record = Record { ttl, ..record };
            if !is_known && before.add(&record).is_ok() {
                since.removed.push(record);
            }
        }
        since
    }

    /// Makes `since` add the records that accepted updates added, that the newest version has and that the file dropped.
    fn assert_dropped_records(&self, ready: &PreparedReload, since: &mut Change) {
        let asserted = ready.dropped_by_file.iter().chain(self.reload_window.added_records());
        let dropped =
            asserted.filter(|record| record.kind != RecordType::SOA && !has_record(&ready.merged, record));
        let dropped: BTreeSet<Record> =
            dropped.filter_map(|record| record_in(&self.latest, record)).collect();
        let keys: BTreeSet<_> = dropped.iter().map(Record::key).collect();
        since.removed.retain(|record| !keys.contains(&record.key()));
        since.added.retain(|record| !keys.contains(&record.key()));
        since.added.extend(dropped.iter().cloned());
    }

    /// Installs a prepared base. The newest version becomes the prepared one with the changes in `since` applied,
    /// which were accepted after the preparation began.
    pub(super) fn install_base(
        &mut self,
        file: String,
        ready: PreparedReload,
        since: Change,
        serial: Serial,
        conflicts: &mut Vec<ReloadConflict>,
    ) {
        let PreparedReload { base, mut merged, change, confirmed, window, .. } = ready;
        merge_changes(&mut merged, &since, None, conflicts);
        merged.set_serial(serial);
        // The prepared change stays valid except at names that were changed since its preparation. The versions are
        // compared again at these names and at the apex, whose SOA holds the new serial.
        let mut touched: BTreeSet<&Name> = since.names().collect();
        touched.insert(merged.apex());
        let same = |record: &Record| !touched.contains(&record.name);
        let mut full_change = diff_at_names(&self.latest, &merged, touched.iter().copied());
        full_change.removed.extend(change.removed.into_iter().filter(same));
        full_change.added.extend(change.added.into_iter().filter(same));
        self.base = base;
        self.base_file = file;
        self.latest = merged;
        self.confirmed = confirmed;
        drop(window);
        self.reload_window.close();
        self.reload_change = Some(Arc::new(full_change));
    }

    /// Installs a full version from a primary as both the base and the next version.
    pub fn replace_from_primary(
        &mut self,
        base_file: String,
        version: Zone,
        change: Change,
    ) -> (ZoneLogEntry, Vec<Zone>) {
        let retired = vec![self.base.clone(), self.latest.clone()];
        self.confirmed = ConfirmedRecords::new(version.apex());
        self.base = version.clone();
        self.base_file = base_file.clone();
        self.latest = version;
        self.reload_change = Some(Arc::new(change));
        (ZoneLogEntry::Followed { base: base_file }, retired)
    }

    /// Applies incremental changes from a primary. The base stays as it is.
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

/// Applies changes from accepted updates to `zone`, a version made from the new zone file. `bases` are the old
/// and the new base. Where both an update and the file changed a record set, the update's change is applied to the
/// file's records and the conflict is reported. Without `bases`, only records that can't be added are reported.
pub(super) fn merge_changes(
    zone: &mut Zone,
    change: &Change,
    bases: Option<(&Zone, &Zone)>,
    conflicts: &mut Vec<ReloadConflict>,
) {
    let mut reported: Vec<(Name, RecordType)> = Vec::new();
    let mut report_conflict = |record: &Record, conflicts: &mut Vec<ReloadConflict>| {
        let Some((old, new)) = bases else { return };
        let at = (record.name.clone(), record.kind);
        if old.set(&at.0, at.1) != new.set(&at.0, at.1) && !reported.contains(&at) {
            let what =
                "changed both in the file and by updates; the updates are applied to the file's records";
            conflicts.push(ReloadConflict { name: at.0.clone(), kind: at.1, description: what });
            reported.push(at);
        }
    };
    for record in change.deleted_records().filter(|record| record.kind != RecordType::SOA) {
        report_conflict(record, conflicts);
        zone.remove(&record.name, record.kind, &record.data);
    }
    let before: BTreeSet<_> = change.removed.iter().map(Record::key).collect();
    for record in change.added.iter().filter(|record| record.kind != RecordType::SOA) {
        // An update that only changed a record's TTL must not bring the record back if the file dropped it.
        let exists =
            |zone: &Zone| zone.set(&record.name, record.kind).is_some_and(|set| set.has(&record.data));
        let is_new = !before.contains(&record.key());
        if !is_new && !exists(zone) {
            continue;
        }
        if is_new {
            report_conflict(record, conflicts);
        }
        if zone.add(record).is_err() {
            let what = "a record added by an update conflicts with the file's records; it is dropped";
            conflicts.push(ReloadConflict {
                name: record.name.clone(),
                kind: record.kind,
                description: what,
            });
        }
    }
}
