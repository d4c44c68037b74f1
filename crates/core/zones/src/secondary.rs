//! A secondary's choices: when to ask which primary, what to ask for, when to stop serving; and what comes of
//! the records that a transfer brings. It never goes back to an older version.

use crate::change::Change;
use crate::name::Name;
use crate::record::Record;
use crate::record_type::RecordType;
use crate::serial::Serial;
use crate::soa::Soa;
use crate::zone::Zone;
use lynxtally::{Instant, Pcg, Span};
use std::fmt;

/// What a secondary does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SecondaryAction {
    /// Ask this primary for its SOA.
    QuerySerial(usize),
    /// Ask this primary for what changed since a version, or for all of it.
    Transfer(usize, Option<Serial>),
    /// Stop serving: nothing was heard for as long as the zone allows.
    Expire,
}

/// The times of a zone that is not known yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTimes {
    /// How soon the first failure is followed by another try.
    pub retry: Span,
    /// Tries are no further apart than this.
    pub retry_most: Span,
    /// A step that is not answered in this time has failed.
    pub patience: Span,
}

impl Default for RetryTimes {
    fn default() -> Self {
        Self {
            retry: Span::from_millis(1000),
            retry_most: Span::from_millis(600_000),
            patience: Span::from_millis(30_000),
        }
    }
}

/// One zone's following.
#[derive(Clone, Debug)]
pub struct SecondaryZone {
    times: RetryTimes,
    primaries: usize,
    primary: usize,
    chance: Pcg,
    /// What is served, if anything is.
    have: Option<Soa>,
    /// When the zone was last known to be as the primary has it.
    heard: Instant,
    due: Instant,
    failures: u32,
    /// A step under way, until when it is waited for.
    busy: Option<Instant>,
    /// Whether the next transfer must be of the whole zone: changes did not fit.
    whole: bool,
    expired: bool,
    /// A notice came while a step was under way.
    again: bool,
}

/// Each failure in a row makes the pause so many times as long; pauses are stretched or cut by up to half.
const BACKOFF_FACTOR: f64 = 2.0;

impl SecondaryZone {
    /// Follows so many primaries, the first one first.
    pub fn new(now: Instant, primaries: usize, have: Option<Soa>, times: RetryTimes, seed: u64) -> Self {
        Self {
            times,
            primaries: primaries.max(1),
            primary: 0,
            chance: Pcg::new(seed),
            have,
            heard: now,
            due: now,
            failures: 0,
            busy: None,
            whole: false,
            expired: false,
            again: false,
        }
    }

    /// Whether what it has may be served.
    pub fn serves(&self) -> bool {
        self.have.is_some() && !self.expired
    }

    /// When something is to be done next.
    pub fn next_due(&self) -> Instant {
        let next = self.busy.unwrap_or(self.due);
        self.expire_at().map_or(next, |at| next.min(at))
    }

    fn expire_at(&self) -> Option<Instant> {
        let soa = self.have.filter(|_| !self.expired)?;
        Some(self.heard + Span::from_secs(f64::from(soa.expire)))
    }

    /// What is due.
    pub fn due(&mut self, now: Instant) -> Option<SecondaryAction> {
        if self.expire_at().is_some_and(|at| at <= now) {
            self.expired = true;
            return Some(SecondaryAction::Expire);
        }
        if self.busy.is_some_and(|until| until <= now) {
            self.failed(now);
        }
        if self.busy.is_some() || self.due > now {
            return None;
        }
        self.busy = Some(now + self.times.patience);
        if self.have.is_none() || self.whole {
            return Some(SecondaryAction::Transfer(self.primary, None));
        }
        Some(SecondaryAction::QuerySerial(self.primary))
    }

    /// A primary says that there is a newer version; without a number it is looked up.
    pub fn notified(&mut self, now: Instant, serial: Option<Serial>) {
        let old = |serial: Serial| self.have.is_some_and(|soa| !serial.newer_than(soa.serial));
        if serial.is_some_and(old) {
            return;
        }
        if self.busy.is_some() {
            self.again = true;
        } else {
            self.due = now;
        }
    }

    /// A primary told its serial.
    pub fn serial(&mut self, now: Instant, serial: Serial) -> Option<SecondaryAction> {
        let have = self.have?;
        if serial.newer_than(have.serial) {
            self.busy = Some(now + self.times.patience);
            let from = (!self.whole).then_some(have.serial);
            return Some(SecondaryAction::Transfer(self.primary, from));
        }
        if serial == have.serial {
            self.current(now);
        } else {
            // Restarted with an older file: another one may be right, and what we have stays.
            self.failed(now);
        }
        None
    }

    /// The version that is served now is the primary's.
    pub fn took(&mut self, now: Instant, soa: Soa) {
        self.have = Some(soa);
        self.whole = false;
        self.current(now);
    }

