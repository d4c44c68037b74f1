//! A set of things known only by when they expire.

use crate::time::Instant;
use std::collections::VecDeque;

/// Expiry times in ascending order.
#[derive(Default)]
pub(crate) struct ExpirySet(VecDeque<Instant>);

impl ExpirySet {
    /// Adds one that expires at `at`, or with the latest already there if that is later.
    pub fn add(&mut self, at: Instant) {
        let at = self.0.back().map_or(at, |last| at.max(*last));
        self.0.push_back(at);
    }

    /// How many expire after `now`; the others are dropped.
    pub fn count_after(&mut self, now: Instant) -> u64 {
        while self.0.pop_front_if(|at| *at <= now).is_some() {}
        self.0.len() as u64
    }
}
