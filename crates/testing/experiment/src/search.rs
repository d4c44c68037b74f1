//! Searches for the scenario on which the first policy loses most against the best of the others: hill climbing with
//! restarts. The search varies the load, the load balancing, the retry budget and the script of faults. Faults that the loss
//! doesn't depend on are then removed. A scenario in which service stays low after the faults have ended is marked as a
//! metastable failure. *Service* is [`crate::Record::service`], the earned fraction of the offered utility; *loss* is
//! [`FoundScenario::loss`].

use crate::spec::{Cell, Script, Spec, StepSpec};
use crate::stats::bootstrap_interval;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::{Mutex, PoisonError};

/// The worst scenario that one climb has found.
#[derive(Clone, Debug)]
pub struct FoundScenario {
    /// Offered load, as a fraction of the capacity of all cores.
    pub load: f64,
    /// Load balancing of the sidecars, by its name in experiment files.
    pub balancing: String,
    /// Successful requests that earn one retry; 0 means that retries have no budget.
    pub successes_per_retry: u32,
    /// The faults.
    pub fault_steps: Vec<StepSpec>,
    /// Mean service of the first policy over all seeds.
    pub service: f64,
    /// Name and mean service of the best of the other policies.
    pub best_other: (String, f64),
    /// Service of the first policy in the last fifth of the run, divided by its service before the first fault. `None` if there
    /// were no faults, or they had not all ended by then.
    pub recovery_ratio: Option<f64>,
}

impl FoundScenario {
    /// Difference between the service of the best other policy and that of the first one.
    pub fn loss(&self) -> f64 {
        self.best_other.1 - self.service
    }

    /// Whether service stays low after the faults have ended.
    pub fn metastable(&self) -> bool {
        self.recovery_ratio.is_some_and(|ratio| ratio < METASTABLE_RATIO)
    }
}

/// Service below this fraction of the service before the faults counts as a metastable failure.
const METASTABLE_RATIO: f64 = 0.7;
/// When a script is minimized, a fault is removed if the loss shrinks by at most this fraction without it.
const TOLERATED_LOSS_REDUCTION: f64 = 0.1;
/// Maximum number of fault episodes in a candidate.
const MAX_EPISODES: usize = 4;
/// Names of the faults that episodes start with.
const FAULTS: [&str; 4] = ["crash", "slow", "leave", "deaf"];

/// A point of the search space.
#[derive(Clone, Debug)]
struct Candidate {
    load: f64,
    /// Index in [`BALANCINGS`].
    balancing: usize,
    successes_per_retry: u32,
    /// Faults that each end before the run does.
    episodes: Vec<FaultEpisode>,
}

/// A fault that starts and ends during the run. Times are in seconds.
#[derive(Clone, Copy, Debug)]
struct FaultEpisode {
    start_s: f64,
    duration_s: f64,
    from_fraction: f64,
    node_fraction: f64,
    /// Index in [`FAULTS`].
    fault: usize,
    /// Remaining fraction of the speed if the fault is `slow`.
    slow_speed: f64,
}

/// Names of the load balancing algorithms that are searched.
const BALANCINGS: [&str; 4] = ["two", "round-robin", "random", "least"];
/// Retry budgets that are searched; 0 means that retries have no budget.
const SUCCESSES_PER_RETRY: [u32; 3] = [5, 20, 0];

impl FaultEpisode {
    /// Draws an episode that starts in the first half of the measured time.
    fn draw(spec: &Spec, random: &mut Pcg64Mcg) -> Self {
        let measured_s = spec.duration_s - spec.warm_up_s;
        Self {
            start_s: spec.warm_up_s + measured_s * random.random_range(0.05..0.45),
            duration_s: measured_s * random.random_range(0.05..0.3),
            from_fraction: random.random_range(0.0..0.6),
            node_fraction: random.random_range(0.1..0.6),
            fault: random.random_range(0..FAULTS.len()),
            slow_speed: random.random_range(0.05..0.7),
        }
    }

    /// The faults that start and end the episode, as steps of a script.
    fn steps(&self) -> Vec<StepSpec> {
        let step = |at_s: f64, fault: &str, value: f64| StepSpec {
            at_s,
            node_fraction: self.node_fraction,
            from_fraction: self.from_fraction,
            fault: fault.to_owned(),
            value,
        };
        let end_s = self.start_s + self.duration_s;
        match FAULTS[self.fault] {
            "crash" => vec![step(self.start_s, "crash", 0.0), step(end_s, "restart", 0.0)],
            "slow" => vec![step(self.start_s, "slow", self.slow_speed), step(end_s, "slow", 1.0)],
            "leave" => vec![step(self.start_s, "leave", self.duration_s / 2.0), step(end_s, "restart", 0.0)],
            _ => vec![step(self.start_s, "deaf", 0.0), step(end_s, "mended", 0.0)],
        }
    }
}

impl Candidate {
    fn draw(spec: &Spec, random: &mut Pcg64Mcg) -> Self {
        let (low, high) = load_range(spec);
        let count = random.random_range(0..=2);
        Self {
            load: random.random_range(low..=high),
            balancing: random.random_range(0..BALANCINGS.len()),
            successes_per_retry: SUCCESSES_PER_RETRY[random.random_range(0..SUCCESSES_PER_RETRY.len())],
            episodes: (0..count).map(|_| FaultEpisode::draw(spec, random)).collect(),
        }
    }

