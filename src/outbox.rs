//! The difference between what the policy wants and what the host was told. For each request at most its key, its final
//! response and its change of state go out, in this order.

use crate::action::Action;
use crate::request::{Request, RequestState};
use crate::request_id::RequestId;
use crate::request_table::RequestTable;
use crate::time::{Instant, Span};

/// What is wanted of the host for the backend as a whole.
pub(crate) struct BackendState {
    /// Whether health checks succeed.
    pub healthy: bool,
    /// The advertised capacity; none where callers know none.
    pub capacity: Option<f64>,
}

/// What the host was last told of the backend, and what it is still to be told.
pub(crate) struct Outbox {
    notified_health: Option<bool>,
    notified_capacity: Option<f64>,
    log_lines: Vec<String>,
    timer_due: bool,
    timer_period: Span,
}

impl Outbox {
    /// Nothing was told yet, and the timer is to be set.
    pub fn new(timer_period: Span) -> Self {
        Self {
            notified_health: None,
            notified_capacity: None,
            log_lines: Vec::new(),
            timer_due: true,
            timer_period,
        }
    }

    /// Adds a line for the host's log.
    pub fn log(&mut self, line: String) {
        self.log_lines.push(line);
    }

    /// The timer fired and has to be set again.
    pub fn timer_fired(&mut self) {
        self.timer_due = true;
    }

    /// Adds what changed of the backend.
    pub fn emit_backend(&mut self, wanted: &BackendState, actions: &mut Vec<Action>) {
        if self.notified_health.replace(wanted.healthy) != Some(wanted.healthy) {
            actions.push(Action::SetHealth(wanted.healthy));
        }
        let notified_capacity = std::mem::replace(&mut self.notified_capacity, wanted.capacity);
        if let Some(capacity) = wanted.capacity.filter(|_| notified_capacity != wanted.capacity) {
            actions.push(Action::AdvertiseCapacity(capacity));
        }
    }

    /// Adds log lines and, if it is due, the timer with what goes out once a period.
    pub fn emit_log_and_timer(&mut self, periodic: Option<Action>, actions: &mut Vec<Action>) {
        actions.extend(self.log_lines.drain(..).map(Action::Log));
        if std::mem::take(&mut self.timer_due) {
            actions.extend(periodic);
            actions.push(Action::SetTimer(self.timer_period));
        }
    }
}

impl RequestTable {
    /// Adds what changed of all requests since the last call.
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

    /// Frees the index of a request that is over, unless the key of its run is still retained.
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

    /// `lag_end` is when a call that is cancelled now ends downstream.
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
            // All else the host knows by itself. A run that waits for a call or makes one when its request is finished
            // gets no action: it is ended by the executor, which gives no reply to a request that is over.
            _ => {}
        }
    }
}