    /// Changes came that don't fit what we have: the whole zone is asked for.
    pub fn misfit(&mut self, now: Instant) {
        self.whole = true;
        (self.busy, self.due) = (None, now);
    }

    fn current(&mut self, now: Instant) {
        (self.busy, self.failures, self.heard, self.expired) = (None, 0, now, false);
        let refresh = self.have.map_or(0, |soa| soa.refresh);
        // All secondaries of a fleet would else ask in step.
        let refresh = Span::from_secs(f64::from(refresh.max(1)));
        let jitter = 0.9 + 0.1 * self.chance.unit();
        self.due = if std::mem::take(&mut self.again) { now } else { now + refresh * jitter };
    }

    /// A step failed: the next primary is asked after a pause that grows.
    pub fn failed(&mut self, now: Instant) {
        self.busy = None;
        self.again = false;
        self.primary = (self.primary + 1) % self.primaries;
        let retry = self.have.map_or(self.times.retry, |soa| Span::from_secs(f64::from(soa.retry.max(1))));
        let round = self.failures / self.primaries as u32;
        self.failures += 1;
        let pause = retry.min(self.times.retry_most) * BACKOFF_FACTOR.powi(round.min(16) as i32);
        self.due = now + pause.min(self.times.retry_most) * (0.5 + self.chance.unit());
    }
}

/// What a transfer brought.
#[derive(Clone, Debug, PartialEq)]
pub enum TransferResult {
    /// Nothing is newer than what was asked from.
    UpToDate(Serial),
    /// The whole zone.
    Full(Vec<Record>),
    /// What changed, from the version asked from on.
    Incremental(Vec<Change>),
}

/// Why a transfer can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransferError {
    /// It does not begin with the zone's SOA.
    Start,
    /// A change does not follow on the one before.
    Order,
    /// More came behind its end.
    Behind,
    /// The version is not newer than what is there.
    Back {
        /// What came.
        came: Serial,
        /// What is there.
        have: Serial,
    },
    /// A record is out of the zone, or can't stand in it.
    Rejected(String),
    /// More records than a zone may have.
    Large,
}

impl fmt::Display for TransferError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Start => f.write_str("it does not begin with the zone's SOA"),
            Self::Order => f.write_str("its changes do not follow on one another"),
            Self::Behind => f.write_str("more came behind its end"),
            Self::Back { came, have } => write!(f, "it brings {came}, which is not newer than {have}"),
            Self::Rejected(what) => write!(f, "a record can't stand in the zone: {what}"),
            Self::Large => f.write_str("more records than a zone may have"),
        }
    }
}

#[derive(Clone, Debug)]
enum TransferState {
    Start,
    /// After the first SOA.
    First,
    /// All records of the zone, until the SOA comes again (RFC 5936 section 2.2).
    FullZone,
    /// Records that are gone (RFC 1995 section 4).
    Removed,
    /// Records that are new.
    Added,
    End,
}

/// Puts the records of a transfer together, as they come.
#[derive(Clone, Debug)]
pub struct TransferReader {
    apex: Name,
    asked_from: Option<Serial>,
    most: usize,
    stage: TransferState,
    newest: Option<Record>,
    whole: Vec<Record>,
    changes: Vec<Change>,
    count: usize,
}

impl TransferReader {
    /// A transfer of a zone, from a version on or of all of it.
    pub fn new(apex: Name, asked_from: Option<Serial>, most: usize) -> Self {
        Self {
            apex,
            asked_from,
            most,
            stage: TransferState::Start,
            newest: None,
            whole: Vec::new(),
            changes: Vec::new(),
            count: 0,
        }
    }

    /// Whether it is whole.
    pub fn is_complete(&self) -> bool {
        matches!(self.stage, TransferState::End)
    }

    fn serial(record: &Record) -> Serial {
        Soa::of(&record.data).map_or(Serial(0), |soa| soa.serial)
    }

