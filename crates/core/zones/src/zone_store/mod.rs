//! The state of one zone: its versions, its pending log entries, and the effect of updates, reloads and lease
//! expiry. The store does no I/O: it returns the log entries that must be made durable, and the caller reports
//! back the log position up to which they are durable.
//!
//! A zone has a *base*, which is the zone file as last read, and a *version in force*, which is the base with all
//! durable changes applied. A reload applies the same changes to the new base.

mod confirmed;
mod known_updates;
mod log_entry;
mod reload;
mod reload_window;

pub use log_entry::{
    decode, decode_base, encode, encode_base, LeasedRecord, Snapshot, UpdateId, ZoneLogEntry, ZoneLogError,
    FORMAT_VERSION,
};
pub use reload::{PreparedReload, ReloadConflict, ReloadError, ReloadInput};

use crate::change::{diff, Change, ChangeError, ChangeHistory};
use crate::lease::{LeaseExpiry, LeaseLimits, LeaseTable};
use crate::name::Name;
use crate::record::Record;
use crate::record_type::RecordType;
use crate::serial::Serial;
use crate::update::{Grant, Update, UpdateError, UpdateOperation};
use crate::zone::Zone;
use confirmed::{has_record, update_entry, ConfirmedRecords};
use known_updates::KnownUpdates;
use lynxtally::{Instant, Span};
use reload_window::ReloadWindow;
use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

/// The limits of a zone store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneStoreLimits {
    /// Maximum number of records in the change history that is kept for IXFR.
    pub max_history_records: usize,
    /// About how much memory the change history may take, in bytes.
    pub max_history_bytes: usize,
    /// How long an update identifier is remembered for detecting duplicates.
    pub deduplication_window: Span,
    /// Maximum number of update identifiers that are remembered.
    pub max_known_updates: usize,
    /// Maximum number of records in the zone.
    pub max_records: usize,
    /// About how much memory the zone's records may take after an update that makes them take more, in bytes.
    pub max_zone_bytes: usize,
    /// Limits for the leases of records.
    pub leases: LeaseLimits,
}

impl Default for ZoneStoreLimits {
    fn default() -> Self {
        Self {
            max_history_records: 100_000,
            max_history_bytes: 8 << 20,
            deduplication_window: Span::from_millis(300_000),
            max_known_updates: 100_000,
            max_records: 10_000_000,
            max_zone_bytes: usize::MAX,
            leases: LeaseLimits::default(),
        }
    }
}

/// Why a zone accepts no updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FreezeReason {
    /// An operator froze the zone.
    Operator,
    /// The log is damaged or can't be written; holds the error text.
    LogFailed(String),
    /// The zone is a secondary: only its primaries change it.
    Secondary,
}

impl fmt::Display for FreezeReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Operator => f.write_str("frozen by an operator"),
            Self::LogFailed(what) => write!(f, "the log failed: {what}"),
            Self::Secondary => f.write_str("the zone is a secondary"),
        }
    }
}

/// The result of an update.
#[derive(Clone, Debug, PartialEq)]
pub struct UpdateOutcome {
    /// The serial of the version that contains the update, or the reason for the refusal. The response must wait
    /// until all entries below [`ZoneStore::respond_after`] are durable.
    pub result: Result<Serial, UpdateError>,
    /// The log entry to make durable; none if the update changed nothing.
    pub entry: Option<ZoneLogEntry>,
    /// The granted lease duration of the added records.
    pub lease: Option<Span>,
    /// Whether the update identifier was known, so that `result` is that of the first attempt.
    pub duplicate: bool,
}

/// One zone: its base, its versions, the change history for IXFR, the known updates and the leases.
#[derive(Clone, Debug)]
pub struct ZoneStore {
    limits: ZoneStoreLimits,
    base: Zone,
    base_file: String,
    /// The newest version, including changes that are not durable yet.
    latest: Zone,
    /// The version in force, from which queries are answered.
    current: Arc<Zone>,
    /// Versions that are not durable yet: the log position that must be durable first, the version and its change.
    pending: VecDeque<(u64, Arc<Zone>, Option<Arc<Change>>)>,
    history: ChangeHistory,
    known_updates: KnownUpdates,
    leases: LeaseTable,
    /// The records of the base that accepted updates added too; a new base must not drop them.
    confirmed: ConfirmedRecords,
    /// The updates accepted while a new base is prepared.
    reload_window: ReloadWindow,
    frozen: Option<FreezeReason>,
    /// The change that a reload or a transfer made, until its log entry is appended.
    reload_change: Option<Arc<Change>>,
}

