//! Nodes: the real engine on simulated cores, and a turn of its driver.

use super::{at, micros_of, Event, NodeLife, Reply, World};
use crate::cores::{Cores, RequestWork, RunPause, StartedRun};
use crate::scenario::BoxedScheduler;
use crate::violations::Violation;
use lynxtally::{Gauges, RequestId, Settings};
use lynxtally_engine::{Engine, FinalResponse, Responder, RunEnd};

/// Retained results take so many bytes at most.
const MAX_RESULT_BYTES: usize = 1 << 16;
/// Seeds of nodes lie so far apart, so that each restart has one of its own.
const SEEDS_PER_NODE: u64 = 64;

/// A node.
pub(super) struct Node {
    pub engine: Engine<BoxedScheduler, RequestWork, u32, u8>,
    pub cores: Cores,
    pub incarnation: u32,
    pub up: bool,
    /// Nothing reaches it.
    pub drops_incoming: bool,
    /// Its responses are lost.
    pub drops_outgoing: bool,
    /// When its timer wakes it next.
    timer_at: u64,
    /// The number of that wake-up; older ones are passed over.
    timer_wakeup: u32,
    /// The number of the wake-up at the next end of a run; older ones are passed over.
    pub run_wakeup: u32,
    /// Requests that arrive after this are not to be started, once a graceful shutdown began.
    pub grace_until: Option<u64>,
}

/// A response as it leaves a node.
struct SentResponse {
    attempt: u32,
    response: FinalResponse,
}

/// Responses as they leave a node.
#[derive(Default)]
struct SentResponses(Vec<SentResponse>);

impl Responder<u32> for SentResponses {
    fn respond(&mut self, attempt: u32, response: FinalResponse) -> bool {
        self.0.push(SentResponse { attempt, response });
        true
    }
}

