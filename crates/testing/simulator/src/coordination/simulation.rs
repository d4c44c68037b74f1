//! The run: an agenda of events to come, in real time.

use super::clock::DriftingClock;
use super::coordinators::{AddressedResponse, Coordinators, Sender};
use super::node::{Node, Process, Turn};
use super::scenario::{DemandPattern, Scenario};
use lynxtally::{Pcg, Span};
use lynxtally_lease_client::OutgoingRequest;
use lynxtally_messages::{NodeRequest, NodeResponse};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// By which rule calls are started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllocationRule {
    /// By leases.
    Leases,
    /// Each node has an equal part for good; of units that do not go round the first nodes have one.
    EqualShares,
    /// As one that sees everything at once would.
    Omniscient,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunStatistics {
    /// Calls that were started in each window of 100 ms.
    pub started_per_window: Vec<u64>,
    /// Calls that were requested.
    pub requested: u64,
    /// Those of them that were started in time.
    pub served: u64,
    /// The most calls in flight downstream at one moment.
    pub max_in_flight: u64,
    /// Events.
    pub events: u64,
    /// Entries in the log.
    pub log_entries: u64,
}

/// More calls were in flight than the capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityExceeded {
    /// The seed that replays it.
    pub seed: u64,
    /// When, in microseconds of real time.
    pub at_us: u64,
    /// The calls in flight.
    pub in_flight: u64,
    /// The capacity.
    pub capacity: u64,
}

impl fmt::Display for CapacityExceeded {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Self { seed, at_us, in_flight, capacity } = self;
        write!(f, "seed {seed}: at {at_us} us {in_flight} calls were in flight, of {capacity}")
    }
}

impl std::error::Error for CapacityExceeded {}

/// What happens at a moment.
enum Event {
    /// A request that needs a call comes to a node.
    Request(usize),
    /// A node has something to do.
    Wake(usize),
    /// A call arrives downstream.
    CallArrives,
    /// A call ends downstream.
    CallEnds,
    /// A node's request comes to the coordinators.
    RequestArrives(Sender, Box<NodeRequest>),
    /// A response comes to a node, or surely none will.
    ResponseArrives(Sender, Option<Box<NodeResponse>>),
    /// A log entry may be agreed on.
    Agreement,
    /// The leader's tick.
    Tick,
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds(usize),
}

pub(super) struct Simulation<'a> {
    pub(super) scenario: &'a Scenario,
    rule: AllocationRule,
    pub(super) random: Pcg,
    /// Real time, in microseconds.
    now: u64,
    /// By time, and in the order in which they were scheduled.
    agenda: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    pub(super) nodes: Vec<Node>,
    pub(super) coordinators: Coordinators,
    pub(super) loss_probability: f64,
    /// For the omniscient rule: when each request that waits gives up.
    pool: VecDeque<u64>,
    /// Calls in flight downstream.
    in_flight: u64,
    /// Calls that were started, also those that have not arrived downstream.
    started: u64,
    figures: RunStatistics,
}

/// The longest time that a message takes, in microseconds.
const MAX_DELAY_US: f64 = 10_000.0;
/// Messages come twice with this probability, the second time this many times later.
const DUPLICATE_PROBABILITY: f64 = 0.02;
const DUPLICATE_DELAYS: u64 = 50;
/// Calls are held up between the look at the clock and the call itself with this probability.
const HOLD_UP_PROBABILITY: f64 = 0.1;
const TICK_US: u64 = 250_000;
const WINDOW_US: u64 = 100_000;

/// Runs a scenario.
///
/// # Errors
/// More calls were in flight downstream than the capacity.
pub fn run(scenario: &Scenario, rule: AllocationRule) -> Result<RunStatistics, CapacityExceeded> {
    let mut random = Pcg::new(scenario.seed ^ 0x5eed);
    let coordinators = Coordinators::new(&mut random, scenario.terms, scenario.real_drift_ppm);
    let top = scenario.nodes.div_ceil(10);
    let all = scenario.load * scenario.terms.capacity as f64;
    let demand = |at: usize| match scenario.demand {
        DemandPattern::Even => all / scenario.nodes as f64,
        DemandPattern::Skewed if at < top => all / 2.0 / top as f64,
        DemandPattern::Skewed => all / 2.0 / (scenario.nodes - top).max(1) as f64,
    };
    let nodes = (0..scenario.nodes)
        .map(|at| Node {
            clock: DriftingClock::draw(&mut random, scenario.real_drift_ppm),
            process_number: 0,
            process: None,
            paused_until: 0,
            requests_cut_until: 0,
            responses_cut_until: 0,
            next_wake: u64::MAX,
            demand: demand(at),
        })
        .collect();
    let mut simulation = Simulation {
        scenario,
        rule,
        random,
        now: 0,
        agenda: BTreeMap::new(),
        scheduled: 0,
        nodes,
        coordinators,
        loss_probability: 0.0,
        pool: VecDeque::new(),
        in_flight: 0,
        started: 0,
        figures: RunStatistics::default(),
    };
    simulation.run()
}

