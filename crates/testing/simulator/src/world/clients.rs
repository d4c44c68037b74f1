//! Clients with their sidecars: births of requests, attempts, responses, retries, deadlines.

use super::{at, Event, NodeLife, Reply, World, NONE};
use crate::cores::RequestWork;
use crate::violations::Violation;
use lynxtally::{Effect, RequestId, Span};
use lynxtally_engine::IncomingRequest;
use rand::Rng;
use rand_distr::{Distribution, Exp1};

/// How many of the nodes that were tried a request remembers.
const REMEMBERED_NODES: usize = 3;
/// Stands where no node was tried yet.
const NO_NODE: u16 = u16::MAX;
/// A node that can't be reached though it runs is known to be so after so many mean link delays.
const CONNECT_TIMEOUT_DELAYS: u64 = 50;

/// A client's request, through all its attempts.
#[derive(Clone, Debug)]
pub(super) struct ClientRequest {
    class: u8,
    sidecar: u16,
    born: u64,
    /// In seconds, as the next one.
    work: f32,
    call_work: f32,
    attempts: u8,
    /// How often it was started on any node.
    runs: u8,
    /// Whether its client has its result, or wants none any more.
    done: bool,
    /// Whether it counts in the outcome.
    counts: bool,
    /// The attempt under way.
    attempt: u32,
    tried: [u16; REMEMBERED_NODES],
}

/// An attempt under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub client_request: u32,
    /// The node, in the life that it reached.
    pub life: NodeLife,
    /// Its request on that node.
    pub request: Option<RequestId>,
}

