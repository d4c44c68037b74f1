//! The steps of a graceful shutdown.
//!
//! After SIGTERM, the process is killed when the shutdown timeout expires. Before that, every open request must be
//! answered, and a client whose bytes are not processed must see its connection close. The steps are:
//!
//! 1. Immediately: health checks and the control plane see the node as unhealthy, so that clients choose other nodes.
//!    The scheduler drains.
//! 2. At the fraction [`CLOSE_LISTENER_AFTER`] of the timeout: the listener closes, and connections close after their
//!    next response. Closing earlier would only make clients reconnect while their endpoint list still contains this
//!    node, and a new connection costs both sides more than a request.
//! 3. [`CLOSE_SETTLE_TIME`] before the exit: all connections without an open request are closed, even in the middle
//!    of a message, so that their clients notice and retry on another node.
//! 4. The exit: one period of the scheduler's timer before the kill, or earlier if all requests are answered and all
//!    connections are closed.

use super::{span, EventLoop, TimerKind};
use lynxtally::{Instant, Span};
use std::time::Duration;
use tracing::info;

/// The listener closes after this fraction of the shutdown timeout. By then the clients' endpoint lists are updated.
const CLOSE_LISTENER_AFTER: f64 = 0.8;
/// The time between the exit and the kill, as a fraction of the shutdown timeout. Used only if no scheduler runs yet,
/// as the margin is the period of the scheduler's timer otherwise.
const EXIT_MARGIN_FRACTION: f64 = 0.04;
/// How long after closing connections the program still runs. Clients whose requests were in transit notice the close
/// within this time and send the requests to another node.
const CLOSE_SETTLE_TIME: Span = Span::from_millis(60);

/// The progress of a shutdown.
#[derive(Debug, Default)]
pub(super) struct ShutdownProgress {
    /// When the listener closed.
    listener_closed_at: Option<Instant>,
    /// Whether the program must end now, even with requests or connections still open.
    exit_due: bool,
}

impl EventLoop {
    /// Handles SIGTERM. A second SIGTERM changes nothing, as the kill announced by the first one is not postponed.
    pub(super) fn begin_shutdown(&mut self, now: Instant) {
        if let Some(coordination) = &mut self.coordination {
            coordination.leave();
        }
        let timeout = span(self.config.shutdown_timeout);
        if !self.engine.begin_drain(now, timeout) {
            return;
        }
        info!(
            timeout_ms = self.config.shutdown_timeout.as_millis() as u64,
            "received SIGTERM; shutting down"
        );
        self.responder.announce_health(false);
        self.engine.set_timer(now + timeout * CLOSE_LISTENER_AFTER, TimerKind::CloseListener);
        // The scheduler answers every request no later than two periods before the kill, so the program can end one
        // period before it. There is no scheduler, and no period, before the executor is up.
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

    /// Ends the program, or postpones the exit if requests are open and the scheduler's own deadline is later. The
    /// latter occurs if the executor came up during the shutdown: the exit was set without a scheduler.
    pub(super) fn exit_or_postpone(&mut self, now: Instant) {
        let period = self.engine.timer_period();
        let latest_exit = self.engine.shutdown_deadline().map_or(now, |deadline| deadline - period);
        if now < latest_exit && self.engine.counts().in_flight > 0 {
            self.engine.set_timer(latest_exit, TimerKind::Exit);
        } else {
            self.shutdown.exit_due = true;
        }
    }

    /// Whether the program may end: either the exit is due, or the listener has been closed for
    /// [`CLOSE_SETTLE_TIME`], every request is answered and no connection is left.
    pub(super) fn is_finished(&self, now: Instant) -> bool {
        let is_settled = |closed_at| now - closed_at >= CLOSE_SETTLE_TIME;
        let all_answered = || self.responder.listener.is_empty() && self.engine.counts().in_flight == 0;
        let listener_closed_at = self.shutdown.listener_closed_at;
        self.shutdown.exit_due || listener_closed_at.is_some_and(|at| is_settled(at) && all_answered())
    }
}
