//! The cores of a node: requests share them alike (processor sharing), and crowding slows them down. With n requests on c
//! cores each gets min(1, c/n) of a core; past a threshold of requests a core all of them slow down, as memory, caches and
//! switching cost more. A cold node is slow at first.

use lynxtally::{Instant, RequestId, Span};
use lynxtally_engine::Executor;
use std::collections::{BTreeMap, BTreeSet};

/// A model of a node's cores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineModel {
    /// How many cores.
    pub cores: u32,
    /// From so many requests a core on they slow each other down.
    pub crowding_threshold: f64,
    /// By so much for each further request a core: the speed is 1 / (1 + slope x excess).
    pub crowding_slope: f64,
    /// A cold node begins with this part of its speed.
    pub cold_speed: f64,
    /// And is warm after this.
    pub warmup_time: Span,
}

/// A request's work, as it comes to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestWork {
    /// The client's request.
    pub client_request: u32,
    /// Work on a core of its own, in seconds.
    pub work: f64,
    /// Work of the downstream call that it makes half way, in seconds; zero where it makes none.
    pub call: f64,
}

/// A run that began, for the check of the invariants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedRun {
    /// The request on its node.
    pub request: RequestId,
    /// The client's request that it is an attempt of.
    pub client_request: u32,
}

/// A downstream call that is to be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartedCall {
    /// The request that makes it.
    pub request: RequestId,
    /// The call's number on its node.
    pub number: u64,
    /// Its work, in seconds.
    pub work: f64,
}

/// Why a run leaves the cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPause {
    /// It is over.
    Done,
    /// It is ready to make its call.
    AtCall,
}

/// What follows a run's call.
#[derive(Clone, Copy, Debug)]
struct AfterCall {
    /// Work that is left after it, in seconds.
    work: f64,
    /// Whether the call is under way.
    calling: bool,
}

/// The cores of one node.
pub struct Cores {
    machine: MachineModel,
    /// Work that a request running since the start would have had, in seconds; a run is over once its own end is reached.
    work_per_run: f64,
    /// The running requests by their end, in nanoseconds of work.
    ends: BTreeSet<(u64, RequestId)>,
    end_of: BTreeMap<RequestId, u64>,
    /// Requests with a call to make.
    after_call: BTreeMap<RequestId, AfterCall>,
    now: Instant,
    cold_since: Option<Instant>,
    /// The part of its speed that a fault leaves.
    pub speed: f64,
    busy_seconds: f64,
    busy_since: Instant,
    /// The gauges were asked for.
    pub gauges_requested: bool,
    /// Runs that began.
    pub started_runs: Vec<StartedRun>,
    /// Calls that are to be made.
    pub started_calls: Vec<StartedCall>,
    /// Calls that were cancelled, by their numbers.
    pub cancelled_calls: Vec<u64>,
}

/// Ends are counted in nanoseconds of work, so that they can be ordered.
const NANOS_PER_SECOND: f64 = 1e9;
/// Time is counted in microseconds: work that ends less than one away has ended.
const TIME_STEP: f64 = 1e-6;
/// While a node warms up its speed changes: its next end is computed anew so many times.
const WARMUP_STEPS: f64 = 50.0;

impl Cores {
    /// Cores without requests.
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

    /// How many requests run.
    pub fn running(&self) -> usize {
        self.ends.len()
    }

    /// The speed of one run, in seconds of work a second.
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

    /// Time passes.
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

    /// When the next run ends, if nothing changes; sooner while the node warms up, as its speed changes.
    pub fn next_end(&self) -> Option<Instant> {
        let (end, _) = self.ends.first()?;
        let left = (*end as f64 / NANOS_PER_SECOND - self.work_per_run).max(0.0) / self.rate().max(1e-9);
        let warmup_time = self.machine.warmup_time;
        let warming = self.cold_since.is_some_and(|since| self.now - since < warmup_time);
        let left = if warming { left.min(warmup_time.secs() / WARMUP_STEPS) } else { left };
        Some(self.now + Span::from_micros((left * 1e6).ceil() as u64))
    }

    /// The runs that have left the cores by now.
    pub fn take_paused(&mut self, now: Instant) -> Vec<(RequestId, RunPause)> {
        self.advance(now);
        let reached = ((self.work_per_run + TIME_STEP) * NANOS_PER_SECOND) as u64;
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

    /// A run goes on after its call.
    pub fn resume(&mut self, request: RequestId) {
        if let Some(after) = self.after_call.remove(&request) {
            self.run_for(request, after.work);
        }
    }

    /// A call failed: its run is ready to make it again.
    pub fn call_failed(&mut self, request: RequestId) {
        self.after_call.entry(request).and_modify(|after| after.calling = false);
    }

    /// Ends a run that is ready to make its call and has none under way; tells whether it was so.
    pub fn drop_at_call(&mut self, request: RequestId) -> bool {
        let on_cores = self.end_of.contains_key(&request);
        let waits = self.after_call.get(&request).is_some_and(|after| !after.calling);
        let dropped = !on_cores && waits;
        if dropped {
            self.after_call.remove(&request);
        }
        dropped
    }

    /// How busy the cores were since this was last asked.
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
