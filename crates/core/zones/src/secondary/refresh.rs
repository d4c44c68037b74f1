//! Decides when a secondary queries which primary, what it transfers and when it stops serving. A secondary never
//! returns to an older serial.

use super::retry::{RetryTimes, BACKOFF_FACTOR};
use crate::serial::Serial;
use crate::soa::Soa;
use lynxtally::{Instant, Pcg, Span};

/// The next action of a secondary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SecondaryAction {
    /// Query the SOA of the primary with this index to learn its serial.
    QuerySerial(usize),
    /// Transfer the zone from the primary with this index: IXFR from the serial, or AXFR if there is none.
    Transfer(usize, Option<Serial>),
    /// Stop serving: no primary confirmed the zone within the SOA's expire interval.
    Expire,
}

/// The schedule of one secondary zone, by the refresh, retry and expire intervals of its SOA (RFC 1035 section
/// 3.3.13).
#[derive(Clone, Debug)]
pub struct SecondaryZone {
    times: RetryTimes,
    /// Number of primaries.
    primaries: usize,
    /// The index of the primary that is queried next.
    primary: usize,
    rng: Pcg,
    /// The SOA of the version that the secondary has; none before the first transfer.
    soa: Option<Soa>,
    /// When a primary last confirmed that the version is up to date.
    confirmed_at: Instant,
    /// When the next query or transfer is due.
    due: Instant,
    /// Number of consecutive failures.
    failures: u32,
    /// The timeout of the query or transfer in progress.
    timeout_at: Option<Instant>,
    /// Whether the next transfer must be an AXFR, because an IXFR could not be applied.
    needs_full_transfer: bool,
    expired: bool,
    /// A NOTIFY arrived during a query or transfer, so another one follows.
    notify_pending: bool,
}

impl SecondaryZone {
    /// Creates the schedule for a number of primaries; the first one is queried first.
    pub fn new(now: Instant, primaries: usize, soa: Option<Soa>, times: RetryTimes, seed: u64) -> Self {
        Self {
            times,
            primaries: primaries.max(1),
            primary: 0,
            rng: Pcg::new(seed),
            soa,
            confirmed_at: now,
            due: now,
            failures: 0,
            timeout_at: None,
            needs_full_transfer: false,
            expired: false,
            notify_pending: false,
        }
    }

    /// Whether the secondary has a version that did not expire.
    pub fn is_serving(&self) -> bool {
        self.soa.is_some() && !self.expired
    }

    /// The time of the next action, timeout or expiry.
    pub fn next_due(&self) -> Instant {
        let next = self.timeout_at.unwrap_or(self.due);
        self.expire_at().map_or(next, |at| next.min(at))
    }

    fn expire_at(&self) -> Option<Instant> {
        let soa = self.soa.filter(|_| !self.expired)?;
        Some(self.confirmed_at + Span::from_secs(f64::from(soa.expire)))
    }

    /// Returns the action that is due, if any. A query or transfer that timed out counts as failed.
    pub fn due(&mut self, now: Instant) -> Option<SecondaryAction> {
        if self.expire_at().is_some_and(|at| at <= now) {
            self.expired = true;
            return Some(SecondaryAction::Expire);
        }
        if self.timeout_at.is_some_and(|until| until <= now) {
            self.step_failed(now);
        }
        if self.timeout_at.is_some() || self.due > now {
            return None;
        }
        self.timeout_at = Some(now + self.times.timeout);
        if self.soa.is_none() || self.needs_full_transfer {
            return Some(SecondaryAction::Transfer(self.primary, None));
        }
        Some(SecondaryAction::QuerySerial(self.primary))
    }

    /// Handles a NOTIFY. It is ignored if its serial is not newer than the zone's. Otherwise a query is due now, or right
    /// after the query or transfer in progress.
    pub fn notified(&mut self, now: Instant, serial: Option<Serial>) {
        let old = |serial: Serial| self.soa.is_some_and(|soa| !serial.newer_than(soa.serial));
        if serial.is_some_and(old) {
            return;
        }
        if self.timeout_at.is_some() {
            self.notify_pending = true;
        } else {
            self.due = now;
        }
    }

    /// Handles the serial in a primary's response.
    pub fn serial_received(&mut self, now: Instant, serial: Serial) -> Option<SecondaryAction> {
        let soa = self.soa?;
        if serial.newer_than(soa.serial) {
            self.timeout_at = Some(now + self.times.timeout);
            let from = (!self.needs_full_transfer).then_some(soa.serial);
            return Some(SecondaryAction::Transfer(self.primary, from));
        }
        if serial == soa.serial {
            self.confirmed(now);
        } else {
            // The primary may have restarted with an older file. The version stays, and the next primary is
            // queried.
            self.step_failed(now);
        }
        None
    }

    /// Called after a transfer, when the version with this SOA is in force.
    pub fn transfer_completed(&mut self, now: Instant, soa: Soa) {
        self.soa = Some(soa);
        self.needs_full_transfer = false;
        self.confirmed(now);
    }

    /// Called when an IXFR could not be applied; an AXFR follows at once.
    pub fn incremental_failed(&mut self, now: Instant) {
        self.needs_full_transfer = true;
        self.timeout_at = None;
        self.due = now;
    }

    fn confirmed(&mut self, now: Instant) {
        self.timeout_at = None;
        self.failures = 0;
        self.confirmed_at = now;
        self.expired = false;
        let refresh = self.soa.map_or(0, |soa| soa.refresh);
        // Jitter keeps the secondaries of a fleet from querying at the same time.
        let refresh = Span::from_secs(f64::from(refresh.max(1)));
        let jitter = 0.9 + 0.1 * self.rng.unit();
        self.due = if std::mem::take(&mut self.notify_pending) { now } else { now + refresh * jitter };
    }

    /// Called when a query or transfer failed; the next primary is queried after an exponential delay.
    pub fn step_failed(&mut self, now: Instant) {
        self.timeout_at = None;
        self.notify_pending = false;
        self.primary = (self.primary + 1) % self.primaries;
        let retry = self.soa.map_or(self.times.retry, |soa| Span::from_secs(f64::from(soa.retry.max(1))));
        let round = self.failures / self.primaries as u32;
        self.failures += 1;
        let pause = retry.min(self.times.max_retry) * BACKOFF_FACTOR.powi(round.min(16) as i32);
        self.due = now + pause.min(self.times.max_retry) * (0.5 + self.rng.unit());
    }
}
