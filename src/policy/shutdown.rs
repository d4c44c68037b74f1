//! Graceful shutdown.
//!
//! Once the shutdown has begun, health checks fail and no capacity is advertised. Requests that arrive within
//! the drain grace may still start, later ones are rejected. Every request gets its response before the
//! process is killed: later deadlines are moved to a margin before that time.

use super::Policy;
use crate::request::RequestState;
use crate::*;

/// A graceful shutdown in progress.
#[derive(Clone, Copy)]
pub(super) struct Shutdown {
    /// Requests that arrive from this time on are not started.
    pub admit_until: Instant,
    /// When the process is killed.
    pub deadline: Instant,
}

impl Policy {
    /// Begins a shutdown; the process is killed at `deadline`.
    pub(super) fn begin_shutdown(&mut self, deadline: Instant) {
        self.requests.arm_pending_timers();
        let margin = self.profile.response_margin();
        let admit_until = self.now + self.settings.drain_grace - margin;
        self.shutdown = Some(Shutdown { admit_until, deadline });
        let unanswered = self.requests.usage().started + self.requests.run_queue().len();
        self.outbox.log(format!("draining: {unanswered:.0} requests to answer"));
        for id in self.requests.with_armed_timers() {
            let request = &mut self.requests[id];
            if request.state == RequestState::Done {
                continue;
            }
            request.deadline = request.deadline.min(deadline - margin);
            request.respond_by = request.respond_by.min(request.deadline);
            let check_at = request.timer.at.min(request.deadline);
            self.requests.set_timer(id, self.now, check_at);
        }
    }
}
