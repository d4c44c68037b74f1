//! Clients with their sidecars: creation of requests, attempts, responses, retries, deadlines.

use super::{instant_of, Event, NodeInstance, Reply, World, NO_ID};
use crate::cores::RequestWork;
use crate::violations::Violation;
use lynxtally::{Effect, RequestId, Span};
use lynxtally_engine::IncomingRequest;
use rand::Rng;
use rand_distr::{Distribution, Exp1};

/// Number of most recently tried nodes that a request remembers.
const REMEMBERED_NODES: usize = 3;
/// Marks an unused entry of the tried nodes.
const NO_NODE: u16 = u16::MAX;
/// Time after which an attempt at a running but unreachable node fails, in mean link delays.
const CONNECT_TIMEOUT_DELAYS: u64 = 50;

/// A request of a client, across all its attempts.
#[derive(Clone, Debug)]
pub(super) struct ClientRequest {
    class: u8,
    sidecar: u16,
    /// Time of creation, in microseconds.
    created_at: u64,
    /// Work on the node, in seconds.
    work: f32,
    /// Work of the downstream call, in seconds; zero if it makes none.
    call_work: f32,
    /// Number of attempts sent.
    attempts: u8,
    /// Number of runs that were started for the request, on all nodes together.
    runs: u8,
    /// Whether the request is finished: the client has its result or has given up, or no retry is permitted.
    done: bool,
    /// Whether the request counts in the outcome, because it was created after the warm-up.
    is_measured: bool,
    /// Index of the outstanding attempt, or `NO_ID`.
    attempt: u32,
    /// The nodes tried most recently; unused entries are `NO_NODE`.
    tried: [u16; REMEMBERED_NODES],
}

/// An outstanding attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub client_request: u32,
    /// The node of the attempt and its incarnation, first as of the sending and then as of the arrival at the node.
    pub instance: NodeInstance,
    /// Id of its request on that node, once the node has accepted it.
    pub request: Option<RequestId>,
}

