//! The phi accrual failure detector: how regularly a member is heard, and how unlikely its present silence is.
//!
//! Source: N. Hayashibara, X. Défago, R. Yared, T. Katayama, "The Phi Accrual Failure Detector" (2004). Phi is the power
//! of ten of the chance that a normal interval would be longer. Here mean and variance fade, so that a member whose
//! intervals change is learned anew.

use lynxtally::{Instant, Span};

/// What one interval moves the learned mean and variance.
const GAIN: f64 = 1.0 / 8.0;
/// Until so many intervals were seen, the deviation is taken for half the mean at least.
const MIN_INTERVALS: u32 = 4;
/// An interval counts as no longer than so many means: one long silence must not teach that silence is usual.
const MAX_INTERVAL_MEANS: f64 = 4.0;

/// What is learned of one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PhiAccrualDetector {
    last_heartbeat: Instant,
    /// Of the intervals, in seconds.
    mean_secs: f64,
    variance: f64,
    intervals: u32,
    /// Seconds of silence that were not the member's.
    discounted_secs: f64,
}

impl PhiAccrualDetector {
    /// Nothing is known yet.
    pub fn new(now: Instant) -> Self {
        Self { last_heartbeat: now, mean_secs: 0.0, variance: 0.0, intervals: 0, discounted_secs: 0.0 }
    }

    /// The member was heard.
    pub fn record_heartbeat(&mut self, now: Instant) {
        let interval = self.silence(now).secs();
        self.last_heartbeat = self.last_heartbeat.max(now);
        self.discounted_secs = 0.0;
        if interval <= 0.0 {
            return; // Two at once tell nothing of the intervals.
        }
        if self.intervals == 0 {
            self.mean_secs = interval;
            self.variance = interval * interval / 4.0;
        } else {
            let interval = interval.min(self.mean_secs * MAX_INTERVAL_MEANS);
            let deviation = interval - self.mean_secs;
            self.mean_secs += deviation * GAIN;
            self.variance += (deviation * deviation - self.variance) * GAIN;
        }
        self.intervals = self.intervals.saturating_add(1);
    }

    /// So much of the silence was not the member's, as the observer itself paused.
    pub fn discount_pause(&mut self, pause: Span) {
        self.discounted_secs += pause.secs();
    }

    /// The mean interval.
    pub fn mean_interval(&self) -> Span {
        Span::from_secs(self.mean_secs)
    }

    /// For how long it is silent.
    pub fn silence(&self, now: Instant) -> Span {
        Span::from_secs(((now - self.last_heartbeat).secs() - self.discounted_secs).max(0.0))
    }

    /// How unlikely its silence is, as a power of ten. The deviation counts as `min_deviation` at least: intervals that
    /// are all alike are no proof that the next one is.
    pub fn phi(&self, now: Instant, min_deviation: Span) -> f64 {
        if self.intervals == 0 {
            return 0.0; // A member that was heard once has no interval yet.
        }
        let early_deviation = if self.intervals < MIN_INTERVALS { self.mean_secs / 2.0 } else { 0.0 };
        let deviation = self.variance.sqrt().max(min_deviation.secs()).max(early_deviation).max(1e-6);
        let y = (self.silence(now).secs() - self.mean_secs) / deviation;
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
