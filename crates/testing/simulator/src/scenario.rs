//! The input of a simulation: the fleet, its load and the injected faults.

use crate::cores::MachineModel;
use crate::dependency::DependencyModel;
use crate::sidecar::{LoadBalancing, RetryPolicy};
use crate::work_distribution::WorkDistribution;
use lynxtally::{CapacityFormat, Downstream, Instant, RequestClass, Settings, Span};
use lynxtally_engine::Scheduler;
use lynxtally_retry::OutlierLimits;

/// The scheduler of a node.
pub type BoxedScheduler = Box<dyn Scheduler + Send>;
/// Creates the scheduler of a node from its settings, its seed and the current time.
pub type MakeScheduler<'a> = &'a dyn Fn(&Settings, u64, Instant) -> BoxedScheduler;

/// The load of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// Settings of the class that the scheduler gets.
    pub class: RequestClass,
    /// Weight of the class: its fraction of all requests is `share` divided by the sum over all classes.
    pub share: f64,
    /// Mean work of a request, in seconds on a core that it doesn't share.
    pub mean_work: f64,
    /// Distribution of the work.
    pub distribution: WorkDistribution,
    /// Mean work of the downstream call, in seconds, distributed like the work of a request; zero if the class makes no calls.
    pub mean_call_work: f64,
}

/// A fault that is injected into nodes or the dependency, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The node crashes and loses its state and all its requests.
    Crash,
    /// A node that is down starts again, cold.
    Restart,
    /// The node runs at this fraction of its full speed.
    Slow(f64),
    /// A graceful shutdown of the node begins; the node goes down after this time.
    Drain(Span),
    /// The node keeps running, but requests to it are lost. Its responses arrive.
    DropIncoming,
    /// Requests reach the node, but its responses are lost.
    DropOutgoing,
    /// Ends `DropIncoming` and `DropOutgoing` of the node.
    HealLinks,
    /// The dependency runs at this fraction of its full speed. The nodes of the step are ignored.
    SlowDependency(f64),
}

/// One step of the fault script of a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultStep {
    /// Time from the start of the simulation.
    pub at: Span,
    /// Index of the first affected node.
    pub first_node: usize,
    /// Number of affected nodes, consecutive from the first.
    pub node_count: usize,
    /// The fault to inject.
    pub fault: Fault,
}

/// A complete description of a simulation, except for the scheduler and the seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Number of nodes.
    pub nodes: usize,
    /// Parameters of the cores of each node.
    pub machine: MachineModel,
    /// Settings of the scheduler. Its request classes must be those of `classes`, in the same order.
    pub settings: Settings,
    /// Load of each request class.
    pub classes: Vec<ClassLoad>,
    /// Offered load: work that arrives per second divided by the work that all cores can do per second.
    pub load: f64,
    /// Time during which requests arrive.
    pub duration: Span,
    /// Requests that arrive in this time from the start are left out of the outcome.
    pub warm_up: Span,
    /// Number of sidecars.
    pub sidecars: usize,
    /// How sidecars choose a node.
    pub balancing: LoadBalancing,
    /// When sidecars retry.
    pub retry_policy: RetryPolicy,
    /// When sidecars eject a node as an outlier; `None` turns ejection off.
    pub outliers: Option<OutlierLimits>,
    /// Mean one-way delay of a link. Delays are distributed exponentially.
    pub mean_link_delay: Span,
    /// The dependency that all nodes call; `None` if no class makes calls.
    pub dependency: Option<DependencyModel>,
    /// The fault script.
    pub faults: Vec<FaultStep>,
}

/// Settings of a simulated node whose cores are its only limit. The node is warm from the start, and has no quotas,
/// no downstream calls and no capacity advertisement. A scenario overrides the settings that it tests.
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
