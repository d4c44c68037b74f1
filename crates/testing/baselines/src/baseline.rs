//! A scheduler that runs one of several baseline algorithms for admission and queueing, chosen by [`BaselineKind`].

use crate::controlled_delay::ControlledDelay;
use crate::{reject, CALL_TIMEOUT};
use lynxtally::{Action, Event, Instant, Pcg, RequestId, Span};
use lynxtally_engine::Scheduler;
use std::collections::{BTreeMap, VecDeque};

/// The algorithm of a baseline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BaselineKind {
    /// A fixed number of workers and a bounded first-come, first-served queue.
    WorkerPool,
    /// A fixed number of workers without a queue: a request is rejected when no worker is free.
    FixedLimit,
    /// Additive increase, multiplicative decrease: rejects a request when the concurrency limit is reached. A run within
    /// the latency objective raises the limit by 1 / limit; a run that exceeds the objective cuts the limit by a factor.
    Aimd,
    /// Rejects a request when the concurrency limit is reached. The limit follows the ratio of the shortest run time seen
    /// to the current mean.
    Gradient,
    /// CoDel: while requests at the head of the queue have waited too long, they are rejected at an increasing rate.
    /// Source: K. Nichols, V. Jacobson, "Controlling Queue Delay" (2012).
    ControlledDelay,
    /// Reserves this fraction of the slots for the favored class; all classes share the rest.
    StaticPartition(f64),
    /// Rejects an arriving request with a probability that grows with the length of the queue. Source: S. Floyd,
    /// V. Jacobson, "Random Early Detection Gateways for Congestion Avoidance" (1993).
    RandomEarlyDetection,
}

/// Configuration of a [`Baseline`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BaselineConfig {
    /// The algorithm.
    pub kind: BaselineKind,
    /// Initial limit on the number of running requests; adaptive baselines change the limit later.
    pub slots: usize,
    /// Maximum number of queued requests.
    pub max_queue_length: usize,
    /// Time within which a run has to end to count as on time; CoDel also derives its target and interval from it.
    pub latency_objective: Span,
    /// Index of the request class that a static partition reserves slots for.
    pub favored_class: usize,
}

struct QueuedRequest {
    request: RequestId,
    queued_at: Instant,
    class: usize,
}

struct RunningRequest {
    class: usize,
    started_at: Instant,
}

/// A scheduler that runs the algorithm of its [`BaselineConfig`].
pub struct Baseline {
    config: BaselineConfig,
    /// Limit on the number of running requests; a fraction when an algorithm adapts it gradually.
    limit: f64,
    queue: VecDeque<QueuedRequest>,
    running: BTreeMap<RequestId, RunningRequest>,
    random: Pcg,
    actions: Vec<Action>,
    health_reported: bool,
    /// Shortest run so far, in seconds.
    min_run_time: f64,
    /// Exponentially weighted mean of the run times, in seconds.
    mean_run_time: f64,
    controlled_delay: ControlledDelay,
}

/// Factor by which AIMD multiplies the limit after a run that exceeded the latency objective.
const AIMD_DECREASE: f64 = 0.7;
/// Weight of one run in the exponentially weighted means of the run time and of the gradient algorithm's limit.
const EWMA_WEIGHT: f64 = 1.0 / 16.0;
/// The gradient algorithm doesn't lower the limit until the mean run time is this many times the shortest one.
const TOLERATED_LATENCY_RATIO: f64 = 2.0;

impl Baseline {
    /// A baseline without requests. `seed` determines the draws of random early detection.
    pub fn new(config: BaselineConfig, seed: u64) -> Self {
        Self {
            config,
            limit: config.slots as f64,
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            random: Pcg::new(seed),
            actions: Vec::new(),
            health_reported: false,
            min_run_time: f64::INFINITY,
            mean_run_time: 0.0,
            controlled_delay: ControlledDelay::new(config.latency_objective),
        }
    }

    fn request_arrived(&mut self, now: Instant, request: RequestId, class: usize) {
        if self.rejects_arrival() || self.queue.len() >= self.config.max_queue_length {
            return reject(request, &mut self.actions);
        }
        self.queue.push_back(QueuedRequest { request, queued_at: now, class });
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
        let run_time = (now - run.started_at).secs();
        self.mean_run_time += (run_time - self.mean_run_time) * EWMA_WEIGHT;
        self.min_run_time = self.min_run_time.min(run_time);
        match self.config.kind {
            BaselineKind::Aimd if run_time > self.config.latency_objective.secs() => {
                self.limit = (self.limit * AIMD_DECREASE).max(1.0);
            }
            BaselineKind::Aimd => self.limit += 1.0 / self.limit,
            BaselineKind::Gradient => {
                let ratio = self.min_run_time * TOLERATED_LATENCY_RATIO / self.mean_run_time.max(1e-9);
                let target = self.limit * ratio.clamp(0.5, 1.0) + self.limit.sqrt();
                self.limit = (self.limit + (target - self.limit) * EWMA_WEIGHT).max(1.0);
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

    fn drop_expired_heads(&mut self, now: Instant) {
        while let Some(head) = self.queue.front() {
            if !self.controlled_delay.drops_head(now, head.queued_at) {
                return;
            }
            reject(head.request, &mut self.actions);
            self.queue.pop_front();
        }
    }

    /// Position in the queue of the request to start next, if there is a free slot for one.
    fn next_position(&self) -> Option<usize> {
        let free = self.limit.max(1.0) - self.running.len() as f64;
        if free < 1.0 {
            return None;
        }
        match self.config.kind {
            BaselineKind::StaticPartition(fraction) => self.next_of_partition(fraction),
            _ => (!self.queue.is_empty()).then_some(0),
        }
    }

    /// Prefers the favored class. Other classes never use the slots that are reserved for it.
    fn next_of_partition(&self, fraction: f64) -> Option<usize> {
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
            Event::Arrived(arrival) => self.request_arrived(now, arrival.request, arrival.class),
            Event::CallRequested(request) => {
                self.actions.push(Action::Call { request, timeout: CALL_TIMEOUT });
            }
            Event::RunEnded(request, _) => self.run_ended(now, request),
            Event::CallerGone(request) => self.caller_gone(request),
            _ => {}
        }
    }

    fn decide(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.health_reported, true) {
            self.actions.push(Action::SetHealth(true));
        }
        if self.config.kind == BaselineKind::ControlledDelay {
            self.drop_expired_heads(now);
        }
        while let Some(next) = self.next_position().and_then(|position| self.queue.remove(position)) {
            self.running.insert(next.request, RunningRequest { class: next.class, started_at: now });
            self.actions.push(Action::Start(next.request));
        }
        actions.append(&mut self.actions);
    }
}
