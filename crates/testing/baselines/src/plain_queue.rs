//! First come, first served.

use crate::{reject, CALL_TIMEOUT};
use lynxtally::{Action, Event, Instant, RequestId};
use lynxtally_engine::Scheduler;
use std::collections::VecDeque;

/// First come, first served: so many run at once, so many wait, the others are rejected. It keeps nothing beside the
/// queue, so that in measurements of cost it stands for no decision at all.
pub struct PlainQueue {
    slots: usize,
    max_queue_length: usize,
    running: usize,
    queue: VecDeque<RequestId>,
    actions: Vec<Action>,
    started: bool,
}

impl PlainQueue {
    /// With so many slots and a queue so long.
    pub fn new(slots: usize, max_queue_length: usize) -> Self {
        Self {
            slots,
            max_queue_length,
            running: 0,
            queue: VecDeque::new(),
            actions: Vec::new(),
            started: false,
        }
    }

    /// Nothing waits and nothing is rejected: what a frontend costs without any decision.
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
        if !std::mem::replace(&mut self.started, true) {
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
