//! Translates the declaration of an experiment to the simulator's scenarios.

use super::{Cell, ClassSpec, Spec, StepSpec, IDEMPOTENT};
use lynxtally::{Effect, RequestClass, Settings, Span};
use lynxtally_simulator::cores::MachineModel;
use lynxtally_simulator::scenario::{unconstrained_settings, ClassLoad, Fault, FaultStep, Scenario};
use lynxtally_simulator::sidecar::{LoadBalancing, RetryPolicy};
use lynxtally_simulator::work_distribution::WorkDistribution;

/// Time that a restarted node takes to reach its full speed.
const WARMUP_TIME: Span = Span::from_millis(5000);
/// Fraction of its speed that a restarted node has at first; the node's scheduler is configured with the same value.
const COLD_SPEED: f64 = 0.2;

impl Spec {
    /// The load balancing of the sidecars; `None` if the name is unknown.
    pub(super) fn balancing(&self) -> Option<LoadBalancing> {
        Some(match self.balancing.as_str() {
            "round-robin" => LoadBalancing::RoundRobin,
            "random" => LoadBalancing::Random,
            "least" => LoadBalancing::LeastOutstanding,
            "two" => LoadBalancing::TwoChoices,
            "hash" => LoadBalancing::Hash,
            _ => return None,
        })
    }

    /// The scenario of one run. A script, load balancing, distribution or fault of an unknown name is replaced by a default or
    /// left out, so call [`Spec::check`] first.
    pub fn scenario(&self, cell: &Cell) -> Scenario {
        let classes: Vec<ClassLoad> = self.classes.iter().map(ClassSpec::load).collect();
        let sidecars = ((cell.nodes as f64 * self.sidecars_per_node) as usize).clamp(1, 60_000);
        let script = self.scripts.iter().find(|script| script.name == cell.script);
        let steps = script.map_or(&[][..], |script| &script.steps[..]);
        Scenario {
            nodes: cell.nodes,
            machine: MachineModel {
                cores: self.cores,
                crowding_threshold: self.crowding_threshold,
                crowding_slope: self.crowding_slope,
                cold_speed: COLD_SPEED,
                warmup_time: WARMUP_TIME,
            },
            settings: self.settings(&classes, cell.nodes, sidecars),
            classes,
            load: cell.load,
            duration: Span::from_secs(self.duration_s),
            warm_up: Span::from_secs(self.warm_up_s),
            sidecars,
            balancing: self.balancing().unwrap_or(LoadBalancing::TwoChoices),
            retry_policy: self.retry_policy(),
            outliers: None,
            mean_link_delay: Span::from_secs(self.link_delay_ms / 1000.0),
            dependency: None,
            faults: steps.iter().filter_map(|step| step.fault_step(cell.nodes)).collect(),
        }
    }

    fn retry_policy(&self) -> RetryPolicy {
        let max_attempts = self.max_attempts;
        match self.successes_per_retry {
            0 => RetryPolicy::Unbudgeted { max_attempts },
            successes_per_retry => RetryPolicy::Budgeted { max_attempts, successes_per_retry },
        }
    }

    fn settings(&self, classes: &[ClassLoad], nodes: usize, sidecars: usize) -> Settings {
        let classes = classes.iter().map(|load| load.class.clone()).collect();
        Settings {
            memory_kb: 1e6,
            running_memory_factor: 2.0,
            idempotency_key_kb: 1.0,
            cold_capacity_fraction: COLD_SPEED,
            warmup_time: WARMUP_TIME,
            max_running_per_core: 40.0,
            capacity_ttl: Span::from_millis(1000),
            ..unconstrained_settings(self.cores, classes, nodes, sidecars)
        }
    }
}

impl ClassSpec {
    /// The distribution of the work; `None` if the name is unknown.
    pub(super) fn distribution(&self) -> Option<WorkDistribution> {
        Some(match self.distribution.as_str() {
            "fixed" => WorkDistribution::Fixed,
            "exponential" => WorkDistribution::Exponential,
            "lognormal" => WorkDistribution::Lognormal(1.0),
            "pareto" => WorkDistribution::Pareto(2.2),
            "bimodal" => WorkDistribution::Bimodal { long_fraction: 0.1, long_factor: 10.0 },
            _ => return None,
        })
    }

    fn load(&self) -> ClassLoad {
        let idempotent = self.effect == IDEMPOTENT;
        ClassLoad {
            class: RequestClass {
                utility: self.utility,
                late_utility_fraction: self.late_utility_fraction,
                latency_objective: Span::from_millis(self.latency_objective_ms),
                deadline: Span::from_millis(self.deadline_ms),
                effect: if idempotent { Effect::Idempotent } else { Effect::NonIdempotent },
                deduplication_window: Span::ZERO,
                calls_downstream: false,
                degraded_utility_fraction: 0.0,
            },
            share: self.share,
            mean_work: self.mean_work_ms / 1000.0,
            distribution: self.distribution().unwrap_or(WorkDistribution::Exponential),
            mean_call_work: 0.0,
        }
    }
}

impl StepSpec {
    /// The fault, with its value clamped to the valid range; `None` if the name is unknown.
    pub(super) fn fault(&self) -> Option<Fault> {
        Some(match self.fault.as_str() {
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

    fn fault_step(&self, nodes: usize) -> Option<FaultStep> {
        let nodes = nodes as f64;
        Some(FaultStep {
            at: Span::from_secs(self.at_s),
            first_node: (self.from_fraction * nodes) as usize,
            node_count: ((self.node_fraction * nodes).round() as usize).max(1),
            fault: self.fault()?,
        })
    }
}
