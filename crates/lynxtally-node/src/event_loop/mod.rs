//! The event loop: one coroutine that holds the engine, with the scheduler and the open requests in it. Everything else
//! sends it messages. It takes all that wait, has the scheduler decide once for the whole batch, and hands out commands.
//! It never blocks and never writes to a socket itself, and decides nothing that the scheduler should.

mod calls;
mod executor;
mod executor_events;
mod reload;
mod requests;
mod responder;
mod shutdown;

use crate::advertised_state::AdvertisedState;
use crate::config::Config;
use crate::coordination::Coordination;
use crate::counters::Counters;
use crate::downstream::DownstreamClient;
use crate::executor_link::ExecutorHandle;
use crate::health_reports::HealthReporter;
use crate::http::RequestSchema;
use crate::listener::Listener;
use crate::messages::{ConnectionCommand, ConnectionHandle, CoordinatorResponse, Message};
use executor::{NodeExecutor, RequestWork};
use lynxtally::{Instant, Policy, Span};
use lynxtally_engine::{Engine, FinalResponse};
use lynxtally_net::clock::Clock;
use lynxtally_net::timer::Timer;
use may::sync::mpsc::{Receiver, Sender};
use responder::NodeResponder;
use shutdown::ShutdownProgress;
use std::sync::Arc;
use std::time::Duration;

/// Expired connections are looked for at intervals of this fraction of the message timeout.
const EXPIRY_CHECK_FRACTION: f64 = 0.1;

/// The event loop's own timers, beside those that the engine keeps. Of those due at the same instant the engine returns
/// them in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    /// Close connections whose time is over.
    CloseExpired,
    /// While shutting down: close the listener.
    CloseListener,
    /// While shutting down: no request is on its way any more to a connection that was closed.
    ClosedConnectionsSettled,
    /// While shutting down: close all connections without a request, in the middle of a message or not.
    CloseConnections,
    /// While shutting down: the last instant to end at.
    Exit,
}

type NodeEngine = Engine<Policy, RequestWork, ConnectionHandle, TimerKind>;

/// What the event loop holds.
pub struct EventLoop {
    config: Config,
    clock: Clock,
    engine: NodeEngine,
    executor: NodeExecutor,
    responder: NodeResponder,
    wakeup: Wakeup,
    shutdown: ShutdownProgress,
    counters: Arc<Counters>,
    /// Where coordinators are named.
    coordination: Option<Coordination>,
}

/// The other parts, as the event loop reaches them.
pub struct EventLoopParts {
    /// Wakes the event loop.
    pub timer: Timer,
    /// Messages to the event loop itself.
    pub event_loop: Sender<Message>,
    /// Health reports to the control plane.
    pub health_reporter: HealthReporter,
    /// Commands to the executor.
    pub executor: Arc<ExecutorHandle>,
    /// Downstream calls.
    pub downstream: Arc<DownstreamClient>,
    /// Connections from clients.
    pub listener: Arc<Listener>,
    /// What goes with responses.
    pub advertised: Arc<AdvertisedState>,
    /// The counters.
    pub counters: Arc<Counters>,
    /// This node's part in what the fleet has together, where coordinators are named.
    pub coordination: Option<Coordination>,
}

/// Wakes the event loop when a timer expires.
struct Wakeup {
    timer: Timer,
    event_loop: Sender<Message>,
    /// The earliest wakeup that is scheduled.
    scheduled_at: Option<Instant>,
}

impl Wakeup {
    /// Schedules a wakeup, unless an earlier one is scheduled anyway.
    fn schedule(&mut self, at: Instant, now: Instant) {
        if self.scheduled_at.is_some_and(|scheduled| scheduled <= at) {
            return;
        }
        self.scheduled_at = Some(at);
        let event_loop = self.event_loop.clone();
        self.timer.run_after(duration(at - now), move || {
            // The receiver is gone only where the program ends.
            let _ = event_loop.send(Message::TimerFired);
        });
    }

    /// Forgets the scheduled wakeup if it is past.
    fn expire(&mut self, now: Instant) {
        self.scheduled_at = self.scheduled_at.filter(|at| *at > now);
    }
}

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.micros())
}

fn span(duration: Duration) -> Span {
    Span::from_micros(duration.as_micros() as u64)
}

