//! The resources that requests use in their states.

use std::ops::{AddAssign, Sub};

/// The usage of one request, or the sum over all requests.
#[derive(Clone, Copy, Default)]
pub(crate) struct ResourceUsage {
    /// Memory, in kilobytes.
    pub memory_kb: f64,
    /// Demand of the requests on the cores, in cores.
    pub demand: f64,
    /// Requests on the cores.
    pub running: f64,
    /// Requests that were started and have not ended: on the cores, waiting for a call or calling.
    pub started: f64,
    /// Downstream calls in flight.
    pub calls: f64,
    /// Sum over those calls of the latest time at which each ends downstream, in seconds since the policy's start.
    pub call_end_secs: f64,
}

impl ResourceUsage {
    fn combine(self, other: Self, operation: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            memory_kb: operation(self.memory_kb, other.memory_kb),
            demand: operation(self.demand, other.demand),
            running: operation(self.running, other.running),
            started: operation(self.started, other.started),
            calls: operation(self.calls, other.calls),
            call_end_secs: operation(self.call_end_secs, other.call_end_secs),
        }
    }
}

impl Sub for ResourceUsage {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        self.combine(other, |a, b| a - b)
    }
}

impl AddAssign for ResourceUsage {
    fn add_assign(&mut self, other: Self) {
        *self = self.combine(other, |a, b| a + b);
    }
}