impl World<'_> {
    /// A request is born and sent.
    pub(super) fn birth(&mut self) {
        self.schedule_birth();
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
        let counts = self.now >= self.scenario.warm_up.micros();
        self.requests.push(ClientRequest {
            class: class as u8,
            sidecar,
            born: self.now,
            work: work as f32,
            call_work: call_work as f32,
            attempts: 0,
            runs: 0,
            done: false,
            counts,
            attempt: NONE,
            tried: [NO_NODE; REMEMBERED_NODES],
        });
        if counts {
            self.measurements.born(self.now, load.class.utility);
        }
        let deadline = self.now + load.class.deadline.micros();
        self.tell(number, || format!("born, stage {class}, {work:.6} s of work"));
        self.queue.push(deadline, Event::Deadline { client_request: number });
        self.send(number);
    }

    fn schedule_birth(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.random.arrivals);
        // Kept with its fraction: cut to whole microseconds, a thousand births in one would be too many.
        self.next_birth += gap / self.birth_rate * 1e6;
        if self.next_birth < self.scenario.duration.micros() as f64 {
            self.queue.push(self.next_birth as u64, Event::Birth);
        }
    }

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

    /// The sidecar sends an attempt, if it knows of any node.
    fn send(&mut self, number: u32) {
        let now = at(self.now);
        let request = &mut self.requests[number as usize];
        let tried: Vec<u16> = request.tried.into_iter().filter(|node| *node != NO_NODE).collect();
        let sidecar = &mut self.sidecars[usize::from(request.sidecar)];
        let Some(node) = sidecar.choose(now, u64::from(number), &tried) else { return };
        request.tried[usize::from(request.attempts) % REMEMBERED_NODES] = node;
        request.attempts += 1;
        self.measurements.outcome.attempts += u64::from(request.counts);
        let life = NodeLife { node, incarnation: self.nodes[usize::from(node)].incarnation };
        let attempt = self.new_attempt(Attempt { client_request: number, life, request: None });
        self.requests[number as usize].attempt = attempt;
        let delay = self.link_delay();
        self.tell(number, || format!("sent to node {node}"));
        self.queue.push(self.now + delay, Event::AttemptArrives { attempt, client_request: number });
    }

    fn new_attempt(&mut self, attempt: Attempt) -> u32 {
        if let Some(place) = self.free_attempts.pop() {
            self.attempts[place as usize] = attempt;
            return place;
        }
        self.attempts.push(attempt);
        self.attempts.len() as u32 - 1
    }

    /// Whether the client still waits for this attempt; if not, its place may be another's.
    fn is_awaited(&self, attempt: u32, client_request: u32) -> bool {
        self.requests[client_request as usize].attempt == attempt
    }

    pub(super) fn attempt_arrives(&mut self, attempt: u32, client_request: u32) {
        if !self.is_awaited(attempt, client_request) {
            return;
        }
        let n = self.attempts[attempt as usize].life.node;
        let node = &self.nodes[usize::from(n)];
        if !node.up || node.drops_incoming {
            // One that is dead is known to be so at once.
            let timeout = self.scenario.mean_link_delay.micros() * CONNECT_TIMEOUT_DELAYS;
            let wait = if node.up { timeout } else { 0 };
            let delay = self.link_delay();
            let reply = Reply::Failed;
            self.queue.push(self.now + delay + wait, Event::ReplyArrives { attempt, client_request, reply });
            return;
        }
        self.attempts[attempt as usize].life.incarnation = node.incarnation;
        let (incoming, work) = self.incoming(client_request);
        let now = at(self.now);
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
        self.turn(n);
    }

    /// What a node reads of a client's request.
    fn incoming(&self, client_request: u32) -> (IncomingRequest, RequestWork) {
        let request = &self.requests[client_request as usize];
        let class = &self.scenario.classes[usize::from(request.class)].class;
        let incoming = IncomingRequest {
            class: usize::from(request.class),
            caller: u64::from(request.sidecar),
            deadline: Some(at(request.born) + class.deadline),
            is_retry: request.attempts > 1,
            memory_kb: 1.0,
            ..IncomingRequest::default()
        };
        let work =
            RequestWork { client_request, work: f64::from(request.work), call: f64::from(request.call_work) };
        (incoming, work)
    }

    /// Takes note that a client's request was started once more; tells whether it must not have been.
    pub(super) fn count_run(&mut self, client_request: u32) -> bool {
        let request = &mut self.requests[client_request as usize];
        request.runs = request.runs.saturating_add(1);
        let effect = self.scenario.classes[usize::from(request.class)].class.effect;
        request.runs > 1 && effect != Effect::Idempotent
    }

    /// Whether a client's request has an attempt under way and was born after this moment. What is born after it can't have
    /// reached a node before it; attempts of older requests may have been queued there since.
    pub(super) fn was_born_after(&self, client_request: u32, micros: u64) -> bool {
        let request = &self.requests[client_request as usize];
        self.attempts
            .get(request.attempt as usize)
            .is_some_and(|attempt| self.requests[attempt.client_request as usize].born > micros)
    }

    pub(super) fn reply_arrives(&mut self, attempt: u32, client_request: u32, reply: Reply) {
        if !self.is_awaited(attempt, client_request) {
            return;
        }
        let node = self.attempts[attempt as usize].life.node;
        self.free_attempts.push(attempt);
        let request = &mut self.requests[client_request as usize];
        request.attempt = NONE;
        let done = request.done;
        let sidecar = usize::from(request.sidecar);
        self.sidecars[sidecar].attempt_ended(at(self.now), node, reply.attempt_end());
        self.tell(client_request, || format!("back from node {node}: {}", reply.word()));
        if done {
            return;
        }
        match reply {
            Reply::Completed => self.completed(client_request),
            Reply::Rejected { no_retry } => {
                self.measurements.outcome.rejected +=
                    u64::from(self.requests[client_request as usize].counts);
                self.retry(client_request, !no_retry);
            }
            Reply::Failed => {
                let request = &self.requests[client_request as usize];
                self.measurements.outcome.failed += u64::from(request.counts);
                let effect = self.scenario.classes[usize::from(request.class)].class.effect;
                // It may have been executed.
                self.retry(client_request, effect == Effect::Idempotent);
            }
        }
    }

    fn completed(&mut self, client_request: u32) {
        let request = &mut self.requests[client_request as usize];
        request.done = true;
        if request.counts {
            let latency = Span::from_micros(self.now - request.born);
            let class = &self.scenario.classes[usize::from(request.class)].class;
            self.measurements.completed(request.born, latency, class);
        }
    }

    /// Sends another attempt where that is allowed and the sidecar's policy has one.
    fn retry(&mut self, client_request: u32, allowed: bool) {
        let request = &mut self.requests[client_request as usize];
        let sidecar = &mut self.sidecars[usize::from(request.sidecar)];
        if allowed && sidecar.may_retry(u32::from(request.attempts)) {
            self.send(client_request);
        } else {
            request.done = true;
        }
    }

    /// The client waits no longer.
    pub(super) fn deadline(&mut self, client_request: u32) {
        let request = &mut self.requests[client_request as usize];
        if std::mem::replace(&mut request.done, true) {
            return;
        }
        let attempt = request.attempt;
        self.tell(client_request, || "the client gives up".to_owned());
        if attempt == NONE {
            return;
        }
        let Attempt { life, request, .. } = self.attempts[attempt as usize];
        if let Some(request) = request.filter(|_| self.is_current(life)) {
            self.leave_node(life, request, attempt, client_request);
        }
        let request = &mut self.requests[client_request as usize];
        request.attempt = NONE;
        let sidecar = usize::from(request.sidecar);
        self.free_attempts.push(attempt);
        self.sidecars[sidecar].attempt_ended(at(self.now), life.node, Reply::Failed.attempt_end());
    }

    /// The node learns that the caller of an attempt is gone.
    fn leave_node(&mut self, life: NodeLife, request: RequestId, attempt: u32, client_request: u32) {
        let now = at(self.now);
        let node = &mut self.nodes[usize::from(life.node)];
        node.cores.advance(now);
        // Whoever is still owed a response at the deadline was lost by the node.
        if node.engine.caller_gone(now, request, |reply_to| *reply_to == attempt) {
            self.violated(Violation::ResponseLost, life.node, client_request);
        }
        self.queue.push(self.now, Event::RunAbandoned { life, request });
        self.turn(life.node);
    }
}
