//! The receive delay: how long requests wait on this machine before they are read.

use crate::time::Span;

/// An exponential moving average of the receive delay, which decays while no requests arrive.
pub(crate) struct ReceiveDelay {
    secs: f64,
    /// Time constant of the decay, in seconds.
    decay_secs: f64,
}

impl ReceiveDelay {
    /// Starts without a delay.
    pub fn new(decay_secs: f64) -> Self {
        Self { secs: 0.0, decay_secs }
    }

    /// The mean delay, in seconds.
    pub fn secs(&self) -> f64 {
        self.secs
    }

    /// Decays the mean by the time that passed.
    pub fn advance(&mut self, elapsed_secs: f64) {
        self.secs *= (-elapsed_secs / self.decay_secs).exp();
    }

    /// Updates the mean with an arrival's delay; `gain` is the weight of the new sample.
    pub fn observe(&mut self, delay: Span, gain: f64) {
        self.secs += (delay.secs() - self.secs) * gain;
    }
}
