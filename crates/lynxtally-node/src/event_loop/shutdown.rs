//! How a shutdown ends.
//!
//! SIGTERM announces that the process will be killed after the shutdown timeout. Until then every open request has to be
//! answered, and nothing that a client has written may be lost without a sign:
//!
//! 1. at once: unhealthy for health checks and the control plane, so that clients choose other nodes; the scheduler
//!    drains;
//! 2. at [`CLOSE_LISTENER_AFTER`] of the timeout: the listener closes, and each response is the last on its connection.
//!    Not before: until clients have followed the endpoint list, one whose connection is closed only makes another,
//!    which costs both sides more than the request;
//! 3. [`CLOSE_SETTLE_TIME`] before the exit: all connections without a request are closed, also in the middle of a
//!    message, so that their clients learn of it and send again elsewhere;
//! 4. the exit: one period of the scheduler's timer before the kill, or as soon as all is answered and closed.

use super::{span, EventLoop, TimerKind};
use lynxtally::{Instant, Span};
use std::time::Duration;
use tracing::info;

/// The listener closes after this fraction of the shutdown timeout, by when endpoint lists have followed.
const CLOSE_LISTENER_AFTER: f64 = 0.8;
/// The program ends this fraction of the shutdown timeout before the kill where no scheduler has set its period yet.
const EXIT_MARGIN_FRACTION: f64 = 0.04;
/// A request that crosses the closing of its connection within this time is sent once more elsewhere.
const CLOSE_SETTLE_TIME: Span = Span::from_millis(60);

/// How far a shutdown has come.
#[derive(Debug, Default)]
pub(super) struct ShutdownProgress {
    /// Since when the listener is closed.
    listener_closed_at: Option<Instant>,
    /// Whether the last instant to end at has come.
    exit_due: bool,
}

impl EventLoop {
    /// SIGTERM came. A second one changes nothing: the first one's kill still comes.
    pub(super) fn begin_shutdown(&mut self, now: Instant) {
        if let Some(coordination) = &mut self.coordination {
            coordination.leave();
        }
        let timeout = span(self.config.shutdown_timeout);
        if !self.engine.begin_drain(now, timeout) {
            return;
        }
        info!(timeout_ms = self.config.shutdown_timeout.as_millis() as u64, "shutting down");
        self.responder.announce_health(false);
        self.engine.set_timer(now + timeout * CLOSE_LISTENER_AFTER, TimerKind::CloseListener);
        // The scheduler answers all by two periods before the kill. Before the executor is up there is no scheduler.
        let period = self.engine.timer_period();
        let margin = if period > Span::ZERO { period } else { timeout * EXIT_MARGIN_FRACTION };
        let exit = now + (timeout - margin);
        self.engine.set_timer(exit, TimerKind::Exit);
        self.engine.set_timer(exit - CLOSE_SETTLE_TIME, TimerKind::CloseConnections);
    }

    pub(super) fn close_listener(&self) {
        self.responder.advertised.set_draining();
        self.responder.listener.close();
    }

    pub(super) fn listener_closed(&mut self, now: Instant) {
        self.shutdown.listener_closed_at = Some(now);
        self.engine.set_timer(now + CLOSE_SETTLE_TIME, TimerKind::ClosedConnectionsSettled);
        self.responder.listener.close_idle(Duration::ZERO);
    }

    pub(super) fn close_connections(&self) {
        self.responder.advertised.set_draining();
        self.responder.listener.close_all();
    }

    /// Ends the program, unless the executor came up since the shutdown began and requests are open: the scheduler
    /// answers those by its own, later instant.
    pub(super) fn exit_or_postpone(&mut self, now: Instant) {
        let period = self.engine.timer_period();
        let latest_exit = self.engine.shutdown_deadline().map_or(now, |deadline| deadline - period);
        if now < latest_exit && self.engine.counts().in_flight > 0 {
            self.engine.set_timer(latest_exit, TimerKind::Exit);
        } else {
            self.shutdown.exit_due = true;
        }
    }

    /// Whether the program may end: all is answered and no connection is left, or the time is over.
    pub(super) fn is_finished(&self, now: Instant) -> bool {
        let is_settled = |closed_at| now - closed_at >= CLOSE_SETTLE_TIME;
        let all_answered = || self.responder.listener.is_empty() && self.engine.counts().in_flight == 0;
        let listener_closed_at = self.shutdown.listener_closed_at;
        self.shutdown.exit_due || listener_closed_at.is_some_and(|at| is_settled(at) && all_answered())
    }
}
