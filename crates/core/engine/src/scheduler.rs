//! The interface of what decides, implemented by lynxtally's policy and by the baselines it is compared with.

use lynxtally::{Action, Event, Instant, Policy};

/// Decides which requests run, which are rejected and what is advertised.
pub trait Scheduler {
    /// Takes in one event.
    fn handle(&mut self, now: Instant, event: Event);
    /// Decides on all events since the last call, and appends what the engine is to do to `actions`.
    fn decide(&mut self, now: Instant, actions: &mut Vec<Action>);
}

impl Scheduler for Policy {
    fn handle(&mut self, now: Instant, event: Event) {
        Policy::handle(self, now, event);
    }

    fn decide(&mut self, now: Instant, actions: &mut Vec<Action>) {
        Policy::decide(self, now, actions);
    }
}

impl<S: Scheduler + ?Sized> Scheduler for Box<S> {
    fn handle(&mut self, now: Instant, event: Event) {
        (**self).handle(now, event);
    }

    fn decide(&mut self, now: Instant, actions: &mut Vec<Action>) {
        (**self).decide(now, actions);
    }
}
