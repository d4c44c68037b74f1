//! The event loop: the one coroutine that owns the engine, which contains the scheduler and the open requests.
//!
//! All other components send messages to the event loop. Each iteration handles all messages that wait, lets the
//! scheduler decide once for the whole batch, and sends the resulting commands. The event loop only waits for
//! messages, never writes to a socket, and leaves every scheduling decision to the scheduler.

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

/// The interval between checks for expired connections, as a fraction of the message timeout.
const EXPIRY_CHECK_FRACTION: f64 = 0.1;

/// The timers that the event loop sets, in addition to the engine's own. If several expire at the same instant, the
/// engine returns them in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    /// Close the client connections that have exceeded a timeout.
    CloseExpired,
    /// Shutdown: close the listener.
    CloseListener,
    /// Shutdown: check for the end, since no request can still be in transit to a closed connection.
    ClosedConnectionsSettled,
    /// Shutdown: close all connections without an open request, even in the middle of a message.
    CloseConnections,
    /// Shutdown: the latest time to end the program.
    Exit,
}

type NodeEngine = Engine<Policy, RequestWork, ConnectionHandle, TimerKind>;

/// The event loop and its state.
pub struct EventLoop {
    config: Config,
    clock: Clock,
    engine: NodeEngine,
    executor: NodeExecutor,
    responder: NodeResponder,
    wakeup: Wakeup,
    shutdown: ShutdownProgress,
    counters: Arc<Counters>,
    /// `None` if the configuration has no coordinators.
    coordination: Option<Coordination>,
}

/// The handles through which the event loop reaches the other components.
pub struct EventLoopParts {
    /// Schedules the wakeups of the event loop.
    pub timer: Timer,
    /// Sends messages to the event loop itself.
    pub event_loop: Sender<Message>,
    /// Reports the node's health to the control plane.
    pub health_reporter: HealthReporter,
    /// Sends commands to the executor.
    pub executor: Arc<ExecutorHandle>,
    /// Makes downstream calls.
    pub downstream: Arc<DownstreamClient>,
    /// Holds the client connections.
    pub listener: Arc<Listener>,
    /// The state that responses and health checks advertise.
    pub advertised: Arc<AdvertisedState>,
    /// The counters of the node.
    pub counters: Arc<Counters>,
    /// Leases shared budgets from the coordinators; `None` if the configuration has no coordinators.
    pub coordination: Option<Coordination>,
}

/// Wakes the event loop with a message when its next timer expires.
struct Wakeup {
    timer: Timer,
    event_loop: Sender<Message>,
    /// The time of the earliest scheduled wakeup.
    scheduled_at: Option<Instant>,
}

impl Wakeup {
    /// Schedules a wakeup, unless one is already scheduled for the same time or earlier.
    fn schedule(&mut self, at: Instant, now: Instant) {
        if self.scheduled_at.is_some_and(|scheduled| scheduled <= at) {
            return;
        }
        self.scheduled_at = Some(at);
        let event_loop = self.event_loop.clone();
        self.timer.run_after(duration(at - now), move || {
            // Sending fails only after the event loop has ended, and then the program ends too.
            let _ = event_loop.send(Message::TimerFired);
        });
    }

    /// Clears the scheduled wakeup if its time has passed.
    fn clear_expired(&mut self, now: Instant) {
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
    /// Creates an event loop. It admits no requests before the executor has reported that it is up.
    pub fn new(config: Config, parts: EventLoopParts) -> Self {
        let limits = config.resource_limits();
        let mut engine = Engine::new(limits.retained_result_bytes);
        engine.set_max_key_bytes(limits.idempotency_key_bytes);
        engine.set_timer(Instant::default(), TimerKind::CloseExpired);
        // The HTTP codec rejects requests that arrived longer ago than the longest deadline of a class.
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

    /// Runs until the shutdown is complete.
    pub fn run(&mut self, messages: &Receiver<Message>) {
        let mut batch = Vec::new();
        loop {
            self.schedule_wakeup();
            let Ok(first) = messages.recv() else { return };
            batch.push(first);
            batch.extend(messages.try_iter());
            let now = self.clock.now();
            self.wakeup.clear_expired(now);
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

    /// Schedules a wakeup for the engine's next timer or the next deadline of coordination, whichever is earlier.
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
            // No action: the iteration that handles this timer checks whether the shutdown is finished.
            TimerKind::ClosedConnectionsSettled => {}
            TimerKind::CloseConnections => self.close_connections(),
            TimerKind::Exit => self.exit_or_postpone(now),
        }
    }

    /// Ends service after a panic of the event loop. Answers every open request with a failure, including those that
    /// were read but not yet submitted to the engine, and lets connections close after their response.
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
