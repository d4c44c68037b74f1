//! The declaration of an experiment: factors, their levels, seeds and policies, as read from a file.
//!
//! serde renames map the keys of the file to the terms of the code. Keys that the file leaves out get their defaults here.
//! Call [`Spec::check`] before use: parsing alone doesn't reject unknown names or values out of range.

mod check;
mod policies;
mod scenario;

pub use policies::{baseline_kind, make_scheduler};

use serde::{Deserialize, Serialize};

/// An experiment. Its factors are the fleet size, the load, the policy and the script of faults; every combination of their
/// levels is run once with each seed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Name of the experiment; result files are named after it.
    pub name: String,
    /// Fleet sizes, in nodes.
    pub nodes: Vec<usize>,
    /// Offered loads, as fractions of the capacity of all cores: 1.0 saturates the fleet.
    pub loads: Vec<f64>,
    /// Seeds; all policies run with the same ones, so that results can be compared in pairs.
    pub seeds: Vec<u64>,
    /// Names of the schedulers: `module` (lynxtally's policy) or a baseline (`pool`, `cap`, `aimd`, `gradient`, `age`,
    /// `split-0.5`, `early`). Reports compare the first one with the others.
    pub policies: Vec<String>,
    /// Scripts of faults. Each is one level of the factor "script"; a script `calm` without faults is always added.
    #[serde(default)]
    pub scripts: Vec<Script>,
    /// The request classes and their fractions of the load.
    #[serde(rename = "stages")]
    pub classes: Vec<ClassSpec>,
    /// Cores per node.
    #[serde(default = "default_cores")]
    pub cores: u32,
    /// Sidecars per node.
    #[serde(rename = "sidecars", default = "default_sidecars")]
    pub sidecars_per_node: f64,
    /// How sidecars choose a node: `round-robin`, `random`, `least` (outstanding), `two` (choices) or `hash`.
    #[serde(rename = "habit", default = "default_balancing")]
    pub balancing: String,
    /// Maximum number of attempts per request, including the first.
    #[serde(rename = "tries", default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Successful requests that earn one retry in the retry budget; 0 means that retries have no budget.
    #[serde(rename = "price", default = "default_successes_per_retry")]
    pub successes_per_retry: u32,
    /// Mean one-way delay of a network link, in milliseconds.
    #[serde(rename = "delay_ms", default = "default_link_delay_ms")]
    pub link_delay_ms: f64,
    /// How long requests arrive, in seconds of simulated time.
    #[serde(rename = "lasts_s")]
    pub duration_s: f64,
    /// Warm-up, in seconds: requests that arrive earlier are not counted in the results.
    #[serde(default)]
    pub warm_up_s: f64,
    /// Running requests per core above which requests slow each other down.
    #[serde(rename = "crowd", default = "default_crowding_threshold")]
    pub crowding_threshold: f64,
    /// Slowdown per request per core above the threshold: the speed is 1 / (1 + slope x excess).
    #[serde(rename = "slope", default = "default_crowding_slope")]
    pub crowding_slope: f64,
}

fn default_cores() -> u32 {
    4
}
fn default_sidecars() -> f64 {
    1.0
}
fn default_balancing() -> String {
    "two".to_owned()
}
fn default_max_attempts() -> u32 {
    3
}
fn default_successes_per_retry() -> u32 {
    5
}
fn default_link_delay_ms() -> f64 {
    0.3
}
fn default_crowding_threshold() -> f64 {
    4.0
}
fn default_crowding_slope() -> f64 {
    0.05
}

/// A sequence of faults that are injected in a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Name of the script; [`Cell::script`] and the result tables refer to it.
    pub name: String,
    /// The faults.
    pub steps: Vec<StepSpec>,
}

/// One fault of a script and the nodes that it affects.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// Time of the fault, in seconds from the start of the run.
    pub at_s: f64,
    /// Fraction of the nodes that the fault affects; at least one node is affected.
    #[serde(rename = "part")]
    pub node_fraction: f64,
    /// Position of the first affected node, as a fraction of the fleet: 0.5 starts in the middle.
    #[serde(rename = "from", default)]
    pub from_fraction: f64,
    /// The fault: `crash`, `restart`, `slow`, `leave` (graceful shutdown), `deaf` (drops incoming messages), `mute` (drops
    /// outgoing messages) or `mended` (restores the links).
    #[serde(rename = "what")]
    pub fault: String,
    /// For `slow`, the remaining fraction of the speed; for `leave`, the seconds until the shutdown ends; otherwise unused.
    #[serde(default)]
    pub value: f64,
}

/// A request class and its part of the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: String,
    /// Utility of a result within the latency objective.
    pub utility: f64,
    /// Fraction of the utility that a result after the latency objective earns.
    #[serde(rename = "late_part", default)]
    pub late_utility_fraction: f64,
    /// Latency objective, in milliseconds.
    #[serde(rename = "due_ms")]
    pub latency_objective_ms: u64,
    /// Deadline in milliseconds after which the client gives up; at least the latency objective.
    #[serde(rename = "limit_ms")]
    pub deadline_ms: u64,
    /// Fraction of the arriving requests that belong to this class.
    pub share: f64,
    /// Mean work per request, in milliseconds on a core of its own.
    #[serde(rename = "work_ms")]
    pub mean_work_ms: f64,
    /// Distribution of the work: `fixed`, `exponential`, `lognormal`, `pareto` or `bimodal`.
    #[serde(rename = "spread", default = "default_distribution")]
    pub distribution: String,
    /// `restartable` (idempotent) or `side-effecting` (not idempotent).
    #[serde(default = "default_effect")]
    pub effect: String,
}

fn default_distribution() -> String {
    "exponential".to_owned()
}
fn default_effect() -> String {
    IDEMPOTENT.to_owned()
}

/// Value of the key `effect` for an idempotent class.
const IDEMPOTENT: &str = "restartable";
/// Name of the script without faults, which every experiment runs.
const CALM: &str = "calm";

/// One run of an experiment: a combination of levels and a seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cell {
    /// Name of the scheduler, as in [`Spec::policies`].
    pub policy: String,
    /// Fleet size, in nodes.
    pub nodes: usize,
    /// Offered load, as a fraction of the capacity of all cores.
    pub load: f64,
    /// Name of the script of faults.
    pub script: String,
    /// Seed of the simulation.
    pub seed: u64,
}

impl Spec {
    /// All runs, ordered by script, fleet size, load, policy and seed.
    pub fn cells(&self) -> Vec<Cell> {
        let mut cells = Vec::new();
        let scripts = [CALM].into_iter().chain(self.scripts.iter().map(|script| script.name.as_str()));
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
}
