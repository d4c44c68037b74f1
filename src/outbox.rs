//! Turns state changes into actions: compares what the policy wants with what the host was last told. A request gets
//! at most one action each for its key, its final response and its change of state, in this order.

use crate::action::Action;
use crate::request::{Request, RequestState};
use crate::request_id::RequestId;
use crate::request_table::RequestTable;
use crate::time::{Instant, Span};

/// The wanted state of the backend as a whole.
pub(crate) struct BackendState {
    /// Whether health checks succeed.
    pub healthy: bool,
    /// The advertised capacity; `None` if callers use none.
    pub capacity: Option<f64>,
}

/// What the host was last told about the backend, and what it has still to be told.
pub(crate) struct Outbox {
    notified_health: Option<bool>,
    notified_capacity: Option<f64>,
    log_lines: Vec<String>,
    timer_due: bool,
    timer_period: Span,
}

impl Outbox {
    /// Creates the outbox of a new backend. The host knows neither the backend's health nor its capacity yet, and has
    /// not set the timer.
    pub fn new(timer_period: Span) -> Self {
        Self {
            notified_health: None,
            notified_capacity: None,
            log_lines: Vec::new(),
            timer_due: true,
            timer_period,
        }
    }

    /// Queues a line for the host's log.
    pub fn log(&mut self, line: String) {
        self.log_lines.push(line);
    }

    /// Records that the timer fired and has to be set again.
    pub fn timer_fired(&mut self) {
        self.timer_due = true;
    }

    /// Appends actions for changes of the backend's state.
    pub fn emit_backend(&mut self, wanted: &BackendState, actions: &mut Vec<Action>) {
        if self.notified_health.replace(wanted.healthy) != Some(wanted.healthy) {
            actions.push(Action::SetHealth(wanted.healthy));
        }
        let notified_capacity = std::mem::replace(&mut self.notified_capacity, wanted.capacity);
        if let Some(capacity) = wanted.capacity.filter(|_| notified_capacity != wanted.capacity) {
            actions.push(Action::AdvertiseCapacity(capacity));
        }
    }

    /// Appends the log lines. If the timer has to be set, also appends `periodic` and the timer.
    pub fn emit_log_and_timer(&mut self, periodic: Option<Action>, actions: &mut Vec<Action>) {
        actions.extend(self.log_lines.drain(..).map(Action::Log));
        if std::mem::take(&mut self.timer_due) {
            actions.extend(periodic);
            actions.push(Action::SetTimer(self.timer_period));
        }
    }
}

impl RequestTable {
    /// Appends actions for the requests that changed since the last call.
    pub fn emit_changes(&mut self, now: Instant, cancellation_lag: Span, actions: &mut Vec<Action>) {
        for id in self.take_changed() {
            if !self.contains(id) {
                continue;
            }
            self[id].emit_key_and_response(id, now, actions);
            self[id].emit_state(id, now + cancellation_lag, actions);
            if self[id].state == RequestState::Done {
                self.release(id, now, actions);
            }
        }
    }

    /// Releases the index of a request that has ended, unless it was started and its key is still retained.
    fn release(&mut self, id: RequestId, now: Instant, actions: &mut Vec<Action>) {
        let request = &self[id];
        let key = request.key;
        let live_until = key.until.filter(|&until| until > now);
        if let Some(until) = live_until.filter(|_| request.run.started) {
            return self.set_timer(id, now, until);
        }
        if live_until.is_some() && key.notified {
            actions.push(Action::ReleaseKey(id));
        }
        self.remove(id);
        actions.push(Action::ReleaseId(id));
    }
}

impl Request {
    fn emit_key_and_response(&mut self, id: RequestId, now: Instant, actions: &mut Vec<Action>) {
        let is_over = self.state == RequestState::Done;
        if let Some(until) = self.key.until.filter(|_| !self.key.notified && !is_over) {
            self.key.notified = true;
            actions.push(Action::RetainKey(id, until - now));
        }
        if let Some(response) = self.response.take_if(|_| self.response_owed) {
            self.response_owed = false;
            actions.push(response);
        }
    }

    /// `lag_end` is the latest end downstream of a call that is cancelled now.
    fn emit_state(&mut self, id: RequestId, lag_end: Instant, actions: &mut Vec<Action>) {
        let notified_state = std::mem::replace(&mut self.notified_state, self.state);
        match (notified_state, self.state) {
            (RequestState::Queued, RequestState::Running) => actions.push(Action::Start(id)),
            (RequestState::Queued, RequestState::Coalesced) => actions.push(Action::Coalesce(id)),
            (RequestState::AwaitingCall, RequestState::Calling) => {
                actions.push(Action::Call { request: id, timeout: self.call.ends_by - lag_end });
            }
            (RequestState::AwaitingCall, RequestState::Running) => actions.push(Action::Degrade(id)),
            (RequestState::Running, RequestState::Finishing) => actions.push(Action::Stop(id)),
            // All other changes follow from an event or from another action, so the host knows them. If a request gets
            // its final response while its run waits for a call or makes one, no action is needed: the executor gives
            // no call result to a request that has ended, and ends the run.
            _ => {}
        }
    }
}
