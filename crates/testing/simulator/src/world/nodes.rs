//! Nodes: the real engine on simulated cores, and the driver that runs the engine on each event of its node.

use super::{instant_of, micros_of, Event, NodeInstance, Reply, World};
use crate::cores::{Cores, RequestWork, RunPause, StartedRun};
use crate::scenario::BoxedScheduler;
use crate::violations::Violation;
use lynxtally::{Gauges, RequestId, Settings};
use lynxtally_engine::{Engine, FinalResponse, Responder, RunEnd};

/// Maximum size of the results that an engine retains, in bytes.
const MAX_RESULT_BYTES: usize = 1 << 16;
/// Distance between the seeds of two nodes. It gives each of the first 64 incarnations of a node a seed of its own.
const SEEDS_PER_NODE: u64 = 64;

/// The state of one node.
pub(super) struct Node {
    pub engine: Engine<BoxedScheduler, RequestWork, u32, u8>,
    pub cores: Cores,
    pub incarnation: u32,
    pub up: bool,
    /// Whether requests to the node are lost.
    pub drops_incoming: bool,
    /// Whether responses of the node are lost.
    pub drops_outgoing: bool,
    /// Time of the next timer wake-up, in microseconds; `u64::MAX` if none is scheduled.
    timer_at: u64,
    /// Sequence number of the latest timer wake-up. Wake-ups with a lower number are ignored.
    timer_wakeup: u32,
    /// Sequence number of the latest wake-up scheduled for the end of a run. Wake-ups with a lower number are ignored.
    pub run_wakeup: u32,
    /// End of the drain grace period, in microseconds; set once a graceful shutdown begins. Requests that arrive later must
    /// not be started.
    pub grace_until: Option<u64>,
}

/// A response that leaves a node.
struct SentResponse {
    attempt: u32,
    response: FinalResponse,
}

/// Collects the responses that the engine sends.
#[derive(Default)]
struct SentResponses(Vec<SentResponse>);

impl Responder<u32> for SentResponses {
    fn respond(&mut self, attempt: u32, response: FinalResponse) -> bool {
        self.0.push(SentResponse { attempt, response });
        true
    }
}

