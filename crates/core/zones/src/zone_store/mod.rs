//! The store of one zone: which version is in force, which ones wait to be durable, and what an update, a reloaded
//! file and expired leases make of them. It does no I/O: what must be durable goes out as an entry of a log and
//! comes back as a number.
//!
//! A zone has a *base*, the file as last read, and the *version in force*, which is the base with all accepted
//! changes on it. Reading the file again puts the same changes on the new base.

mod known_updates;
mod log_entry;
mod reload;

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
use known_updates::KnownUpdates;
use lynxtally::{Instant, Span};
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// The limits of a zone store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneStoreLimits {
    /// Records that the log of changes names at most.
    pub max_history_records: usize,
    /// For how long a repeat is known.
    pub deduplication_window: Span,
    /// How many repeats are known at most.
    pub max_known_updates: usize,
    /// Records in one zone at most.
    pub max_records: usize,
    /// How leases are kept.
    pub leases: LeaseLimits,
}

impl Default for ZoneStoreLimits {
    fn default() -> Self {
        Self {
            max_history_records: 100_000,
            deduplication_window: Span::from_millis(300_000),
            max_known_updates: 100_000,
            max_records: 10_000_000,
            leases: LeaseLimits::default(),
        }
    }
}

/// Why a zone takes no updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FreezeReason {
    /// An operator said so.
    Operator,
    /// The log can't be trusted or written; what it said.
    LogFailed(String),
    /// It follows a primary.
    Secondary,
}

impl fmt::Display for FreezeReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Operator => f.write_str("frozen by an operator"),
            Self::LogFailed(what) => write!(f, "the log failed: {what}"),
            Self::Secondary => f.write_str("it follows a primary"),
        }
    }
}

/// What became of an update.
#[derive(Clone, Debug, PartialEq)]
pub struct UpdateOutcome {
    /// The serial that holds it, or why it is refused. It is answered once all entries below
    /// [`ZoneStore::answer_after`] are durable.
    pub result: Result<Serial, UpdateError>,
    /// What must be durable for it.
    pub entry: Option<ZoneLogEntry>,
    /// For how long what it added is held.
    pub lease: Option<Span>,
    /// Whether it was known as a repeat.
    pub duplicate: bool,
}

/// One zone: its base, its versions, the history for IXFR, the updates known and the leases of records.
#[derive(Clone, Debug)]
pub struct ZoneStore {
    limits: ZoneStoreLimits,
    base: Zone,
    base_file: String,
    /// With all accepted steps, durable or not.
    latest: Zone,
    /// What answers come from.
    current: Arc<Zone>,
    /// Steps that wait to be durable: the number that must be, and the version.
    waiting: VecDeque<(u64, Arc<Zone>, Option<Arc<Change>>)>,
    history: ChangeHistory,
    known_updates: KnownUpdates,
    leases: LeaseTable,
    frozen: Option<FreezeReason>,
    /// What a new base changed, until its entry is on the log.
    reload_change: Option<Arc<Change>>,
}

impl ZoneStore {
    /// A zone as its file has it.
    pub fn new(base: Zone, base_file: String, limits: ZoneStoreLimits) -> Self {
        Self {
            latest: base.clone(),
            current: Arc::new(base.clone()),
            base,
            base_file,
            waiting: VecDeque::new(),
            history: ChangeHistory::new(limits.max_history_records),
            known_updates: KnownUpdates::default(),
            leases: LeaseTable::new(limits.leases),
            frozen: None,
            reload_change: None,
            limits,
        }
    }

