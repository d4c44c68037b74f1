//! Model of a node's CPU cores, used as the [`Executor`] of a simulated node. Running requests share the cores equally
//! (processor sharing): with n requests on c cores each request gets min(1, c/n) of a core. Above a threshold of requests
//! per core every request slows down, because memory, cache misses and context switches cost more. A cold node starts at a
//! fraction of its speed and speeds up linearly until it is warm.

use lynxtally::{Instant, RequestId, Span};
use lynxtally_engine::Executor;
use std::collections::{BTreeMap, BTreeSet};

/// Parameters of a node's cores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineModel {
    /// Number of cores.
    pub cores: u32,
    /// Running requests per core above which requests slow each other down.
    pub crowding_threshold: f64,
    /// Slowdown for each request per core above the threshold: the speed is 1 / (1 + slope x excess).
    pub crowding_slope: f64,
    /// Fraction of the full speed at which a cold node starts.
    pub cold_speed: f64,
    /// Time from a cold start until the node reaches its full speed.
    pub warmup_time: Span,
}

/// The work that a request causes on its node and on the dependency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestWork {
    /// Index of the client request that this request is an attempt of.
    pub client_request: u32,
    /// Time that the request takes on a core that it doesn't share, in seconds.
    pub work: f64,
    /// Work of the downstream call that the request makes after half of its own work, in seconds; zero if it makes none.
    pub call: f64,
}

/// A run that the scheduler started. The simulation checks the invariants for each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedRun {
    /// Id of the request on its node.
    pub request: RequestId,
    /// Index of the client request that the request is an attempt of.
    pub client_request: u32,
}

/// A downstream call that the scheduler started and the simulation has to send to the dependency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartedCall {
    /// The request that makes the call.
    pub request: RequestId,
    /// Number of the call, unique on its node.
    pub number: u64,
    /// Work of the call, in seconds.
    pub work: f64,
}

/// Why a run stopped using the cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPause {
    /// All of its work is done.
    Done,
    /// The first half of its work is done and its downstream call comes next.
    AtCall,
}

/// The state of a run that has a downstream call to make.
#[derive(Clone, Copy, Debug)]
struct AfterCall {
    /// Work that is left after the call, in seconds.
    work: f64,
    /// Whether the call is in flight.
    calling: bool,
}

/// The cores of one node.
pub struct Cores {
    machine: MachineModel,
    /// Work done so far by a hypothetical request that has been running since the start, in seconds (the virtual time of
    /// processor sharing). A run ends when this reaches the run's entry in `ends`.
    work_per_run: f64,
    /// Running requests, ordered by the value of `work_per_run` at which each ends, in nanoseconds.
    ends: BTreeSet<(u64, RequestId)>,
    end_of: BTreeMap<RequestId, u64>,
    /// Requests whose downstream call has not succeeded yet.
    after_call: BTreeMap<RequestId, AfterCall>,
    now: Instant,
    cold_since: Option<Instant>,
    /// Fraction of the full speed that an injected fault leaves; 1 without a fault.
    pub speed: f64,
    busy_seconds: f64,
    busy_since: Instant,
    /// Whether the scheduler requested gauges since the last reset of this flag.
    pub gauges_requested: bool,
    /// Runs that were started and not yet taken by the simulation.
    pub started_runs: Vec<StartedRun>,
    /// Calls that were started and not yet taken by the simulation.
    pub started_calls: Vec<StartedCall>,
    /// The call numbers of calls that were cancelled and not yet taken by the simulation.
    pub cancelled_calls: Vec<u64>,
}

/// Ends are whole nanoseconds of work, because floating-point numbers can't be keys of an ordered set.
const NANOS_PER_SECOND: f64 = 1e9;
/// Resolution of simulated time, in seconds: work that ends within one microsecond counts as ended.
const TIME_STEP_SECONDS: f64 = 1e-6;
/// The speed of a node changes while it warms up, so its next end is recomputed this many times during the warm-up.
const WARMUP_STEPS: f64 = 50.0;

impl Cores {
    /// Creates cores without running requests.
    pub fn new(machine: MachineModel, now: Instant, cold: bool) -> Self {
        Self {
            machine,
            work_per_run: 0.0,
            ends: BTreeSet::new(),
            end_of: BTreeMap::new(),
            after_call: BTreeMap::new(),
            now,
            cold_since: cold.then_some(now),
            speed: 1.0,
            busy_seconds: 0.0,
            busy_since: now,
            gauges_requested: false,
            started_runs: Vec::new(),
            started_calls: Vec::new(),
            cancelled_calls: Vec::new(),
        }
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.ends.len()
    }

