//! The keeper of one zone: which version is in force, which ones wait to be durable, what an update, a reread
//! file and a lapse make of them. It does no I/O: what must be durable goes out as an entry of a log and comes
//! back as a number.
//!
//! A zone has a *base*, the file as last read, and the *version in force*, which is the base with all accepted
//! changes on it. Reading the file again puts the same changes on the new base.

use crate::change::{between, between_at, Change, ChangeHistory};
use crate::lease::{LeaseExpiry, LeaseLimits, LeaseTable};
use crate::name::Name;
use crate::record::Record;
use crate::record_type::RecordType;
use crate::serial::Serial;
use crate::update::{serial_after, Grant, Update, UpdateError, UpdateOperation};
use crate::zone::Zone;
use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

/// By what a repeated update is known.
pub type UpdateId = [u8; 16];

/// A record that may be held.
pub type LeasedRecord = (Name, RecordType, Vec<u8>);

/// What is kept of a zone on the log: one accepted step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ZoneLogEntry {
    /// An update or a lapse.
    Changed {
        /// What changed.
        change: Change,
        /// By what a repeat is known.
        mark: Option<UpdateId>,
        /// For how many seconds what was added is held; 0 for good.
        lease: u32,
        /// Records that were held before and are there for good now.
        kept: Vec<LeasedRecord>,
    },
    /// These records, held until now, are there for good.
    Kept(Vec<LeasedRecord>),
    /// The file was read again: the accepted changes are put on the new base as they were on the old one.
    Based {
        /// The file with the new base.
        base: String,
        /// The version that it makes.
        serial: Serial,
        /// What was accepted while the new base was made ready, and is put on last.
        since: Change,
    },
    /// A whole version came from a primary: it is the base and the version in force.
    Followed {
        /// The file with it.
        base: String,
    },
}

/// All of a zone's state at one point of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The form of this snapshot.
    pub form: u16,
    /// The file with the base.
    pub base: String,
    /// From the base to the version in force.
    pub overlay: Change,
    /// The last changes.
    pub history: Vec<Change>,
    /// Repeats known, and how their first was answered.
    pub marks: Vec<(UpdateId, Result<Serial, UpdateError>)>,
    /// What is held, and for how many seconds.
    pub leases: Vec<(Name, RecordType, Vec<u8>, u32)>,
}

/// The form that is written now.
pub const FORM: u16 = 1;

/// What the keeper is held to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneStoreLimits {
    /// Records that the log of changes names at most.
    pub history: usize,
    /// For how long a repeat is known.
    pub marks_for: Span,
    /// How many repeats are known at most.
    pub marks: usize,
    /// Records in one zone at most.
    pub records: usize,
    /// How leases are kept.
    pub leases: LeaseLimits,
}

impl Default for ZoneStoreLimits {
    fn default() -> Self {
        Self {
            history: 100_000,
            marks_for: Span::from_millis(300_000),
            marks: 100_000,
            records: 10_000_000,
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
    /// [`ZoneStore::answered_at`] are durable.
    pub result: Result<Serial, UpdateError>,
    /// What must be durable for it.
    pub entry: Option<ZoneLogEntry>,
    /// For how long what it added is held.
    pub lease: Option<Span>,
    /// Whether it was known as a repeat.
    pub repeat: bool,
}

/// A change of an operator's file that meets an accepted update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReloadConflict {
    /// The name.
    pub name: Name,
    /// The kind.
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
    merged: Zone,
    /// What leads there from the version that was seen.
    change: Change,
    /// The version in force when it was made.
    seen: Zone,
    /// What met.
    pub conflicts: Vec<ReloadConflict>,
}

/// What making a new base ready needs of a keeper; costs nothing to copy.
#[derive(Clone, Debug)]
pub struct ReloadInput {
    base: Zone,
    tip: Zone,
}

impl ReloadInput {
    /// Makes a new base ready; costs as much as the file is long, so it is done aside. Changes accepted since are
    /// put on in [`ZoneStore::rebase`].
    pub fn ready(&self, base: Zone) -> Result<PreparedReload, ReloadError> {
        let (file, before) = (base.serial(), self.base.serial());
        if file != before && !file.newer_than(before) {
            return Err(ReloadError::Lower { file, before });
        }
        if between(&self.base, &base).is_empty() {
            return Err(ReloadError::Same);
        }
        Ok(self.merge(base))
    }