impl World<'_> {
    /// Creates a client request and sends its first attempt.
    pub(super) fn create_request(&mut self) {
        self.schedule_next_request();
        let class = self.draw_class();
        let load = &self.scenario.classes[class];
        let work = load.distribution.sample(&mut self.random.work) * load.mean_work;
        let call_work = if load.mean_call_work > 0.0 {
            load.distribution.sample(&mut self.random.work) * load.mean_call_work
        } else {
            0.0
        };
        let sidecar = (self.random.arrivals.random::<f64>() * self.sidecars.len() as f64) as u16;
        let number = self.requests.len() as u32;
        let is_measured = self.now >= self.scenario.warm_up.micros();
        self.requests.push(ClientRequest {
            class: class as u8,
            sidecar,
            created_at: self.now,
            work: work as f32,
            call_work: call_work as f32,
            attempts: 0,
            runs: 0,
            done: false,
            is_measured,
            attempt: NO_ID,
            tried: [NO_NODE; REMEMBERED_NODES],
        });
        if is_measured {
            self.measurements.record_created(self.now, load.class.utility);
        }
        let deadline = self.now + load.class.deadline.micros();
        self.explain_event(number, || format!("created: request class {class}, {work:.6} s of work"));
        self.queue.push(deadline, Event::Deadline { client_request: number });
        self.send(number);
    }

    /// Schedules the creation of the next request, as a Poisson process.
    fn schedule_next_request(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.random.arrivals);
        // Keeps the fraction of a microsecond. Truncating each gap would create far too many requests at a high request rate,
        // because gaps below one microsecond would become zero.
        self.next_request_at += gap / self.request_rate * 1e6;
        if self.next_request_at < self.scenario.duration.micros() as f64 {
            self.queue.push(self.next_request_at as u64, Event::RequestCreated);
        }
    }

    /// Draws the class of a request according to the shares of the classes.
    fn draw_class(&mut self) -> usize {
        let draw: f64 = self.random.arrivals.random();
        let classes = &self.scenario.classes;
        let mut left = draw * classes.iter().map(|load| load.share).sum::<f64>();
        let drawn = classes.iter().position(|load| {
            left -= load.share;
            left < 0.0
        });
        drawn.unwrap_or(classes.len() - 1)
    }

    /// Lets the sidecar choose a node and send an attempt to it. Does nothing if the sidecar has no nodes.
    fn send(&mut self, number: u32) {
        let now = instant_of(self.now);
        let request = &mut self.requests[number as usize];
        let tried: Vec<u16> = request.tried.into_iter().filter(|node| *node != NO_NODE).collect();
        let sidecar = &mut self.sidecars[usize::from(request.sidecar)];
        let Some(node) = sidecar.choose(now, u64::from(number), &tried) else { return };
        request.tried[usize::from(request.attempts) % REMEMBERED_NODES] = node;
        request.attempts += 1;
        self.measurements.outcome.attempts += u64::from(request.is_measured);
        let instance = NodeInstance { node, incarnation: self.nodes[usize::from(node)].incarnation };
        let attempt = self.new_attempt(Attempt { client_request: number, instance, request: None });
        self.requests[number as usize].attempt = attempt;
        let delay = self.link_delay();
        self.explain_event(number, || format!("sent to node {node}"));
        self.queue.push(self.now + delay, Event::AttemptArrives { attempt, client_request: number });
    }

    /// Stores an attempt and returns its index, reusing a free entry if there is one.
    fn new_attempt(&mut self, attempt: Attempt) -> u32 {
        if let Some(index) = self.free_attempts.pop() {
            self.attempts[index as usize] = attempt;
            return index;
        }
        self.attempts.push(attempt);
        self.attempts.len() as u32 - 1
    }

    /// Whether the client request still waits for this attempt. If not, the entry may belong to another attempt already.
    fn is_awaited(&self, attempt: u32, client_request: u32) -> bool {
        self.requests[client_request as usize].attempt == attempt
    }

    pub(super) fn attempt_arrives(&mut self, attempt: u32, client_request: u32) {
        if !self.is_awaited(attempt, client_request) {
            return;
        }
        let n = self.attempts[attempt as usize].instance.node;
        let node = &self.nodes[usize::from(n)];
        if !node.up || node.drops_incoming {
            // Connections to a node that is down are refused at once; only those to an unreachable node time out.
            let timeout = self.scenario.mean_link_delay.micros() * CONNECT_TIMEOUT_DELAYS;
            let wait = if node.up { timeout } else { 0 };
            let delay = self.link_delay();
            let reply = Reply::Failed;
            self.queue.push(self.now + delay + wait, Event::ReplyArrives { attempt, client_request, reply });
            return;
        }
        self.attempts[attempt as usize].instance.incarnation = node.incarnation;
        let (incoming, work) = self.incoming(client_request);
        let now = instant_of(self.now);
        let node = &mut self.nodes[usize::from(n)];
        node.cores.advance(now);
        match node.engine.submit(now, None, incoming, work, attempt) {
            Ok(request) => self.attempts[attempt as usize].request = Some(request),
            Err(_) => {
                let delay = self.link_delay();
                let reply = Reply::Rejected { no_retry: false };
                self.queue.push(self.now + delay, Event::ReplyArrives { attempt, client_request, reply });
                return;
            }
        }
        self.drive_node(n);
    }

    /// The request and its work as the node receives them.
    fn incoming(&self, client_request: u32) -> (IncomingRequest, RequestWork) {
        let request = &self.requests[client_request as usize];
        let class = &self.scenario.classes[usize::from(request.class)].class;
        let incoming = IncomingRequest {
            class: usize::from(request.class),
            caller: u64::from(request.sidecar),
            deadline: Some(instant_of(request.created_at) + class.deadline),
            is_retry: request.attempts > 1,
            memory_kb: 1.0,
            ..IncomingRequest::default()
        };
        let work =
            RequestWork { client_request, work: f64::from(request.work), call: f64::from(request.call_work) };
        (incoming, work)
    }

    /// Counts a started run of a client request. Returns whether the request was executed twice without being idempotent.
    pub(super) fn count_run(&mut self, client_request: u32) -> bool {
        let request = &mut self.requests[client_request as usize];
        request.runs = request.runs.saturating_add(1);
        let effect = self.scenario.classes[usize::from(request.class)].class.effect;
        request.runs > 1 && effect != Effect::Idempotent
    }

    /// Whether a client request has an outstanding attempt and was created after this time. Such a request can't have reached
    /// a node before this time, while an attempt of an older request may have been queued there since.
    pub(super) fn was_created_after(&self, client_request: u32, micros: u64) -> bool {
        let request = &self.requests[client_request as usize];
        self.attempts
            .get(request.attempt as usize)
            .is_some_and(|attempt| self.requests[attempt.client_request as usize].created_at > micros)
    }

    pub(super) fn reply_arrives(&mut self, attempt: u32, client_request: u32, reply: Reply) {
        if !self.is_awaited(attempt, client_request) {
            return;
        }
        let node = self.attempts[attempt as usize].instance.node;
        self.free_attempts.push(attempt);
        let request = &mut self.requests[client_request as usize];
        request.attempt = NO_ID;
        let done = request.done;
        let sidecar = usize::from(request.sidecar);
        self.sidecars[sidecar].attempt_ended(instant_of(self.now), node, reply.attempt_end());
        self.explain_event(client_request, || {
            format!("attempt on node {node} ended: {}", reply.explanation_text())
        });
        if done {
            return;
        }
        match reply {
            Reply::Completed => self.complete_request(client_request),
            Reply::Rejected { no_retry } => {
                self.measurements.outcome.rejected +=
                    u64::from(self.requests[client_request as usize].is_measured);
                self.retry(client_request, !no_retry);
            }
            Reply::Failed => {
                let request = &self.requests[client_request as usize];
                self.measurements.outcome.failed += u64::from(request.is_measured);
                let effect = self.scenario.classes[usize::from(request.class)].class.effect;
                // The failed attempt may have been executed, so only idempotent requests are retried.
                self.retry(client_request, effect == Effect::Idempotent);
            }
        }
    }

    fn complete_request(&mut self, client_request: u32) {
        let request = &mut self.requests[client_request as usize];
        request.done = true;
        if request.is_measured {
            let latency = Span::from_micros(self.now - request.created_at);
            let class = &self.scenario.classes[usize::from(request.class)].class;
            self.measurements.record_completed(request.created_at, latency, class);
        }
    }

    /// Sends another attempt if `allowed` and if the sidecar's retry policy permits it.
    fn retry(&mut self, client_request: u32, allowed: bool) {
        let request = &mut self.requests[client_request as usize];
        let sidecar = &mut self.sidecars[usize::from(request.sidecar)];
        if allowed && sidecar.may_retry(u32::from(request.attempts)) {
            self.send(client_request);
        } else {
            request.done = true;
        }
    }

    /// Ends the wait of a client at its deadline: its request is done, and an outstanding attempt counts as failed.
    pub(super) fn deadline(&mut self, client_request: u32) {
        let request = &mut self.requests[client_request as usize];
        if std::mem::replace(&mut request.done, true) {
            return;
        }
        let attempt = request.attempt;
        self.explain_event(client_request, || "the client gives up at its deadline".to_owned());
        if attempt == NO_ID {
            return;
        }
        let Attempt { instance, request, .. } = self.attempts[attempt as usize];
        if let Some(request) = request.filter(|_| self.is_current(instance)) {
            self.leave_node(instance, request, attempt, client_request);
        }
        let request = &mut self.requests[client_request as usize];
        request.attempt = NO_ID;
        let sidecar = usize::from(request.sidecar);
        self.free_attempts.push(attempt);
        self.sidecars[sidecar].attempt_ended(
            instant_of(self.now),
            instance.node,
            Reply::Failed.attempt_end(),
        );
    }

    /// Tells the node that the caller of an attempt is gone.
    fn leave_node(&mut self, instance: NodeInstance, request: RequestId, attempt: u32, client_request: u32) {
        let now = instant_of(self.now);
        let node = &mut self.nodes[usize::from(instance.node)];
        node.cores.advance(now);
        // The engine returns true if it still owed a response to the caller; it had to respond by the deadline.
        if node.engine.caller_gone(now, request, |reply_to| *reply_to == attempt) {
            self.record_violation(Violation::ResponseLost, instance.node, client_request);
        }
        self.queue.push(self.now, Event::RunAbandoned { instance, request });
        self.drive_node(instance.node);
    }
}
