//! Points in time that come one after another: state, no choice.

use crate::time::Instant;
use std::collections::VecDeque;

/// Points in time, each no earlier than the one before.
#[derive(Default)]
pub(crate) struct Times(VecDeque<Instant>);

impl Times {
    /// Adds one. One that lies before the last counts as if it were that.
    pub fn add(&mut self, at: Instant) {
        let at = self.0.back().map_or(at, |last| at.max(*last));
        self.0.push_back(at);
    }

    /// How many lie after this one; the others are forgotten.
    pub fn after(&mut self, now: Instant) -> u64 {
        while self.0.pop_front_if(|at| *at <= now).is_some() {}
        self.0.len() as u64
    }
}
