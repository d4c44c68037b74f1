//! CoDel: what waited too long for a whole interval is dropped at the head of the queue, ever faster. Source: K. Nichols,
//! V. Jacobson, "Controlling Queue Delay" (2012).

use lynxtally::{Instant, Span};

/// The age that the queue is held to, as a fraction of the latency objective.
const TARGET: f64 = 0.05;
/// The interval, as a fraction of the latency objective.
const INTERVAL: f64 = 0.2;

/// The state of the rule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlledDelay {
    target: Span,
    interval: Span,
    /// Since when the head of the queue is too old.
    late_since: Option<Instant>,
    /// How many were dropped for it.
    dropped: u32,
    /// When the next one is.
    drop_at: Instant,
}

impl ControlledDelay {
    pub fn new(latency_objective: Span) -> Self {
        Self {
            target: latency_objective * TARGET,
            interval: latency_objective * INTERVAL,
            late_since: None,
            dropped: 0,
            drop_at: Instant::default(),
        }
    }

    /// Whether the head of the queue, which waits since then, is to be dropped now.
    pub fn drops_head(&mut self, now: Instant, waits_since: Instant) -> bool {
        if now - waits_since < self.target {
            self.late_since = None;
            self.dropped = 0;
            return false;
        }
        let late_since = *self.late_since.get_or_insert(now);
        if now - late_since < self.interval || now < self.drop_at {
            return false;
        }
        self.dropped += 1;
        self.drop_at = now + self.interval * (1.0 / f64::from(self.dropped).sqrt());
        true
    }
}
