//! The event loop of the lease simulation. Events are ordered by simulated real time; the clocks of nodes and coordinators
//! drift from it.

use super::clock::DriftingClock;
use super::coordinators::{AddressedResponse, Coordinators, Sender};
use super::node::{Node, Process, StepOutput};
use super::scenario::{DemandPattern, Scenario};
use lynxtally::{Pcg, Span};
use lynxtally_lease_client::OutgoingRequest;
use lynxtally_messages::{NodeRequest, NodeResponse};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// The rule that limits the calls that a node starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllocationRule {
    /// Each node starts as many calls as its lease allows.
    Leases,
    /// Each node has a fixed, equal share of the capacity. The first nodes get one unit more each if the capacity isn't
    /// divisible by the number of nodes.
    EqualShares,
    /// An ideal scheduler, which sees all waiting requests and all calls in flight without delay, starts the calls.
    Omniscient,
}

/// The results of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunStatistics {
    /// Number of calls that were started in each window of 100 ms.
    pub started_per_window: Vec<u64>,
    /// Number of requests that needed a call.
    pub requested: u64,
    /// Number of these requests whose call was started before they timed out.
    pub served: u64,
    /// Maximum number of calls in flight downstream.
    pub max_in_flight: u64,
    /// Number of events that were simulated.
    pub events: u64,
    /// Number of entries that the coordinators applied.
    pub log_entries: u64,
}

/// The invariant of leases was violated: more calls were in flight downstream than the capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityExceeded {
    /// Seed of the scenario; it reproduces the violation.
    pub seed: u64,
    /// Real time of the violation, in microseconds.
    pub at_us: u64,
    /// Number of calls in flight.
    pub in_flight: u64,
    /// Capacity of the budget.
    pub capacity: u64,
}

impl fmt::Display for CapacityExceeded {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Self { seed, at_us, in_flight, capacity } = self;
        write!(
            f,
            "seed {seed}: {in_flight} calls were in flight at {at_us} us, above the capacity of {capacity}"
        )
    }
}

impl std::error::Error for CapacityExceeded {}

/// An event of the simulation.
enum Event {
    /// A request that needs a call arrives at a node.
    Request(usize),
    /// A deadline of a node is due, or its pause is over.
    Wake(usize),
    /// A call arrives downstream.
    CallArrives,
    /// A call ends downstream, completed or after its cancellation lag.
    CallEnds,
    /// A node's request arrives at the coordinators.
    RequestArrives(Sender, Box<NodeRequest>),
    /// A response arrives at a node. `None` tells the node that there was no leader to respond.
    ResponseArrives(Sender, Option<Box<NodeResponse>>),
    /// A log entry is committed.
    Commit,
    /// The leader's periodic tick is due.
    Tick,
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds(usize),
}

/// The state of a running simulation.
pub(super) struct Simulation<'a> {
    pub(super) scenario: &'a Scenario,
    rule: AllocationRule,
    pub(super) random: Pcg,
    /// Real time, in microseconds.
    now: u64,
    /// Future events, ordered by time and then by the order in which they were scheduled.
    queue: BTreeMap<(u64, u64), Event>,
    /// Number of events scheduled so far.
    scheduled_events: u64,
    pub(super) nodes: Vec<Node>,
    pub(super) coordinators: Coordinators,
    /// Probability that a message is lost; a fault sets it.
    pub(super) loss_probability: f64,
    /// When each waiting request times out, in order of arrival. Only the omniscient rule uses it.
    omniscient_queue: VecDeque<u64>,
    /// Calls in flight downstream.
    in_flight: u64,
    /// Calls that were started and have not ended, including those that have not arrived downstream yet.
    started: u64,
    statistics: RunStatistics,
}

/// Maximum delay of a message, in microseconds.
const MAX_DELAY_US: f64 = 10_000.0;
/// Probability that a message is duplicated.
const DUPLICATE_PROBABILITY: f64 = 0.02;
/// The duplicate of a message takes this many times the delay of the original.
const DUPLICATE_DELAY_FACTOR: u64 = 50;
/// Probability that a process is delayed between reading its clock and starting a call.
const START_DELAY_PROBABILITY: f64 = 0.1;
/// Interval between ticks of the leader, in microseconds.
const TICK_INTERVAL_US: u64 = 250_000;
/// Length of the windows in which started calls are counted, in microseconds.
const WINDOW_US: u64 = 100_000;

