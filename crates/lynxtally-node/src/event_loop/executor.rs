//! The engine's executor interface: sends commands to the executor process and makes downstream calls.

use crate::counters::Counters;
use crate::downstream::{Call, CallCommand, CallHandle, DownstreamClient};
use crate::executor_link::{Command, ExecutorHandle};
use lynxtally::{RequestId, Span};
use lynxtally_engine::Executor;
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::{debug, error};

/// The data of a request that its runs and calls need.
#[derive(Default)]
pub(super) struct RequestWork {
    pub id: String,
    pub class: usize,
    pub body: Vec<u8>,
    /// Whether the run was stopped and can be resumed.
    pub is_paused: bool,
    /// Commands that the executor may not have read yet.
    pub unconfirmed: Vec<UnconfirmedCommand>,
    /// The body of the call that the run waits for.
    pub call_body: Vec<u8>,
    /// The connection that carries the call.
    pub call: Option<CallHandle>,
}

/// A command whose effect has not been reported yet. It is resent on a new link to the executor, unless the executor
/// is known to have read it.
pub(super) struct UnconfirmedCommand {
    /// The value of `NodeExecutor::gauges_requested` when the command was sent.
    gauges_requested_before: u64,
    pub command: Command,
}

/// Runs requests on the executor process, and makes their calls to the downstream dependency.
pub(super) struct NodeExecutor {
    link: Arc<ExecutorHandle>,
    downstream: Arc<DownstreamClient>,
    /// Whether commands can be sent on the current link: it is up, and the executor has reported all earlier events.
    is_linked: bool,
    /// How many `ReportGauges` commands have been sent. The count is the number of the last one.
    gauges_requested: u64,
    /// The number of the last `ReportGauges` command that the executor has answered.
    gauges_reported: u64,
    /// The names of the request classes, in the order of their indices.
    classes: Vec<String>,
    counters: Arc<Counters>,
}

impl NodeExecutor {
    pub fn new(
        link: Arc<ExecutorHandle>,
        downstream: Arc<DownstreamClient>,
        classes: Vec<String>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            link,
            downstream,
            is_linked: false,
            gauges_requested: 0,
            gauges_reported: 0,
            classes,
            counters,
        }
    }

    /// Sends a command for a request. While there is no link, the command waits until the next link has caught up.
    pub fn send(&self, work: &mut RequestWork, command: Command) {
        let gauges_requested_before = self.gauges_requested;
        work.unconfirmed.push(UnconfirmedCommand { gauges_requested_before, command: command.clone() });
        if self.is_linked {
            self.link.send(command);
        }
    }

    pub fn link_lost(&mut self) {
        self.is_linked = false;
    }

    /// Starts to use the link with this number, after the executor has reported all earlier events on it. Resends the
    /// unconfirmed commands, except those that the executor is known to have read.
    ///
    /// The exception matters because the executor could take the second copy of a call's response for the response to
    /// the run's next call. The executor reads commands in order, so it has read every command that precedes an
    /// answered `ReportGauges`. A command can still be duplicated if the executor read it after the last answered
    /// `ReportGauges` and before the link broke.
    pub fn link_caught_up<'a>(&mut self, link: u64, works: impl Iterator<Item = &'a mut RequestWork>) {
        self.is_linked = true;
        self.link.begin_link(link);
        for unconfirmed in works.flat_map(|work| &mut work.unconfirmed) {
            if unconfirmed.gauges_requested_before >= self.gauges_reported {
                unconfirmed.gauges_requested_before = self.gauges_requested;
                self.link.send(unconfirmed.command.clone());
            }
        }
    }

    /// Records that the executor has answered the `ReportGauges` command with this number.
    pub fn gauges_reported(&mut self, number: u64) {
        self.gauges_reported = self.gauges_reported.max(number.min(self.gauges_requested));
    }

    /// Reconnects to the executor at this address.
    pub fn set_executor_address(&self, address: SocketAddr) {
        self.link.set_address(address);
    }

    /// Sends new downstream calls to this address.
    pub fn set_downstream_address(&self, address: Option<SocketAddr>) {
        self.downstream.set_address(address);
    }
}

impl Executor<RequestWork> for NodeExecutor {
    fn start(&mut self, _: RequestId, work: &mut RequestWork) {
        let id = work.id.clone();
        let command = if std::mem::take(&mut work.is_paused) {
            Command::Resume(id)
        } else {
            Command::Start { id, class: self.classes[work.class].clone(), body: work.body.clone() }
        };
        self.counters.runs.increment();
        debug!(id = work.id, "run started or resumed");
        self.send(work, command);
    }

    fn stop(&mut self, _: RequestId, work: &mut RequestWork) {
        let id = work.id.clone();
        self.send(work, Command::Stop(id));
    }

    fn start_call(&mut self, _: RequestId, work: &mut RequestWork, number: u64, timeout: Span) -> bool {
        let deadline = std::time::Instant::now() + super::duration(timeout);
        let call = Call { id: work.id.clone(), number, deadline, body: work.call_body.clone() };
        work.call = self.downstream.start_call(call);
        if work.call.is_none() {
            error!(id = work.id, "downstream call not started: no coroutine could be allocated");
        }
        debug!(
            id = work.id,
            number,
            timeout_ms = timeout.micros() / 1000,
            "tried to start a downstream call"
        );
        work.call.is_some()
    }

    fn cancel_call(&mut self, work: &mut RequestWork, number: u64) {
        if let Some(call) = &work.call {
            call.push(CallCommand::Cancel(number));
        }
    }

    fn degrade(&mut self, _: RequestId, work: &mut RequestWork) {
        // `config::parse` sets the utility of degraded responses to zero, so the scheduler never asks for one.
        error!(id = work.id, "scheduler asked for a degraded response, which the executor can't produce");
    }

    fn request_gauges(&mut self) {
        if self.is_linked {
            self.gauges_requested += 1;
            self.link.send(Command::ReportGauges(self.gauges_requested));
        }
    }

    fn on_timer(&mut self) {
        self.downstream.close_idle();
    }
}
