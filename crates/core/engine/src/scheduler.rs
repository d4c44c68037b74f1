//! The interface of a scheduler, implemented by lynxtally's policy and by the baselines that it is compared with.

use lynxtally::{Action, Event, Instant, Policy};

/// Decides which requests run, which are rejected, and which capacity is advertised.
pub trait Scheduler {
    /// Updates the scheduler's state with one event.
    fn handle(&mut self, now: Instant, event: Event);
    /// Decides on all events since the last call, and appends the actions that the engine is to execute to `actions`.
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
