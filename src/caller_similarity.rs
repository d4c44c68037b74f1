//! How likely two arrivals are of one caller: an estimate, no choice.

use std::collections::VecDeque;

/// So many arrivals are compared with each new one.
const KEPT: usize = 16;

/// The callers of the last arrivals, and how often two of them are one.
pub(crate) struct Likeness {
    last: VecDeque<u64>,
    pub alike: f64,
}

impl Likeness {
    /// As many send alike as there are callers.
    pub fn of(callers: u32) -> Self {
        Self { last: VecDeque::new(), alike: 1.0 / f64::from(callers.max(1)) }
    }

    /// An arrival's caller; it moves the estimate by this part. Two arrivals are of one caller as often as there
    /// are few of them.
    pub fn note(&mut self, caller: u64, gain: f64) {
        let alike = self.last.iter().filter(|&&known| known == caller).count() as f64;
        self.last.push_back(caller);
        if self.last.len() > KEPT {
            self.last.pop_front();
            self.alike += (alike / KEPT as f64 - self.alike) * gain;
        }
    }
}
