//! Counts items that expire, by their expiry times alone.

use crate::time::Instant;
use std::collections::VecDeque;

/// Expiry times in ascending order.
#[derive(Default)]
pub(crate) struct ExpirySet(VecDeque<Instant>);

impl ExpirySet {
    /// Adds an item that expires at `at`. If the latest item expires later, the new one expires together with it,
    /// which keeps the order.
    pub fn add(&mut self, at: Instant) {
        let at = self.0.back().map_or(at, |last| at.max(*last));
        self.0.push_back(at);
    }

    /// Counts the items that expire after `now` and drops the others.
    pub fn count_after(&mut self, now: Instant) -> u64 {
        while self.0.pop_front_if(|at| *at <= now).is_some() {}
        self.0.len() as u64
    }
}
