//! An experiment as it is declared: factors, levels, seeds, policies. Decoded, checked and given its defaults here.

use lynxtally::{Effect, Policy, RequestClass, Settings, Span};
use lynxtally_baselines::{Baseline, BaselineConfig, Kind};
use lynxtally_settings::SettingError;
use lynxtally_simulator::cores::MachineModel;
use lynxtally_simulator::scenario::{
    unconstrained_settings, BoxedScheduler, ClassLoad, Fault, FaultStep, Scenario,
};
use lynxtally_simulator::sidecar::{LoadBalancing, RetryPolicy};
use lynxtally_simulator::work_distribution::WorkDistribution;
use serde::{Deserialize, Serialize};

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Its name.
    pub name: String,
    /// Fleet sizes.
    pub nodes: Vec<usize>,
    /// Loads, over what all cores can do.
    pub loads: Vec<f64>,
    /// Seeds, the same for all that is compared.
    pub seeds: Vec<u64>,
    /// What decides: module, pool, cap, aimd, gradient, age, split-0.5, early.
    pub policies: Vec<String>,
    /// What happens; a script of the name `calm` is always there.
    #[serde(default)]
    pub scripts: Vec<Script>,
    /// The stages.
    pub stages: Vec<StageFile>,
    /// Cores a node.
    #[serde(default = "four")]
    pub cores: u32,
    /// Sidecars a node.
    #[serde(default = "one")]
    pub sidecars: f64,
    /// How sidecars choose: round-robin, random, least, two, hash.
    #[serde(default = "two")]
    pub habit: String,
    /// Tries at most.
    #[serde(default = "tries")]
    pub tries: u32,
    /// Successes that pay for a further try; 0 where tries are without limit.
    #[serde(default = "price")]
    pub price: u32,
    /// One way on a link, in milliseconds.
    #[serde(default = "delay")]
    pub delay_ms: f64,
    /// For so long, in seconds.
    pub lasts_s: f64,
    /// What happens before does not count, in seconds.
    #[serde(default)]
    pub warm_up_s: f64,
    /// More tasks a core than this slow each other down, and by how much.
    #[serde(default = "crowd")]
    pub crowd: f64,
    /// The slope of that.
    #[serde(default = "slope")]
    pub slope: f64,
}

fn four() -> u32 {
    4
}
fn one() -> f64 {
    1.0
}
fn two() -> String {
    "two".to_owned()
}
fn tries() -> u32 {
    3
}
fn price() -> u32 {
    5
}
fn delay() -> f64 {
    0.3
}
fn crowd() -> f64 {
    4.0
}
fn slope() -> f64 {
    0.05
}

/// A script of faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// Its steps.
    pub steps: Vec<StepFile>,
}

/// A step.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepFile {
    /// When, in seconds.
    pub at_s: f64,
    /// On this part of the nodes, from the first on or from this part on.
    pub part: f64,
    /// From this part of them on.
    #[serde(default)]
    pub from: f64,
    /// What: crash, restart, slow, leave, deaf, mute, mended.
    pub what: String,
    /// How slow, or for how many seconds it leaves.
    #[serde(default)]
    pub value: f64,
}

/// A stage.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StageFile {
    /// Its name.
    pub name: String,
    /// What an answer in time earns.
    pub utility: f64,
    /// The part that a late one earns.
    #[serde(default)]
    pub late_part: f64,
    /// When it is wanted.
    pub due_ms: u64,
    /// When the client gives up.
    pub limit_ms: u64,
    /// Its part of all tasks.
    pub share: f64,
    /// Its mean work.
    pub work_ms: f64,
    /// fixed, exponential, lognormal, pareto, bimodal.
    #[serde(default = "exponential")]
    pub spread: String,
    /// restartable, or side-effecting.
    #[serde(default = "restartable")]
    pub effect: String,
}

fn exponential() -> String {
    "exponential".to_owned()
}
fn restartable() -> String {
    "restartable".to_owned()
}

fn wrong<T>(key: impl Into<String>, what: impl Into<String>) -> Result<T, SettingError> {
    Err(SettingError::new(key, what))
}

/// One run of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cell {
    /// What decides.
    pub policy: String,
    /// Fleet size.
    pub nodes: usize,
    /// Load.
    pub load: f64,
    /// The script's name.
    pub script: String,
    /// The seed.
    pub seed: u64,
}

