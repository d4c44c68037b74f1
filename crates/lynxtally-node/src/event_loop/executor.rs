//! Carries out what the engine has run: commands to the executor, and downstream calls.

use crate::counters::Counters;
use crate::downstream::{Call, CallCommand, CallHandle, DownstreamClient};
use crate::executor_link::{Command, ExecutorHandle};
use lynxtally::{RequestId, Span};
use lynxtally_engine::Executor;
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::{debug, error};

/// What the executor needs of a request.
#[derive(Default)]
pub(super) struct RequestWork {
    pub id: String,
    pub class: usize,
    pub body: Vec<u8>,
    /// Whether its run was stopped and can be resumed.
    pub is_paused: bool,
    /// Commands whose effect is not known yet.
    pub unconfirmed: Vec<UnconfirmedCommand>,
    /// The body of the call that its run waits for.
    pub call_body: Vec<u8>,
    /// The connection that carries its call.
    pub call: Option<CallHandle>,
}

/// A command whose effect is not known yet. A new link to the executor gets it again if it may not have been read.
pub(super) struct UnconfirmedCommand {
    /// How often gauges had been requested before it.
    gauges_requested_before: u64,
    pub command: Command,
}

/// The executor's link, and the downstream dependency for the calls of its runs.
pub(super) struct NodeExecutor {
    link: Arc<ExecutorHandle>,
    downstream: Arc<DownstreamClient>,
    /// Whether the executor reads commands now.
    is_linked: bool,
    /// How often gauges have been requested.
    gauges_requested: u64,
    /// The last of these requests that was answered.
    gauges_reported: u64,
    /// The names of the request classes.
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

    /// Sends a command on behalf of a request, now or when there is a link again.
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

    /// The link with this number has reported all that happened before it was made. Commands without a known effect are
    /// sent again, but for those that the executor has surely read.
    ///
    /// The failure this guards against: a response to a call that is sent twice could be taken for the response to the run's
    /// next call. The executor reads commands in order, so whatever was sent before a request for gauges that was
    /// answered has been read. What is left open is a command that was read in the last instant before the link broke.
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

    /// The gauges came that were requested under this number.
    pub fn gauges_reported(&mut self, number: u64) {
        self.gauges_reported = self.gauges_reported.max(number.min(self.gauges_requested));
    }

    /// The executor is at this address from now on.
    pub fn set_executor_address(&self, address: SocketAddr) {
        self.link.set_address(address);
    }

    /// The downstream dependency is at this address from now on.
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
        debug!(id = work.id, "run started");
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
            error!(id = work.id, "no coroutine for a call");
        }
        debug!(id = work.id, number, timeout_ms = timeout.micros() / 1000, "call started");
        work.call.is_some()
    }

    fn cancel_call(&mut self, work: &mut RequestWork, number: u64) {
        if let Some(call) = &work.call {
            call.push(CallCommand::Cancel(number));
        }
    }

    fn degrade(&mut self, _: RequestId, work: &mut RequestWork) {
        // The configuration gives degraded responses no utility, so the scheduler never asks for one.
        error!(id = work.id, "a request can't be degraded here");
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