    /// Speed of each run, in seconds of work per second.
    fn rate(&self) -> f64 {
        let (running, cores) = (self.ends.len() as f64, f64::from(self.machine.cores));
        let excess = (running / cores - self.machine.crowding_threshold).max(0.0);
        let warmth = self.cold_since.map_or(1.0, |since| {
            let age = (self.now - since) / self.machine.warmup_time;
            (self.machine.cold_speed + (1.0 - self.machine.cold_speed) * age).min(1.0)
        });
        let shared = (cores / running.max(1.0)).min(1.0);
        shared * warmth * self.speed / (1.0 + self.machine.crowding_slope * excess)
    }

    /// Advances the time to `now`, and adds the work done since the last update to the progress of each running request.
    pub fn advance(&mut self, now: Instant) {
        if now <= self.now {
            return;
        }
        let elapsed = (now - self.now).secs();
        if !self.ends.is_empty() {
            self.work_per_run += elapsed * self.rate();
            self.busy_seconds += elapsed * (self.ends.len() as f64 / f64::from(self.machine.cores)).min(1.0);
        }
        self.now = now;
    }

    /// When the next run ends if no run starts or stops before. While the node warms up, the result is at most one warm-up step
    /// ahead, because the speed changes.
    pub fn next_end(&self) -> Option<Instant> {
        let (end, _) = self.ends.first()?;
        let left = (*end as f64 / NANOS_PER_SECOND - self.work_per_run).max(0.0) / self.rate().max(1e-9);
        let warmup_time = self.machine.warmup_time;
        let warming = self.cold_since.is_some_and(|since| self.now - since < warmup_time);
        let left = if warming { left.min(warmup_time.secs() / WARMUP_STEPS) } else { left };
        Some(self.now + Span::from_micros((left * 1e6).ceil() as u64))
    }

    /// Removes and returns the runs that stopped using the cores by `now`.
    pub fn take_paused(&mut self, now: Instant) -> Vec<(RequestId, RunPause)> {
        self.advance(now);
        let reached = ((self.work_per_run + TIME_STEP_SECONDS) * NANOS_PER_SECOND) as u64;
        let mut paused = Vec::new();
        while let Some(&(end, request)) = self.ends.first().filter(|(end, _)| *end <= reached) {
            self.ends.remove(&(end, request));
            self.end_of.remove(&request);
            let has_call = self.after_call.contains_key(&request);
            paused.push((request, if has_call { RunPause::AtCall } else { RunPause::Done }));
        }
        paused
    }

    fn run_for(&mut self, request: RequestId, work: f64) {
        let end = ((self.work_per_run + work) * NANOS_PER_SECOND) as u64;
        self.ends.insert((end, request));
        self.end_of.insert(request, end);
    }

    /// Continues a run after its downstream call, or without the call if the run is degraded.
    pub fn resume(&mut self, request: RequestId) {
        if let Some(after) = self.after_call.remove(&request) {
            self.run_for(request, after.work);
        }
    }

    /// Records that a call failed. Its run can make the call again.
    pub fn call_failed(&mut self, request: RequestId) {
        self.after_call.entry(request).and_modify(|after| after.calling = false);
    }

    /// Drops a run that waits to make its call and has no call in flight. Returns whether the run was dropped.
    pub fn drop_at_call(&mut self, request: RequestId) -> bool {
        let on_cores = self.end_of.contains_key(&request);
        let waits = self.after_call.get(&request).is_some_and(|after| !after.calling);
        let dropped = !on_cores && waits;
        if dropped {
            self.after_call.remove(&request);
        }
        dropped
    }

    /// Mean utilization of the cores since the previous call of this method.
    pub fn take_utilization(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let elapsed = (now - self.busy_since).secs().max(1e-6);
        let utilization = (self.busy_seconds / elapsed).min(1.0);
        self.busy_seconds = 0.0;
        self.busy_since = now;
        utilization
    }
}

impl Executor<RequestWork> for Cores {
    fn start(&mut self, request: RequestId, work: &mut RequestWork) {
        let makes_call = work.call > 0.0;
        let first = if makes_call { work.work / 2.0 } else { work.work };
        if makes_call {
            self.after_call.insert(request, AfterCall { work: work.work - first, calling: false });
        }
        self.run_for(request, first);
        self.started_runs.push(StartedRun { request, client_request: work.client_request });
    }

    fn stop(&mut self, request: RequestId, _: &mut RequestWork) {
        if let Some(end) = self.end_of.remove(&request) {
            self.ends.remove(&(end, request));
        }
        self.after_call.remove(&request);
    }

    fn start_call(&mut self, request: RequestId, work: &mut RequestWork, number: u64, _: Span) -> bool {
        self.after_call.entry(request).and_modify(|after| after.calling = true);
        self.started_calls.push(StartedCall { request, number, work: work.call });
        true
    }

    fn cancel_call(&mut self, _: &mut RequestWork, number: u64) {
        self.cancelled_calls.push(number);
    }

    fn degrade(&mut self, request: RequestId, _: &mut RequestWork) {
        self.resume(request);
    }

    fn request_gauges(&mut self) {
        self.gauges_requested = true;
    }
}