/// Simulates a scenario under an allocation rule.
///
/// # Errors
/// Returns an error if the rule is [`AllocationRule::Leases`] and more calls were in flight downstream than the capacity.
pub fn run(scenario: &Scenario, rule: AllocationRule) -> Result<RunStatistics, CapacityExceeded> {
    let mut random = Pcg::new(scenario.seed ^ 0x5eed);
    let coordinators = Coordinators::new(&mut random, scenario.terms, scenario.real_drift_ppm);
    let busy_nodes = scenario.nodes.div_ceil(10);
    let total_demand = scenario.load * scenario.terms.capacity as f64;
    let demand = |node_index: usize| match scenario.demand {
        DemandPattern::Even => total_demand / scenario.nodes as f64,
        DemandPattern::Skewed if node_index < busy_nodes => total_demand / 2.0 / busy_nodes as f64,
        DemandPattern::Skewed => total_demand / 2.0 / (scenario.nodes - busy_nodes).max(1) as f64,
    };
    let nodes = (0..scenario.nodes)
        .map(|node_index| Node {
            clock: DriftingClock::draw(&mut random, scenario.real_drift_ppm),
            process_number: 0,
            process: None,
            paused_until: 0,
            requests_cut_until: 0,
            responses_cut_until: 0,
            next_wake: u64::MAX,
            demand: demand(node_index),
        })
        .collect();
    let mut simulation = Simulation {
        scenario,
        rule,
        random,
        now: 0,
        queue: BTreeMap::new(),
        scheduled_events: 0,
        nodes,
        coordinators,
        loss_probability: 0.0,
        omniscient_queue: VecDeque::new(),
        in_flight: 0,
        started: 0,
        statistics: RunStatistics::default(),
    };
    simulation.run()
}