    /// A zone as its log has it, from the newest snapshot on.
    pub fn restore(
        now: Instant,
        base: Zone,
        snapshot: Snapshot,
        limits: ZoneStoreLimits,
    ) -> Result<Self, ChangeError> {
        let latest =
            if snapshot.overlay.is_empty() { base.clone() } else { snapshot.overlay.apply(&base)? };
        let mut store = Self::new(base, snapshot.base, limits);
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

    /// Applies an entry that stands on the log. A new base must be at hand.
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
                self.renew_leases(now, change.deleted_records(), change.new_records(), span);
                kept.iter().for_each(|(name, kind, data)| self.leases.release(name, *kind, data));
                change
            }
            ZoneLogEntry::Kept(records) => {
                records.iter().for_each(|(name, kind, data)| self.leases.release(name, *kind, data));
                return Ok(());
            }
            ZoneLogEntry::Based { base: file, serial, since } => {
                let new = base(&file).ok_or_else(|| ZoneLogError::MissingBase(file.clone()))?;
                let seen = since.reversed().apply(&self.latest)?;
                let input = ReloadInput { base: self.base.clone(), latest: seen };
                self.install_base(file, input.merge(new), since, serial, &mut Vec::new());
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
                self.current = Arc::new(self.latest.clone());
                return Ok(());
            }
        };
        self.latest = change.apply(&self.latest)?;
        self.current = Arc::new(self.latest.clone());
        self.history.push(Arc::new(change));
        Ok(())
    }

    /// The state as of the last durable step, for a snapshot. Steps that wait are not in it.
    pub fn snapshot(&self) -> Snapshot {
        let secs = |span: Span| span.secs().round() as u32;
        Snapshot {
            form: FORMAT_VERSION,
            base: self.base_file.clone(),
            overlay: diff(&self.base, &self.current),
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

    /// The newest version, durable or not.
    pub fn latest(&self) -> &Zone {
        &self.latest
    }

    /// The file as last read.
    pub fn base(&self) -> &Zone {
        &self.base
    }

    /// The file that holds the base.
    pub fn base_file(&self) -> &str {
        &self.base_file
    }

    /// What leads on from a version to the one in force; none where the log does not reach back to it.
    pub fn changes_since(&self, serial: Serial) -> Option<Vec<Arc<Change>>> {
        if serial == self.current.serial() {
            return Some(Vec::new());
        }
        self.history.since(serial)
    }

    /// Whether all accepted steps are durable.
    pub fn is_durable(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Below which number all entries must be durable before an update judged now is answered: what it was
    /// judged by must outlast a restart, also where it changed nothing itself.
    pub fn respond_after(&self) -> u64 {
        self.waiting.back().map_or(0, |(number, ..)| *number)
    }

    /// Why it takes no updates, if it doesn't.
    pub fn frozen(&self) -> Option<&FreezeReason> {
        self.frozen.as_ref()
    }

    /// Takes no updates from now on.
    pub fn freeze(&mut self, why: FreezeReason) {
        if self.frozen.is_none() || !matches!(why, FreezeReason::Operator) {
            self.frozen = Some(why);
        }
    }

    /// Takes updates again, unless it is not an operator's word that stopped it.
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

    /// Judges an update on top of all accepted ones. A repeat gets the answer of its first.
    pub fn update(
        &mut self,
        now: Instant,
        update: &Update,
        grants: &[Grant],
        key: Option<&Name>,
        update_id: Option<UpdateId>,
        lease: Option<Span>,
    ) -> UpdateOutcome {
        let lease = lease.map(|asked| self.leases.granted_duration(asked));
        if let Some(result) =
            update_id.and_then(|update_id| self.known_updates.get(now, &update_id, &self.limits))
        {
            return UpdateOutcome { result, entry: None, lease, duplicate: true };
        }
        let judged = match &self.frozen {
            Some(_) => Err(UpdateError::Frozen),
            None => update.evaluate(&self.latest, grants, key),
        };
        let judged = judged.and_then(|next| match next {
            Some((zone, _)) if zone.record_count() > self.limits.max_records => Err(UpdateError::NotAllowed),
            next => Ok(next),
        });
        let (result, entry) = match judged {
            Err(refusal) => (Err(refusal), None),
            Ok(None) => {
                let kept = self.made_permanent(update, lease);
                (Ok(self.latest.serial()), (!kept.is_empty()).then_some(ZoneLogEntry::Kept(kept)))
            }
            Ok(Some((next, change))) => {
                let kept = self.made_permanent(update, lease);
                self.latest = next;
                let secs = lease.map_or(0, |span| span.secs().round() as u32);
                (Ok(change.to), Some(ZoneLogEntry::Changed { change, update_id, lease: secs, kept }))
            }
        };
        if result.is_ok() {
            let added = update.operations.iter().filter_map(|operation| match operation {
                UpdateOperation::AddRecord(record) => Some(record),
                _ => None,
            });
            let change = entry.as_ref().and_then(ZoneLogEntry::change);
            self.renew_leases(now, change.into_iter().flat_map(Change::deleted_records), added, lease);
        }
        if let Some(update_id) = update_id.filter(|_| result != Err(UpdateError::Frozen)) {
            self.known_updates.add(now, update_id, result, &self.limits);
        }
        UpdateOutcome { result, entry, lease, duplicate: false }
    }

    /// Records that are held and that an update without a lease adds again: they are there for good from then on.
    fn made_permanent(&self, update: &Update, lease: Option<Span>) -> Vec<LeasedRecord> {
        let of = |operation: &UpdateOperation| match operation {
            UpdateOperation::AddRecord(record) if lease.is_none() && self.leases.contains(record) => {
                Some((record.name.clone(), record.kind, record.data.clone()))
            }
            _ => None,
        };
        update.operations.iter().filter_map(of).collect()
    }

    /// Holds what was added, and lets go of what was removed.
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

    /// Takes out what ran out; none where nothing goes.
    pub fn expire_leases(&mut self, now: Instant) -> (Option<ZoneLogEntry>, LeaseExpiry) {
        if self.frozen.is_some() {
            return (None, LeaseExpiry::default());
        }
        let lapse = self.leases.expire(now, &self.latest);
        let operations = lapse
            .removed
            .iter()
            .map(|(name, kind, data)| UpdateOperation::DeleteRecord(name.clone(), *kind, data.clone()));
        let update = Update { prerequisites: Vec::new(), operations: operations.collect() };
        let next = if update.operations.is_empty() { None } else { update.apply(&self.latest) };
        let entry = next.map(|(next, change)| {
            self.latest = next;
            ZoneLogEntry::Changed { change, update_id: None, lease: 0, kept: Vec::new() }
        });
        (entry, lapse)
    }

    /// An entry was added to the log; once all below this number are durable, its version is in force.
    pub fn entry_appended(&mut self, up_to: u64, entry: &ZoneLogEntry) {
        let change =
            self.reload_change.take().or_else(|| entry.change().map(|change| Arc::new(change.clone())));
        self.waiting.push_back((up_to, Arc::new(self.latest.clone()), change));
    }

    /// All entries below this number are durable; tells whether another version is in force now.
    pub fn entries_durable(&mut self, up_to: u64) -> bool {
        let mut moved = false;
        while let Some((_, zone, change)) = self.waiting.pop_front_if(|(number, ..)| *number <= up_to) {
            self.current = zone;
            change.into_iter().for_each(|change| self.history.push(change));
            moved = true;
        }
        moved
    }

    /// The log failed: what waits is not durable and never will be, and nothing more is taken.
    pub fn log_failed(&mut self, why: String) {
        self.waiting.clear();
        self.latest = (*self.current).clone();
        self.freeze(FreezeReason::LogFailed(why));
    }
}