    /// Takes the next record.
    pub fn take(&mut self, record: Record) -> Result<(), TransferError> {
        self.count += 1;
        if self.count > self.most.saturating_mul(2) {
            return Err(TransferError::Large);
        }
        if !record.name.is_within(&self.apex) {
            return Err(TransferError::Rejected(record.to_string()));
        }
        let soa = record.kind == RecordType::SOA;
        let newest = self.newest.as_ref().map(Self::serial);
        match self.stage {
            TransferState::Start => {
                if !soa || record.name != self.apex {
                    return Err(TransferError::Start);
                }
                self.newest = Some(record);
                self.stage = TransferState::First;
            }
            TransferState::First if soa && self.asked_from == Some(Self::serial(&record)) => {
                // The SOA of the version asked from: changes follow.
                self.begin_change(record);
            }
            TransferState::First if soa && newest == Some(Self::serial(&record)) => {
                // The whole of a zone with nothing but its SOA.
                self.whole.extend(self.newest.clone());
                self.stage = TransferState::End;
            }
            TransferState::First if soa => return Err(TransferError::Order),
            TransferState::First => {
                self.whole.extend(self.newest.clone());
                self.whole.push(record);
                self.stage = TransferState::FullZone;
            }
            TransferState::FullZone if soa => self.stage = TransferState::End,
            TransferState::FullZone => self.whole.push(record),
            TransferState::Removed if soa => {
                if let Some(change) = self.changes.last_mut() {
                    change.to = Self::serial(&record);
                    change.added.push(record);
                }
                self.stage = TransferState::Added;
            }
            TransferState::Removed => {
                if let Some(change) = self.changes.last_mut() {
                    change.removed.push(record);
                }
            }
            TransferState::Added if soa => {
                let last = self.changes.last().map(|change| change.to);
                if last == newest && newest == Some(Self::serial(&record)) {
                    self.stage = TransferState::End;
                } else if last == Some(Self::serial(&record)) {
                    self.begin_change(record);
                } else {
                    return Err(TransferError::Order);
                }
            }
            TransferState::Added => {
                if let Some(change) = self.changes.last_mut() {
                    change.added.push(record);
                }
            }
            TransferState::End => return Err(TransferError::Behind),
        }
        Ok(())
    }

    fn begin_change(&mut self, record: Record) {
        let from = Self::serial(&record);
        self.changes.push(Change { from, removed: vec![record], ..Change::default() });
        self.stage = TransferState::Removed;
    }

    /// One message ended. The first alone, with one SOA, says that nothing is newer, or that the whole zone has
    /// to be asked for (RFC 1995 section 2).
    pub fn message_ended(&mut self) -> Option<TransferResult> {
        if matches!(self.stage, TransferState::First) && self.asked_from.is_some() {
            let serial = self.newest.as_ref().map(Self::serial)?;
            return Some(TransferResult::UpToDate(serial));
        }
        None
    }

    /// What it brought, once it is whole.
    pub fn finish(self) -> Option<TransferResult> {
        if !self.is_complete() {
            return None;
        }
        Some(if self.changes.is_empty() {
            TransferResult::Full(self.whole)
        } else {
            TransferResult::Incremental(self.changes)
        })
    }
}

/// Makes a version of a whole transfer; never an older one than is there.
pub fn version(apex: &Name, have: Option<Serial>, records: &[Record]) -> Result<Zone, TransferError> {
    let mut zone = Zone::new(apex.clone());
    for record in records {
        zone.add(record).map_err(|unfit| TransferError::Rejected(format!("{record}: {unfit}")))?;
    }
    let came = zone.soa().ok_or(TransferError::Start)?.serial;
    match have {
        Some(have) if !came.newer_than(have) => Err(TransferError::Back { came, have }),
        _ => Ok(zone),
    }
}

/// Who is told of a new version, again until they say that they heard (RFC 1996).
#[derive(Clone, Debug)]
pub struct NotifySender {
    targets: Vec<NotifyTarget>,
    serial: Option<Serial>,
    times: RetryTimes,
    chance: Pcg,
}

#[derive(Clone, Debug)]
struct NotifyTarget {
    told: u32,
    due: Option<Instant>,
}

/// How often a secondary is told of one version before it is left to its own refresh.
const MAX_NOTIFIES: u32 = 8;

impl NotifySender {
    /// For so many secondaries.
    pub fn new(targets: usize, times: RetryTimes, seed: u64) -> Self {
        Self {
            targets: vec![NotifyTarget { told: 0, due: None }; targets],
            serial: None,
            times,
            chance: Pcg::new(seed),
        }
    }

    /// There is a new version: all are told.
    pub fn wanted(&mut self, now: Instant, serial: Serial) {
        if self.serial != Some(serial) {
            self.serial = Some(serial);
            self.targets.iter_mut().for_each(|target| *target = NotifyTarget { told: 0, due: Some(now) });
        }
    }

    /// When somebody is to be told next.
    pub fn next_due(&self) -> Option<Instant> {
        self.targets.iter().filter_map(|target| target.due).min()
    }

    /// Who is to be told now, and of which version.
    pub fn due(&mut self, now: Instant) -> Vec<(usize, Serial)> {
        let Some(serial) = self.serial else { return Vec::new() };
        let mut all = Vec::new();
        for (n, target) in self.targets.iter_mut().enumerate() {
            if target.due.is_some_and(|due| due <= now) {
                all.push((n, serial));
                target.told += 1;
                let pause = self.times.retry * BACKOFF_FACTOR.powi(target.told.min(16) as i32 - 1);
                let at = now + pause.min(self.times.retry_most) * (0.5 + self.chance.unit());
                target.due = (target.told < MAX_NOTIFIES).then_some(at);
            }
        }
        all
    }

    /// One says that it heard of a version.
    pub fn heard(&mut self, target: usize, serial: Option<Serial>) {
        if let Some(target) =
            self.targets.get_mut(target).filter(|_| serial.is_none() || serial == self.serial)
        {
            target.due = None;
        }
    }
}