    fn merge(&self, base: Zone) -> PreparedReload {
        let mut conflicts = Vec::new();
        let mut merged = base.clone();
        let overlay = between(&self.base, &self.tip);
        put_on(&mut merged, &overlay, Some((&self.base, &base)), &mut conflicts);
        let change = between(&self.tip, &merged);
        PreparedReload { base, merged, change, seen: self.tip.clone(), conflicts }
    }
}

/// Repeats known for a time and up to a number; the oldest go first.
#[derive(Clone, Debug, Default)]
struct KnownUpdates {
    known: BTreeMap<UpdateId, (Instant, Result<Serial, UpdateError>)>,
    by_time: VecDeque<(Instant, UpdateId)>,
}

impl KnownUpdates {
    fn add(
        &mut self,
        now: Instant,
        mark: UpdateId,
        result: Result<Serial, UpdateError>,
        limits: &ZoneStoreLimits,
    ) {
        let over = |at: Instant| now - at > limits.marks_for;
        while self.by_time.len() >= limits.marks.max(1)
            || self.by_time.front().is_some_and(|(at, _)| over(*at))
        {
            let Some((_, mark)) = self.by_time.pop_front() else { break };
            self.known.remove(&mark);
        }
        if self.known.insert(mark, (now, result)).is_none() {
            self.by_time.push_back((now, mark));
        }
    }

    fn get(
        &self,
        now: Instant,
        mark: &UpdateId,
        limits: &ZoneStoreLimits,
    ) -> Option<Result<Serial, UpdateError>> {
        // What is over its time may still stand in the table.
        let (since, result) = self.known.get(mark)?;
        (now - *since <= limits.marks_for).then_some(*result)
    }
}

/// The keeper.
#[derive(Clone, Debug)]
pub struct ZoneStore {
    limits: ZoneStoreLimits,
    base: Zone,
    base_file: String,
    /// With all accepted steps, durable or not.
    tip: Zone,
    /// What answers come from.
    live: Arc<Zone>,
    /// Steps that wait to be durable: the number that must be, and the version.
    waiting: VecDeque<(u64, Arc<Zone>, Option<Arc<Change>>)>,
    history: ChangeHistory,
    marks: KnownUpdates,
    leases: LeaseTable,
    frozen: Option<FreezeReason>,
    /// What a new base changed, until its entry is on the log.
    based: Option<Arc<Change>>,
}

impl ZoneStore {
    /// A zone as its file has it.
    pub fn new(base: Zone, base_file: String, limits: ZoneStoreLimits) -> Self {
        Self {
            tip: base.clone(),
            live: Arc::new(base.clone()),
            base,
            base_file,
            waiting: VecDeque::new(),
            history: ChangeHistory::new(limits.history),
            marks: KnownUpdates::default(),
            leases: LeaseTable::new(limits.leases),
            frozen: None,
            based: None,
            limits,
        }
    }

    /// A zone as its log has it, from the newest snapshot on.
    pub fn restore(
        now: Instant,
        base: Zone,
        snapshot: Snapshot,
        limits: ZoneStoreLimits,
    ) -> Result<Self, crate::change::ChangeError> {
        let tip = if snapshot.overlay.is_empty() { base.clone() } else { snapshot.overlay.apply(&base)? };
        let mut keeper = Self::new(base, snapshot.base, limits);
        keeper.tip = tip;
        keeper.live = Arc::new(keeper.tip.clone());
        snapshot.history.into_iter().for_each(|change| keeper.history.push(Arc::new(change)));
        for (mark, result) in snapshot.marks {
            keeper.marks.add(now, mark, result, &limits);
        }
        for (name, kind, data, secs) in snapshot.leases {
            keeper.leases.hold(now, &name, kind, &data, Span::from_secs(f64::from(secs)));
        }
        keeper.leases.restart(now);
        Ok(keeper)
    }