impl World<'_> {
    /// Creates node `n`, with a fresh engine and scheduler.
    pub(super) fn new_node(&self, n: usize, incarnation: u32, cold: bool) -> Node {
        let now = instant_of(self.now);
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

    /// Whether the node is up and still the same incarnation.
    pub(super) fn is_current(&self, instance: NodeInstance) -> bool {
        let node = &self.nodes[usize::from(instance.node)];
        node.up && node.incarnation == instance.incarnation
    }

    pub(super) fn node_timer(&mut self, n: u16, wakeup: u32) {
        let node = &mut self.nodes[usize::from(n)];
        if node.up && node.timer_wakeup == wakeup {
            node.timer_at = u64::MAX;
            self.drive_node(n);
        }
    }

    /// Runs the driver of a node once: reports ended runs and due timers to the engine, lets it decide, and carries out the
    /// runs, calls and responses that it decided on.
    pub(super) fn drive_node(&mut self, n: u16) {
        let now = instant_of(self.now);
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

    /// Reports the runs that stopped using the cores to the engine.
    fn report_runs(&mut self, n: u16, responses: &mut SentResponses) {
        let now = instant_of(self.now);
        let node = &mut self.nodes[usize::from(n)];
        let instance = NodeInstance { node: n, incarnation: node.incarnation };
        for (request, pause) in node.cores.take_paused(now) {
            match pause {
                RunPause::Done => {
                    let end = RunEnd::Completed(Vec::new());
                    node.engine.run_ended(now, request, end, &mut node.cores, responses);
                }
                RunPause::AtCall if node.engine.reply_to(request).is_some() => {
                    node.engine.call_requested(now, request);
                }
                RunPause::AtCall => self.queue.push(self.now, Event::RunAbandoned { instance, request }),
            }
        }
    }

    /// Schedules the next timer wake-up and the wake-up for the next end of a run.
    fn schedule_wakeups(&mut self, n: u16) {
        let node = &mut self.nodes[usize::from(n)];
        if let Some(next) = node.engine.next_timer().map(micros_of) {
            if next < node.timer_at {
                node.timer_at = next;
                node.timer_wakeup += 1;
                self.queue.push(next, Event::NodeTimer { node: n, wakeup: node.timer_wakeup });
            }
        }
        // The end of a run moves while the node warms up, even if nothing else changes, so it is always rescheduled.
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
        self.explain_event(client_request, || format!("runs on node {n}"));
        if executed_twice {
            self.record_violation(Violation::ExecutedTwice, n, client_request);
        }
        let max_running =
            self.scenario.settings.max_running_per_core * f64::from(self.scenario.machine.cores);
        if running as f64 > max_running {
            self.record_violation(Violation::NodeOverloaded, n, client_request);
        }
        let grace_until = self.nodes[usize::from(n)].grace_until;
        let past_grace = grace_until.filter(|grace_until| self.now > *grace_until);
        if past_grace.is_some_and(|grace_until| self.was_created_after(client_request, grace_until)) {
            self.record_violation(Violation::StartedAfterGrace, n, client_request);
        }
    }

    fn send_response(&mut self, n: u16, sent: SentResponse) {
        let SentResponse { attempt, response } = sent;
        let sent_for = self.attempts[attempt as usize];
        // If the scheduler failed the request, a run of it that waits to make its call is ended.
        if let Some(request) = sent_for
            .request
            .filter(|_| matches!(response, FinalResponse::Failed | FinalResponse::WithoutResult))
        {
            let instance = NodeInstance { node: n, incarnation: sent_for.instance.incarnation };
            self.queue.push(self.now, Event::RunAbandoned { instance, request });
        }
        let reply = match response {
            FinalResponse::Completed(_) => Reply::Completed,
            FinalResponse::Rejected { no_retry, .. } => Reply::Rejected { no_retry },
            FinalResponse::Failed | FinalResponse::WithoutResult | FinalResponse::KeyConflict => {
                Reply::Failed
            }
        };
        if self.nodes[usize::from(n)].drops_outgoing {
            return;
        }
        let delay = self.link_delay();
        let client_request = sent_for.client_request;
        self.queue.push(self.now + delay, Event::ReplyArrives { attempt, client_request, reply });
    }

    /// Ends a run that waits to make its call, and reports it to the engine as stopped. Does nothing if the run doesn't wait
    /// for its call.
    pub(super) fn abandon_run(&mut self, n: u16, request: RequestId) {
        let now = instant_of(self.now);
        let node = &mut self.nodes[usize::from(n)];
        if node.cores.drop_at_call(request) {
            node.cores.advance(now);
            let mut discarded = SentResponses::default();
            node.engine.run_ended(now, request, RunEnd::Stopped, &mut node.cores, &mut discarded);
            self.drive_node(n);
        }
    }

    /// Takes a node down. Its calls are cancelled, and callers learn that their connections broke.
    pub(super) fn crash(&mut self, n: u16) {
        let node = &mut self.nodes[usize::from(n)];
        if !std::mem::replace(&mut node.up, false) {
            return;
        }
        self.cancel_calls_of(n);
        let node = &mut self.nodes[usize::from(n)];
        // At the end of a graceful shutdown every request must have got its response already.
        let was_draining = node.grace_until.is_some();
        for attempt in node.engine.fail_all() {
            let client_request = self.attempts[attempt as usize].client_request;
            if was_draining {
                self.record_violation(Violation::ResponseLost, n, client_request);
            }
            let delay = self.link_delay();
            let reply = Reply::Failed;
            self.queue.push(self.now + delay, Event::ReplyArrives { attempt, client_request, reply });
        }
    }
}
