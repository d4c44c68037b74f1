//! The baselines that decide by more than a fixed limit.

use crate::controlled_delay::ControlledDelay;
use crate::{reject, CALL_TIMEOUT};
use lynxtally::{Action, Event, Instant, Pcg, RequestId, Span};
use lynxtally_engine::Scheduler;
use std::collections::{BTreeMap, VecDeque};

/// How a baseline works.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BaselineKind {
    /// A pool of workers with a bounded queue, first come, first served.
    WorkerPool,
    /// The same, and what would have to wait at all is rejected.
    FixedLimit,
    /// The limit grows by one for each that ends in time and is cut when one is late.
    Aimd,
    /// The limit follows the ratio of the shortest latency seen to the present one.
    Gradient,
    /// What waited too long for a whole interval is dropped at the head, ever faster. Source: K. Nichols, V. Jacobson,
    /// "Controlling Queue Delay" (2012).
    ControlledDelay,
    /// This fraction of the slots for the class of the highest utility, the rest for all.
    StaticPartition(f64),
    /// The longer the queue, the likelier a request is rejected at its arrival. Source: S. Floyd, V. Jacobson, "Random
    /// Early Detection Gateways for Congestion Avoidance" (1993).
    RandomEarlyDetection,
}

/// What a baseline is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BaselineConfig {
    /// How it works.
    pub kind: BaselineKind,
    /// How many run at once, at first.
    pub slots: usize,
    /// How many wait at most.
    pub max_queue_length: usize,
    /// How long a request may take.
    pub latency_objective: Span,
    /// The index of the class that a split favours.
    pub favored_class: usize,
}

struct QueuedRequest {
    request: RequestId,
    since: Instant,
    class: usize,
}

struct RunningRequest {
    class: usize,
    since: Instant,
}

/// A baseline.
pub struct Baseline {
    config: BaselineConfig,
    /// The limit on what runs.
    limit: f64,
    queue: VecDeque<QueuedRequest>,
    running: BTreeMap<RequestId, RunningRequest>,
    random: Pcg,
    actions: Vec<Action>,
    started: bool,
    /// Of the runs, in seconds.
    min_latency: f64,
    mean_latency: f64,
    controlled_delay: ControlledDelay,
}

/// A late request cuts the limit to this part.
const DECREASE: f64 = 0.7;
/// What one run moves the mean latency and the limit that follows it.
const GAIN: f64 = 1.0 / 16.0;
/// The limit is not cut before the latency is so many times the shortest.
const TOLERATED_LATENCY: f64 = 2.0;

impl Baseline {
    /// A baseline without requests.
    pub fn new(config: BaselineConfig, seed: u64) -> Self {
        Self {
            config,
            limit: config.slots as f64,
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            random: Pcg::new(seed),
            actions: Vec::new(),
            started: false,
            min_latency: f64::INFINITY,
            mean_latency: 0.0,
            controlled_delay: ControlledDelay::new(config.latency_objective),
        }
    }

    fn arrived(&mut self, now: Instant, request: RequestId, class: usize) {
        if self.rejects_arrival() || self.queue.len() >= self.config.max_queue_length {
            return reject(request, &mut self.actions);
        }
        self.queue.push_back(QueuedRequest { request, since: now, class });
    }

    fn rejects_arrival(&mut self) -> bool {
        match self.config.kind {
            BaselineKind::FixedLimit | BaselineKind::Aimd | BaselineKind::Gradient => {
                self.running.len() + self.queue.len() >= self.limit as usize
            }
            BaselineKind::RandomEarlyDetection => {
                let filled = self.queue.len() as f64 / self.config.max_queue_length as f64;
                self.random.unit() < filled.powi(2)
            }
            BaselineKind::WorkerPool | BaselineKind::ControlledDelay | BaselineKind::StaticPartition(_) => {
                false
            }
        }
    }

    fn run_ended(&mut self, now: Instant, request: RequestId) {
        self.actions.push(Action::ReleaseId(request));
        let Some(run) = self.running.remove(&request) else { return };
        let latency = (now - run.since).secs();
        self.mean_latency += (latency - self.mean_latency) * GAIN;
        self.min_latency = self.min_latency.min(latency);
        match self.config.kind {
            BaselineKind::Aimd if latency > self.config.latency_objective.secs() => {
                self.limit = (self.limit * DECREASE).max(1.0);
            }
            BaselineKind::Aimd => self.limit += 1.0 / self.limit,
            BaselineKind::Gradient => {
                let ratio = self.min_latency * TOLERATED_LATENCY / self.mean_latency.max(1e-9);
                let target = self.limit * ratio.clamp(0.5, 1.0) + self.limit.sqrt();
                self.limit = (self.limit + (target - self.limit) * GAIN).max(1.0);
            }
            _ => {}
        }
    }

    fn caller_gone(&mut self, request: RequestId) {
        if let Some(position) = self.queue.iter().position(|queued| queued.request == request) {
            self.queue.remove(position);
            self.actions.push(Action::ReleaseId(request));
        }
    }

    fn drop_late(&mut self, now: Instant) {
        while let Some(head) = self.queue.front() {
            if !self.controlled_delay.drops_head(now, head.since) {
                return;
            }
            reject(head.request, &mut self.actions);
            self.queue.pop_front();
        }
    }

    /// The position in the queue of the next request that may start.
    fn next_position(&self) -> Option<usize> {
        let free = self.limit.max(1.0) - self.running.len() as f64;
        if free < 1.0 {
            return None;
        }
        match self.config.kind {
            BaselineKind::StaticPartition(fraction) => self.next_of_split(fraction),
            _ => (!self.queue.is_empty()).then_some(0),
        }
    }

    /// The favoured class first; of its slots no other class takes any.
    fn next_of_split(&self, fraction: f64) -> Option<usize> {
        let favored_class = self.config.favored_class;
        let reserved = self.limit * fraction;
        let favored = self.running.values().filter(|run| run.class == favored_class).count() as f64;
        let others = self.running.len() as f64 - favored;
        let others_fit = self.limit - reserved - others >= 1.0;
        let position =
            |favored: bool| self.queue.iter().position(|queued| (queued.class == favored_class) == favored);
        position(true).or_else(|| position(false).filter(|_| others_fit))
    }
}

impl Scheduler for Baseline {
    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrived(arrival) => self.arrived(now, arrival.request, arrival.class),
            Event::CallRequested(request) => {
                self.actions.push(Action::Call { request, timeout: CALL_TIMEOUT });
            }
            Event::RunEnded(request, _) => self.run_ended(now, request),
            Event::CallerGone(request) => self.caller_gone(request),
            _ => {}
        }
    }

    fn decide(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.started, true) {
            self.actions.push(Action::SetHealth(true));
        }
        if self.config.kind == BaselineKind::ControlledDelay {
            self.drop_late(now);
        }
        while let Some(next) = self.next_position().and_then(|position| self.queue.remove(position)) {
            self.running.insert(next.request, RunningRequest { class: next.class, since: now });
            self.actions.push(Action::Start(next.request));
        }
        actions.append(&mut self.actions);
    }
}
