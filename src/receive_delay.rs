//! How long requests lie on this machine before they are read: a moving average that fades without arrivals.

use crate::time::Span;

/// The mean receive delay.
pub(crate) struct ReceiveDelay {
    secs: f64,
    /// How long the estimate lasts without arrivals, in seconds.
    memory_secs: f64,
}

impl ReceiveDelay {
    /// Begins without a delay.
    pub fn new(memory_secs: f64) -> Self {
        Self { secs: 0.0, memory_secs }
    }

    /// The mean delay, in seconds.
    pub fn secs(&self) -> f64 {
        self.secs
    }

    /// Lets time pass.
    pub fn advance(&mut self, elapsed_secs: f64) {
        self.secs *= (-elapsed_secs / self.memory_secs).exp();
    }

    /// Takes in an arrival's delay, which moves the mean by the fraction `gain`.
    pub fn observe(&mut self, delay: Span, gain: f64) {
        self.secs += (delay.secs() - self.secs) * gain;
    }
}