impl Simulation<'_> {
    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.agenda.insert((at.max(self.now), self.scheduled), event);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.unit()).ln()
    }

    fn run(&mut self) -> Result<RunStatistics, CapacityExceeded> {
        for node in 0..self.scenario.nodes {
            self.start(node);
            self.schedule_request(node);
        }
        self.schedule(TICK_US, Event::Tick);
        for (n, fault) in self.scenario.faults.iter().enumerate() {
            self.schedule(fault.from_us, Event::FaultBegins(n));
            self.schedule(fault.until_us, Event::FaultEnds(n));
        }
        while let Some(((at, _), event)) = self.agenda.pop_first() {
            if at > self.scenario.duration_us {
                break;
            }
            self.now = at;
            self.figures.events += 1;
            self.handle(event);
            self.figures.max_in_flight = self.figures.max_in_flight.max(self.in_flight);
            let capacity = self.scenario.terms.capacity;
            // A static part knows nothing of the calls of a process before it, so only leases are held to the capacity.
            if self.rule == AllocationRule::Leases && self.in_flight > capacity {
                return Err(CapacityExceeded {
                    seed: self.scenario.seed,
                    at_us: at,
                    in_flight: self.in_flight,
                    capacity,
                });
            }
        }
        self.figures.log_entries = self.coordinators.state.applied_index();
        Ok(std::mem::take(&mut self.figures))
    }

    pub(super) fn start(&mut self, at: usize) {
        let seed = u64::from(self.random.next_u32()) << 16 | at as u64;
        let node = &mut self.nodes[at];
        node.process_number += 1;
        node.process = Some(Process::new(self.scenario, at, seed, node.clock.shows(self.now)));
        self.turn(at);
    }

    fn schedule_request(&mut self, at: usize) {
        let mean = self.scenario.mean_call_us as f64 / self.nodes[at].demand.max(1e-6);
        let wait = self.exponential(mean) as u64;
        self.schedule(self.now + wait.max(1), Event::Request(at));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(node) => self.request_arrives(node),
            // Only the last wake that was set counts.
            Event::Wake(node) if self.nodes[node].next_wake == self.now => {
                self.nodes[node].next_wake = u64::MAX;
                self.turn(node);
            }
            Event::Wake(_) => {}
            Event::CallArrives => self.in_flight += 1,
            Event::CallEnds => self.call_ends(),
            Event::RequestArrives(sender, request) => self.coordinators_receive(sender, *request),
            Event::ResponseArrives(sender, response) => self.node_receives(sender, response),
            Event::Agreement => {
                for AddressedResponse { sender, response } in self.coordinators.apply_agreed(self.now) {
                    self.send_response(sender, Some(response));
                }
            }
            Event::Tick => self.tick(),
            Event::FaultBegins(n) => self.begin_fault(self.scenario.faults[n]),
            Event::FaultEnds(n) => self.end_fault(self.scenario.faults[n]),
        }
    }

    fn call_ends(&mut self) {
        self.in_flight -= 1;
        self.started -= 1;
        if self.rule == AllocationRule::Omniscient {
            self.serve_pool();
        }
    }

    fn coordinators_receive(&mut self, sender: Sender, request: NodeRequest) {
        match self.coordinators.receive(&mut self.random, self.now, request, sender) {
            Some(agreed_at) => self.schedule(agreed_at, Event::Agreement),
            None => self.send_response(sender, None),
        }
    }

    fn node_receives(&mut self, sender: Sender, response: Option<Box<NodeResponse>>) {
        let node = &mut self.nodes[sender.node];
        if node.process_number != sender.process || node.process.is_none() {
            return;
        }
        if node.paused_until > self.now {
            let wake_at = node.paused_until;
            return self.schedule(wake_at, Event::ResponseArrives(sender, response));
        }
        let now = node.clock.shows(self.now);
        if let Some(process) = &mut node.process {
            process.client.on_response(now, sender.token, response.map(|response| *response));
        }
        self.turn(sender.node);
    }

    fn tick(&mut self) {
        if let Some(agreed_at) = self.coordinators.tick(&mut self.random, self.now) {
            self.schedule(agreed_at, Event::Agreement);
        }
        self.schedule(self.now + TICK_US, Event::Tick);
    }

    fn request_arrives(&mut self, at: usize) {
        self.schedule_request(at);
        self.figures.requested += 1;
        let node = &self.nodes[at];
        if node.process.as_ref().is_none_or(|process| process.leaving) {
            return;
        }
        if self.rule == AllocationRule::Omniscient {
            if node.paused_until <= self.now {
                self.pool.push_back(self.now + self.scenario.queue_timeout_us);
                self.serve_pool();
            }
            return;
        }
        let gives_up_at = node.clock.shows(self.now) + Span::from_micros(self.scenario.queue_timeout_us);
        if let Some(process) = &mut self.nodes[at].process {
            process.request_call(gives_up_at);
        }
        self.turn(at);
    }

    /// A node's equal part of the capacity, for the rule by which nothing has to be told.
    fn static_part(&self, at: usize) -> Option<u64> {
        let (nodes, capacity) = (self.scenario.nodes as u64, self.scenario.terms.capacity);
        let part = capacity / nodes + u64::from((at as u64) < capacity % nodes);
        (self.rule == AllocationRule::EqualShares).then_some(part)
    }

    /// The omniscient rule starts the first call that waits as soon as there is room downstream.
    fn serve_pool(&mut self) {
        let now = self.now;
        while self.pool.pop_front_if(|gives_up_at| *gives_up_at <= now).is_some() {}
        while self.started < self.scenario.terms.capacity && self.pool.pop_front().is_some() {
            self.start_call(0);
        }
    }

    /// Starts a call, which arrives downstream after `hold_up_us`. It is over there when it is done, or when its
    /// cancellation lag is over. After which time that is, in microseconds.
    fn start_call(&mut self, hold_up_us: u64) -> u64 {
        self.figures.served += 1;
        let window = (self.now / WINDOW_US) as usize;
        let windows = &mut self.figures.started_per_window;
        windows.resize(windows.len().max(window + 1), 0);
        windows[window] += 1;
        self.started += 1;
        let mean = self.scenario.mean_call_us as f64;
        let longest = self.scenario.call_timeout_us + self.scenario.cancellation_lag_us;
        let takes = (self.exponential(mean) as u64).max(1).min(longest);
        self.schedule(self.now + hold_up_us, Event::CallArrives);
        self.schedule(self.now + hold_up_us + takes, Event::CallEnds);
        hold_up_us + takes
    }

    /// One turn of a node's process, unless it is paused.
    pub(super) fn turn(&mut self, at: usize) {
        if self.rule == AllocationRule::Omniscient {
            return;
        }
        let static_part = self.static_part(at);
        let node = &mut self.nodes[at];
        let clock = node.clock;
        if node.paused_until > self.now {
            let wake_at = node.paused_until;
            return self.wake(at, wake_at);
        }
        let now = clock.shows(self.now);
        let Some(process) = &mut node.process else { return };
        let Turn { started, request } = process.turn(now, static_part);
        for _ in 0..started {
            self.start_call_of(at);
        }
        if let Some(request) = request {
            self.send_request(at, request);
        }
        let Some(process) = &mut self.nodes[at].process else { return };
        if static_part.is_none() && process.client.has_ended() && process.leaving {
            self.nodes[at].process = None;
            return;
        }
        if let Some(deadline) = process.next_deadline(static_part.is_some()) {
            let wake_at = clock.real_time_of(deadline).max(self.now + 1);
            self.wake(at, wake_at);
        }
    }

    /// The process may be held up between its look at the clock and the call itself, by the pause margin at most.
    fn start_call_of(&mut self, at: usize) {
        let margin = self.scenario.terms.pause_margin_us as f64;
        let is_held_up = self.random.unit() < HOLD_UP_PROBABILITY;
        let hold_up_us = if is_held_up { (margin * self.random.unit()) as u64 } else { 0 };
        let took = self.start_call(hold_up_us);
        let end = self.nodes[at].clock.shows(self.now + took) + Span::from_micros(1);
        if let Some(process) = &mut self.nodes[at].process {
            process.call_started(end);
        }
    }

    /// Wakes a node then, unless it is woken before.
    fn wake(&mut self, at: usize, when: u64) {
        if when < self.nodes[at].next_wake {
            self.nodes[at].next_wake = when;
            self.schedule(when, Event::Wake(at));
        }
    }

    fn draw_delay(&mut self) -> u64 {
        1 + (MAX_DELAY_US * self.random.unit()) as u64
    }

    fn send_request(&mut self, at: usize, outgoing: OutgoingRequest) {
        let OutgoingRequest { token, request, .. } = outgoing;
        let node = &self.nodes[at];
        let sender = Sender { node: at, process: node.process_number, token };
        if node.requests_cut_until > self.now || self.random.unit() < self.loss_probability {
            return;
        }
        let delay = self.draw_delay();
        if self.random.unit() < DUPLICATE_PROBABILITY {
            let late = delay * DUPLICATE_DELAYS;
            self.schedule(self.now + late, Event::RequestArrives(sender, Box::new(request.clone())));
        }
        self.schedule(self.now + delay, Event::RequestArrives(sender, Box::new(request)));
    }

    fn send_response(&mut self, sender: Sender, response: Option<NodeResponse>) {
        let is_cut = self.nodes[sender.node].responses_cut_until > self.now;
        if is_cut || self.random.unit() < self.loss_probability {
            return;
        }
        let delay = self.draw_delay();
        let response = response.map(Box::new);
        if self.random.unit() < DUPLICATE_PROBABILITY {
            let late = delay * DUPLICATE_DELAYS;
            self.schedule(self.now + late, Event::ResponseArrives(sender, response.clone()));
        }
        self.schedule(self.now + delay, Event::ResponseArrives(sender, response));
    }
}
