//! Capacity of the machine.
//!
//! Two bounds apply. Throughput: the total demand of running requests is at most the learned demand that
//! keeps all cores busy; a free core always takes one more. Safety: memory and the number of started requests
//! stay under a fraction of what the machine can take. A cold machine can take fewer started requests; their
//! number rises over a slow start. If the throughput is used up but the gauge shows idle cores, the queued
//! request with the highest rate starts anyway, and the throughput rises to the total demand that then runs.

use super::learning::LEARNING_GAIN;
use super::Policy;
use crate::*;

/// Largest fraction that is used of the memory, and of the started requests that the machine can take.
const SAFE_FRACTION: f64 = 0.85;
/// Cores count as idle below this CPU utilization.
const IDLE_CPU_UTILIZATION: f64 = 0.92;
/// Averaging window of the CPU utilization gauge.
const GAUGE_WINDOW: Span = Span::from_millis(500);

/// The learned demand that keeps the cores full.
#[derive(Default)]
pub(super) struct Throughput {
    /// The learned demand, in cores.
    demand: f64,
    /// Since when every core has had a request.
    full_since: Option<Instant>,
    /// The gauge shows idle cores although every core has a request.
    has_idle_cores: bool,
}

impl Policy {
    /// Whether a request of this demand, in cores, fits under the throughput. It always fits on a free core.
    pub(super) fn fits_throughput(&self, demand: f64) -> bool {
        let usage = self.requests.usage();
        usage.demand + demand <= self.learned.throughput.demand || usage.running < self.profile.cores
    }

    /// Whether the machine can take the run of one more request that uses `queued_kb` while it is queued. All
    /// started requests count as running, because all their calls may return at the same time.
    pub(super) fn is_safe_to_start(&self, queued_kb: f64) -> bool {
        let settings = &self.settings;
        let usage = self.requests.usage();
        let running_per_core = 1.0 + (settings.max_running_per_core - 1.0) * self.warm_fraction();
        let max_started = running_per_core * self.profile.cores;
        let memory_kb = usage.memory_kb + queued_kb * (settings.running_memory_factor - 1.0);
        memory_kb <= self.memory_limit_kb() && usage.started + 1.0 <= max_started * SAFE_FRACTION
    }

    /// The memory limit of the policy, in kilobytes.
    pub(super) fn memory_limit_kb(&self) -> f64 {
        self.settings.memory_kb * SAFE_FRACTION
    }

    /// The capacity as a fraction of a warm machine's, which rises during the slow start of a cold one.
    fn warm_fraction(&self) -> f64 {
        if !self.settings.cold_start {
            return 1.0;
        }
        let age = (self.now - self.started) / self.settings.warmup_time;
        (self.settings.cold_capacity_fraction * (1.0 - age) + age).min(1.0)
    }

    /// Learns from a run that ended while all cores were busy: the mean demand of the running requests times
    /// the number of cores.
    pub(super) fn learn_throughput(&mut self, ended_demand: f64) {
        let usage = self.requests.usage();
        let demand = usage.demand + ended_demand;
        let running = usage.running + 1.0;
        let throughput = &mut self.learned.throughput;
        if running >= self.profile.cores && !throughput.has_idle_cores {
            let full_cores_demand = demand * self.profile.cores / running;
            throughput.demand += (full_cores_demand - throughput.demand) * LEARNING_GAIN;
        }
    }

    /// Starts the queued request with the highest rate without the throughput check, if every core had a
    /// request for a whole gauge window and the gauge still shows idle cores.
    pub(super) fn use_idle_cores(&mut self, cpu_utilization: Option<f64>) {
        let throughput = &mut self.learned.throughput;
        if self.requests.usage().running < self.profile.cores {
            throughput.full_since = None;
            return;
        }
        let full_since = *throughput.full_since.get_or_insert(self.now);
        let is_idle = cpu_utilization.is_some_and(|utilization| utilization < IDLE_CPU_UTILIZATION);
        throughput.has_idle_cores = is_idle && self.now - full_since > GAUGE_WINDOW;
        if !throughput.has_idle_cores {
            return;
        }
        let Some(id) = self.requests.run_queue().highest() else { return };
        if self.is_safe_to_start(self.requests[id].memory_kb) {
            self.learned.throughput.full_since = Some(self.now);
            self.start(id);
            let throughput = &mut self.learned.throughput;
            throughput.demand = throughput.demand.max(self.requests.usage().demand);
        }
    }
}
