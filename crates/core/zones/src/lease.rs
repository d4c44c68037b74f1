//! Leases of records (RFC 9664). A record whose lease is not renewed is removed, but never more than a fraction of
//! a name's addresses within one lease duration, and never the last address. If many leases expire together, the
//! path to the clients is suspected instead of the clients, and no record is removed until renewals arrive again.

use crate::name::Name;
use crate::record::Record;
use crate::record_type::RecordType;
use crate::zone::Zone;
use lynxtally::{Instant, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Limits for granting and expiring leases.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseLimits {
    /// The shortest lease that is granted.
    pub min_duration: Span,
    /// The longest lease that is granted.
    pub max_duration: Span,
    /// Maximum fraction of a name's addresses that is removed within one lease duration.
    pub max_removed_fraction: f64,
    /// The path to the clients is suspected if a larger fraction than this of the recently due renewals is
    /// missing.
    pub suspect_fraction: f64,
    /// Minimum number of expired leases before the path is suspected.
    pub suspect_min_expired: usize,
}

impl Default for LeaseLimits {
    fn default() -> Self {
        Self {
            min_duration: Span::from_millis(30_000),
            max_duration: Span::from_millis(86_400_000),
            max_removed_fraction: 1.0 / 3.0,
            suspect_fraction: 0.5,
            suspect_min_expired: 3,
        }
    }
}

/// The record that a lease is for: owner, type and data.
type LeasedRecord = (Name, RecordType, Vec<u8>);

#[derive(Clone, Debug)]
struct Lease {
    span: Span,
    until: Instant,
}

/// All leases of one zone.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    limits: LeaseLimits,
    by_record: BTreeMap<LeasedRecord, Lease>,
    by_time: BTreeSet<(Instant, LeasedRecord)>,
    /// Numbers of renewed and of expired leases; both decay exponentially over the typical lease
    /// duration.
    renewed: f64,
    expired: f64,
    /// When `renewed` and `expired` were last decayed.
    decayed_at: Instant,
    /// The longest lease duration since the table was last empty; counts decay over this time.
    typical_duration: Span,
    /// The times at which addresses of each name were removed; times older than one lease duration are dropped.
    recent_removals: BTreeMap<Name, Vec<Instant>>,
    /// When the path to the clients became suspect; none if it is not.
    suspect_since: Option<Instant>,
}

/// What happens to the records whose leases expired.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseExpiry {
    /// Records to remove.
    pub removed: Vec<(Name, RecordType, Vec<u8>)>,
    /// Number of expired leases whose records are retained.
    pub retained: usize,
    /// Set if the path to the clients became suspect (`true`) or trusted again (`false`).
    pub suspect_changed: Option<bool>,
}

/// A retained record's lease is checked again after this fraction of its duration.
const RECHECK_FRACTION: f64 = 0.1;

impl LeaseTable {
    /// Creates an empty table.
    pub fn new(limits: LeaseLimits) -> Self {
        Self {
            limits,
            by_record: BTreeMap::new(),
            by_time: BTreeSet::new(),
            renewed: 0.0,
            expired: 0.0,
            decayed_at: Instant::default(),
            typical_duration: limits.min_duration,
            recent_removals: BTreeMap::new(),
            suspect_since: None,
        }
    }

    /// The number of leases.
    pub fn len(&self) -> usize {
        self.by_record.len()
    }

    /// Whether there are no leases.
    pub fn is_empty(&self) -> bool {
        self.by_record.is_empty()
    }

    /// Since when the path to the clients is suspect; none if it is not.
    pub fn suspect_since(&self) -> Option<Instant> {
        self.suspect_since
    }

    /// The lease duration that is granted for a requested one.
    pub fn granted_duration(&self, asked: Span) -> Span {
        asked.clamp(self.limits.min_duration, self.limits.max_duration)
    }

    /// The time of the next expiry.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// All leases with their durations, for the snapshot.
    pub fn all(&self) -> impl Iterator<Item = (&LeasedRecord, Span)> {
        self.by_record.iter().map(|(record, lease)| (record, lease.span))
    }

    fn decay(&mut self, now: Instant) {
        let elapsed_durations = (now - self.decayed_at) / self.typical_duration;
        let keep = (-elapsed_durations).exp();
        self.renewed *= keep;
        self.expired *= keep;
        self.decayed_at = self.decayed_at.max(now);
    }

    /// Grants or renews the lease of a record for the duration `span`.
    pub fn grant(&mut self, now: Instant, name: &Name, kind: RecordType, data: &[u8], span: Span) {
        self.decay(now);
        let record = (name.clone(), kind, data.to_vec());
        let lease = Lease { span, until: now + span };
        self.by_time.insert((lease.until, record.clone()));
        if let Some(before) = self.by_record.insert(record.clone(), lease) {
            if before.until != now + span {
                self.by_time.remove(&(before.until, record));
            }
            self.renewed += 1.0;
            self.typical_duration = self.typical_duration.max(span);
        } else {
            self.typical_duration =
                if self.by_record.len() == 1 { span } else { self.typical_duration.max(span) };
        }
    }

