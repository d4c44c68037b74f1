//! The event loop of the fleet simulation: clients, sidecars, links, nodes and the dependency in simulated time. Each node
//! runs the real engine with the scheduler under test. All randomness comes from one seed, so a simulation can be repeated
//! exactly.
//!
//! | module | simulates |
//! | --- | --- |
//! | `clients` | creation of requests, attempts, responses, retries, deadlines |
//! | `nodes` | a node's engine and cores, the driver that runs them, crashes |
//! | `calls` | downstream calls between nodes and the dependency |
//! | `faults` | the steps of the scenario's fault script |

mod calls;
mod clients;
mod faults;
mod nodes;

use crate::dependency::DependencyState;
use crate::event_queue::EventQueue;
use crate::outcome::{Measurements, Outcome};
use crate::scenario::{MakeScheduler, Scenario};
use crate::sidecar::{AttemptEnd, Sidecar};
use crate::violations::Violation;
use calls::Calls;
use clients::{Attempt, ClientRequest};
use lynxtally::{Instant, RequestId, Span};
use nodes::Node;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

/// Marks the absence of an attempt or a client request.
const NO_ID: u32 = u32::MAX;
/// After the last request is created, the simulation continues for the longest deadline plus this many mean link delays.
const DRAIN_LINK_DELAYS: f64 = 100.0;

/// What the sidecar receives for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Completed,
    Rejected {
        no_retry: bool,
    },
    /// The node failed or its connection broke.
    Failed,
}

impl Reply {
    fn attempt_end(self) -> AttemptEnd {
        match self {
            Self::Completed => AttemptEnd::Succeeded,
            Self::Rejected { .. } => AttemptEnd::Rejected,
            Self::Failed => AttemptEnd::Failed,
        }
    }

    /// The text for this reply in the explanation of a request.
    fn explanation_text(self) -> &'static str {
        match self {
            Self::Completed => "Finished",
            Self::Rejected { no_retry: false } => "Rejected(false)",
            Self::Rejected { no_retry: true } => "Rejected(true)",
            Self::Failed => "Failed",
        }
    }
}

/// One incarnation of a node. Each restart starts a new one; events that belong to an older incarnation are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NodeInstance {
    node: u16,
    incarnation: u32,
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client creates its next request.
    RequestCreated,
    /// An attempt reaches its node.
    AttemptArrives { attempt: u32, client_request: u32 },
    /// A response, or the notice of a broken connection, reaches the sidecar.
    ReplyArrives { attempt: u32, client_request: u32, reply: Reply },
    /// A node's timer is due. The event is ignored if the node has scheduled a newer timer wake-up.
    NodeTimer { node: u16, wakeup: u32 },
    /// A run on a node's cores ends. The event is ignored if the node has scheduled a newer wake-up for the end of a run.
    RunEnds { node: u16, wakeup: u32 },
    /// The client's deadline for its request passes.
    Deadline { client_request: u32 },
    /// A step of the fault script is due.
    Fault { step: u16 },
    /// The time of a graceful shutdown is over and the node goes down.
    Shutdown(NodeInstance),
    /// The dependency's state changes. The event is ignored if a newer check is scheduled.
    DependencyCheck { number: u32 },
    /// The end of a downstream call reaches its node.
    CallEnds { instance: NodeInstance, request: RequestId, number: u64, succeeded: bool },
    /// A run that waits to make its downstream call is ended, because no response is owed for its request any more. The event
    /// is ignored if the run doesn't wait for its call.
    RunAbandoned { instance: NodeInstance, request: RequestId },
}

/// One random generator for each purpose, so that an additional draw for one purpose doesn't change the others.
struct Randomness {
    arrivals: Pcg64Mcg,
    work: Pcg64Mcg,
    links: Pcg64Mcg,
}

impl Randomness {
    fn new(seed: u64) -> Self {
        let generator = |n: u64| Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1000).wrapping_add(n));
        Self { arrivals: generator(1), work: generator(2), links: generator(3) }
    }
}

/// A readable trace of one client request.
#[derive(Default)]
struct Explanation {
    /// Index of the traced request; `None` if no trace is wanted.
    client_request: Option<u32>,
    lines: Vec<String>,
}

/// A simulation of a fleet. Create it with [`World::new`] and run it to its end with [`World::run`].
pub struct World<'a> {
    scenario: &'a Scenario,
    make_scheduler: MakeScheduler<'a>,
    seed: u64,
    random: Randomness,
    /// Simulated time in microseconds, like the times of all events.
    now: u64,
    queue: EventQueue<Event>,
    nodes: Vec<Node>,
    dependency: Option<DependencyState>,
    calls: Calls,
    sidecars: Vec<Sidecar>,
    requests: Vec<ClientRequest>,
    attempts: Vec<Attempt>,
    /// Indexes of unused entries of `attempts`.
    free_attempts: Vec<u32>,
    /// Mean number of requests created per second.
    request_rate: f64,
    /// When the next request is created, in microseconds with the fraction.
    next_request_at: f64,
    measurements: Measurements,
    explanation: Explanation,
}

