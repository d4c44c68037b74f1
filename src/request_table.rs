//! The table of all requests that the policy keeps, with their queues, timers and summed resource usage. The table
//! records state changes and updates the sums; `policy` decides on the changes.

use crate::rate_queue::RateQueue;
use crate::request::{Request, RequestState};
use crate::request_id::RequestId;
use crate::resource_usage::ResourceUsage;
use crate::settings::Settings;
use crate::time::Instant;
use std::collections::BTreeSet;
use std::ops::{Index, IndexMut};

/// The requests, by index.
///
/// Indexing panics if there is no request with the index. The policy only indexes with ids that `contains` confirmed
/// in the same event, or that came from a queue or the armed timers: a request is removed only when it is in no queue,
/// and its timer is removed with it.
pub(crate) struct RequestTable {
    requests: Vec<Option<Request>>,
    run_queue: RateQueue,
    call_queue: RateQueue,
    armed_timers: BTreeSet<(Instant, RequestId)>,
    /// Requests whose timers are not armed yet. Most have ended by the next decision and never need an armed timer.
    pending_timers: Vec<RequestId>,
    /// Requests that changed since the last decision, in the order of the changes.
    changed: Vec<RequestId>,
    usage: ResourceUsage,
    /// The core clock: the core time, in seconds, of a request that ran without a break since the policy's start.
    core_clock_secs: f64,
    started: Instant,
    running_memory_factor: f64,
    idempotency_key_kb: f64,
}

impl Index<RequestId> for RequestTable {
    type Output = Request;
    fn index(&self, id: RequestId) -> &Request {
        self.get(id).expect("the request table should have a request with this index (see `RequestTable`)")
    }
}

impl IndexMut<RequestId> for RequestTable {
    fn index_mut(&mut self, id: RequestId) -> &mut Request {
        self.requests[id.0 as usize]
            .as_mut()
            .expect("the request table should have a request with this index (see `RequestTable`)")
    }
}

