//! Handles the events that the executor reports: its start, the ends of runs, requests for calls, refused commands.

use super::executor::RequestWork;
use super::EventLoop;
use crate::executor_link::Command;
use crate::messages::{CommandName, ExecutorEvent, RunStatus};
use lynxtally::{Gauges, Instant, Policy, RequestId, Span};
use lynxtally_engine::RunEnd;
use tracing::{debug, info, warn};

impl EventLoop {
    pub(super) fn executor_event(&mut self, now: Instant, event: ExecutorEvent) {
        match event {
            ExecutorEvent::Started { cold_start, uptime_ms } => {
                self.executor_started(now, cold_start, uptime_ms);
            }
            ExecutorEvent::CaughtUp { link } => {
                self.executor.link_caught_up(link, self.engine.executor_states_mut());
            }
            ExecutorEvent::Gauges { number, values } => self.gauges_reported(now, number, &values),
            ExecutorEvent::CallRequested { id, body } => self.call_requested(now, &id, body),
            ExecutorEvent::RunEnded { id, status, result } => self.run_ended(now, &id, status, result),
            ExecutorEvent::CommandRefused { command, id } => self.command_refused(now, &command, &id),
            ExecutorEvent::LogLine(text) => debug!(text, "executor logged a line"),
        }
    }

    /// Starts the scheduler when the executor first reports that it is up. The executor repeats this report on each
    /// link; the repeats are ignored.
    fn executor_started(&mut self, now: Instant, cold_start: bool, uptime_ms: f64) {
        if self.engine.is_started() {
            return;
        }
        let started_at = now - Span::from_secs(uptime_ms / 1000.0);
        info!(cold_start, uptime_ms, "the executor is up");
        debug!(downstream = ?self.config.backend.settings.downstream, "downstream dependency configured");
        let mut settings = self.config.backend.settings.clone();
        settings.cold_start = cold_start;
        self.engine.start(now, Policy::new(settings, self.config.seed, started_at));
    }

    fn gauges_reported(&mut self, now: Instant, number: u64, values: &[f64]) {
        self.executor.gauges_reported(number);
        let names = &self.config.backend.gauges;
        let value_of = |name| Some(*values.get(names.iter().position(|known| known == name)?)?);
        let gauges = Gauges { cpu_utilization: value_of("cpu_busy"), open_connections: value_of("sockets") };
        self.engine.update_gauges(now, gauges);
    }

    fn call_requested(&mut self, now: Instant, id: &str, body: Vec<u8>) {
        let Some((request, work)) = self.find_work(id) else { return self.count_unknown_request_event(id) };
        // A run that requests a call has processed all earlier commands except, possibly, `Stop`: the executor may
        // have sent this event before it read the `Stop`. Only the end of the run confirms a `Stop`.
        work.unconfirmed.retain(|unconfirmed| matches!(unconfirmed.command, Command::Stop(_)));
        work.call_body = body;
        debug!(id, "run requested a downstream call");
        self.engine.call_requested(now, request);
    }

    fn run_ended(&mut self, now: Instant, id: &str, status: RunStatus, result: Vec<u8>) {
        match status {
            RunStatus::Succeeded => self.counters.runs_succeeded.increment(),
            RunStatus::Failed => self.counters.runs_failed.increment(),
            RunStatus::Stopped => self.counters.runs_stopped.increment(),
            RunStatus::NotStarted => self.counters.runs_not_started.increment(),
        }
        debug!(id, ?status, "run ended");
        let Some(request) = self.engine.find(id) else { return self.count_unknown_request_event(id) };
        let can_be_resumed = status == RunStatus::Stopped
            && self.config.backend.stop_keeps_progress
            && self.engine.reply_to(request).is_some();
        if let Some(work) = self.engine.executor_state(request) {
            work.unconfirmed.clear();
            work.is_paused = can_be_resumed;
        }
        let end = match status {
            RunStatus::Succeeded => RunEnd::Completed(result),
            RunStatus::Failed => RunEnd::Failed,
            RunStatus::Stopped => RunEnd::Stopped,
            RunStatus::NotStarted => RunEnd::NotStarted,
        };
        self.end_run(now, request, end);
    }

    /// Ends the run whose command was refused, because the executor will never report an end of that run.
    fn command_refused(&mut self, now: Instant, command: &CommandName, id: &str) {
        if self.counters.commands_refused.get() == 0 {
            warn!(id, %command, "executor refused a command; further refusals are counted, not logged");
        }
        self.counters.commands_refused.increment();
        let end = match command {
            CommandName::Start => RunEnd::NotStarted,
            // The run had started before it was stopped, so it may have had effects.
            CommandName::Resume => RunEnd::Failed,
            CommandName::Other(_) => return,
        };
        if let Some((request, work)) = self.find_work(id) {
            work.unconfirmed.clear();
            self.end_run(now, request, end);
        }
    }

    fn end_run(&mut self, now: Instant, request: RequestId, end: RunEnd) {
        self.engine.run_ended(now, request, end, &mut self.executor, &mut self.responder);
    }

    fn find_work(&mut self, id: &str) -> Option<(RequestId, &mut RequestWork)> {
        let request = self.engine.find(id)?;
        Some((request, self.engine.executor_state(request)?))
    }

    fn count_unknown_request_event(&self, id: &str) {
        debug!(id, "executor reported an event of an unknown request; event ignored");
        self.counters.unknown_request_events.increment();
    }
}
