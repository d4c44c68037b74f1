//! A first-come, first-served scheduler with a fixed limit, for benchmarks.

use crate::{reject, CALL_TIMEOUT};
use lynxtally::{Action, Event, Instant, RequestId};
use lynxtally_engine::Scheduler;
use std::collections::VecDeque;

/// Starts requests in order of arrival, up to a fixed number at once. Requests that arrive while the queue is full are
/// rejected. The scheduler keeps almost no state beside the queue, so benchmarks use it to measure the cost of a
/// frontend without scheduling decisions.
pub struct PlainQueue {
    slots: usize,
    max_queue_length: usize,
    running: usize,
    queue: VecDeque<RequestId>,
    actions: Vec<Action>,
    health_reported: bool,
}

impl PlainQueue {
    /// A scheduler that runs at most `slots` requests at once and queues at most `max_queue_length` more.
    pub fn new(slots: usize, max_queue_length: usize) -> Self {
        Self {
            slots,
            max_queue_length,
            running: 0,
            queue: VecDeque::new(),
            actions: Vec::new(),
            health_reported: false,
        }
    }

    /// A scheduler without limits: it starts every request at once and rejects none.
    pub fn unlimited() -> Self {
        Self::new(usize::MAX, usize::MAX)
    }
}

impl Scheduler for PlainQueue {
    fn handle(&mut self, _: Instant, event: Event) {
        match event {
            Event::Arrived(arrival) if self.queue.len() < self.max_queue_length => {
                self.queue.push_back(arrival.request);
            }
            Event::Arrived(arrival) => reject(arrival.request, &mut self.actions),
            Event::CallRequested(request) => {
                self.actions.push(Action::Call { request, timeout: CALL_TIMEOUT });
            }
            Event::RunEnded(request, _) => {
                self.running -= 1;
                self.actions.push(Action::ReleaseId(request));
            }
            _ => {}
        }
    }

    fn decide(&mut self, _: Instant, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.health_reported, true) {
            actions.push(Action::SetHealth(true));
        }
        actions.append(&mut self.actions);
        while self.running < self.slots {
            let Some(request) = self.queue.pop_front() else { break };
            self.running += 1;
            actions.push(Action::Start(request));
        }
    }
}