impl Simulation<'_> {
    fn schedule(&mut self, due_us: u64, event: Event) {
        self.scheduled_events += 1;
        self.queue.insert((due_us.max(self.now), self.scheduled_events), event);
    }

    /// Draws from an exponential distribution.
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.unit()).ln()
    }

    fn run(&mut self) -> Result<RunStatistics, CapacityExceeded> {
        for node in 0..self.scenario.nodes {
            self.start(node);
            self.schedule_request(node);
        }
        self.schedule(TICK_INTERVAL_US, Event::Tick);
        for (n, fault) in self.scenario.faults.iter().enumerate() {
            self.schedule(fault.from_us, Event::FaultBegins(n));
            self.schedule(fault.until_us, Event::FaultEnds(n));
        }
        while let Some(((due_us, _), event)) = self.queue.pop_first() {
            if due_us > self.scenario.duration_us {
                break;
            }
            self.now = due_us;
            self.statistics.events += 1;
            self.handle(event);
            self.statistics.max_in_flight = self.statistics.max_in_flight.max(self.in_flight);
            let capacity = self.scenario.terms.capacity;
            // Only leases have to keep the capacity: with equal shares, a new process knows nothing of the calls that its
            // predecessor left running.
            if self.rule == AllocationRule::Leases && self.in_flight > capacity {
                return Err(CapacityExceeded {
                    seed: self.scenario.seed,
                    at_us: due_us,
                    in_flight: self.in_flight,
                    capacity,
                });
            }
        }
        self.statistics.log_entries = self.coordinators.state.applied_index();
        Ok(std::mem::take(&mut self.statistics))
    }

    /// Starts a new process on a node.
    pub(super) fn start(&mut self, node_index: usize) {
        let seed = u64::from(self.random.next_u32()) << 16 | node_index as u64;
        let node = &mut self.nodes[node_index];
        node.process_number += 1;
        node.process = Some(Process::new(self.scenario, node_index, seed, node.clock.local_time(self.now)));
        self.step_node(node_index);
    }

    fn schedule_request(&mut self, node_index: usize) {
        let mean = self.scenario.mean_call_us as f64 / self.nodes[node_index].demand.max(1e-6);
        let wait = self.exponential(mean) as u64;
        self.schedule(self.now + wait.max(1), Event::Request(node_index));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(node) => self.request_arrives(node),
            // A wake-up that an earlier one replaced is ignored.
            Event::Wake(node) if self.nodes[node].next_wake == self.now => {
                self.nodes[node].next_wake = u64::MAX;
                self.step_node(node);
            }
            Event::Wake(_) => {}
            Event::CallArrives => self.in_flight += 1,
            Event::CallEnds => self.call_ends(),
            Event::RequestArrives(sender, request) => self.coordinators_receive(sender, *request),
            Event::ResponseArrives(sender, response) => self.node_receives(sender, response),
            Event::Commit => {
                for AddressedResponse { sender, response } in self.coordinators.apply_committed(self.now) {
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
            self.start_omniscient_calls();
        }
    }

    fn coordinators_receive(&mut self, sender: Sender, request: NodeRequest) {
        match self.coordinators.receive(&mut self.random, self.now, request, sender) {
            Some(committed_at) => self.schedule(committed_at, Event::Commit),
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
        let now = node.clock.local_time(self.now);
        if let Some(process) = &mut node.process {
            process.client.on_response(now, sender.token, response.map(|response| *response));
        }
        self.step_node(sender.node);
    }

    fn tick(&mut self) {
        if let Some(committed_at) = self.coordinators.tick(&mut self.random, self.now) {
            self.schedule(committed_at, Event::Commit);
        }
        self.schedule(self.now + TICK_INTERVAL_US, Event::Tick);
    }

    fn request_arrives(&mut self, node_index: usize) {
        self.schedule_request(node_index);
        self.statistics.requested += 1;
        let node = &self.nodes[node_index];
        if node.process.as_ref().is_none_or(|process| process.leaving) {
            return;
        }
        if self.rule == AllocationRule::Omniscient {
            if node.paused_until <= self.now {
                self.omniscient_queue.push_back(self.now + self.scenario.queue_timeout_us);
                self.start_omniscient_calls();
            }
            return;
        }
        let expires_at = node.clock.local_time(self.now) + Span::from_micros(self.scenario.queue_timeout_us);
        if let Some(process) = &mut self.nodes[node_index].process {
            process.request_call(expires_at);
        }
        self.step_node(node_index);
    }

    /// A node's equal share of the capacity; `None` unless the rule is [`AllocationRule::EqualShares`].
    fn equal_share(&self, node_index: usize) -> Option<u64> {
        let (nodes, capacity) = (self.scenario.nodes as u64, self.scenario.terms.capacity);
        let share = capacity / nodes + u64::from((node_index as u64) < capacity % nodes);
        (self.rule == AllocationRule::EqualShares).then_some(share)
    }

    /// Starts the calls of waiting requests in order of arrival, as long as fewer calls than the capacity are running.
    fn start_omniscient_calls(&mut self) {
        let now = self.now;
        while self.omniscient_queue.pop_front_if(|expires_at| *expires_at <= now).is_some() {}
        while self.started < self.scenario.terms.capacity && self.omniscient_queue.pop_front().is_some() {
            self.start_call(0);
        }
    }

    /// Starts a call, which arrives downstream after `start_delay_us`. The call ends downstream when it is done, or when its
    /// timeout and cancellation lag are over. Returns the time from now until that end, in microseconds.
    fn start_call(&mut self, start_delay_us: u64) -> u64 {
        self.statistics.served += 1;
        let window = (self.now / WINDOW_US) as usize;
        let windows = &mut self.statistics.started_per_window;
        windows.resize(windows.len().max(window + 1), 0);
        windows[window] += 1;
        self.started += 1;
        let mean = self.scenario.mean_call_us as f64;
        let max_duration_us = self.scenario.call_timeout_us + self.scenario.cancellation_lag_us;
        let duration_us = (self.exponential(mean) as u64).max(1).min(max_duration_us);
        self.schedule(self.now + start_delay_us, Event::CallArrives);
        self.schedule(self.now + start_delay_us + duration_us, Event::CallEnds);
        start_delay_us + duration_us
    }

    /// Lets a node's process start calls and send a request, unless it is paused, and schedules its next wake-up.
    pub(super) fn step_node(&mut self, node_index: usize) {
        if self.rule == AllocationRule::Omniscient {
            return;
        }
        let equal_share = self.equal_share(node_index);
        let node = &mut self.nodes[node_index];
        let clock = node.clock;
        if node.paused_until > self.now {
            let wake_at = node.paused_until;
            return self.wake(node_index, wake_at);
        }
        let now = clock.local_time(self.now);
        let Some(process) = &mut node.process else { return };
        let StepOutput { started, request } = process.step(now, equal_share);
        for _ in 0..started {
            self.start_call_of(node_index);
        }
        if let Some(request) = request {
            self.send_request(node_index, request);
        }
        let Some(process) = &mut self.nodes[node_index].process else { return };
        if equal_share.is_none() && process.client.has_ended() && process.leaving {
            self.nodes[node_index].process = None;
            return;
        }
        if let Some(deadline) = process.next_deadline(equal_share.is_some()) {
            let wake_at = clock.real_time_of(deadline).max(self.now + 1);
            self.wake(node_index, wake_at);
        }
    }

    /// Starts a call of a node. The process may be delayed between reading its clock and starting the call, by at most the
    /// pause margin of the terms.
    fn start_call_of(&mut self, node_index: usize) {
        let margin = self.scenario.terms.pause_margin_us as f64;
        let is_delayed = self.random.unit() < START_DELAY_PROBABILITY;
        let start_delay_us = if is_delayed { (margin * self.random.unit()) as u64 } else { 0 };
        let ends_after_us = self.start_call(start_delay_us);
        let end = self.nodes[node_index].clock.local_time(self.now + ends_after_us) + Span::from_micros(1);
        if let Some(process) = &mut self.nodes[node_index].process {
            process.call_started(end);
        }
    }

    /// Schedules a wake-up of a node, unless it is woken earlier anyway.
    fn wake(&mut self, node_index: usize, wake_at: u64) {
        if wake_at < self.nodes[node_index].next_wake {
            self.nodes[node_index].next_wake = wake_at;
            self.schedule(wake_at, Event::Wake(node_index));
        }
    }

    fn draw_delay(&mut self) -> u64 {
        1 + (MAX_DELAY_US * self.random.unit()) as u64
    }

    /// Sends a node's request to the coordinators; it may be lost or duplicated.
    fn send_request(&mut self, node_index: usize, outgoing: OutgoingRequest) {
        let OutgoingRequest { token, request, .. } = outgoing;
        let node = &self.nodes[node_index];
        let sender = Sender { node: node_index, process: node.process_number, token };
        if node.requests_cut_until > self.now || self.random.unit() < self.loss_probability {
            return;
        }
        let delay = self.draw_delay();
        if self.random.unit() < DUPLICATE_PROBABILITY {
            let duplicate_delay = delay * DUPLICATE_DELAY_FACTOR;
            self.schedule(
                self.now + duplicate_delay,
                Event::RequestArrives(sender, Box::new(request.clone())),
            );
        }
        self.schedule(self.now + delay, Event::RequestArrives(sender, Box::new(request)));
    }

    /// Sends a response of the coordinators to a node; it may be lost or duplicated.
    fn send_response(&mut self, sender: Sender, response: Option<NodeResponse>) {
        let is_cut = self.nodes[sender.node].responses_cut_until > self.now;
        if is_cut || self.random.unit() < self.loss_probability {
            return;
        }
        let delay = self.draw_delay();
        let response = response.map(Box::new);
        if self.random.unit() < DUPLICATE_PROBABILITY {
            let duplicate_delay = delay * DUPLICATE_DELAY_FACTOR;
            self.schedule(self.now + duplicate_delay, Event::ResponseArrives(sender, response.clone()));
        }
        self.schedule(self.now + delay, Event::ResponseArrives(sender, response));
    }
}