fn instant_of(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

fn micros_of(instant: Instant) -> u64 {
    (instant - Instant::default()).micros()
}

impl<'a> World<'a> {
    /// Creates a simulation at its start.
    pub fn new(scenario: &'a Scenario, make_scheduler: MakeScheduler<'a>, seed: u64) -> Self {
        let mean_work: f64 = scenario.classes.iter().map(|load| load.share * load.mean_work).sum();
        let cores = f64::from(scenario.machine.cores) * scenario.nodes as f64;
        let mut world = Self {
            scenario,
            make_scheduler,
            seed,
            random: Randomness::new(seed),
            now: 0,
            queue: EventQueue::default(),
            nodes: Vec::new(),
            dependency: scenario.dependency.map(DependencyState::new),
            calls: Calls::default(),
            sidecars: (0..scenario.sidecars).map(|n| new_sidecar(scenario, seed, n)).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            free_attempts: Vec::new(),
            request_rate: scenario.load * cores / mean_work.max(1e-9),
            next_request_at: 0.0,
            measurements: Measurements::new(scenario.duration),
            explanation: Explanation::default(),
        };
        for n in 0..scenario.nodes {
            let node = world.new_node(n, 0, false);
            world.nodes.push(node);
            world.queue.push(0, Event::NodeTimer { node: n as u16, wakeup: 0 });
        }
        for (n, step) in scenario.faults.iter().enumerate() {
            world.queue.push(step.at.micros(), Event::Fault { step: n as u16 });
        }
        world.queue.push(0, Event::RequestCreated);
        world
    }

    /// Makes [`World::run`] return a readable trace of this client request.
    pub fn explain(mut self, client_request: u32) -> Self {
        self.explanation.client_request = Some(client_request);
        self
    }

    /// Runs the simulation to its end. Returns the outcome and the lines of the trace requested with [`World::explain`].
    pub fn run(mut self) -> (Outcome, Vec<String>) {
        // No requests are created and no client waits after this time, so only timers are left.
        let end = (self.scenario.duration + self.drain_time()).micros();
        while let Some((now, event)) = self.queue.pop() {
            self.now = now;
            self.measurements.outcome.events += 1;
            self.handle(event);
            if self.now > end {
                break;
            }
        }
        self.finish()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestCreated => self.create_request(),
            Event::AttemptArrives { attempt, client_request } => {
                self.attempt_arrives(attempt, client_request)
            }
            Event::ReplyArrives { attempt, client_request, reply } => {
                self.reply_arrives(attempt, client_request, reply);
            }
            Event::NodeTimer { node, wakeup } => self.node_timer(node, wakeup),
            Event::RunEnds { node: n, wakeup } => {
                let node = &self.nodes[usize::from(n)];
                if node.up && node.run_wakeup == wakeup {
                    self.drive_node(n);
                }
            }
            Event::Deadline { client_request } => self.deadline(client_request),
            Event::Fault { step } => self.inject_fault(usize::from(step)),
            Event::Shutdown(instance) => {
                if self.nodes[usize::from(instance.node)].incarnation == instance.incarnation {
                    self.crash(instance.node);
                }
            }
            Event::DependencyCheck { number } => {
                if self.calls.is_latest_check(number) {
                    self.check_dependency();
                }
            }
            Event::CallEnds { instance, request, number, succeeded } => {
                self.call_ends(instance, request, number, succeeded);
            }
            Event::RunAbandoned { instance, request } => {
                if self.is_current(instance) {
                    self.abandon_run(instance.node, request);
                }
            }
        }
    }

    /// How long the simulation continues after the last request is created.
    fn drain_time(&self) -> Span {
        let deadlines = self.scenario.classes.iter().map(|load| load.class.deadline);
        deadlines.max().unwrap_or_default() + self.scenario.mean_link_delay * DRAIN_LINK_DELAYS
    }

    /// Draws the delay of a link, in microseconds.
    fn link_delay(&mut self) -> u64 {
        let draw: f64 = Exp1.sample(&mut self.random.links);
        (draw * self.scenario.mean_link_delay.micros() as f64) as u64
    }

    /// Adds a line to the trace if it is for this client request.
    fn explain_event(&mut self, client_request: u32, description: impl FnOnce() -> String) {
        if self.explanation.client_request == Some(client_request) {
            let line = format!("{:>10.6} s  {}", self.now as f64 / 1e6, description());
            self.explanation.lines.push(line);
        }
    }

    fn record_violation(&mut self, violation: Violation, node: u16, client_request: u32) {
        self.measurements.outcome.violations.record(violation, self.now, node, client_request);
    }

    fn finish(mut self) -> (Outcome, Vec<String>) {
        for n in 0..self.nodes.len() {
            let counts = self.nodes[n].engine.counts();
            if self.nodes[n].up && !(counts.is_consistent() && counts.in_flight == 0) {
                self.record_violation(Violation::ResponseLost, n as u16, NO_ID);
            }
        }
        if let (Some(dependency), Some(model)) = (&self.dependency, self.scenario.dependency) {
            self.measurements.outcome.peak_dependency_load = dependency.peak_mean() / model.max_mean_calls;
        }
        (self.measurements.finish(), self.explanation.lines)
    }
}

fn new_sidecar(scenario: &Scenario, seed: u64, n: usize) -> Sidecar {
    let seed = seed.wrapping_mul(31).wrapping_add(n as u64);
    Sidecar::new(scenario.balancing, scenario.retry_policy, scenario.outliers, scenario.nodes, seed)
}
