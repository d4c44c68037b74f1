//! Plain policies to compare the module with; only here, never in a program.

use lynxtally::{Action, Event, Instant, Span, TaskId};
use lynxtally_host::Decide;
use std::collections::VecDeque;

/// First come, first served: so many run at once, so many wait, the others are rejected.
pub struct PlainQueue {
    slots: usize,
    most: usize,
    running: usize,
    line: VecDeque<TaskId>,
    out: Vec<Action>,
    began: bool,
}

impl PlainQueue {
    /// With so many slots and a line so long.
    pub fn new(slots: usize, most: usize) -> Self {
        Self { slots, most, running: 0, line: VecDeque::new(), out: Vec::new(), began: false }
    }

    /// Nothing waits and nothing is rejected: what a front costs without any decision.
    pub fn straight() -> Self {
        Self::new(usize::MAX, usize::MAX)
    }
}

impl Decide for PlainQueue {
    fn on(&mut self, _: Instant, event: Event) {
        match event {
            Event::Arrived(arrival) if self.line.len() < self.most => self.line.push_back(arrival.task),
            Event::Arrived(arrival) => {
                let task = arrival.task;
                self.out.push(Action::Reject { task, hold_off: Span::ZERO, terminal: false });
                self.out.push(Action::Release(task));
            }
            Event::AtCall(task) => self.out.push(Action::Call { task, time_out: Span::from_millis(5000) }),
            Event::RunEnded(task, _) => {
                self.running -= 1;
                self.out.push(Action::Release(task));
            }
            _ => {}
        }
    }

    fn settle(&mut self, _: Instant, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.began, true) {
            actions.push(Action::Health(true));
        }
        actions.append(&mut self.out);
        while self.running < self.slots {
            let Some(task) = self.line.pop_front() else { break };
            self.running += 1;
            actions.push(Action::Run(task));
        }
    }
}