    /// Ends the lease of a record that was removed or became permanent.
    pub fn release(&mut self, name: &Name, kind: RecordType, data: &[u8]) {
        let record = (name.clone(), kind, data.to_vec());
        if let Some(lease) = self.by_record.remove(&record) {
            self.by_time.remove(&(lease.until, record));
        }
    }

    /// Decides whether the path to the clients is suspect: at least `suspect_min_expired` leases expired recently,
    /// and they are more than the fraction `suspect_fraction` of all leases that were due for renewal. This rule
    /// detects a broken network path, a stopped local clock and a restart during renewals. Its downside: if most
    /// clients leave together without deregistering, their records are retained until other clients renew.
    fn update_suspicion(&mut self, now: Instant) -> Option<bool> {
        let enough_expired = self.expired >= self.limits.suspect_min_expired as f64;
        let share = self.expired / (self.expired + self.renewed).max(1e-9);
        let suspect = enough_expired && share > self.limits.suspect_fraction;
        if suspect == self.suspect_since.is_some() {
            return None;
        }
        self.suspect_since = suspect.then_some(now);
        Some(suspect)
    }

    /// Expires the leases that are due and returns the records to remove.
    pub fn expire(&mut self, now: Instant, zone: &Zone) -> LeaseExpiry {
        self.decay(now);
        let mut due_records = Vec::new();
        while let Some((at, record)) = self.by_time.first().filter(|(at, _)| *at <= now).cloned() {
            self.by_time.remove(&(at, record.clone()));
            due_records.push(record);
        }
        if due_records.is_empty() {
            return LeaseExpiry { suspect_changed: self.update_suspicion(now), ..LeaseExpiry::default() };
        }
        self.expired += due_records.len() as f64;
        let mut expiry =
            LeaseExpiry { suspect_changed: self.update_suspicion(now), ..LeaseExpiry::default() };
        // Number of records removed in this pass, by name.
        let mut removed_now: BTreeMap<Name, usize> = BTreeMap::new();
        for record in due_records {
            let span = self.by_record.get(&record).map_or(self.typical_duration, |lease| lease.span);
            let (name, kind, data) = &record;
            let exists = zone.set(name, *kind).is_some_and(|set| set.has(data));
            if !exists {
                self.by_record.remove(&record);
            } else if self.suspect_since.is_none()
                && self.may_remove(now, zone, name, *kind, span, &removed_now)
            {
                *removed_now.entry(name.clone()).or_default() += 1;
                self.recent_removals.entry(name.clone()).or_default().push(now);
                self.by_record.remove(&record);
                expiry.removed.push(record);
            } else {
                expiry.retained += 1;
                let until = now + span * RECHECK_FRACTION;
                if let Some(lease) = self.by_record.get_mut(&record) {
                    lease.until = until;
                }
                self.by_time.insert((until, record));
            }
        }
        expiry
    }

    /// Whether one more record of a name may be removed now.
    fn may_remove(
        &mut self,
        now: Instant,
        zone: &Zone,
        name: &Name,
        kind: RecordType,
        span: Span,
        removed_now: &BTreeMap<Name, usize>,
    ) -> bool {
        if !matches!(kind, RecordType::A | RecordType::AAAA) {
            return true;
        }
        let recent = self.recent_removals.entry(name.clone()).or_default();
        recent.retain(|at| now - *at < span);
        let removed_count = removed_now.get(name).copied().unwrap_or(0);
        let of = |kind| zone.set(name, kind).map_or(0, |set| set.count());
        let address_count = of(RecordType::A) + of(RecordType::AAAA);
        let remaining = address_count - removed_count;
        // Recently removed addresses still count for the total. Otherwise the fraction would apply again to each
        // remainder, and the name would shrink to one address within one lease duration.
        let total = address_count + recent.len() - removed_count;
        let max_removed = (total as f64 * self.limits.max_removed_fraction).floor().max(1.0) as usize;
        remaining > 1 && recent.len() < max_removed
    }

    /// Starts every lease anew after a restart, because clients could not renew while the server was down.
    pub fn restart(&mut self, now: Instant) {
        let all: Vec<(LeasedRecord, Span)> =
            self.all().map(|(record, span)| (record.clone(), span)).collect();
        self.by_time.clear();
        self.by_record.clear();
        for ((name, kind, data), span) in all {
            self.grant(now, &name, kind, &data, span);
        }
        self.renewed = 0.0;
        self.expired = 0.0;
        self.decayed_at = now;
    }

    /// Whether a record has a lease.
    pub fn contains(&self, record: &Record) -> bool {
        self.by_record.contains_key(&(record.name.clone(), record.kind, record.data.clone()))
    }
}