impl ZoneStore {
    /// Creates a store whose version in force is the base, without history, known updates or leases.
    pub fn new(base: Zone, base_file: String, limits: ZoneStoreLimits) -> Self {
        Self {
            latest: base.clone(),
            current: Arc::new(base.clone()),
            confirmed: ConfirmedRecords::new(base.apex()),
            reload_window: ReloadWindow::default(),
            base,
            base_file,
            pending: VecDeque::new(),
            history: ChangeHistory::new(limits.max_history_records, limits.max_history_bytes),
            known_updates: KnownUpdates::default(),
            leases: LeaseTable::new(limits.leases),
            frozen: None,
            reload_change: None,
            limits,
        }
    }

    /// Restores a zone from the newest snapshot of its log; [`Self::replay`] then applies the later entries.
    pub fn restore(
        now: Instant,
        base: Zone,
        snapshot: Snapshot,
        limits: ZoneStoreLimits,
    ) -> Result<Self, ChangeError> {
        let latest =
            if snapshot.overlay.is_empty() { base.clone() } else { snapshot.overlay.apply(&base)? };
        let confirmed = ConfirmedRecords::from_overlay(base.apex(), &snapshot.overlay);
        let mut store = Self::new(base, snapshot.base, limits);
        store.confirmed = confirmed;
        store.latest = latest;
        store.current = Arc::new(store.latest.clone());
        snapshot.history.into_iter().for_each(|change| store.history.push(Arc::new(change)));
        for (update_id, result) in snapshot.known_updates {
            store.known_updates.add(now, update_id, result, &limits);
        }
        for (name, kind, data, secs) in snapshot.leases {
            store.leases.grant(now, &name, kind, &data, Span::from_secs(f64::from(secs)));
        }
        store.leases.restart(now);
        Ok(store)
    }

    /// Applies a log entry during recovery. `base` reads the base file that the entry names.
    pub fn replay(
        &mut self,
        now: Instant,
        entry: ZoneLogEntry,
        base: impl FnOnce(&str) -> Option<Zone>,
    ) -> Result<(), ZoneLogError> {
        let change = match entry {
            ZoneLogEntry::Changed { change, update_id, lease, kept } => {
                if let Some(update_id) = update_id {
                    self.known_updates.add(now, update_id, Ok(change.to), &self.limits);
                }
                let span = (lease > 0).then(|| Span::from_secs(f64::from(lease)));
                let next = change.apply(&self.latest)?;
                let kept = kept_records(kept, &next);
                let added: Vec<Record> = change.new_records().chain(&kept).cloned().collect();
                self.renew_leases(now, change.deleted_records(), added.iter(), span);
                self.latest = next;
                self.record_confirmations(&change, added.iter());
                change
            }
            ZoneLogEntry::Kept(records) => {
                let kept = kept_records(records, &self.latest);
                self.renew_leases(now, std::iter::empty(), kept.iter(), None);
                self.record_confirmations(&Change::default(), kept.iter());
                return Ok(());
            }
            ZoneLogEntry::Based { base: file, serial, since } => {
                let new = base(&file).ok_or_else(|| ZoneLogError::MissingBase(file.clone()))?;
                let prepared_from = since.reversed().apply(&self.latest)?;
                let overlay = diff(&self.base, &self.latest);
                let confirmed = self.confirmed.for_new_base(&overlay, &new);
                let input = ReloadInput { latest: prepared_from, ..self.reload_input() };
                self.install_base(file, input.merge(new), since, serial, &mut Vec::new());
                self.confirmed = confirmed;
                self.reload_change.take().into_iter().for_each(|change| self.history.push(change));
                self.current = Arc::new(self.latest.clone());
                return Ok(());
            }
            ZoneLogEntry::Followed { base: file } => {
                let new = base(&file).ok_or_else(|| ZoneLogError::MissingBase(file.clone()))?;
                self.history.clear();
                self.base = new.clone();
                self.base_file = file;
                self.latest = new;
                self.confirmed = ConfirmedRecords::new(self.base.apex());
                self.current = Arc::new(self.latest.clone());
                return Ok(());
            }
        };
        self.current = Arc::new(self.latest.clone());
        if !change.is_empty() {
            self.history.push(Arc::new(change));
        }
        Ok(())
    }

    /// Returns the state for a snapshot. Changes of records that are not durable yet are not part of it.
    pub fn snapshot(&self) -> Snapshot {
        let secs = |span: Span| span.secs().round() as u32;
        let mut overlay = diff(&self.base, &self.current);
        self.confirmed.mark_in_overlay(&mut overlay, &self.current);
        Snapshot {
            form: FORMAT_VERSION,
            base: self.base_file.clone(),
            overlay,
            history: self.history.all().map(|change| (**change).clone()).collect(),
            known_updates: self.known_updates.all().collect(),
            leases: self
                .leases
                .all()
                .map(|((n, k, d), span)| (n.clone(), *k, d.clone(), secs(span)))
                .collect(),
        }
    }

