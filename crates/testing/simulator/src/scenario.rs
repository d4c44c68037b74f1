//! A scenario: the fleet, its load, and the faults that happen to it.

use crate::cores::MachineModel;
use crate::dependency::DependencyModel;
use crate::sidecar::{LoadBalancing, RetryPolicy};
use crate::work_distribution::WorkDistribution;
use lynxtally::{CapacityFormat, Downstream, Instant, RequestClass, Settings, Span};
use lynxtally_engine::Scheduler;
use lynxtally_retry::OutlierLimits;

/// The scheduler of a node.
pub type BoxedScheduler = Box<dyn Scheduler + Send>;
/// Makes the scheduler of each node; the number is its seed.
pub type MakeScheduler<'a> = &'a dyn Fn(&Settings, u64, Instant) -> BoxedScheduler;

/// The load of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// What the scheduler is told of the class.
    pub class: RequestClass,
    /// Its fraction of all requests, over the sum of these.
    pub share: f64,
    /// Its mean work, in seconds on a core of its own.
    pub mean_work: f64,
    /// How that is distributed.
    pub distribution: WorkDistribution,
    /// Mean work of its downstream call, in seconds, distributed like the work; zero where it makes none.
    pub mean_call_work: f64,
}

/// What happens to nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It crashes: all that it has is lost.
    Crash,
    /// It comes back, cold.
    Restart,
    /// It has this part of its speed.
    Slow(f64),
    /// A graceful shutdown begins; it ends this long after.
    Drain(Span),
    /// Nothing reaches it, though it runs; its responses arrive.
    DropIncoming,
    /// Its responses are lost, though requests reach it.
    DropOutgoing,
    /// Its links work again.
    HealLinks,
    /// The dependency has this part of its speed; the nodes of the step count for nothing.
    SlowDependency(f64),
}

/// A fault of a script: when, on which nodes, what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultStep {
    /// When, from the start.
    pub at: Span,
    /// The first node that it happens to.
    pub first_node: usize,
    /// To how many nodes it happens.
    pub node_count: usize,
    /// What happens.
    pub fault: Fault,
}

/// A scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// How many nodes.
    pub nodes: usize,
    /// The cores of each.
    pub machine: MachineModel,
    /// What the scheduler is told; its classes are those of the load.
    pub settings: Settings,
    /// The load by class.
    pub classes: Vec<ClassLoad>,
    /// The work that arrives, over the work that all cores can do.
    pub load: f64,
    /// Requests arrive for so long.
    pub duration: Span,
    /// Requests that arrive before this do not count.
    pub warm_up: Span,
    /// How many sidecars.
    pub sidecars: usize,
    /// How they choose a node.
    pub balancing: LoadBalancing,
    /// When they retry.
    pub retry_policy: RetryPolicy,
    /// When they eject a node, if they do.
    pub outliers: Option<OutlierLimits>,
    /// The mean delay of a link, one way; exponential.
    pub mean_link_delay: Span,
    /// What all nodes call, where classes make calls.
    pub dependency: Option<DependencyModel>,
    /// What happens to the fleet.
    pub faults: Vec<FaultStep>,
}

/// The settings of a simulated node that nothing limits but its cores: warm from the start, without quotas, downstream
/// calls and capacity advertisement. Scenarios set what they are about over it.
pub fn unconstrained_settings(
    cores: u32,
    classes: Vec<RequestClass>,
    backends: usize,
    callers: usize,
) -> Settings {
    Settings {
        cores,
        memory_kb: 1e9,
        running_memory_factor: 1.0,
        idempotency_key_kb: 0.0,
        cold_start: false,
        cold_capacity_fraction: 1.0,
        warmup_time: Span::from_millis(1),
        max_running_per_core: 1e9,
        drain_grace: Span::from_millis(1000),
        classes,
        tenant_quotas: Vec::new(),
        over_quota_utility_fraction: 1.0,
        utility_per_work: false,
        backends: backends as u32,
        callers: callers as u32,
        tier_depth: 0,
        downstream: Downstream::None,
        stoppable: false,
        capacity_format: CapacityFormat::None,
        capacity_ttl: Span::ZERO,
        client_idle_timeout: Span::ZERO,
        coalescing_window: Span::ZERO,
        max_retry_after: Span::ZERO,
    }
}
