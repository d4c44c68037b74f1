//! What came of a run, and how it is measured while the run goes on.

use crate::violations::Violations;
use lynxtally::{RequestClass, Span};

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// The clients' requests that count.
    pub requests: u64,
    /// The utility that they offered.
    pub offered_utility: f64,
    /// The utility earned.
    pub earned_utility: f64,
    /// Requests with a result within their latency objective.
    pub within_objective: u64,
    /// Attempts.
    pub attempts: u64,
    /// Attempts that were rejected.
    pub rejected: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Seconds from a request's birth to its result, in the mean.
    pub mean_latency: f64,
    /// The same of the 99th percentile.
    pub latency_99: f64,
    /// Utility earned over utility offered, by second of birth.
    pub utility_ratio_by_second: Vec<f64>,
    /// Invariants that were violated.
    pub violations: Violations,
    /// The largest mean of calls under way to the dependency, over what it survives.
    pub peak_dependency_load: f64,
    /// Simulated events.
    pub events: u64,
}

impl Outcome {
    /// Utility earned over offered.
    pub fn utility_ratio(&self) -> f64 {
        self.earned_utility / self.offered_utility.max(1e-9)
    }
}

/// Utility of the requests born in one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondUtility {
    earned: f64,
    offered: f64,
}

/// The outcome as it builds up.
pub(crate) struct Measurements {
    pub outcome: Outcome,
    /// Latencies of results, in seconds.
    latencies: Vec<f32>,
    seconds: Vec<SecondUtility>,
}

impl Measurements {
    /// Nothing measured yet, of a run of this length.
    pub fn new(duration: Span) -> Self {
        let seconds = duration.secs().ceil() as usize + 1;
        Self {
            outcome: Outcome::default(),
            latencies: Vec::new(),
            seconds: vec![SecondUtility::default(); seconds],
        }
    }

    /// A request that counts was born.
    pub fn born(&mut self, at_micros: u64, utility: f64) {
        self.outcome.requests += 1;
        self.outcome.offered_utility += utility;
        self.seconds[second_of(at_micros)].offered += utility;
    }

    /// A request that counts has its result after so long.
    pub fn completed(&mut self, born_micros: u64, latency: Span, class: &RequestClass) {
        let within_objective = latency <= class.latency_objective;
        let earned = if within_objective {
            class.utility
        } else if latency <= class.deadline {
            class.utility * class.late_utility_fraction
        } else {
            0.0
        };
        self.outcome.earned_utility += earned;
        self.outcome.within_objective += u64::from(within_objective);
        self.seconds[second_of(born_micros)].earned += earned;
        self.latencies.push(latency.secs() as f32);
    }

    /// The outcome at the end of the run.
    pub fn finish(mut self) -> Outcome {
        self.latencies.sort_unstable_by(f32::total_cmp);
        let count = self.latencies.len().max(1);
        let sum = self.latencies.iter().map(|latency| f64::from(*latency)).sum::<f64>();
        self.outcome.mean_latency = sum / count as f64;
        let rank_99 = (count as f64 * 0.99) as usize;
        self.outcome.latency_99 = self.latencies.get(rank_99).map_or(0.0, |latency| f64::from(*latency));
        let service =
            |second: &SecondUtility| if second.offered > 0.0 { second.earned / second.offered } else { 0.0 };
        self.outcome.utility_ratio_by_second = self.seconds.iter().map(service).collect();
        self.outcome
    }
}

fn second_of(micros: u64) -> usize {
    (micros / 1_000_000) as usize
}