impl Spec {
    /// Checks all; an error names the key.
    pub fn check(&self) -> Result<(), SettingError> {
        for (key, empty) in [
            ("nodes", self.nodes.is_empty()),
            ("loads", self.loads.is_empty()),
            ("seeds", self.seeds.is_empty()),
            ("policies", self.policies.is_empty()),
            ("stages", self.stages.is_empty()),
        ] {
            if empty {
                return wrong(key, "is empty; at least one is expected");
            }
        }
        if let Some(n) = self.nodes.iter().position(|nodes| !(1..=10_000).contains(nodes)) {
            return wrong(format!("nodes[{n}]"), format!("is {}; 1 to 10000 is expected", self.nodes[n]));
        }
        if let Some(n) = self.loads.iter().position(|load| !(*load > 0.0 && *load <= 100.0)) {
            return wrong(format!("loads[{n}]"), format!("is {}; above 0 is expected", self.loads[n]));
        }
        for (n, policy) in self.policies.iter().enumerate() {
            if policy != "module" && kind(policy).is_none() {
                return wrong(format!("policies[{n}]"), format!("is {policy:?}; no policy has this name"));
            }
        }
        if self.habit().is_none() {
            return wrong(
                "habit",
                format!("is {:?}; round-robin, random, least, two or hash is expected", self.habit),
            );
        }
        if !(self.lasts_s > 0.0
            && self.lasts_s < 1e6
            && self.warm_up_s >= 0.0
            && self.warm_up_s < self.lasts_s)
        {
            return wrong("lasts_s", "and warm_up_s have to leave some time between them");
        }
        for (n, stage) in self.stages.iter().enumerate() {
            if stage.work().is_none() {
                return wrong(
                    format!("stages[{n}].spread"),
                    format!("is {:?}; no such spread is known", stage.spread),
                );
            }
            let positive =
                stage.utility > 0.0 && stage.share > 0.0 && stage.work_ms > 0.0 && stage.due_ms > 0;
            if !positive || stage.limit_ms < stage.due_ms {
                let what =
                    "has to have utility, share, work_ms and due_ms above 0, and limit_ms of at least due_ms";
                return wrong(format!("stages[{n}]"), what);
            }
        }
        for (n, script) in self.scripts.iter().enumerate() {
            for (k, step) in script.steps.iter().enumerate() {
                if step.fault().is_none() {
                    let what = format!("is {:?}; no such fault is known", step.what);
                    return wrong(format!("scripts[{n}].steps[{k}].what"), what);
                }
            }
        }
        Ok(())
    }

    fn habit(&self) -> Option<LoadBalancing> {
        Some(match self.habit.as_str() {
            "round-robin" => LoadBalancing::RoundRobin,
            "random" => LoadBalancing::Random,
            "least" => LoadBalancing::LeastOutstanding,
            "two" => LoadBalancing::TwoChoices,
            "hash" => LoadBalancing::Hash,
            _ => return None,
        })
    }

    /// All runs, in order.
    pub fn cells(&self) -> Vec<Cell> {
        let mut cells = Vec::new();
        let scripts = ["calm"].into_iter().chain(self.scripts.iter().map(|script| script.name.as_str()));
        for script in scripts {
            for &nodes in &self.nodes {
                for &load in &self.loads {
                    for policy in &self.policies {
                        for &seed in &self.seeds {
                            let (policy, script) = (policy.clone(), script.to_owned());
                            cells.push(Cell { policy, nodes, load, script, seed });
                        }
                    }
                }
            }
        }
        cells
    }

    /// The scenario of one run.
    pub fn scenario(&self, cell: &Cell) -> Scenario {
        let stages: Vec<ClassLoad> = self.stages.iter().map(StageFile::stage).collect();
        let sidecars = ((cell.nodes as f64 * self.sidecars) as usize).clamp(1, 60_000);
        let steps = self.scripts.iter().find(|script| script.name == cell.script);
        let script = steps.map_or_else(Vec::new, |script| {
            script.steps.iter().filter_map(|step| step.step(cell.nodes)).collect()
        });
        Scenario {
            nodes: cell.nodes,
            machine: MachineModel {
                cores: self.cores,
                crowding_threshold: self.crowd,
                crowding_slope: self.slope,
                cold_speed: 0.2,
                warmup_time: Span::from_millis(5000),
            },
            settings: self.settings(&stages, cell.nodes, sidecars),
            classes: stages,
            load: cell.load,
            duration: Span::from_secs(self.lasts_s),
            warm_up: Span::from_secs(self.warm_up_s),
            sidecars,
            balancing: self.habit().unwrap_or(LoadBalancing::TwoChoices),
            retry_policy: match self.price {
                0 => RetryPolicy::Unbudgeted { max_attempts: self.tries },
                price => RetryPolicy::Budgeted { max_attempts: self.tries, successes_per_retry: price },
            },
            outliers: None,
            mean_link_delay: Span::from_secs(self.delay_ms / 1000.0),
            dependency: None,
            faults: script,
        }
    }