impl RequestTable {
    /// An empty table for a policy that starts now.
    pub fn new(settings: &Settings, started: Instant) -> Self {
        Self {
            requests: Vec::new(),
            run_queue: RateQueue::default(),
            call_queue: RateQueue::default(),
            armed_timers: BTreeSet::new(),
            pending_timers: Vec::new(),
            changed: Vec::new(),
            usage: ResourceUsage::default(),
            core_clock_secs: 0.0,
            started,
            running_memory_factor: settings.running_memory_factor,
            idempotency_key_kb: settings.idempotency_key_kb,
        }
    }

    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(id.0 as usize)?.as_ref()
    }

    pub fn contains(&self, id: RequestId) -> bool {
        self.get(id).is_some()
    }

    /// Requests that are not started.
    pub fn run_queue(&self) -> &RateQueue {
        &self.run_queue
    }

    /// Requests that wait to start their downstream call.
    pub fn call_queue(&self) -> &RateQueue {
        &self.call_queue
    }

    /// The summed usage of all requests.
    pub fn usage(&self) -> &ResourceUsage {
        &self.usage
    }

    /// Adds a request that has just arrived to the run queue.
    pub fn insert_queued(&mut self, id: RequestId, request: Request) {
        let index = id.0 as usize;
        if self.requests.len() <= index {
            self.requests.resize_with(index + 1, || None);
        }
        self.requests[index] = Some(request);
        self.set_state(id, RequestState::Queued);
    }

    /// Removes a request that has ended, with its key and its timer.
    pub fn remove(&mut self, id: RequestId) {
        self.update(id, |request| request.key.until = None);
        let timer = self[id].timer;
        if timer.armed {
            self.armed_timers.remove(&(timer.at, id));
        }
        self.requests[id.0 as usize] = None;
    }

    /// Advances the core clock. The requests on the cores share them evenly.
    pub fn advance_core_clock(&mut self, elapsed_secs: f64, cores: f64) {
        self.core_clock_secs += elapsed_secs * (cores / self.usage.running.max(1.0)).min(1.0);
    }

    /// Sets the wanted state of a request. The next actions tell the host.
    pub fn set_state(&mut self, id: RequestId, state: RequestState) {
        let core_clock_secs = self.core_clock_secs;
        let request = &mut self[id];
        let before = request.state;
        if before == state {
            return;
        }
        if before == RequestState::Running {
            request.run.core_secs += core_clock_secs;
        } else if state == RequestState::Running {
            request.run.core_secs -= core_clock_secs;
        }
        let rate = request.rate;
        match before {
            RequestState::Queued => self.run_queue.remove(id, rate),
            RequestState::AwaitingCall => self.call_queue.remove(id, rate),
            _ => {}
        }
        match state {
            RequestState::Queued => self.run_queue.insert(id, rate),
            RequestState::AwaitingCall => self.call_queue.insert(id, rate),
            _ => {}
        }
        self.update(id, |request| request.state = state);
        self.mark_changed(id);
    }

    /// Sets a state that the host already knows, because the host caused it or learns it from the response.
    pub fn set_known_state(&mut self, id: RequestId, state: RequestState) {
        self.set_state(id, state);
        self[id].notified_state = state;
    }

    /// Ends a request's wait for a core, a call or the response of another request, without an action for the host.
    /// Returns false if the request doesn't wait for any of these.
    pub fn leave_queue(&mut self, id: RequestId) -> bool {
        match self[id].state {
            RequestState::Queued | RequestState::Coalesced => self.set_known_state(id, RequestState::Done),
            RequestState::AwaitingCall => self.set_known_state(id, RequestState::Finishing),
            _ => return false,
        }
        true
    }

    /// Retains a request's key until the given time.
    pub fn retain_key(&mut self, id: RequestId, until: Instant) {
        self.update(id, |request| request.key.until = Some(until));
    }

    /// Multiplies a queued request's rate by `fraction`.
    pub fn cut_queued_rate(&mut self, id: RequestId, fraction: f64) {
        let before = self[id].rate;
        let after = before * fraction;
        self.run_queue.remove(id, before);
        self.run_queue.insert(id, after);
        self[id].rate = after;
    }

    /// Records a change about which the host may have to be told.
    pub fn mark_changed(&mut self, id: RequestId) {
        self.changed.push(id);
    }

    /// Returns the requests that changed since the last call, in the order of the changes.
    pub fn take_changed(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.changed)
    }

    /// Sets when a request's deadlines are checked next.
    pub fn set_timer(&mut self, id: RequestId, now: Instant, at: Instant) {
        let timer = &mut self[id].timer;
        let before = std::mem::replace(&mut timer.at, at);
        if timer.armed || at <= now {
            if std::mem::replace(&mut timer.armed, true) {
                self.armed_timers.remove(&(before, id));
            }
            self.armed_timers.insert((at, id));
        } else if !std::mem::replace(&mut timer.pending, true) {
            self.pending_timers.push(id);
        }
    }

    /// Arms the timers that were set since the last decision, for the requests that still exist.
    pub fn arm_pending_timers(&mut self) {
        for id in std::mem::take(&mut self.pending_timers) {
            let Some(request) = self.requests[id.0 as usize].as_mut() else { continue };
            let was_pending = std::mem::take(&mut request.timer.pending);
            // A request that has ended needs a timer only for its key, and that timer is set when its run ends.
            if was_pending && request.state != RequestState::Done && !request.timer.armed {
                request.timer.armed = true;
                self.armed_timers.insert((request.timer.at, id));
            }
        }
    }

    /// Removes and returns the next request whose timer is due. Its timer stays marked as armed and has to be set
    /// again.
    pub fn pop_due_timer(&mut self, now: Instant) -> Option<RequestId> {
        let &(at, id) = self.armed_timers.first()?;
        if at > now {
            return None;
        }
        self.armed_timers.pop_first();
        Some(id)
    }

    /// The requests with armed timers, in timer order.
    pub fn with_armed_timers(&self) -> Vec<RequestId> {
        self.armed_timers.iter().map(|&(_, id)| id).collect()
    }

    /// Changes a request and updates the summed usage.
    fn update(&mut self, id: RequestId, change: impl FnOnce(&mut Request)) {
        let before = self.usage_of(id);
        change(&mut self[id]);
        let after = self.usage_of(id);
        self.usage += after - before;
        // Reset the sums, so that rounding errors don't outlive the requests that caused them.
        if self.usage.running <= 0.0 {
            self.usage.demand *= 0.0;
        }
        if self.usage.calls <= 0.0 {
            self.usage.call_end_secs *= 0.0;
        }
    }

    /// The usage of a request in its state. A run that was answered but can't be stopped still counts as on the cores.
    fn usage_of(&self, id: RequestId) -> ResourceUsage {
        let request = &self[id];
        let key_kb = if request.key.until.is_some() { self.idempotency_key_kb } else { 0.0 };
        let queued = ResourceUsage { memory_kb: key_kb + request.memory_kb, ..ResourceUsage::default() };
        let running_kb = key_kb + request.memory_kb * self.running_memory_factor;
        let started = ResourceUsage { memory_kb: running_kb, started: 1.0, ..ResourceUsage::default() };
        match request.state {
            RequestState::Queued => queued,
            RequestState::Running => ResourceUsage { demand: request.demand, running: 1.0, ..started },
            RequestState::Coalesced => ResourceUsage { running: 1.0, ..started },
            RequestState::AwaitingCall | RequestState::Finishing => started,
            RequestState::Calling => {
                let call_end_secs = (request.call.ends_by - self.started).secs();
                ResourceUsage { calls: 1.0, call_end_secs, ..started }
            }
            RequestState::Done => ResourceUsage { memory_kb: key_kb, ..ResourceUsage::default() },
        }
    }

    /// The summed time that the calls in flight may still take downstream, in seconds.
    pub fn remaining_call_secs(&self, now: Instant) -> f64 {
        self.usage.call_end_secs - self.usage.calls * (now - self.started).secs()
    }
}
