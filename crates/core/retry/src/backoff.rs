//! Exponential backoff with jitter.

use lynxtally::{Pcg, Span};

/// The next delay is drawn up to so many times the last one.
const MAX_GROWTH: f64 = 3.0;

/// How long to wait before the next attempt: longer each time, and not the same for many that failed together, so that
/// they do not come back together. Source: M. Brooker, "Exponential Backoff And Jitter" (2015), the decorrelated form.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backoff {
    min_delay: Span,
    max_delay: Span,
    last_delay: Span,
}

impl Backoff {
    /// Delays of at least `min_delay` and never longer than `max_delay`.
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

    /// An attempt succeeded: the next delay is a first one again.
    pub fn reset(&mut self) {
        self.last_delay = self.min_delay;
    }
}