    /// A copy with one property changed at random.
    fn neighbor(&self, spec: &Spec, random: &mut Pcg64Mcg) -> Self {
        let mut next = self.clone();
        let (low, high) = load_range(spec);
        match random.random_range(0..6) {
            0 | 1 => next.load = (next.load * random.random_range(0.8..1.25)).clamp(low, high),
            2 => next.balancing = random.random_range(0..BALANCINGS.len()),
            3 => {
                next.successes_per_retry =
                    SUCCESSES_PER_RETRY[random.random_range(0..SUCCESSES_PER_RETRY.len())]
            }
            4 if next.episodes.len() < MAX_EPISODES => next.episodes.push(FaultEpisode::draw(spec, random)),
            _ if !next.episodes.is_empty() => {
                let index = random.random_range(0..next.episodes.len());
                next.episodes[index] = FaultEpisode::draw(spec, random);
            }
            _ => next.episodes.push(FaultEpisode::draw(spec, random)),
        }
        next
    }

    /// Runs all policies on the scenario of the candidate, with all seeds.
    fn evaluate(&self, spec: &Spec) -> FoundScenario {
        let mut candidate_spec = spec.clone();
        candidate_spec.balancing = BALANCINGS[self.balancing].to_owned();
        candidate_spec.successes_per_retry = self.successes_per_retry;
        let steps: Vec<StepSpec> = self.episodes.iter().flat_map(FaultEpisode::steps).collect();
        candidate_spec.scripts = vec![Script { name: "found".to_owned(), steps: steps.clone() }];
        let run = |policy: &str, seed: u64| {
            let (policy, script) = (policy.to_owned(), "found".to_owned());
            crate::run(&candidate_spec, &Cell { policy, nodes: spec.nodes[0], load: self.load, script, seed })
        };
        let mean_service = |policy: &str| {
            let services: Vec<f64> = spec.seeds.iter().map(|seed| run(policy, *seed).service).collect();
            services.iter().sum::<f64>() / services.len() as f64
        };
        let records: Vec<_> = spec.seeds.iter().map(|seed| run(&spec.policies[0], *seed)).collect();
        let service = records.iter().map(|record| record.service).sum::<f64>() / records.len() as f64;
        let others = spec.policies[1..].iter().map(|policy| (policy.clone(), mean_service(policy)));
        let best_other =
            others.max_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or_else(|| ("none".to_owned(), 0.0));
        let first_start = self.episodes.iter().map(|episode| episode.start_s).fold(f64::INFINITY, f64::min);
        let last_end =
            self.episodes.iter().map(|episode| episode.start_s + episode.duration_s).fold(0.0, f64::max);
        let mean = |from: f64, to: f64| {
            let seconds = (from.ceil() as usize)..(to.floor().max(0.0) as usize);
            let all: Vec<f64> = records
                .iter()
                .flat_map(|record| record.service_by_second.get(seconds.clone()).unwrap_or(&[]).to_vec())
                .collect();
            (!all.is_empty()).then(|| bootstrap_interval(&all).mean)
        };
        let last_fifth_start = spec.duration_s - (spec.duration_s - spec.warm_up_s) / 5.0;
        let before = mean(spec.warm_up_s, first_start.min(spec.duration_s));
        let recovery_ratio = before
            .zip(mean(last_fifth_start, spec.duration_s))
            .map(|(before, after)| after / before.max(1e-9));
        let recovery_ratio = recovery_ratio.filter(|_| last_end > 0.0 && last_end < last_fifth_start);
        FoundScenario {
            load: self.load,
            balancing: candidate_spec.balancing.clone(),
            successes_per_retry: self.successes_per_retry,
            fault_steps: steps,
            service,
            best_other,
            recovery_ratio,
        }
    }
}

fn load_range(spec: &Spec) -> (f64, f64) {
    let low = spec.loads.iter().copied().fold(f64::INFINITY, f64::min);
    let high = spec.loads.iter().copied().fold(0.0, f64::max);
    (low, high)
}

/// Climbs from `starts` random candidates with `steps` steps each, and calls `on_found` with the result of each climb. Returns
/// the results with the largest loss first; they depend on the seed but not on the number of threads.
pub fn search(
    spec: &Spec,
    starts: usize,
    steps: usize,
    seed: u64,
    threads: usize,
    on_found: impl Fn(&FoundScenario) + Sync,
) -> Vec<FoundScenario> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let found: Vec<Mutex<Option<FoundScenario>>> = (0..starts).map(|_| Mutex::new(None)).collect();
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let start = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some(slot) = found.get(start) else { return };
                let best = climb(spec, steps, seed.wrapping_add(start as u64));
                on_found(&best);
                *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(best);
            });
        }
    });
    let slots = found.into_iter().map(|slot| slot.into_inner().unwrap_or_else(PoisonError::into_inner));
    let mut all: Vec<FoundScenario> = slots.flatten().collect();
    all.sort_by(|a, b| b.loss().total_cmp(&a.loss()));
    all
}

/// Hill climbing from a random candidate: of `steps` neighbors, moves to each one with a larger loss. Then removes the faults
/// that the loss doesn't depend on.
fn climb(spec: &Spec, steps: usize, seed: u64) -> FoundScenario {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut candidate = Candidate::draw(spec, &mut random);
    let mut best = candidate.evaluate(spec);
    for _ in 0..steps {
        let other = candidate.neighbor(spec, &mut random);
        let evaluated = other.evaluate(spec);
        if evaluated.loss() > best.loss() {
            (candidate, best) = (other, evaluated);
        }
    }
    // Removes each episode without which most of the loss remains (see TOLERATED_LOSS_REDUCTION).
    let mut index = 0;
    while index < candidate.episodes.len() {
        let mut other = candidate.clone();
        other.episodes.remove(index);
        let evaluated = other.evaluate(spec);
        if evaluated.loss() >= best.loss() * (1.0 - TOLERATED_LOSS_REDUCTION) {
            (candidate, best) = (other, evaluated);
        } else {
            index += 1;
        }
    }
    best
}
