//! Names held for a time (RFC 9664). Who registered a record renews it, else it goes, but never more than a
//! share of a name's addresses at once and never the last one. When many stop renewing together, it is the path
//! to them that is suspect and not they: nothing goes until renewals come again.

use crate::name::Name;
use crate::record::Record;
use crate::record_type::RecordType;
use crate::zone::Zone;
use lynxtally::{Instant, Span};
use std::collections::{BTreeMap, BTreeSet};

/// How leases are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseLimits {
    /// The shortest and the longest that is granted.
    pub min_duration: Span,
    /// See there.
    pub max_duration: Span,
    /// Of a name's addresses, no more than this share goes within one lease's length.
    pub max_removed_fraction: f64,
    /// Where more than this share of the leases that should have been renewed lately was not, the path is
    /// suspect.
    pub suspect_fraction: f64,
    /// So many at least must be missing before it is.
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

/// What a lease is about.
type LeasedRecord = (Name, RecordType, Vec<u8>);

#[derive(Clone, Debug)]
struct Lease {
    span: Span,
    until: Instant,
}

/// All leases of a zone.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    limits: LeaseLimits,
    by_record: BTreeMap<LeasedRecord, Lease>,
    by_time: BTreeSet<(Instant, LeasedRecord)>,
    /// Leases renewed in time, and leases that ran out, faded over the usual length of a lease.
    renewed: f64,
    lapsed: f64,
    faded: Instant,
    usual: Span,
    /// When addresses of a name went, for as long as that counts.
    gone: BTreeMap<Name, Vec<Instant>>,
    /// Since when the path has been suspect.
    suspect: Option<Instant>,
}

/// What is to be done about leases that ran out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseExpiry {
    /// These records go.
    pub removed: Vec<(Name, RecordType, Vec<u8>)>,
    /// So many ran out and stay all the same.
    pub retained: usize,
    /// Whether the path became suspect just now, or well again.
    pub suspect_changed: Option<bool>,
}

/// Leases that ran out and stay are looked at again after this part of their length.
const AGAIN: f64 = 0.1;

impl LeaseTable {
    /// No leases yet.
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

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_record.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_record.is_empty()
    }

    /// Since when the path has been suspect, if it is.
    pub fn suspect_since(&self) -> Option<Instant> {
        self.suspect
    }

    /// How long a lease is granted for.
    pub fn granted_duration(&self, asked: Span) -> Span {
        asked.clamp(self.limits.min_duration, self.limits.max_duration)
    }

    /// When the next one runs out.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// All of them with their lengths, for the log.
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

    /// A record is held from now on for so long, again or for the first time.
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

    /// A record is held no more: it was taken out, or is there for good.
    pub fn release(&mut self, name: &Name, kind: RecordType, data: &[u8]) {
        let held = (name.clone(), kind, data.to_vec());
        if let Some(lease) = self.by_record.remove(&held) {
            self.by_time.remove(&(lease.until, held));
        }
    }

    /// Whether the path is suspect: many leases ran out where, by the leases' length, they should have been
    /// renewed. Catches a broken path, a stopped clock of ours and a restart at a bad time; harms where most of
    /// a fleet does leave at once without saying so, for as long as nobody renews.
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

    /// Takes the leases that ran out by now and says which records go.
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
        // Of one name's records taken out in this turn.
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

    /// Whether one more of a name's records may go now.
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
        // Those that went lately are still counted as the name's, so that it shrinks by a share and not by a
        // share of what is left, again and again.
        let whole = there + lately.len() - now_gone;
        let may = (whole as f64 * self.limits.max_removed_fraction).floor().max(1.0) as usize;
        left > 1 && lately.len() < may
    }

    /// After a restart nobody could renew for a while: each lease begins anew.
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

    /// The records among these that a lease holds, as they would be renewed.
    pub fn contains(&self, record: &Record) -> bool {
        self.by_record.contains_key(&(record.name.clone(), record.kind, record.data.clone()))
    }
}
