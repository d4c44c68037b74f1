//! A node's part of one budget.

use crate::Asked;
use lynxtally::{Instant, Span};
use lynxtally_messages::{BudgetReport, Lease};

/// A grant in force.
#[derive(Clone, Copy, Debug)]
struct InForce {
    version: u64,
    amount: u64,
    span: Span,
    until: Instant,
}

/// What was wanted and begun since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Things that were wanted, whether they were begun or not.
    pub wanted: u64,
    /// Things that were begun.
    pub begun: u64,
}

/// What was seen lately; the past fades.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// For how long, in seconds.
    time: f64,
    /// Units in use times seconds.
    used: f64,
    wanted: f64,
    begun: f64,
}

impl Seen {
    fn pass(&mut self, past: Span, in_use: f64, wanted: f64, begun: f64, over: Span) {
        let keep = (-past.secs() / over.secs().max(1e-6)).exp();
        self.time = self.time * keep + past.secs();
        self.used = self.used * keep + in_use * past.secs();
        self.wanted = self.wanted * keep + wanted;
        self.begun = self.begun * keep + begun;
    }

    /// The mean need: as many as were wanted, each for as long as one is in use (Little's law). What waits is no
    /// measure of it, as it grows while anything is lacked. One unit where nobody knows yet how long one is in use.
    fn need(&self) -> f64 {
        let least = if self.wanted > 0.0 && self.begun <= 0.0 { 1.0 } else { 0.0 };
        let mean = if self.time > 0.0 { self.used / self.time } else { 0.0 };
        let each = if self.begun > 0.0 { self.used / self.begun } else { 0.0 };
        let offered = if self.time > 0.0 { self.wanted * each / self.time } else { 0.0 };
        offered.max(mean).max(least)
    }
}

/// What may be used, and what is.
#[derive(Debug, Default)]
pub(crate) struct Share {
    grant: Option<InForce>,
    in_use: u64,
    counts: Counts,
    seen: Seen,
    last: Option<Instant>,
}

impl Share {
    pub fn amount(&self) -> u64 {
        self.grant.map_or(0, |grant| grant.amount)
    }

    pub fn until(&self) -> Option<Instant> {
        self.grant.map(|grant| grant.until)
    }

    pub fn span(&self) -> Option<Span> {
        self.grant.map(|grant| grant.span)
    }

    pub fn in_use(&self) -> u64 {
        self.in_use
    }

    /// Notes what is in use from now on, and the counts; true where more was wanted than begun since the last look.
    pub fn used(&mut self, now: Instant, in_use: u64, counts: Counts, over: Span) -> bool {
        let past = now - *self.last.get_or_insert(now);
        let before = std::mem::replace(&mut self.counts, counts);
        let wanted = counts.wanted.saturating_sub(before.wanted);
        let begun = counts.begun.saturating_sub(before.begun);
        self.seen.pass(past, self.in_use as f64, wanted as f64, begun as f64, over);
        (self.last, self.in_use) = (Some(now), in_use);
        wanted > begun
    }

    fn need(&mut self, now: Instant, over: Span) -> u64 {
        self.used(now, self.in_use, self.counts, over);
        // As a number of units in thousandths; what is no number, or too many, becomes the nearest.
        (self.seen.need() * 1000.0) as u64
    }

    /// What the next message says. From then on needs are noted anew.
    pub fn want(&mut self, now: Instant, over: Span, asked: &Asked, leaving: bool) -> BudgetReport {
        let need = self.need(now, over);
        BudgetReport {
            budget: asked.name.clone(),
            lease_version: self.grant.map_or(0, |grant| grant.version),
            in_use: self.in_use,
            demand_milliunits: if leaving { 0 } else { need },
            max_in_flight_us: asked.tail.micros(),
        }
    }

    /// A grant comes; true where the amount in force changes. One that is over before it came counts for nothing.
    pub fn grant(&mut self, now: Instant, grant: &Lease, until: Instant) -> bool {
        let before = self.amount();
        let span = Span::from_micros(grant.duration_us);
        let in_force = InForce { version: grant.version, amount: grant.amount, span, until };
        // A reply that took longer than the span leaves nothing in force, not even what was there before: the
        // register may have taken it that the newer one holds.
        self.grant = (now < until).then_some(in_force);
        self.amount() != before
    }

    /// Whether the grant's span is over now, so that nothing is in force any more that was.
    pub fn lapse(&mut self, now: Instant) -> bool {
        self.grant.take_if(|grant| grant.until <= now).is_some_and(|grant| grant.amount > 0)
    }

    /// Nothing is in force any more; true where something was.
    pub fn drop_grant(&mut self) -> bool {
        self.grant.take().is_some_and(|grant| grant.amount > 0)
    }
}
