//! The input of a simulation: the fleet, its demand and the injected faults. A scenario can be drawn from a seed.

use lynxtally::Pcg;
use lynxtally_messages::{BudgetKind, BudgetTerms};

/// How demand is spread over the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemandPattern {
    /// Every node has the same demand.
    Even,
    /// A tenth of the nodes has half of the demand.
    Skewed,
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Messages between a node and the coordinators are lost.
    Partition {
        /// Index of the node.
        node: usize,
        /// Whether requests of the node are lost.
        requests: bool,
        /// Whether responses to the node are lost.
        responses: bool,
    },
    /// A node's process is paused.
    Pause {
        /// Index of the node.
        node: usize,
    },
    /// A node's process is killed, and a new process with the same node name is started when the fault ends.
    Kill {
        /// Index of the node.
        node: usize,
    },
    /// A node's process shuts down gracefully, and a new process with the same node name is started when the fault ends.
    Leave {
        /// Index of the node.
        node: usize,
    },
    /// The leader is lost; the next leader is elected when the fault ends.
    LoseLeader,
    /// All coordinators stop; they have a leader again when the fault ends. Simulated in the same way as `LoseLeader`.
    StopCoordinators,
    /// Every message is lost with this probability.
    DropMessages(f64),
    /// This percentage of the nodes, from the first on, is killed at once and restarted when the fault ends.
    KillMany(usize),
}

/// A fault and when it is in effect, in microseconds of real time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// When the fault begins.
    pub from_us: u64,
    /// When the fault ends.
    pub until_us: u64,
    /// The kind of fault.
    pub kind: FaultKind,
}

/// A complete description of a simulation, except for the allocation rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Seed of the random generator of the simulation.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Duration of the simulation, in microseconds.
    pub duration_us: u64,
    /// Terms of the budget that the nodes share.
    pub terms: BudgetTerms,
    /// Mean duration of a call, in microseconds. Durations are distributed exponentially.
    pub mean_call_us: u64,
    /// Time after which a call is cancelled, in microseconds.
    pub call_timeout_us: u64,
    /// Time for which a cancelled call still runs downstream, in microseconds.
    pub cancellation_lag_us: u64,
    /// Maximum time that a request waits to start its call, in microseconds.
    pub queue_timeout_us: u64,
    /// Mean number of calls in flight that all requests would need, divided by the capacity.
    pub load: f64,
    /// How demand is spread over the nodes.
    pub demand: DemandPattern,
    /// Maximum actual drift between two clocks, in parts per million. The terms state the drift that leases allow for.
    pub real_drift_ppm: u64,
    /// The faults to inject.
    pub faults: Vec<ScheduledFault>,
}

/// Microseconds per millisecond.
const MICROS_PER_MS: u64 = 1000;

impl Scenario {
    /// A scenario without faults.
    pub fn without_faults(seed: u64, nodes: usize, capacity: u64, demand: DemandPattern) -> Self {
        let terms = BudgetTerms {
            kind: BudgetKind::Concurrency,
            capacity,
            min_per_node: 1,
            newcomer_reserve_permille: 30,
            lease_duration_us: 3000 * MICROS_PER_MS,
            max_clock_drift_ppm: 10_000,
            pause_margin_us: 100 * MICROS_PER_MS,
        };
        Self {
            seed,
            nodes,
            duration_us: 40_000 * MICROS_PER_MS,
            terms,
            mean_call_us: 200 * MICROS_PER_MS,
            call_timeout_us: 1000 * MICROS_PER_MS,
            cancellation_lag_us: 200 * MICROS_PER_MS,
            queue_timeout_us: 500 * MICROS_PER_MS,
            load: 0.8,
            demand,
            real_drift_ppm: 10_000,
            faults: Vec::new(),
        }
    }

    /// Draws a scenario with three to `max_nodes` nodes from a seed: its size, terms, load and faults.
    pub fn draw(seed: u64, max_nodes: usize) -> Self {
        let mut random = Pcg::new(seed);
        let mut draw_below = |limit: u64| u64::from(random.next_u32()) % limit.max(1);
        let nodes = 3 + draw_below(max_nodes as u64 - 2) as usize;
        let capacity = 1 + draw_below(nodes as u64 * 4);
        let demand = if draw_below(2) == 0 { DemandPattern::Even } else { DemandPattern::Skewed };
        let mut scenario = Self::without_faults(seed, nodes, capacity, demand);
        scenario.terms.min_per_node = draw_below(3);
        scenario.terms.newcomer_reserve_permille = draw_below(300);
        scenario.terms.lease_duration_us = (300 + draw_below(3000)) * MICROS_PER_MS;
        scenario.terms.max_clock_drift_ppm = draw_below(50_000);
        scenario.real_drift_ppm = scenario.terms.max_clock_drift_ppm;
        scenario.terms.pause_margin_us = draw_below(200) * MICROS_PER_MS;
        scenario.load = 0.3 + draw_below(20) as f64 / 10.0;
        scenario.duration_us = 20_000 * MICROS_PER_MS;
        // In a third of the scenarios calls take ten times as long, so that most of them time out.
        scenario.mean_call_us =
            (20 + draw_below(600)) * MICROS_PER_MS * if draw_below(3) == 0 { 10 } else { 1 };
        scenario.cancellation_lag_us = draw_below(500) * MICROS_PER_MS;
        for _ in 0..2 + draw_below(7 + nodes as u64 / 10) {
            let from_us = draw_below(scenario.duration_us);
            let until_us = from_us + (20 + draw_below(5000)) * MICROS_PER_MS;
            let node = draw_below(nodes as u64) as usize;
            let kind = match draw_below(10) {
                0 => FaultKind::Partition { node, requests: true, responses: false },
                1 => FaultKind::Partition { node, requests: false, responses: true },
                2 => FaultKind::Partition { node, requests: true, responses: true },
                3 => FaultKind::Pause { node },
                4 => FaultKind::Kill { node },
                5 => FaultKind::Leave { node },
                6 => FaultKind::LoseLeader,
                7 => FaultKind::StopCoordinators,
                8 => FaultKind::DropMessages(draw_below(6) as f64 / 10.0),
                _ => FaultKind::KillMany(draw_below(100) as usize),
            };
            scenario.faults.push(ScheduledFault { from_us, until_us, kind });
        }
        scenario
    }
}
