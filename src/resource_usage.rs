//! What tasks use where they are: plain sums, no choice.

use std::ops::{AddAssign, Sub};

/// What one task uses, or all of them together.
#[derive(Clone, Copy, Default)]
pub(crate) struct Load {
    /// Memory, in kilobytes.
    pub kb: f64,
    /// Demand, in cores.
    pub demand: f64,
    /// Tasks on the cores.
    pub on_cores: f64,
    /// Tasks that run, stand at a call or are paused.
    pub out: f64,
    /// Calls in hand.
    pub calling: f64,
    /// When each of them is over below at the latest, in seconds since the start, added up.
    pub calls_over: f64,
}

impl Load {
    fn with(self, other: Self, join: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            kb: join(self.kb, other.kb),
            demand: join(self.demand, other.demand),
            on_cores: join(self.on_cores, other.on_cores),
            out: join(self.out, other.out),
            calling: join(self.calling, other.calling),
            calls_over: join(self.calls_over, other.calls_over),
        }
    }
}

impl Sub for Load {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        self.with(other, |a, b| a - b)
    }
}

impl AddAssign for Load {
    fn add_assign(&mut self, other: Self) {
        *self = self.with(other, |a, b| a + b);
    }
}