impl EventLoop {
    /// An event loop that waits for the executor to come up.
    pub fn new(config: Config, parts: EventLoopParts) -> Self {
        let mut engine = Engine::new(config.resource_limits().retained_result_bytes);
        engine.set_timer(Instant::default(), TimerKind::CloseExpired);
        // The codec accepts nothing that arrived longer ago.
        let max_deadline_ms = RequestSchema::new(&config.backend).max_deadline_ms;
        engine.set_max_receive_delay(Span::from_millis(max_deadline_ms));
        let classes = config.backend.class_names.clone();
        Self {
            executor: NodeExecutor::new(parts.executor, parts.downstream, classes, parts.counters.clone()),
            responder: NodeResponder::new(
                parts.listener,
                parts.advertised,
                parts.health_reporter,
                parts.counters.clone(),
            ),
            wakeup: Wakeup { timer: parts.timer, event_loop: parts.event_loop, scheduled_at: None },
            shutdown: ShutdownProgress::default(),
            counters: parts.counters,
            coordination: parts.coordination,
            clock: Clock::default(),
            config,
            engine,
        }
    }

    /// Runs until the program is to end.
    pub fn run(&mut self, messages: &Receiver<Message>) {
        let mut batch = Vec::new();
        loop {
            self.schedule_wakeup();
            let Ok(first) = messages.recv() else { return };
            batch.push(first);
            batch.extend(messages.try_iter());
            let now = self.clock.now();
            self.wakeup.expire(now);
            for message in batch.drain(..) {
                self.handle(now, message);
            }
            while let Some(timer) = self.engine.expire_timers(now, &mut self.executor) {
                self.timer_expired(now, timer);
            }
            self.decide(now);
            if self.is_finished(now) {
                return;
            }
        }
    }

    fn decide(&mut self, now: Instant) {
        if let Some(coordination) = &mut self.coordination {
            coordination.apply_leases(now, &mut self.engine);
        }
        self.engine.decide(now, &mut self.executor, &mut self.responder);
        if let Some(coordination) = &mut self.coordination {
            coordination.report_and_send(&mut self.engine);
        }
    }

    /// Schedules a wakeup for the next timer, of the engine or of coordination.
    fn schedule_wakeup(&mut self) {
        let coordination_timer = self
            .coordination
            .as_ref()
            .and_then(Coordination::time_to_deadline)
            .map(|wait| self.clock.now() + wait);
        let next = [self.engine.next_timer(), coordination_timer].into_iter().flatten().min();
        if let Some(at) = next {
            self.wakeup.schedule(at, self.clock.now());
        }
    }

    fn handle(&mut self, now: Instant, message: Message) {
        match message {
            Message::Request(read) => self.request_read(now, read),
            Message::ClientDisconnected { id, connection, reason } => {
                self.client_disconnected(now, &id, &connection, reason)
            }
            Message::Executor(event) => self.executor_event(now, event),
            Message::ExecutorLinkLost => self.executor.link_lost(),
            Message::CallEnded { id, number, end } => self.call_ended(now, &id, number, end),
            Message::CoordinatorResponse(CoordinatorResponse { token, response }) => {
                if let Some(coordination) = &mut self.coordination {
                    coordination.on_response(&mut self.engine, token, response);
                }
            }
            Message::TimerFired => {}
            Message::Shutdown => self.begin_shutdown(now),
            Message::Reload(config) => self.reload(&config),
            Message::ListenerClosed => self.listener_closed(now),
        }
    }

    fn timer_expired(&mut self, now: Instant, timer: TimerKind) {
        match timer {
            TimerKind::CloseExpired => {
                self.responder.listener.close_expired();
                let message_timeout = span(self.config.resource_limits().message_timeout);
                let next = now + message_timeout * EXPIRY_CHECK_FRACTION;
                self.engine.set_timer(next, TimerKind::CloseExpired);
            }
            TimerKind::CloseListener => self.close_listener(),
            // Only wakes the event loop, which then finds that it is finished.
            TimerKind::ClosedConnectionsSettled => {}
            TimerKind::CloseConnections => self.close_connections(),
            TimerKind::Exit => self.exit_or_postpone(now),
        }
    }

    /// After a failure of our own: every open request is answered that it failed, those that are still on their way
    /// here too, and nothing more is accepted.
    pub fn fail_all(&mut self) {
        self.responder.announce_health(false);
        self.responder.advertised.set_draining();
        for connection in self.engine.fail_all() {
            self.counters.failed.increment();
            self.counters.in_flight.decrement();
            connection.push(ConnectionCommand::Respond(FinalResponse::Failed));
        }
        self.responder.listener.fail_all();
    }
}
