//! The results of a simulation, and the measurements taken during it.

use crate::violations::Violations;
use lynxtally::{RequestClass, Span};

/// The results of a simulation. Requests created during the warm-up are left out of all fields except `violations`,
/// `peak_dependency_load` and `events`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Client requests created after the warm-up.
    pub requests: u64,
    /// Sum of the utilities of these requests.
    pub offered_utility: f64,
    /// Utility earned by results: the full utility within the latency objective, a fraction of it until the deadline.
    pub earned_utility: f64,
    /// Requests that got a result within their latency objective.
    pub within_objective: u64,
    /// Attempts that sidecars sent, including the first of each request.
    pub attempts: u64,
    /// Attempts that were rejected.
    pub rejected: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Mean time from the creation of a request to its result, in seconds.
    pub mean_latency: f64,
    /// 99th percentile of the same time, in seconds.
    pub latency_99: f64,
    /// Earned utility divided by offered utility, for the requests created in each second of the simulation.
    pub utility_ratio_by_second: Vec<f64>,
    /// Invariants that were violated, over the whole simulation.
    pub violations: Violations,
    /// Largest mean number of calls in flight at the dependency, divided by the limit on that mean.
    pub peak_dependency_load: f64,
    /// Number of events that were simulated.
    pub events: u64,
}

impl Outcome {
    /// Earned utility divided by offered utility.
    pub fn utility_ratio(&self) -> f64 {
        self.earned_utility / self.offered_utility.max(1e-9)
    }
}

/// Utility of the requests created in one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondUtility {
    earned: f64,
    offered: f64,
}

/// Collects the outcome while the simulation runs.
pub(crate) struct Measurements {
    pub outcome: Outcome,
    /// Latency of each result, in seconds.
    latencies: Vec<f32>,
    seconds: Vec<SecondUtility>,
}

impl Measurements {
    /// Creates empty measurements for a simulation in which requests arrive for `duration`.
    pub fn new(duration: Span) -> Self {
        let seconds = duration.secs().ceil() as usize + 1;
        Self {
            outcome: Outcome::default(),
            latencies: Vec::new(),
            seconds: vec![SecondUtility::default(); seconds],
        }
    }

    /// Records the creation of a request after the warm-up.
    pub fn record_created(&mut self, created_micros: u64, utility: f64) {
        self.outcome.requests += 1;
        self.outcome.offered_utility += utility;
        self.seconds[second_of(created_micros)].offered += utility;
    }

    /// Records the result of a request that was created after the warm-up.
    pub fn record_completed(&mut self, created_micros: u64, latency: Span, class: &RequestClass) {
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
        self.seconds[second_of(created_micros)].earned += earned;
        self.latencies.push(latency.secs() as f32);
    }

    /// Computes the outcome at the end of the simulation.
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