    /// The version in force.
    pub fn current(&self) -> &Arc<Zone> {
        &self.current
    }

    /// The newest version, including changes that are not durable yet.
    pub fn latest(&self) -> &Zone {
        &self.latest
    }

    /// The zone file as last read, or the last full transfer.
    pub fn base(&self) -> &Zone {
        &self.base
    }

    /// The name of the file that holds the base.
    pub fn base_file(&self) -> &str {
        &self.base_file
    }

    /// Returns the changes from a version to the one in force; none if the history does not reach back that far.
    pub fn changes_since(&self, serial: Serial) -> Option<Vec<Arc<Change>>> {
        if serial == self.current.serial() {
            return Some(Vec::new());
        }
        self.history.since(serial)
    }

    /// Whether every accepted change is durable.
    pub fn is_durable(&self) -> bool {
        self.pending.is_empty()
    }

    /// The log position up to which entries must be durable before an update evaluated now gets its response. This
    /// also applies to updates that changed nothing: the changes that they were evaluated against must survive a
    /// restart.
    pub fn respond_after(&self) -> u64 {
        self.pending.back().map_or(0, |(number, ..)| *number)
    }

    /// Why the zone accepts no updates; none if it accepts them.
    pub fn frozen(&self) -> Option<&FreezeReason> {
        self.frozen.as_ref()
    }

    /// Stops accepting updates. An operator's freeze does not replace another reason.
    pub fn freeze(&mut self, why: FreezeReason) {
        if self.frozen.is_none() || !matches!(why, FreezeReason::Operator) {
            self.frozen = Some(why);
        }
    }

    /// Ends an operator's freeze and returns whether the zone accepts updates. Other reasons stay in force.
    pub fn thaw(&mut self) -> bool {
        if self.frozen == Some(FreezeReason::Operator) {
            self.frozen = None;
        }
        self.frozen.is_none()
    }

    /// The leases.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Evaluates an update against the newest version. A duplicate gets the result of the first attempt.
    pub fn update(
        &mut self,
        now: Instant,
        update: &Update,
        grants: &[Grant],
        key: Option<&Name>,
        update_id: Option<UpdateId>,
        lease: Option<Span>,
    ) -> UpdateOutcome {
        let lease = lease.map(|requested| self.leases.granted_duration(requested));
        if let Some(result) =
            update_id.and_then(|update_id| self.known_updates.get(now, &update_id, &self.limits))
        {
            return UpdateOutcome { result, entry: None, lease, duplicate: true };
        }
        let evaluated = match &self.frozen {
            Some(_) => Err(UpdateError::Frozen),
            None => update.evaluate(&self.latest, grants, key),
        };
        let evaluated = evaluated.and_then(|next| match next {
            Some((zone, _)) if self.is_too_large(&zone) => Err(UpdateError::NotAllowed),
            next => Ok(next),
        });
        let (result, entry) = match evaluated {
            Err(refusal) => (Err(refusal), None),
            Ok(next) => {
                let (serial, entry) = self.accept(now, update, next, update_id, lease);
                (Ok(serial), entry)
            }
        };
        if let Some(update_id) = update_id.filter(|_| result != Err(UpdateError::Frozen)) {
            self.known_updates.add(now, update_id, result, &self.limits);
        }
        UpdateOutcome { result, entry, lease, duplicate: false }
    }

    /// Whether an update that leads to this version is refused because of its size. An update that makes a zone smaller is
    /// not, however large the zone is.
    fn is_too_large(&self, next: &Zone) -> bool {
        let grows = next.memory_bytes() > self.latest.memory_bytes();
        next.record_count() > self.limits.max_records
            || (grows && next.memory_bytes() > self.limits.max_zone_bytes)
    }

    /// Applies an evaluated update: `next` is the version and the change that it makes, if any. Returns the serial of the
    /// version that contains the update, and the log entry.
    fn accept(
        &mut self,
        now: Instant,
        update: &Update,
        next: Option<(Zone, Change)>,
        update_id: Option<UpdateId>,
        lease: Option<Span>,
    ) -> (Serial, Option<ZoneLogEntry>) {
        let serial = self.latest.serial();
        let mut change = Change { from: serial, to: serial, ..Change::default() };
        if let Some((zone, made)) = next {
            self.latest = zone;
            change = made;
        }
        let added = update.added_records();
        let mut kept = self.made_permanent(update, lease);
        self.renew_leases(now, change.deleted_records(), added.clone(), lease);
        let in_change: BTreeSet<_> = change.new_records().map(Record::key).collect();
        let confirmed = self.record_confirmations(&change, added);
        let known = confirmed.into_iter().filter(|record| !in_change.contains(&record.key()));
        kept.extend(known.map(|record| (record.name, record.kind, record.data)));
        kept.sort();
        kept.dedup();
        drop(in_change);
        self.reload_window.record(&update.operations);
        let lease_secs = lease.map_or(0, |span| span.secs().round() as u32);
        (change.to, update_entry(change, update_id, lease_secs, kept))
    }

