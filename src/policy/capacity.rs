//! How much fits on this machine?
//!
//! The rule has two parts. For speed: requests fit while their demand together stays under the learned
//! throughput, the demand that kept the cores full, and always while a core is free. For survival: memory,
//! and the number of started requests, stay under a safe fraction of what the machine survives; a cold one
//! survives less, and warms up over a slow start. Where the gauge shows idle cores though the throughput is
//! used up, the best queued request starts all the same and the throughput rises to what then runs.

use super::learning::LEARNING_GAIN;
use super::Policy;
use crate::*;

/// The fraction of the memory, and of the requests that the machine survives, that is used at most.
const SAFE_FRACTION: f64 = 0.85;
/// With a lower CPU utilization than this there is idle room.
const IDLE_CPU_UTILIZATION: f64 = 0.92;
/// The time that the gauge of the CPU utilization looks back over.
const GAUGE_WINDOW: Span = Span::from_millis(500);

/// The demand that keeps the cores full.
#[derive(Default)]
pub(super) struct Throughput {
    /// In cores.
    demand: f64,
    /// Since when every core has had a request.
    full_since: Option<Instant>,
    /// The gauge shows idle cores all the same.
    idle_room: bool,
}

impl Policy {
    /// Whether one more request of this demand, in cores, fits for speed. On a free core it always does.
    pub(super) fn fits_throughput(&self, demand: f64) -> bool {
        let usage = self.requests.usage();
        usage.demand + demand <= self.learned.throughput.demand || usage.running < self.profile.cores
    }

    /// Whether the machine survives one more run of a request with this much memory while queued. It has to
    /// bear all started requests on the cores at once, as all calls may return at once.
    pub(super) fn is_safe_to_start(&self, queued_kb: f64) -> bool {
        let settings = &self.settings;
        let usage = self.requests.usage();
        let running_per_core = 1.0 + (settings.max_running_per_core - 1.0) * self.warm_fraction();
        let max_started = running_per_core * self.profile.cores;
        let memory_kb = usage.memory_kb + queued_kb * (settings.running_memory_factor - 1.0);
        memory_kb <= self.memory_limit_kb() && usage.started + 1.0 <= max_started * SAFE_FRACTION
    }

    /// The memory that is used at most, in kilobytes.
    pub(super) fn memory_limit_kb(&self) -> f64 {
        self.settings.memory_kb * SAFE_FRACTION
    }

    /// How warm the machine is, from 0 to 1: the slow start of a cold one.
    fn warm_fraction(&self) -> f64 {
        if !self.settings.cold_start {
            return 1.0;
        }
        let age = (self.now - self.started) / self.settings.warmup_time;
        (self.settings.cold_capacity_fraction * (1.0 - age) + age).min(1.0)
    }

    /// Learns from a run that ended while the cores were full: the demand of one such request a core.
    pub(super) fn learn_throughput(&mut self, ended_demand: f64) {
        let usage = self.requests.usage();
        let demand = usage.demand + ended_demand;
        let running = usage.running + 1.0;
        let throughput = &mut self.learned.throughput;
        if running >= self.profile.cores && !throughput.idle_room {
            let full_cores_demand = demand * self.profile.cores / running;
            throughput.demand += (full_cores_demand - throughput.demand) * LEARNING_GAIN;
        }
    }

    /// The idle-room exception: starts the best queued request without the test of throughput where the cores
    /// were full for as long as the gauge looks back, and the gauge shows idle room.
    pub(super) fn use_idle_room(&mut self, cpu_utilization: Option<f64>) {
        let throughput = &mut self.learned.throughput;
        if self.requests.usage().running < self.profile.cores {
            throughput.full_since = None;
            return;
        }
        let full_since = *throughput.full_since.get_or_insert(self.now);
        let is_idle = cpu_utilization.is_some_and(|utilization| utilization < IDLE_CPU_UTILIZATION);
        throughput.idle_room = is_idle && self.now - full_since > GAUGE_WINDOW;
        if !throughput.idle_room {
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
