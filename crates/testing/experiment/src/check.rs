//! The models against results that are known: each with its closed form, what the emulator found, and the error.

use lynxtally::{Effect, RequestClass, Settings, Span};
use lynxtally_baselines::{Baseline, BaselineConfig, Kind};
use lynxtally_simulator::cores::MachineModel;
use lynxtally_simulator::outcome::Outcome;
use lynxtally_simulator::scenario::{
    unconstrained_settings, BoxedScheduler, ClassLoad, Fault, FaultStep, Scenario,
};
use lynxtally_simulator::sidecar::{LoadBalancing, RetryPolicy};
use lynxtally_simulator::work_distribution::WorkDistribution;
use lynxtally_simulator::world::World;

/// A model against its closed form.
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    /// What.
    pub what: String,
    /// By its closed form.
    pub known: f64,
    /// As it was found.
    pub found: f64,
    /// The error that is borne, as a part.
    pub borne: f64,
}

impl Check {
    /// The error, as a part.
    pub fn error(&self) -> f64 {
        (self.found / self.known - 1.0).abs()
    }

    /// Whether that can be borne.
    pub fn holds(&self) -> bool {
        self.error() <= self.borne
    }
}

fn scenario(nodes: usize, cores: u32, load: f64, spread: WorkDistribution, habit: LoadBalancing) -> Scenario {
    let settings = RequestClass {
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
        settings: unconstrained_settings(cores, vec![settings.clone()], nodes, 1),
        classes: vec![ClassLoad {
            class: settings,
            share: 1.0,
            mean_work: 0.01,
            distribution: spread,
            mean_call_work: 0.0,
        }],
        load,
        duration: Span::from_secs(2000.0 / (nodes as f64 * f64::from(cores)).sqrt()),
        warm_up: Span::from_secs(20.0),
        sidecars: 1,
        balancing: habit,
        retry_policy: RetryPolicy::Never,
        outliers: None,
        mean_link_delay: Span::ZERO,
        dependency: None,
        faults: Vec::new(),
    }
}

fn plain(scenario: &Scenario, seed: u64) -> Outcome {
    let slots = scenario.machine.cores as usize;
    let make = move |settings: &Settings, seed, _| -> BoxedScheduler {
        let config = BaselineConfig {
            kind: Kind::Pool,
            slots,
            max_queue_length: usize::MAX,
            latency_objective: settings.classes[0].latency_objective,
            favored_class: 0,
        };
        Box::new(Baseline::new(config, seed))
    };
    World::new(scenario, &make, seed).run().0
}

fn mean_latency(scenario: &Scenario) -> f64 {
    (0..4).map(|seed| plain(scenario, seed).mean_latency).sum::<f64>() / 4.0
}

/// The chance that one has to wait before c servers at a load of rho each. Source: A. K. Erlang (1917).
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

/// All of them. Work is 10 ms in the mean.
pub fn all() -> Vec<Check> {
    let mut checks = Vec::new();
    let work = 0.01;
    for rho in [0.5, 0.8] {
        let found = mean_latency(&scenario(1, 1, rho, WorkDistribution::Exponential, LoadBalancing::Random));
        let known = work / (1.0 - rho);
        checks.push(Check { what: format!("M/M/1 at {rho}: mean stay, s"), known, found, borne: 0.05 });
    }
    for (c, rho) in [(4, 0.8), (16, 0.9)] {
        let found = mean_latency(&scenario(1, c, rho, WorkDistribution::Exponential, LoadBalancing::Random));
        let known = work + erlang_c(c, rho) * work / (f64::from(c) * (1.0 - rho));
        checks.push(Check { what: format!("M/M/{c} at {rho}: mean stay, s"), known, found, borne: 0.05 });
    }
    // Pollaczek and Khinchine: what waits grows with the mean square of the work.
    for (name, spread) in [
        ("fixed", WorkDistribution::Fixed),
        ("bimodal", WorkDistribution::Bimodal { long_fraction: 0.1, long_factor: 10.0 }),
        ("lognormal", WorkDistribution::Lognormal(1.0)),
    ] {
        let rho = 0.7;
        let found = mean_latency(&scenario(1, 1, rho, spread, LoadBalancing::Random));
        let known = work + rho * work * spread.mean_square() / (2.0 * (1.0 - rho));
        checks.push(Check {
            what: format!("M/G/1, {name} work, at {rho}: mean stay, s"),
            known,
            found,
            borne: 0.08,
        });
    }
    // The join of two choices in the limit of many nodes: the mean stay is a sum of doubly falling powers.
    let rho: f64 = 0.9;
    let found =
        mean_latency(&scenario(200, 1, rho, WorkDistribution::Exponential, LoadBalancing::TwoChoices));
    let known = work * (1..30).map(|i| rho.powf(2_f64.powi(i) - 2.0)).sum::<f64>();
    checks.push(Check {
        what: "two choices, 200 nodes, at 0.9: mean stay, s".to_owned(),
        known,
        found,
        borne: 0.08,
    });
    let found = mean_latency(&scenario(200, 1, rho, WorkDistribution::Exponential, LoadBalancing::Random));
    let known = work / (1.0 - rho);
    checks.push(Check {
        what: "random, 200 nodes, at 0.9: mean stay, s".to_owned(),
        known,
        found,
        borne: 0.08,
    });
    // A part p of the nodes is dead, sidecars go on choosing them: up to k tries a task are (1 - p^k) / (1 - p).
    let mut dead = scenario(1000, 1, 0.1, WorkDistribution::Exponential, LoadBalancing::Random);
    (dead.retry_policy, dead.duration, dead.warm_up) =
        (RetryPolicy::Unbudgeted { max_attempts: 3 }, Span::from_secs(40.0), Span::from_secs(1.0));
    dead.faults = vec![FaultStep { at: Span::ZERO, first_node: 0, node_count: 500, fault: Fault::Crash }];
    let outcome = plain(&dead, 1);
    let found = outcome.attempts as f64 / outcome.requests as f64;
    let known = (1.0 - 0.5_f64.powi(3)) / 0.5;
    checks.push(Check {
        what: "tries a task with half the nodes dead, three at most".to_owned(),
        known,
        found,
        borne: 0.02,
    });
    // What a stale list costs: without another try, the part of the list that is dead.
    dead.retry_policy = RetryPolicy::Never;
    let outcome = plain(&dead, 2);
    checks.push(Check {
        what: "service with half of a list dead and no other try".to_owned(),
        known: 0.5,
        found: outcome.utility_ratio(),
        borne: 0.02,
    });
    checks
}
