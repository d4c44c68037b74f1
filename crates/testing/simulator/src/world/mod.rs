//! A run: clients, sidecars, links, nodes and the dependency in simulated time, on one seed. Nodes are the real engine
//! with any scheduler; the same seed gives the same run.
//!
//! | module | what it simulates |
//! | --- | --- |
//! | `clients` | births of requests, attempts, responses, deadlines |
//! | `nodes` | a node's engine and cores, a turn of its driver, its crash |
//! | `calls` | downstream calls between nodes and the dependency |
//! | `faults` | the steps of the scenario's script |

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

/// Stands where there is no attempt or no client request.
const NONE: u32 = u32::MAX;
/// A run goes on after the last birth for the longest deadline and so many mean link delays.
const DRAIN_LINK_DELAYS: f64 = 100.0;

/// How an attempt comes back to its sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Completed,
    Rejected { no_retry: bool },
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

    /// The word for it in the explanation of a request.
    fn word(self) -> &'static str {
        match self {
            Self::Completed => "Finished",
            Self::Rejected { no_retry: false } => "Rejected(false)",
            Self::Rejected { no_retry: true } => "Rejected(true)",
            Self::Failed => "Failed",
        }
    }
}

/// A life of a node: each restart begins another, and what is under way from an older one is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NodeLife {
    node: u16,
    incarnation: u32,
}

/// What happens at an instant.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client's request is born.
    Birth,
    /// An attempt reaches its node.
    AttemptArrives { attempt: u32, client_request: u32 },
    /// A response, or word of a broken connection, reaches the sidecar.
    ReplyArrives { attempt: u32, client_request: u32, reply: Reply },
    /// A node's timer is due, if the wake-up has this number still.
    NodeTimer { node: u16, wakeup: u32 },
    /// A run on a node's cores ends, if the wake-up has this number still.
    RunEnds { node: u16, wakeup: u32 },
    /// The client's deadline.
    Deadline { client_request: u32 },
    /// A step of the script.
    Fault { step: u16 },
    /// A graceful shutdown is over.
    Shutdown(NodeLife),
    /// The dependency's state changes, if the check has this number still.
    DependencyCheck { number: u32 },
    /// The end of a call reaches its node.
    CallEnds { life: NodeLife, request: RequestId, number: u64, succeeded: bool },
    /// A run that is ready to make its call ends, as nobody waits for it.
    RunAbandoned { life: NodeLife, request: RequestId },
}

/// Draws, each from a generator of its own, so that one does not shift the others.
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

/// What happened to one client request, in words.
#[derive(Default)]
struct Explanation {
    client_request: Option<u32>,
    lines: Vec<String>,
}

/// A run under way.
pub struct World<'a> {
    scenario: &'a Scenario,
    make_scheduler: MakeScheduler<'a>,
    seed: u64,
    random: Randomness,
    /// In microseconds, as all times of events are.
    now: u64,
    queue: EventQueue<Event>,
    nodes: Vec<Node>,
    dependency: Option<DependencyState>,
    calls: Calls,
    sidecars: Vec<Sidecar>,
    requests: Vec<ClientRequest>,
    attempts: Vec<Attempt>,
    /// Places in `attempts` that may be used again.
    free_attempts: Vec<u32>,
    /// Births a second.
    birth_rate: f64,
    /// In microseconds, with the fraction.
    next_birth: f64,
    measurements: Measurements,
    explanation: Explanation,
}

/// A time of an event.
fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

fn micros_of(at: Instant) -> u64 {
    (at - Instant::default()).micros()
}

impl<'a> World<'a> {
    /// A run at its start.
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
            birth_rate: scenario.load * cores / mean_work.max(1e-9),
            next_birth: 0.0,
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
        world.queue.push(0, Event::Birth);
        world
    }

    /// Has what happens to one client request told in words.
    pub fn explain(mut self, client_request: u32) -> Self {
        self.explanation.client_request = Some(client_request);
        self
    }

    /// Runs to the end. The lines are those asked for by [`World::explain`].
    pub fn run(mut self) -> (Outcome, Vec<String>) {
        // Nobody is born any more and nobody waits after this: what is left are timers.
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
            Event::Birth => self.birth(),
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
                    self.turn(n);
                }
            }
            Event::Deadline { client_request } => self.deadline(client_request),
            Event::Fault { step } => self.fault(usize::from(step)),
            Event::Shutdown(life) => {
                if self.nodes[usize::from(life.node)].incarnation == life.incarnation {
                    self.crash(life.node);
                }
            }
            Event::DependencyCheck { number } => {
                if self.calls.is_latest_check(number) {
                    self.check_dependency();
                }
            }
            Event::CallEnds { life, request, number, succeeded } => {
                self.call_ends(life, request, number, succeeded);
            }
            Event::RunAbandoned { life, request } => {
                if self.is_current(life) {
                    self.abandon_run(life.node, request);
                }
            }
        }
    }

    fn drain_time(&self) -> Span {
        let deadlines = self.scenario.classes.iter().map(|load| load.class.deadline);
        deadlines.max().unwrap_or_default() + self.scenario.mean_link_delay * DRAIN_LINK_DELAYS
    }

    /// Draws the delay of a link, in microseconds.
    fn link_delay(&mut self) -> u64 {
        let draw: f64 = Exp1.sample(&mut self.random.links);
        (draw * self.scenario.mean_link_delay.micros() as f64) as u64
    }

    fn tell(&mut self, client_request: u32, what: impl FnOnce() -> String) {
        if self.explanation.client_request == Some(client_request) {
            let line = format!("{:>10.6} s  {}", self.now as f64 / 1e6, what());
            self.explanation.lines.push(line);
        }
    }

    fn violated(&mut self, violation: Violation, node: u16, client_request: u32) {
        self.measurements.outcome.violations.record(violation, self.now, node, client_request);
    }

    fn finish(mut self) -> (Outcome, Vec<String>) {
        for n in 0..self.nodes.len() {
            let counts = self.nodes[n].engine.counts();
            if self.nodes[n].up && !(counts.is_consistent() && counts.in_flight == 0) {
                self.violated(Violation::ResponseLost, n as u16, NONE);
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
