//! When a secondary queries which primary, what it transfers, and when it stops serving. It never goes back to an
//! older serial.

use super::retry::{RetryTimes, BACKOFF_FACTOR};
use crate::serial::Serial;
use crate::soa::Soa;
use lynxtally::{Instant, Pcg, Span};

/// What a secondary has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SecondaryAction {
    /// Query this primary for its SOA, and with it its serial.
    QuerySerial(usize),
    /// Transfer from this primary: IXFR from a serial on, or AXFR where there is none.
    Transfer(usize, Option<Serial>),
    /// Stop serving: no primary confirmed the zone within the SOA's expire time.
    Expire,
}

/// One zone that is kept in step with its primaries, by the refresh, retry and expire times of its SOA
/// (RFC 1035 section 3.3.13).
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
    pub fn is_serving(&self) -> bool {
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
            self.step_failed(now);
        }
        if self.busy.is_some() || self.due > now {
            return None;
        }
        self.busy = Some(now + self.times.timeout);
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
    pub fn serial_received(&mut self, now: Instant, serial: Serial) -> Option<SecondaryAction> {
        let have = self.have?;
        if serial.newer_than(have.serial) {
            self.busy = Some(now + self.times.timeout);
            let from = (!self.whole).then_some(have.serial);
            return Some(SecondaryAction::Transfer(self.primary, from));
        }
        if serial == have.serial {
            self.current(now);
        } else {
            // Restarted with an older file: another one may be right, and what we have stays.
            self.step_failed(now);
        }
        None
    }

    /// The version that is served now is the primary's.
    pub fn transfer_completed(&mut self, now: Instant, soa: Soa) {
        self.have = Some(soa);
        self.whole = false;
        self.current(now);
    }

    /// Changes came that don't fit what we have: the whole zone is asked for.
    pub fn incremental_failed(&mut self, now: Instant) {
        self.whole = true;
        self.busy = None;
        self.due = now;
    }

    fn current(&mut self, now: Instant) {
        self.busy = None;
        self.failures = 0;
        self.heard = now;
        self.expired = false;
        let refresh = self.have.map_or(0, |soa| soa.refresh);
        // All secondaries of a fleet would else ask in step.
        let refresh = Span::from_secs(f64::from(refresh.max(1)));
        let jitter = 0.9 + 0.1 * self.chance.unit();
        self.due = if std::mem::take(&mut self.again) { now } else { now + refresh * jitter };
    }

    /// A step failed: the next primary is asked after a pause that grows.
    pub fn step_failed(&mut self, now: Instant) {
        self.busy = None;
        self.again = false;
        self.primary = (self.primary + 1) % self.primaries;
        let retry = self.have.map_or(self.times.retry, |soa| Span::from_secs(f64::from(soa.retry.max(1))));
        let round = self.failures / self.primaries as u32;
        self.failures += 1;
        let pause = retry.min(self.times.max_retry) * BACKOFF_FACTOR.powi(round.min(16) as i32);
        self.due = now + pause.min(self.times.max_retry) * (0.5 + self.chance.unit());
    }
}
