//! The records of a zone's base that accepted updates added as well.
//!
//! Adding a record that the base already has makes no difference between the base and the newest version. Without this
//! set, a zone file that no longer lists such a record would remove it although an accepted update asked for it.

use super::{LeasedRecord, ZoneLogEntry};
use crate::change::Change;
use crate::name::Name;
use crate::record::Record;
use crate::record_type::RecordType;
use crate::zone::Zone;
use std::collections::BTreeSet;

/// Records of the base that an accepted update added and no later change removed. It shares its nodes with its copies,
/// so copying it is cheap.
#[derive(Clone, Debug)]
pub(super) struct ConfirmedRecords(Zone);

impl ConfirmedRecords {
    pub(super) fn new(apex: &Name) -> Self {
        Self(Zone::new(apex.clone()))
    }

    /// The set that a snapshot's overlay describes; see [`Self::mark_in_overlay`].
    pub(super) fn from_overlay(apex: &Name, overlay: &Change) -> Self {
        let mut confirmed = Self::new(apex);
        let removed: BTreeSet<&Record> = overlay.removed.iter().collect();
        overlay.added.iter().filter(|record| removed.contains(record)).for_each(|record| {
            confirmed.insert(record);
        });
        confirmed
    }

    /// Adds the set to a snapshot's overlay: a confirmed record is both removed and added, with the same TTL. Applying
    /// such a pair has no effect other than that of the added record, and a difference of two versions never contains
    /// one, so the stored format stays the same.
    pub(super) fn mark_in_overlay(&self, overlay: &mut Change, version: &Zone) {
        let confirmed = self.0.all_records();
        let confirmed: Vec<Record> =
            confirmed.iter().filter_map(|record| record_in(version, record)).collect();
        let keys: BTreeSet<_> = confirmed.iter().map(Record::key).collect();
        overlay.removed.retain(|record| !keys.contains(&record.key()));
        overlay.added.retain(|record| !keys.contains(&record.key()));
        overlay.removed.extend_from_slice(&confirmed);
        overlay.added.extend_from_slice(&confirmed);
    }

    /// The set for a new base: the records that `self` or `overlay`, the accepted changes, confirm and `base` has.
    pub(super) fn for_new_base(&self, overlay: &Change, base: &Zone) -> Self {
        let mut confirmed = Self::new(base.apex());
        let all = self.0.all_records();
        for record in all.iter().chain(overlay.new_records()).filter(|record| has_record(base, record)) {
            confirmed.insert(record);
        }
        confirmed
    }

    /// The confirmed records that `zone` does not have.
    pub(super) fn missing_in(&self, zone: &Zone) -> Vec<Record> {
        let mut all = self.0.all_records();
        all.retain(|record| !has_record(zone, record));
        all
    }

    /// Adds a record; returns whether it was new.
    pub(super) fn insert(&mut self, record: &Record) -> bool {
        let is_new = record.kind != RecordType::SOA && !has_record(&self.0, record);
        // A record that conflicts with a confirmed one is not in the zone together with it.
        is_new && self.0.add(record).is_ok()
    }

    pub(super) fn remove(&mut self, record: &Record) {
        self.0.remove(&record.name, record.kind, &record.data);
    }
}

/// Whether a zone has the record, under any TTL.
pub(super) fn has_record(zone: &Zone, record: &Record) -> bool {
    zone.set(&record.name, record.kind).is_some_and(|set| set.has(&record.data))
}

/// The record as the zone has it, with the TTL of its set.
pub(super) fn record_in(zone: &Zone, record: &Record) -> Option<Record> {
    let set = zone.set(&record.name, record.kind).filter(|set| set.has(&record.data))?;
    Some(Record { ttl: set.ttl, ..record.clone() })
}

/// The log entry of an accepted update; none if there is nothing to make durable. `kept` are the records that the update
/// added although the zone had them, and whose lease or confirmation must survive a restart.
pub(super) fn update_entry(
    change: Change,
    update_id: Option<super::UpdateId>,
    lease_secs: u32,
    kept: Vec<LeasedRecord>,
) -> Option<ZoneLogEntry> {
    match (change.is_empty(), kept.is_empty()) {
        (true, true) => None,
        (true, false) if lease_secs == 0 => Some(ZoneLogEntry::Kept(kept)),
        _ => Some(ZoneLogEntry::Changed { change, update_id, lease: lease_secs, kept }),
    }
}
