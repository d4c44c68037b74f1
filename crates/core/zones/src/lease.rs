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
    /// Numbers of renewed and of expired leases; both decay exponentially over `usual`, the typical lease
    /// duration.
    renewed: f64,
    lapsed: f64,
    faded: Instant,
    usual: Span,
    /// When addresses of a name were removed, for one lease duration back.
    gone: BTreeMap<Name, Vec<Instant>>,
    /// When the path to the clients became suspect; none if it is not.
    suspect: Option<Instant>,
}

/// The consequences of expired leases.
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
const AGAIN: f64 = 0.1;

impl LeaseTable {
    /// Creates an empty table.
    pub fn new(limits: LeaseLimits) -> Self {
        Self {
            limits,
            by_record: BTreeMap::new(),
            by_time: BTreeSet::new(),
            renewed: 0.0,
            lapsed: 0.0,
            faded: Instant::default(),
            usual: limits.min_duration,
            gone: BTreeMap::new(),
            suspect: None,
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
        self.suspect
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
        self.by_record.iter().map(|(held, lease)| (held, lease.span))
    }

    fn fade(&mut self, now: Instant) {
        let past = (now - self.faded) / self.usual;
        let keep = (-past).exp();
        self.renewed *= keep;
        self.lapsed *= keep;
        self.faded = self.faded.max(now);
    }

    /// Grants or renews the lease of a record for the duration `span`.
    pub fn grant(&mut self, now: Instant, name: &Name, kind: RecordType, data: &[u8], span: Span) {
        self.fade(now);
        let held = (name.clone(), kind, data.to_vec());
        let lease = Lease { span, until: now + span };
        self.by_time.insert((lease.until, held.clone()));
        if let Some(before) = self.by_record.insert(held.clone(), lease) {
            if before.until != now + span {
                self.by_time.remove(&(before.until, held));
            }
            self.renewed += 1.0;
            self.usual = self.usual.max(span);
        } else {
            self.usual = if self.by_record.len() == 1 { span } else { self.usual.max(span) };
        }
    }

    /// Ends the lease of a record that was removed or became permanent.
    pub fn release(&mut self, name: &Name, kind: RecordType, data: &[u8]) {
        let held = (name.clone(), kind, data.to_vec());
        if let Some(lease) = self.by_record.remove(&held) {
            self.by_time.remove(&(lease.until, held));
        }
    }

    /// Decides whether the path to the clients is suspect: many leases expired that were due for renewal. This
    /// detects a broken network path, a stopped local clock and a restart during renewals. The downside: if most
    /// clients leave together without deregistering, their records are retained until others renew.
    fn judge(&mut self, now: Instant) -> Option<bool> {
        let missing = self.lapsed >= self.limits.suspect_min_expired as f64;
        let share = self.lapsed / (self.lapsed + self.renewed).max(1e-9);
        let suspect = missing && share > self.limits.suspect_fraction;
        if suspect == self.suspect.is_some() {
            return None;
        }
        self.suspect = suspect.then_some(now);
        Some(suspect)
    }

    /// Expires the leases that are due and returns the records to remove.
    pub fn expire(&mut self, now: Instant, zone: &Zone) -> LeaseExpiry {
        self.fade(now);
        let mut over = Vec::new();
        while let Some((at, held)) = self.by_time.first().filter(|(at, _)| *at <= now).cloned() {
            self.by_time.remove(&(at, held.clone()));
            over.push(held);
        }
        if over.is_empty() {
            return LeaseExpiry { suspect_changed: self.judge(now), ..LeaseExpiry::default() };
        }
        self.lapsed += over.len() as f64;
        let mut lapse = LeaseExpiry { suspect_changed: self.judge(now), ..LeaseExpiry::default() };
        // Number of records removed in this pass, by name.
        let mut taken: BTreeMap<Name, usize> = BTreeMap::new();
        for held in over {
            let span = self.by_record.get(&held).map_or(self.usual, |lease| lease.span);
            let (name, kind, data) = &held;
            let there = zone.set(name, *kind).is_some_and(|set| set.has(data));
            if !there {
                self.by_record.remove(&held);
            } else if self.suspect.is_none() && self.may_go(now, zone, name, *kind, span, &taken) {
                *taken.entry(name.clone()).or_default() += 1;
                self.gone.entry(name.clone()).or_default().push(now);
                self.by_record.remove(&held);
                lapse.removed.push(held);
            } else {
                lapse.retained += 1;
                let until = now + span * AGAIN;
                if let Some(lease) = self.by_record.get_mut(&held) {
                    lease.until = until;
                }
                self.by_time.insert((until, held));
            }
        }
        lapse
    }

    /// Whether one more record of a name may be removed now.
    fn may_go(
        &mut self,
        now: Instant,
        zone: &Zone,
        name: &Name,
        kind: RecordType,
        span: Span,
        taken: &BTreeMap<Name, usize>,
    ) -> bool {
        if !matches!(kind, RecordType::A | RecordType::AAAA) {
            return true;
        }
        let lately = self.gone.entry(name.clone()).or_default();
        lately.retain(|at| now - *at < span);
        let now_gone = taken.get(name).copied().unwrap_or(0);
        let of = |kind| zone.set(name, kind).map_or(0, |set| set.count());
        let there = of(RecordType::A) + of(RecordType::AAAA);
        let left = there - now_gone;
        // Recently removed addresses still count for the total. Otherwise the fraction would apply again to each
        // remainder, and the name would shrink to one address.
        let whole = there + lately.len() - now_gone;
        let may = (whole as f64 * self.limits.max_removed_fraction).floor().max(1.0) as usize;
        left > 1 && lately.len() < may
    }

    /// Starts every lease anew after a restart, because clients could not renew while the server was down.
    pub fn restart(&mut self, now: Instant) {
        let all: Vec<(LeasedRecord, Span)> = self.all().map(|(held, span)| (held.clone(), span)).collect();
        self.by_time.clear();
        self.by_record.clear();
        for ((name, kind, data), span) in all {
            self.grant(now, &name, kind, &data, span);
        }
        self.renewed = 0.0;
        self.lapsed = 0.0;
        self.faded = now;
    }

    /// Whether a record has a lease.
    pub fn contains(&self, record: &Record) -> bool {
        self.by_record.contains_key(&(record.name.clone(), record.kind, record.data.clone()))
    }
}