    /// Updates the confirmed records after an accepted change. `added` are the records that it added, including those
    /// that existed already. Returns the records that were not confirmed before.
    fn record_confirmations<'a>(
        &mut self,
        change: &Change,
        added: impl Iterator<Item = &'a Record>,
    ) -> Vec<Record> {
        change.deleted_records().for_each(|record| self.confirmed.remove(record));
        let mut new = Vec::new();
        for record in added {
            let is_known = has_record(&self.base, record) && has_record(&self.latest, record);
            if is_known && self.confirmed.insert(record) {
                new.push(record.clone());
            }
        }
        new
    }

    /// The leased records that an update without a lease adds again. They lose their lease and become permanent.
    fn made_permanent(&self, update: &Update, lease: Option<Span>) -> Vec<LeasedRecord> {
        let of = |operation: &UpdateOperation| match operation {
            UpdateOperation::AddRecord(record) if lease.is_none() && self.leases.contains(record) => {
                Some((record.name.clone(), record.kind, record.data.clone()))
            }
            _ => None,
        };
        update.operations.iter().filter_map(of).collect()
    }

    /// Grants or renews the leases of added records and releases those of removed records.
    fn renew_leases<'a>(
        &mut self,
        now: Instant,
        gone: impl Iterator<Item = &'a Record>,
        added: impl Iterator<Item = &'a Record>,
        lease: Option<Span>,
    ) {
        gone.for_each(|record| self.leases.release(&record.name, record.kind, &record.data));
        for record in added.filter(|record| record.kind != RecordType::SOA) {
            match lease {
                Some(span) => self.leases.grant(now, &record.name, record.kind, &record.data, span),
                None => self.leases.release(&record.name, record.kind, &record.data),
            }
        }
    }

    /// Removes records whose lease expired. Returns no entry if nothing was removed.
    pub fn expire_leases(&mut self, now: Instant) -> (Option<ZoneLogEntry>, LeaseExpiry) {
        if self.frozen.is_some() {
            return (None, LeaseExpiry::default());
        }
        let expiry = self.leases.expire(now, &self.latest);
        let operations = expiry
            .removed
            .iter()
            .map(|(name, kind, data)| UpdateOperation::DeleteRecord(name.clone(), *kind, data.clone()));
        let update = Update { prerequisites: Vec::new(), operations: operations.collect() };
        let next = if update.operations.is_empty() { None } else { update.apply(&self.latest) };
        let entry = next.map(|(next, change)| {
            self.latest = next;
            ZoneLogEntry::Changed { change, update_id: None, lease: 0, kept: Vec::new() }
        });
        (entry, expiry)
    }

    /// Called after an entry was appended to the log. Its version comes into force once all entries below `up_to`
    /// are durable.
    pub fn entry_appended(&mut self, up_to: u64, entry: &ZoneLogEntry) {
        let changed = entry.change().filter(|change| !change.is_empty());
        let change = self.reload_change.take().or_else(|| changed.map(|change| Arc::new(change.clone())));
        self.pending.push_back((up_to, Arc::new(self.latest.clone()), change));
    }

    /// Called once all entries below `up_to` are durable; returns whether a newer version came into force.
    pub fn entries_durable(&mut self, up_to: u64) -> bool {
        let mut advanced = false;
        while let Some((_, zone, change)) = self.pending.pop_front_if(|(number, ..)| *number <= up_to) {
            self.current = zone;
            change.into_iter().for_each(|change| self.history.push(change));
            advanced = true;
        }
        advanced
    }

    /// Handles a log failure: discards the changes that are not durable and freezes the zone.
    pub fn log_failed(&mut self, why: String) {
        self.pending.clear();
        self.latest = (*self.current).clone();
        self.freeze(FreezeReason::LogFailed(why));
    }
}

/// The records that a log entry names by owner, type and data, as the version has them.
fn kept_records(kept: Vec<LeasedRecord>, version: &Zone) -> Vec<Record> {
    let record = |(name, kind, data): LeasedRecord| {
        let ttl = version.set(&name, kind).map_or(0, |set| set.ttl);
        Record { name, kind, ttl, data }
    };
    kept.into_iter().map(record).collect()
}
