//! Exponential backoff with jitter.

use lynxtally::{Pcg, Span};

/// The next delay is at most this many times the last one.
const MAX_GROWTH: f64 = 3.0;

/// Computes the delay before each retry. The delays grow with each failed attempt, and random jitter spreads the retries
/// of clients that failed at the same time. Source: M. Brooker, "Exponential Backoff And Jitter" (2015), the variant with
/// decorrelated jitter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backoff {
    min_delay: Span,
    max_delay: Span,
    last_delay: Span,
}

impl Backoff {
    /// Creates a backoff whose delays are between `min_delay` and `max_delay`.
    pub fn new(min_delay: Span, max_delay: Span) -> Self {
        Self { min_delay, max_delay, last_delay: min_delay }
    }

    /// Draws the delay before the next attempt.
    pub fn next_delay(&mut self, random: &mut Pcg) -> Span {
        let upper = (self.last_delay * MAX_GROWTH).max(self.min_delay);
        let delay = self.min_delay + (upper - self.min_delay) * random.unit();
        self.last_delay = delay.min(self.max_delay);
        self.last_delay
    }

    /// Restarts the growth of the delays, after an attempt has succeeded.
    pub fn reset(&mut self) {
        self.last_delay = self.min_delay;
    }
}
