//! How regularly a member is heard, and how unlikely its present silence is. Source: N. Hayashibara, X. Défago, R. Yared,
//! T. Katayama, "The Phi Accrual Failure Detector" (2004): phi is the power of ten of the chance that a normal interval
//! would be longer; here mean and spread fade, so that a member whose habits change is learned anew.

use lynxtally::{Instant, Span};

/// What one interval moves the learned mean and spread.
const GAIN: f64 = 1.0 / 8.0;
/// Before so many intervals were seen, the spread is taken for half the mean at least.
const SEEN: u32 = 4;

/// The habits of one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Habit {
    last: Instant,
    mean: f64,
    variance: f64,
    seen: u32,
    /// Silence that was not the member's.
    excused: f64,
}

impl Habit {
    /// Nothing is known yet.
    pub fn new(now: Instant) -> Self {
        Self { last: now, mean: 0.0, variance: 0.0, seen: 0, excused: 0.0 }
    }

    /// It was heard.
    pub fn heard(&mut self, now: Instant) {
        let interval = self.silence(now).secs();
        (self.last, self.excused) = (self.last.max(now), 0.0);
        if interval <= 0.0 {
            return; // Two at once tell nothing of a habit.
        }
        if self.seen == 0 {
            (self.mean, self.variance) = (interval, interval * interval / 4.0);
        } else {
            // One long silence must not teach that silence is usual.
            let interval = interval.min(self.mean * 4.0);
            let off = interval - self.mean;
            self.mean += off * GAIN;
            self.variance += (off * off - self.variance) * GAIN;
        }
        self.seen = self.seen.saturating_add(1);
    }

    /// So much of the silence was not the member's.
    pub fn excuse(&mut self, span: Span) {
        self.excused += span.secs();
    }

    /// The usual time between two words of it.
    pub fn usual(&self) -> Span {
        Span::from_secs(self.mean)
    }

    /// For how long it is silent.
    pub fn silence(&self, now: Instant) -> Span {
        Span::from_secs(((now - self.last).secs() - self.excused).max(0.0))
    }

    /// How unlikely its silence is, as a power of ten.
    pub fn phi(&self, now: Instant, least_spread: Span) -> f64 {
        if self.seen == 0 {
            return 0.0; // Who was heard once has no habit yet.
        }
        let least = if self.seen < SEEN { self.mean / 2.0 } else { 0.0 };
        let spread = self.variance.sqrt().max(least_spread.secs()).max(least).max(1e-6);
        let y = (self.silence(now).secs() - self.mean) / spread;
        // The tail of the normal distribution by the logistic curve that follows it.
        let exponent = y * (1.5976 + 0.070566 * y * y);
        if exponent > 0.0 {
            // The same as -log10(e / (1 + e)) with e = exp(-exponent), where that would run out of digits.
            (exponent + (-exponent).exp().ln_1p()) / std::f64::consts::LN_10
        } else {
            exponent.exp().ln_1p() / std::f64::consts::LN_10
        }
    }
}
