//! The choices about trying again, without I/O: a budget of repeats paid by successes ([`Budget`]), the wait before a
//! repeat ([`Backoff`]), and whom to leave out for a while after failures in a row ([`Outliers`]).

#![forbid(unsafe_code)]

use lynxtally::{Instant, Pcg, Span};

/// A budget of repeats. While all is well it is full; when much fails, repeats are no more than a part of what succeeds,
/// so that they can't keep an overload alive by themselves.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    successes: u32,
    price: u32,
    most: u32,
}

impl Budget {
    /// So many successes pay for a repeat; no more than `most` repeats are saved up, and so many there are at first.
    pub fn new(price: u32, most: u32) -> Self {
        let most = price.saturating_mul(most);
        Self { successes: most, price, most }
    }

    /// Something ended well.
    pub fn succeeded(&mut self) {
        self.successes = (self.successes + 1).min(self.most);
    }

    /// Whether there is enough for a repeat.
    pub fn allows(&self) -> bool {
        self.successes >= self.price
    }

    /// Pays for a repeat; false where there is not enough.
    pub fn pay(&mut self) -> bool {
        let may = self.allows();
        self.successes -= if may { self.price } else { 0 };
        may
    }
}

/// How long to wait before the next try: longer each time, never twice the same for many that failed together. Source:
/// M. Brooker, "Exponential Backoff And Jitter" (2015), the decorrelated form.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backoff {
    first: Span,
    most: Span,
    last: Span,
}

/// The next wait is drawn up to so many times the last one.
const SPREAD: f64 = 3.0;

impl Backoff {
    /// At least `first`, and never longer than `most`.
    pub fn new(first: Span, most: Span) -> Self {
        Self { first, most, last: first }
    }

    /// The wait before the next try.
    pub fn next(&mut self, chance: &mut Pcg) -> Span {
        let top = (self.last * SPREAD).max(self.first);
        let wait = self.first + (top - self.first) * chance.unit();
        self.last = wait.min(self.most);
        self.last
    }

    /// It went well: the next wait is a first one again.
    pub fn reset(&mut self) {
        self.last = self.first;
    }
}

/// What leaving out is held to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierLimits {
    /// So many failures in a row leave one out.
    pub failures: u32,
    /// For so long the first time; twice as long each time again.
    pub out: Span,
    /// And no longer than this.
    pub out_most: Span,
    /// No more than this share is left out at once.
    pub share: f64,
    /// One that came back is on trial until so many ended well.
    pub proven: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct One {
    failures: u32,
    times_out: u32,
    out_until: Option<Instant>,
    /// Successes that are still wanted before it is trusted as the others are.
    proving: u32,
}

/// Whom to leave out. Where many fail together it is not theirs alone: never more than a share is left out.
#[derive(Clone, Debug)]
pub struct Outliers {
    limits: OutlierLimits,
    all: Vec<One>,
}

impl Outliers {
    /// So many, all well.
    pub fn new(count: usize, limits: OutlierLimits) -> Self {
        Self { limits, all: vec![One::default(); count] }
    }

    /// Whether one is left out now.
    pub fn out(&self, now: Instant, n: usize) -> bool {
        self.all[n].out_until.is_some_and(|until| until > now)
    }

    /// Whether one is on trial: it is to be given little.
    pub fn on_trial(&self, n: usize) -> bool {
        self.all[n].proving > 0
    }

    /// Something of one's ended well.
    pub fn succeeded(&mut self, n: usize) {
        let one = &mut self.all[n];
        one.failures = 0;
        one.proving = one.proving.saturating_sub(1);
        if one.proving == 0 {
            (one.times_out, one.out_until) = (0, None);
        }
    }

    /// Something of one's failed; tells whether it is left out from now on.
    pub fn failed(&mut self, now: Instant, n: usize) -> bool {
        let left_out = (0..self.all.len()).filter(|n| self.out(now, *n)).count();
        let may = ((left_out + 1) as f64) <= self.all.len() as f64 * self.limits.share;
        let OutlierLimits { failures, out, out_most, proven, .. } = self.limits;
        let one = &mut self.all[n];
        one.failures += 1;
        // One on trial has no second chance.
        if !may || (one.failures < failures && one.proving == 0) {
            return false;
        }
        let span = (out * f64::from(1_u32 << one.times_out.min(16))).min(out_most);
        (one.out_until, one.failures, one.proving) = (Some(now + span), 0, proven);
        one.times_out += 1;
        true
    }
}
