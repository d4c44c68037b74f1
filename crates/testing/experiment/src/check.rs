//! Validates the simulator against closed-form results of queueing theory. Run these checks after a change of the simulator:
//! each compares a simulated value with its closed form and has a tolerance for the relative error.

use lynxtally::{Effect, RequestClass, Settings, Span};
use lynxtally_baselines::{Baseline, BaselineConfig, BaselineKind};
use lynxtally_simulator::cores::MachineModel;
use lynxtally_simulator::outcome::Outcome;
use lynxtally_simulator::scenario::{
    unconstrained_settings, BoxedScheduler, ClassLoad, Fault, FaultStep, Scenario,
};
use lynxtally_simulator::sidecar::{LoadBalancing, RetryPolicy};
use lynxtally_simulator::work_distribution::WorkDistribution;
use lynxtally_simulator::world::World;

/// Mean work per request, in seconds.
const MEAN_WORK_S: f64 = 0.01;

/// A simulated value and its closed form.
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    /// The model, its parameters and the quantity that is compared.
    pub name: String,
    /// The value of the closed form.
    pub expected: f64,
    /// The simulated value.
    pub simulated: f64,
    /// The largest relative error that passes; 0.05 is 5 %.
    pub tolerance: f64,
}

impl Check {
    /// The relative error of the simulated value.
    pub fn error(&self) -> f64 {
        (self.simulated / self.expected - 1.0).abs()
    }

    /// Whether the relative error is within the tolerance.
    pub fn passes(&self) -> bool {
        self.error() <= self.tolerance
    }
}

/// A fleet without faults, retries, crowding or link delay, whose latency objective and deadline are too long to matter.
fn scenario(
    nodes: usize,
    cores: u32,
    load: f64,
    distribution: WorkDistribution,
    balancing: LoadBalancing,
) -> Scenario {
    let class = RequestClass {
        utility: 1.0,
        late_utility_fraction: 1.0,
        latency_objective: Span::from_secs(50.0),
        deadline: Span::from_secs(100.0),
        effect: Effect::Idempotent,
        deduplication_window: Span::ZERO,
        calls_downstream: false,
        degraded_utility_fraction: 0.0,
    };
    Scenario {
        nodes,
        machine: MachineModel {
            cores,
            crowding_threshold: 1e9,
            crowding_slope: 0.0,
            cold_speed: 1.0,
            warmup_time: Span::from_millis(1),
        },
        settings: unconstrained_settings(cores, vec![class.clone()], nodes, 1),
        classes: vec![ClassLoad {
            class,
            share: 1.0,
            mean_work: MEAN_WORK_S,
            distribution,
            mean_call_work: 0.0,
        }],
        load,
        duration: Span::from_secs(2000.0 / (nodes as f64 * f64::from(cores)).sqrt()),
        warm_up: Span::from_secs(20.0),
        sidecars: 1,
        balancing,
        retry_policy: RetryPolicy::Never,
        outliers: None,
        mean_link_delay: Span::ZERO,
        dependency: None,
        faults: Vec::new(),
    }
}

/// Runs a scenario with a worker per core and an unbounded first-come, first-served queue on each node.
fn run_worker_pool(scenario: &Scenario, seed: u64) -> Outcome {
    let slots = scenario.machine.cores as usize;
    let make = move |settings: &Settings, seed, _| -> BoxedScheduler {
        let config = BaselineConfig {
            kind: BaselineKind::WorkerPool,
            slots,
            max_queue_length: usize::MAX,
            latency_objective: settings.classes[0].latency_objective,
            favored_class: 0,
        };
        Box::new(Baseline::new(config, seed))
    };
    World::new(scenario, &make, seed).run().0
}

/// The mean latency over runs with four seeds, in seconds.
fn mean_latency(scenario: &Scenario) -> f64 {
    (0..4).map(|seed| run_worker_pool(scenario, seed).mean_latency).sum::<f64>() / 4.0
}

/// The Erlang C formula: the probability that an arrival has to wait in an M/M/c queue with utilization rho. Source:
/// A. K. Erlang (1917).
fn erlang_c(c: u32, rho: f64) -> f64 {
    let a = f64::from(c) * rho;
    let mut term = 1.0;
    let mut sum = 1.0;
    for k in 1..c {
        term *= a / f64::from(k);
        sum += term;
    }
    let last = term * a / f64::from(c) / (1.0 - rho);
    last / (sum + last)
}

