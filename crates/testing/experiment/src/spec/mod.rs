//! An experiment as it is declared: factors, levels, seeds, policies. The words of the file end here; what is not given has
//! its default here.

mod check;
mod policies;
mod scenario;

pub use policies::{baseline_kind, make_scheduler};

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
    /// The schedulers: module, pool, cap, aimd, gradient, age, split-0.5, early.
    pub policies: Vec<String>,
    /// What happens; a script of the name `calm` is always there.
    #[serde(default)]
    pub scripts: Vec<Script>,
    /// The load by request class.
    #[serde(rename = "stages")]
    pub classes: Vec<ClassSpec>,
    /// Cores a node.
    #[serde(default = "default_cores")]
    pub cores: u32,
    /// Sidecars a node.
    #[serde(rename = "sidecars", default = "default_sidecars")]
    pub sidecars_per_node: f64,
    /// How sidecars choose: round-robin, random, least, two, hash.
    #[serde(rename = "habit", default = "default_balancing")]
    pub balancing: String,
    /// Attempts at most.
    #[serde(rename = "tries", default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Successes that pay for a retry; 0 where retries have no budget.
    #[serde(rename = "price", default = "default_successes_per_retry")]
    pub successes_per_retry: u32,
    /// The mean delay of a link, one way, in milliseconds.
    #[serde(rename = "delay_ms", default = "default_link_delay_ms")]
    pub link_delay_ms: f64,
    /// Requests arrive for so long, in seconds.
    #[serde(rename = "lasts_s")]
    pub duration_s: f64,
    /// Requests that arrive before this do not count, in seconds.
    #[serde(default)]
    pub warm_up_s: f64,
    /// More requests a core than this slow each other down.
    #[serde(rename = "crowd", default = "default_crowding_threshold")]
    pub crowding_threshold: f64,
    /// By so much.
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

/// A script of faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// Its steps.
    pub steps: Vec<StepSpec>,
}

/// A step of a script.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// When, in seconds.
    pub at_s: f64,
    /// On this fraction of the nodes.
    #[serde(rename = "part")]
    pub node_fraction: f64,
    /// From this fraction of them on.
    #[serde(rename = "from", default)]
    pub from_fraction: f64,
    /// What: crash, restart, slow, leave, deaf, mute, mended.
    #[serde(rename = "what")]
    pub fault: String,
    /// The part of its speed that is left, or the seconds until a graceful shutdown ends.
    #[serde(default)]
    pub value: f64,
}

/// The load of a request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// What a result in time earns.
    pub utility: f64,
    /// The fraction that a late one earns.
    #[serde(rename = "late_part", default)]
    pub late_utility_fraction: f64,
    /// The latency objective.
    #[serde(rename = "due_ms")]
    pub latency_objective_ms: u64,
    /// When the client gives up.
    #[serde(rename = "limit_ms")]
    pub deadline_ms: u64,
    /// Its fraction of all requests.
    pub share: f64,
    /// Its mean work.
    #[serde(rename = "work_ms")]
    pub mean_work_ms: f64,
    /// fixed, exponential, lognormal, pareto, bimodal.
    #[serde(rename = "spread", default = "default_distribution")]
    pub distribution: String,
    /// restartable, or side-effecting.
    #[serde(default = "default_effect")]
    pub effect: String,
}

fn default_distribution() -> String {
    "exponential".to_owned()
}
fn default_effect() -> String {
    IDEMPOTENT.to_owned()
}

/// The word of the file for an idempotent class.
const IDEMPOTENT: &str = "restartable";
/// The name of the script without faults.
const CALM: &str = "calm";

/// One run of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cell {
    /// The scheduler.
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
    /// All runs, in order.
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