    fn settings(&self, stages: &[ClassLoad], nodes: usize, sidecars: usize) -> Settings {
        let classes = stages.iter().map(|load| load.class.clone()).collect();
        Settings {
            memory_kb: 1e6,
            running_memory_factor: 2.0,
            idempotency_key_kb: 1.0,
            cold_capacity_fraction: 0.2,
            warmup_time: Span::from_millis(5000),
            max_running_per_core: 40.0,
            capacity_ttl: Span::from_millis(1000),
            ..unconstrained_settings(self.cores, classes, nodes, sidecars)
        }
    }
}

impl StageFile {
    fn work(&self) -> Option<WorkDistribution> {
        Some(match self.spread.as_str() {
            "fixed" => WorkDistribution::Fixed,
            "exponential" => WorkDistribution::Exponential,
            "lognormal" => WorkDistribution::Lognormal(1.0),
            "pareto" => WorkDistribution::Pareto(2.2),
            "bimodal" => WorkDistribution::Bimodal { long_fraction: 0.1, long_factor: 10.0 },
            _ => return None,
        })
    }

    fn stage(&self) -> ClassLoad {
        ClassLoad {
            class: RequestClass {
                utility: self.utility,
                late_utility_fraction: self.late_part,
                latency_objective: Span::from_millis(self.due_ms),
                deadline: Span::from_millis(self.limit_ms),
                effect: if self.effect == "restartable" { Effect::Idempotent } else { Effect::NonIdempotent },
                deduplication_window: Span::ZERO,
                calls_downstream: false,
                degraded_utility_fraction: 0.0,
            },
            share: self.share,
            mean_work: self.work_ms / 1000.0,
            distribution: self.work().unwrap_or(WorkDistribution::Exponential),
            mean_call_work: 0.0,
        }
    }
}

impl StepFile {
    fn fault(&self) -> Option<Fault> {
        Some(match self.what.as_str() {
            "crash" => Fault::Crash,
            "restart" => Fault::Restart,
            "slow" => Fault::Slow(self.value.clamp(0.01, 100.0)),
            "leave" => Fault::Drain(Span::from_secs(self.value.max(0.1))),
            "deaf" => Fault::DropIncoming,
            "mute" => Fault::DropOutgoing,
            "mended" => Fault::HealLinks,
            _ => return None,
        })
    }

    fn step(&self, nodes: usize) -> Option<FaultStep> {
        let first = (self.from * nodes as f64) as usize;
        let count = ((self.part * nodes as f64).round() as usize).max(1);
        Some(FaultStep {
            at: Span::from_secs(self.at_s),
            first_node: first,
            node_count: count,
            fault: self.fault()?,
        })
    }
}

/// A baseline by its name.
pub fn kind(name: &str) -> Option<Kind> {
    Some(match name {
        "pool" => Kind::Pool,
        "cap" => Kind::Cap,
        "aimd" => Kind::Aimd,
        "gradient" => Kind::Gradient,
        "age" => Kind::Age,
        "early" => Kind::Early,
        _ => {
            Kind::Split(name.strip_prefix("split-")?.parse().ok().filter(|part| (0.0..=1.0).contains(part))?)
        }
    })
}

/// Slots a core that a baseline gives out.
const SLOTS_PER_CORE: f64 = 2.0;
/// How many wait for each slot.
const QUEUED_PER_SLOT: usize = 20;

/// A scheduler by its name: a baseline, or lynxtally's policy.
pub fn make(name: &str, settings: &Settings, seed: u64, now: lynxtally::Instant) -> BoxedScheduler {
    let Some(kind) = kind(name) else { return Box::new(Policy::new(settings.clone(), seed, now)) };
    let favored_class = (0..settings.classes.len())
        .max_by(|a, b| settings.classes[*a].utility.total_cmp(&settings.classes[*b].utility))
        .unwrap_or(0);
    let objectives = settings.classes.iter().map(|class| class.latency_objective);
    let slots = (f64::from(settings.cores) * SLOTS_PER_CORE) as usize;
    let config = BaselineConfig {
        kind,
        slots,
        max_queue_length: slots * QUEUED_PER_SLOT,
        latency_objective: objectives.min().unwrap_or_default(),
        favored_class,
    };
    Box::new(Baseline::new(config, seed))
}
