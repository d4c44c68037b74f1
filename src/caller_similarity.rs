//! Estimates how likely two arrivals come from the same caller.

use std::collections::VecDeque;

/// Each arrival is compared with this many arrivals before it.
const COMPARED_ARRIVALS: usize = 16;

/// The callers of recent arrivals, and the estimated probability that two arrivals have the same caller.
pub(crate) struct CallerSimilarity {
    recent_callers: VecDeque<u64>,
    same_caller_probability: f64,
}

impl CallerSimilarity {
    /// Starts from the probability that holds if `callers` callers send equally often.
    pub fn new(callers: u32) -> Self {
        let same_caller_probability = 1.0 / f64::from(callers.max(1));
        Self { recent_callers: VecDeque::new(), same_caller_probability }
    }

    /// The probability, from 0 to 1, that two arrivals have the same caller: high if few callers send.
    pub fn same_caller_probability(&self) -> f64 {
        self.same_caller_probability
    }

    /// Updates the estimate with an arrival's caller; `gain` is the weight of the new sample.
    pub fn observe(&mut self, caller: u64, gain: f64) {
        let matches = self.recent_callers.iter().filter(|&&known| known == caller).count() as f64;
        self.recent_callers.push_back(caller);
        if self.recent_callers.len() > COMPARED_ARRIVALS {
            self.recent_callers.pop_front();
            let observed = matches / COMPARED_ARRIVALS as f64;
            self.same_caller_probability += (observed - self.same_caller_probability) * gain;
        }
    }
}