    /// Applies an entry that stands on the log. A new base must be at hand.
    pub fn replay(
        &mut self,
        now: Instant,
        entry: ZoneLogEntry,
        base: impl FnOnce(&str) -> Option<Zone>,
    ) -> Result<(), String> {
        let change = match entry {
            ZoneLogEntry::Changed { change, mark, lease, kept } => {
                if let Some(mark) = mark {
                    self.marks.add(now, mark, Ok(change.to), &self.limits);
                }
                let span = (lease > 0).then(|| Span::from_secs(f64::from(lease)));
                self.lease(now, change.gone(), change.fresh(), span);
                kept.iter().for_each(|(name, kind, data)| self.leases.release(name, *kind, data));
                change
            }
            ZoneLogEntry::Kept(records) => {
                records.iter().for_each(|(name, kind, data)| self.leases.release(name, *kind, data));
                return Ok(());
            }
            ZoneLogEntry::Based { base: file, serial, since } => {
                let new = base(&file).ok_or_else(|| format!("{file}: the base is missing or damaged"))?;
                let seen = since.reversed().apply(&self.tip).map_err(|misfit| misfit.to_string())?;
                let outline = ReloadInput { base: self.base.clone(), tip: seen };
                self.put_base(file, outline.merge(new), since, serial, &mut Vec::new());
                self.based.take().into_iter().for_each(|change| self.history.push(change));
                self.live = Arc::new(self.tip.clone());
                return Ok(());
            }
            ZoneLogEntry::Followed { base: file } => {
                let new = base(&file).ok_or_else(|| format!("{file}: the base is missing or damaged"))?;
                self.history.clear();
                (self.base, self.base_file, self.tip) = (new.clone(), file, new);
                self.live = Arc::new(self.tip.clone());
                return Ok(());
            }
        };
        self.tip = change.apply(&self.tip).map_err(|misfit| misfit.to_string())?;
        self.live = Arc::new(self.tip.clone());
        self.history.push(Arc::new(change));
        Ok(())
    }

    /// The state as of the last durable step, for a snapshot. Steps that wait are not in it.
    pub fn snapshot(&self) -> Snapshot {
        let secs = |span: Span| span.secs().round() as u32;
        Snapshot {
            form: FORM,
            base: self.base_file.clone(),
            overlay: between(&self.base, &self.live),
            history: self.history.all().map(|change| (**change).clone()).collect(),
            marks: self
                .marks
                .by_time
                .iter()
                .filter_map(|(_, m)| Some((*m, self.marks.known.get(m)?.1)))
                .collect(),
            leases: self
                .leases
                .all()
                .map(|((n, k, d), span)| (n.clone(), *k, d.clone(), secs(span)))
                .collect(),
        }
    }

    /// The version in force.
    pub fn live(&self) -> &Arc<Zone> {
        &self.live
    }