impl World<'_> {
    pub(super) fn new_node(&self, n: usize, incarnation: u32, cold: bool) -> Node {
        let now = at(self.now);
        let mut engine = Engine::new(MAX_RESULT_BYTES);
        let settings = Settings { cold_start: cold, ..self.scenario.settings.clone() };
        let own_seed = n as u64 * SEEDS_PER_NODE + u64::from(incarnation);
        let seed = self.seed.wrapping_mul(7919).wrapping_add(own_seed);
        engine.start(now, (self.make_scheduler)(&settings, seed, now));
        Node {
            engine,
            cores: Cores::new(self.scenario.machine, now, cold),
            incarnation,
            up: true,
            drops_incoming: false,
            drops_outgoing: false,
            timer_at: u64::MAX,
            timer_wakeup: 0,
            run_wakeup: 0,
            grace_until: None,
        }
    }

    /// Whether a node is up in the same life.
    pub(super) fn is_current(&self, life: NodeLife) -> bool {
        let node = &self.nodes[usize::from(life.node)];
        node.up && node.incarnation == life.incarnation
    }

    pub(super) fn node_timer(&mut self, n: u16, wakeup: u32) {
        let node = &mut self.nodes[usize::from(n)];
        if node.up && node.timer_wakeup == wakeup {
            node.timer_at = u64::MAX;
            self.turn(n);
        }
    }

    /// One turn of a node's driver.
    pub(super) fn turn(&mut self, n: u16) {
        let now = at(self.now);
        let mut responses = SentResponses::default();
        self.report_runs(n, &mut responses);
        let node = &mut self.nodes[usize::from(n)];
        while node.engine.expire_timers(now, &mut node.cores).is_some() {}
        if std::mem::take(&mut node.cores.gauges_requested) {
            let cpu_utilization = Some(node.cores.take_utilization(now));
            node.engine.update_gauges(now, Gauges { cpu_utilization, open_connections: None });
        }
        node.engine.decide(now, &mut node.cores, &mut responses);
        let started_runs = std::mem::take(&mut node.cores.started_runs);
        let started_calls = std::mem::take(&mut node.cores.started_calls);
        let cancelled_calls = std::mem::take(&mut node.cores.cancelled_calls);
        let running = node.cores.running();
        self.schedule_wakeups(n);
        self.update_calls(n, started_calls, cancelled_calls);
        for run in started_runs {
            self.check_started(n, run, running);
        }
        for sent in responses.0 {
            self.send_response(n, sent);
        }
    }

    /// Reports the runs that have left the cores to the engine.
    fn report_runs(&mut self, n: u16, responses: &mut SentResponses) {
        let now = at(self.now);
        let node = &mut self.nodes[usize::from(n)];
        let life = NodeLife { node: n, incarnation: node.incarnation };
        for (request, pause) in node.cores.take_paused(now) {
            match pause {
                RunPause::Done => {
                    let end = RunEnd::Completed(Vec::new());
                    node.engine.run_ended(now, request, end, &mut node.cores, responses);
                }
                RunPause::AtCall if node.engine.reply_to(request).is_some() => {
                    node.engine.call_requested(now, request);
                }
                RunPause::AtCall => self.queue.push(self.now, Event::RunAbandoned { life, request }),
            }
        }
    }

    fn schedule_wakeups(&mut self, n: u16) {
        let node = &mut self.nodes[usize::from(n)];
        if let Some(next) = node.engine.next_timer().map(micros_of) {
            if next < node.timer_at {
                node.timer_at = next;
                node.timer_wakeup += 1;
                self.queue.push(next, Event::NodeTimer { node: n, wakeup: node.timer_wakeup });
            }
        }
        // While it warms up the end moves without anything having changed: it is set anew each time.
        node.run_wakeup += 1;
        if let Some(end) = node.cores.next_end() {
            let end = micros_of(end).max(self.now + 1);
            self.queue.push(end, Event::RunEnds { node: n, wakeup: node.run_wakeup });
        }
    }

    /// Checks the invariants at the start of a run.
    fn check_started(&mut self, n: u16, run: StartedRun, running: usize) {
        let StartedRun { client_request, .. } = run;
        let executed_twice = self.count_run(client_request);
        self.tell(client_request, || format!("runs on node {n}"));
        if executed_twice {
            self.violated(Violation::ExecutedTwice, n, client_request);
        }
        let max_running =
            self.scenario.settings.max_running_per_core * f64::from(self.scenario.machine.cores);
        if running as f64 > max_running {
            self.violated(Violation::NodeOverloaded, n, client_request);
        }
        let grace_until = self.nodes[usize::from(n)].grace_until;
        let past_grace = grace_until.filter(|grace_until| self.now > *grace_until);
        if past_grace.is_some_and(|grace_until| self.was_born_after(client_request, grace_until)) {
            self.violated(Violation::StartedAfterGrace, n, client_request);
        }
    }

    fn send_response(&mut self, n: u16, sent: SentResponse) {
        let SentResponse { attempt, response } = sent;
        let sent_for = self.attempts[attempt as usize];
        // Failed at its call: the run ends there.
        if let Some(request) = sent_for.request.filter(|_| response == FinalResponse::Failed) {
            let life = NodeLife { node: n, incarnation: sent_for.life.incarnation };
            self.queue.push(self.now, Event::RunAbandoned { life, request });
        }
        let reply = match response {
            FinalResponse::Completed(_) => Reply::Completed,
            FinalResponse::Rejected { no_retry, .. } => Reply::Rejected { no_retry },
            FinalResponse::Failed => Reply::Failed,
        };
        if self.nodes[usize::from(n)].drops_outgoing {
            return;
        }
        let delay = self.link_delay();
        let client_request = sent_for.client_request;
        self.queue.push(self.now + delay, Event::ReplyArrives { attempt, client_request, reply });
    }

    /// A run that is ready to make its call ends there.
    pub(super) fn abandon_run(&mut self, n: u16, request: RequestId) {
        let now = at(self.now);
        let node = &mut self.nodes[usize::from(n)];
        if node.cores.drop_at_call(request) {
            node.cores.advance(now);
            let mut nobody = SentResponses::default();
            node.engine.run_ended(now, request, RunEnd::Stopped, &mut node.cores, &mut nobody);
            self.turn(n);
        }
    }

    /// A node is dead: callers learn that their connections broke.
    pub(super) fn crash(&mut self, n: u16) {
        let node = &mut self.nodes[usize::from(n)];
        if !std::mem::replace(&mut node.up, false) {
            return;
        }
        self.cancel_calls_of(n);
        let node = &mut self.nodes[usize::from(n)];
        // One that shut down as it was told owes nobody a response by now.
        let was_draining = node.grace_until.is_some();
        for attempt in node.engine.fail_all() {
            let client_request = self.attempts[attempt as usize].client_request;
            if was_draining {
                self.violated(Violation::ResponseLost, n, client_request);
            }
            let delay = self.link_delay();
            let reply = Reply::Failed;
            self.queue.push(self.now + delay, Event::ReplyArrives { attempt, client_request, reply });
        }
    }
}