/// Runs all checks. The mean work per request is 10 ms.
pub fn run_all() -> Vec<Check> {
    let mut checks = Vec::new();
    let work = MEAN_WORK_S;
    for rho in [0.5, 0.8] {
        let simulated =
            mean_latency(&scenario(1, 1, rho, WorkDistribution::Exponential, LoadBalancing::Random));
        let expected = work / (1.0 - rho);
        checks.push(Check {
            name: format!("M/M/1 at load {rho}: mean sojourn time, s"),
            expected,
            simulated,
            tolerance: 0.05,
        });
    }
    for (c, rho) in [(4, 0.8), (16, 0.9)] {
        let simulated =
            mean_latency(&scenario(1, c, rho, WorkDistribution::Exponential, LoadBalancing::Random));
        let expected = work + erlang_c(c, rho) * work / (f64::from(c) * (1.0 - rho));
        checks.push(Check {
            name: format!("M/M/{c} at load {rho}: mean sojourn time, s"),
            expected,
            simulated,
            tolerance: 0.05,
        });
    }
    // Pollaczek-Khinchine formula: the mean wait is proportional to the mean square of the work.
    for (name, distribution) in [
        ("fixed", WorkDistribution::Fixed),
        ("bimodal", WorkDistribution::Bimodal { long_fraction: 0.1, long_factor: 10.0 }),
        ("lognormal", WorkDistribution::Lognormal(1.0)),
    ] {
        let rho = 0.7;
        let simulated = mean_latency(&scenario(1, 1, rho, distribution, LoadBalancing::Random));
        let expected = work + rho * work * distribution.mean_square() / (2.0 * (1.0 - rho));
        checks.push(Check {
            name: format!("M/G/1, {name} work, at load {rho}: mean sojourn time, s"),
            expected,
            simulated,
            tolerance: 0.08,
        });
    }
    // Power of two choices in the limit of many nodes: the mean sojourn time is work times the sum of rho^(2^i - 2).
    let rho: f64 = 0.9;
    let simulated =
        mean_latency(&scenario(200, 1, rho, WorkDistribution::Exponential, LoadBalancing::TwoChoices));
    let expected = work * (1..30).map(|i| rho.powf(2_f64.powi(i) - 2.0)).sum::<f64>();
    checks.push(Check {
        name: "two choices, 200 nodes, at load 0.9: mean sojourn time, s".to_owned(),
        expected,
        simulated,
        tolerance: 0.08,
    });
    let simulated =
        mean_latency(&scenario(200, 1, rho, WorkDistribution::Exponential, LoadBalancing::Random));
    let expected = work / (1.0 - rho);
    checks.push(Check {
        name: "random, 200 nodes, at load 0.9: mean sojourn time, s".to_owned(),
        expected,
        simulated,
        tolerance: 0.08,
    });
    // A fraction p of the nodes has crashed and sidecars still choose them: with at most k attempts, the mean number of
    // attempts per request is (1 - p^k) / (1 - p).
    let mut half_crashed = scenario(1000, 1, 0.1, WorkDistribution::Exponential, LoadBalancing::Random);
    (half_crashed.retry_policy, half_crashed.duration, half_crashed.warm_up) =
        (RetryPolicy::Unbudgeted { max_attempts: 3 }, Span::from_secs(40.0), Span::from_secs(1.0));
    half_crashed.faults =
        vec![FaultStep { at: Span::ZERO, first_node: 0, node_count: 500, fault: Fault::Crash }];
    let outcome = run_worker_pool(&half_crashed, 1);
    let simulated = outcome.attempts as f64 / outcome.requests as f64;
    let expected = (1.0 - 0.5_f64.powi(3)) / 0.5;
    checks.push(Check {
        name: "attempts per request with half the nodes crashed, at most three attempts".to_owned(),
        expected,
        simulated,
        tolerance: 0.02,
    });
    // Without retries, sidecars that still list crashed nodes lose the fraction of requests that they send to those nodes.
    half_crashed.retry_policy = RetryPolicy::Never;
    let outcome = run_worker_pool(&half_crashed, 2);
    checks.push(Check {
        name: "service with half of the known nodes crashed and no retries".to_owned(),
        expected: 0.5,
        simulated: outcome.utility_ratio(),
        tolerance: 0.02,
    });
    checks
}
