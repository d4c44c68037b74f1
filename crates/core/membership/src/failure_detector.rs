//! The phi accrual failure detector, which learns the intervals between a member's heartbeats and computes how unlikely
//! its current silence is.
//!
//! Source: N. Hayashibara, X. Défago, R. Yared, T. Katayama, "The Phi Accrual Failure Detector" (2004). Phi is
//! -log10(p), where p is the probability that a normally distributed interval is longer than the silence. Unlike in the
//! paper, mean and variance are exponentially weighted, so that they adapt when a member's intervals change.

use lynxtally::{Instant, Span};

/// The weight of one interval in the learned mean and variance.
const GAIN: f64 = 1.0 / 8.0;
/// Until this many intervals have been observed, the standard deviation counts as at least half the mean.
const MIN_INTERVALS: u32 = 4;
/// An interval counts as at most this many times the mean, so that one long silence does not make later silences look
/// normal.
const MAX_INTERVAL_MEANS: f64 = 4.0;

/// The failure detector of one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PhiAccrualDetector {
    last_heartbeat: Instant,
    /// The mean interval, in seconds.
    mean_secs: f64,
    /// The variance of the intervals, in seconds squared.
    variance: f64,
    /// The number of intervals observed so far.
    intervals: u32,
    /// Seconds of the current silence that are not counted, because the observer was paused.
    discounted_secs: f64,
}

impl PhiAccrualDetector {
    /// Creates a detector that has not learned any interval yet.
    pub fn new(now: Instant) -> Self {
        Self { last_heartbeat: now, mean_secs: 0.0, variance: 0.0, intervals: 0, discounted_secs: 0.0 }
    }

    /// Records a heartbeat of the member.
    pub fn record_heartbeat(&mut self, now: Instant) {
        let interval = self.silence(now).secs();
        self.last_heartbeat = self.last_heartbeat.max(now);
        self.discounted_secs = 0.0;
        if interval <= 0.0 {
            return; // A second heartbeat at the same time gives no interval.
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

    /// Excludes a time in which the observer was paused from the current silence.
    pub fn discount_pause(&mut self, pause: Span) {
        self.discounted_secs += pause.secs();
    }

    /// The learned mean interval between heartbeats.
    pub fn mean_interval(&self) -> Span {
        Span::from_secs(self.mean_secs)
    }

    /// The time since the last heartbeat, without pauses of the observer.
    pub fn silence(&self, now: Instant) -> Span {
        Span::from_secs(((now - self.last_heartbeat).secs() - self.discounted_secs).max(0.0))
    }

    /// Phi: how unlikely the current silence is, as -log10 of its probability. The standard deviation of the intervals
    /// counts as at least `min_deviation`, because equal intervals so far do not guarantee that the next one is equal.
    pub fn phi(&self, now: Instant, min_deviation: Span) -> f64 {
        if self.intervals == 0 {
            return 0.0; // After a single heartbeat no interval is known.
        }
        let early_deviation = if self.intervals < MIN_INTERVALS { self.mean_secs / 2.0 } else { 0.0 };
        let deviation = self.variance.sqrt().max(min_deviation.secs()).max(early_deviation).max(1e-6);
        let y = (self.silence(now).secs() - self.mean_secs) / deviation;
        // Logistic approximation of the tail of the normal distribution.
        let exponent = y * (1.5976 + 0.070566 * y * y);
        if exponent > 0.0 {
            // Equals -log10(e / (1 + e)) with e = exp(-exponent), without underflow for a large exponent.
            (exponent + (-exponent).exp().ln_1p()) / std::f64::consts::LN_10
        } else {
            exponent.exp().ln_1p() / std::f64::consts::LN_10
        }
    }
}
