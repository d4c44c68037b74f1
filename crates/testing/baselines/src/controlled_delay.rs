//! CoDel: when the request at the head of the queue has been older than a target for a whole interval, heads are dropped
//! at a rate that increases until the age falls below the target. Source: K. Nichols, V. Jacobson, "Controlling Queue
//! Delay" (2012).

use lynxtally::{Instant, Span};

/// Target for the age of the queue's head, as a fraction of the latency objective.
const TARGET_FRACTION: f64 = 0.05;
/// How long the head has to be older than the target before the first drop, as a fraction of the latency objective.
const INTERVAL_FRACTION: f64 = 0.2;

/// State of the CoDel algorithm for one queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlledDelay {
    target: Span,
    interval: Span,
    /// When the head of the queue was first seen above the target; `None` while it is below.
    above_target_since: Option<Instant>,
    /// Requests dropped since the head rose above the target; the square root of this number divides the drop interval.
    dropped: u32,
    /// Earliest time of the next drop.
    next_drop_at: Instant,
}

impl ControlledDelay {
    pub fn new(latency_objective: Span) -> Self {
        Self {
            target: latency_objective * TARGET_FRACTION,
            interval: latency_objective * INTERVAL_FRACTION,
            above_target_since: None,
            dropped: 0,
            next_drop_at: Instant::default(),
        }
    }

    /// Whether to drop the head of the queue, queued at `queued_at`, now. A drop is counted and schedules the next one.
    pub fn drops_head(&mut self, now: Instant, queued_at: Instant) -> bool {
        if now - queued_at < self.target {
            self.above_target_since = None;
            self.dropped = 0;
            return false;
        }
        let above_target_since = *self.above_target_since.get_or_insert(now);
        if now - above_target_since < self.interval || now < self.next_drop_at {
            return false;
        }
        self.dropped += 1;
        self.next_drop_at = now + self.interval * (1.0 / f64::from(self.dropped).sqrt());
        true
    }
}