    /// The newest version, durable or not.
    pub fn tip(&self) -> &Zone {
        &self.tip
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
    pub fn since(&self, serial: Serial) -> Option<Vec<Arc<Change>>> {
        if serial == self.live.serial() {
            return Some(Vec::new());
        }
        self.history.since(serial)
    }

    /// Whether all accepted steps are durable.
    pub fn settled(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Below which number all entries must be durable before an update judged now is answered: what it was
    /// judged by must outlast a restart, also where it changed nothing itself.
    pub fn answered_at(&self) -> u64 {
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
        mark: Option<UpdateId>,
        lease: Option<Span>,
    ) -> UpdateOutcome {
        let lease = lease.map(|asked| self.leases.granted(asked));
        if let Some(result) = mark.and_then(|mark| self.marks.get(now, &mark, &self.limits)) {
            return UpdateOutcome { result, entry: None, lease, repeat: true };
        }
        let judged = match &self.frozen {
            Some(_) => Err(UpdateError::Frozen),
            None => update.judge(&self.tip, grants, key),
        };
        let judged = judged.and_then(|next| match next {
            Some((zone, _)) if zone.records() > self.limits.records => Err(UpdateError::NotAllowed),
            next => Ok(next),
        });
        let (result, entry) = match judged {
            Err(refusal) => (Err(refusal), None),
            Ok(None) => {
                let kept = self.freed(update, lease);
                (Ok(self.tip.serial()), (!kept.is_empty()).then_some(ZoneLogEntry::Kept(kept)))
            }
            Ok(Some((next, change))) => {
                let kept = self.freed(update, lease);
                self.tip = next;
                let secs = lease.map_or(0, |span| span.secs().round() as u32);
                (Ok(change.to), Some(ZoneLogEntry::Changed { change, mark, lease: secs, kept }))
            }
        };
        if result.is_ok() {
            let added = update.edits.iter().filter_map(|edit| match edit {
                UpdateOperation::AddRecord(record) => Some(record),
                _ => None,
            });
            let change = entry.as_ref().and_then(ZoneLogEntry::change);
            self.lease(now, change.into_iter().flat_map(Change::gone), added, lease);
        }
        if let Some(mark) = mark.filter(|_| result != Err(UpdateError::Frozen)) {
            self.marks.add(now, mark, result, &self.limits);
        }
        UpdateOutcome { result, entry, lease, repeat: false }
    }

    /// Records that are held and that an update without a lease adds again: they are there for good from then on.
    fn freed(&self, update: &Update, lease: Option<Span>) -> Vec<LeasedRecord> {
        let of = |edit: &UpdateOperation| match edit {
            UpdateOperation::AddRecord(record) if lease.is_none() && self.leases.holds(record) => {
                Some((record.name.clone(), record.kind, record.data.clone()))
            }
            _ => None,
        };
        update.edits.iter().filter_map(of).collect()
    }

    /// Holds what was added, and lets go of what was removed.
    fn lease<'a>(
        &mut self,
        now: Instant,
        gone: impl Iterator<Item = &'a Record>,
        added: impl Iterator<Item = &'a Record>,
        lease: Option<Span>,
    ) {
        gone.for_each(|record| self.leases.release(&record.name, record.kind, &record.data));
        for record in added.filter(|record| record.kind != RecordType::SOA) {
            match lease {
                Some(span) => self.leases.hold(now, &record.name, record.kind, &record.data, span),
                None => self.leases.release(&record.name, record.kind, &record.data),
            }
        }
    }

    /// Takes out what ran out; none where nothing goes.
    pub fn lapse(&mut self, now: Instant) -> (Option<ZoneLogEntry>, LeaseExpiry) {
        if self.frozen.is_some() {
            return (None, LeaseExpiry::default());
        }
        let lapse = self.leases.lapse(now, &self.tip);
        let edits = lapse
            .gone
            .iter()
            .map(|(name, kind, data)| UpdateOperation::DeleteRecord(name.clone(), *kind, data.clone()));
        let update = Update { needs: Vec::new(), edits: edits.collect() };
        let next = if update.edits.is_empty() { None } else { update.apply(&self.tip) };
        let entry = next.map(|(next, change)| {
            self.tip = next;
            ZoneLogEntry::Changed { change, mark: None, lease: 0, kept: Vec::new() }
        });
        (entry, lapse)
    }

    /// An entry was added to the log; once all below this number are durable, its version is in force.
    pub fn added(&mut self, up_to: u64, entry: &ZoneLogEntry) {
        let change = self.based.take().or_else(|| entry.change().map(|change| Arc::new(change.clone())));
        self.waiting.push_back((up_to, Arc::new(self.tip.clone()), change));
    }

    /// All entries below this number are durable; tells whether another version is in force now.
    pub fn durable(&mut self, up_to: u64) -> bool {
        let mut moved = false;
        while let Some((_, zone, change)) = self.waiting.pop_front_if(|(number, ..)| *number <= up_to) {
            self.live = zone;
            change.into_iter().for_each(|change| self.history.push(change));
            moved = true;
        }
        moved
    }

    /// The log failed: what waits is not durable and never will be, and nothing more is taken.
    pub fn lost(&mut self, why: String) {
        self.waiting.clear();
        self.tip = (*self.live).clone();
        self.freeze(FreezeReason::LogFailed(why));
    }

    /// What making a new base ready needs.
    pub fn outline(&self) -> ReloadInput {
        ReloadInput { base: self.base.clone(), tip: self.tip.clone() }
    }

    /// Takes a new base over: what was accepted since it was made ready is put on too, and all of it is the next
    /// version. Costs as much as was accepted meanwhile. The versions that are not needed any more come out: to
    /// let go of them may take long.
    pub fn rebase(
        &mut self,
        base_file: String,
        ready: PreparedReload,
    ) -> (ZoneLogEntry, Vec<ReloadConflict>, Vec<Zone>) {
        let mut conflicts = ready.conflicts.clone();
        let retired = vec![self.base.clone(), self.tip.clone(), ready.seen.clone()];
        let since = if ready.seen.is_same(&self.tip) {
            Change { from: self.tip.serial(), to: self.tip.serial(), ..Change::default() }
        } else {
            between(&ready.seen, &self.tip)
        };
        // Never back, whatever the file says.
        let serial = serial_after(self.tip.serial(), ready.base.serial());
        self.put_base(base_file.clone(), ready, since.clone(), serial, &mut conflicts);
        (ZoneLogEntry::Based { base: base_file, serial, since }, conflicts, retired)
    }

    fn put_base(
        &mut self,
        file: String,
        ready: PreparedReload,
        since: Change,
        serial: Serial,
        conflicts: &mut Vec<ReloadConflict>,
    ) {
        let PreparedReload { base, mut merged, change, .. } = ready;
        put_on(&mut merged, &since, None, conflicts);
        merged.renumber(serial);
        // Where nothing was accepted meanwhile the change stands as it is; else it is looked at anew, at the
        // names that are touched, of which the apex with its serial always is one.
        let mut touched: BTreeSet<&Name> = since.names().collect();
        touched.insert(merged.apex());
        let same = |record: &Record| !touched.contains(&record.name);
        let mut whole = between_at(&self.tip, &merged, touched.iter().copied());
        whole.removed.extend(change.removed.into_iter().filter(same));
        whole.added.extend(change.added.into_iter().filter(same));
        (self.base, self.base_file, self.tip) = (base, file, merged);
        self.based = Some(Arc::new(whole));
    }

    /// A whole version from the primary is the next one, and the base too.
    pub fn follow(&mut self, base_file: String, version: Zone, change: Change) -> (ZoneLogEntry, Vec<Zone>) {
        let retired = vec![self.base.clone(), self.tip.clone()];
        (self.base, self.base_file, self.tip) = (version.clone(), base_file.clone(), version);
        self.based = Some(Arc::new(change));
        (ZoneLogEntry::Followed { base: base_file }, retired)
    }

    /// Changes from the primary lead to the next version; the base stays.
    pub fn follow_changes(&mut self, changes: &[Change]) -> Result<ZoneLogEntry, crate::change::ChangeError> {
        let mut next = self.tip.clone();
        for change in changes {
            next = change.apply(&next)?;
        }
        let change = between(&self.tip, &next);
        self.tip = next;
        Ok(ZoneLogEntry::Changed { change, mark: None, lease: 0, kept: Vec::new() })
    }
}

impl ZoneLogEntry {
    /// What changed.
    pub fn change(&self) -> Option<&Change> {
        match self {
            Self::Changed { change, .. } => Some(change),
            Self::Based { .. } | Self::Followed { .. } | Self::Kept(_) => None,
        }
    }
}

/// Puts accepted changes on another version. Where the file changed the same set, the accepted change stands,
/// and the meeting is told.
fn put_on(
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

/// Writes an entry or a snapshot for the log.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("plain values always have a form")
}

/// Reads it.
pub fn decode<'a, T: Deserialize<'a>>(octets: &'a [u8]) -> Result<T, String> {
    postcard::from_bytes(octets).map_err(|fault| format!("an entry of another form: {fault}"))
}

/// Writes a base for its own file.
pub fn encode_base(zone: &Zone) -> Vec<u8> {
    encode(&(FORM, zone.apex(), zone.all()))
}

/// Reads it; none where it is not one.
pub fn decode_base(octets: &[u8]) -> Option<Zone> {
    let (form, apex, all): (u16, Name, Vec<Record>) = decode(octets).ok()?;
    let mut zone = Zone::new(apex);
    let fit = form == FORM && all.iter().all(|record| zone.add(record).is_ok());
    fit.then_some(zone)
}
