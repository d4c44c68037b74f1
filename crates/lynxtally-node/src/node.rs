//! Starts and connects the components of a node, then waits for the event loop to end.

use crate::advertised_state::AdvertisedState;
use crate::config::{Config, LoadError};
use crate::coordination::{Coordination, RequestSender};
use crate::counters::Counters;
use crate::downstream::DownstreamClient;
use crate::error::NodeError;
use crate::event_loop::{EventLoop, EventLoopParts};
use crate::executor_link::{ExecutorHandle, ExecutorLink};
use crate::health_reports::{HealthReporter, HealthReports, ReporterMessage};
use crate::http::RequestSchema;
use crate::listener::{self, Listener, ListenerParts};
use crate::messages::{CoordinatorResponse, Message};
use lynxtally_net::coroutine::{catch_panic, spawn, Panic};
use lynxtally_net::timer::Timer;
use may::sync::mpsc::{channel, Receiver, Sender};
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use std::io::Write;
use std::net::TcpListener;
use std::sync::mpsc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tracing::error;

/// Stack size of the event loop's coroutine. It runs the scheduler, which needs more stack than the other coroutines.
const EVENT_LOOP_STACK_WORDS: usize = 0x8000;
/// Stack size of the other components' coroutines.
const STACK_WORDS: usize = 0x2000;
/// Number of finished coroutines kept for reuse.
const COROUTINE_POOL: usize = 32;
/// How long the worker thread of the coroutines sleeps at most while no coroutine is ready.
const MAX_WORKER_SLEEP: Duration = Duration::from_secs(10);
/// How long the process stays alive after the event loop has ended, so that connections can write the last responses.
const FINAL_FLUSH_TIME: Duration = Duration::from_millis(20);

/// How the node ended: by the end of the event loop, or by the failure of a component.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The event loop completed a shutdown.
    Finished,
    /// A component panicked.
    Failed,
}

/// Configures the coroutine runtime. It uses one worker thread because a node has one core, and does not pin the
/// thread because other processes share that core.
pub fn configure_coroutines() {
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(COROUTINE_POOL);
    may::config().set_worker_pin(false);
    may::config().set_timeout_ns(MAX_WORKER_SLEEP.as_nanos() as u64);
}

/// Runs a node until its shutdown is complete. SIGHUP calls `read_config` to reload the configuration.
///
/// # Errors
/// Returns an error if the node can't start or if one of its components panics.
pub fn serve(
    config: Config,
    read_config: impl Fn() -> Result<Config, LoadError> + Send + 'static,
) -> Result<(), NodeError> {
    // Signal handlers are installed before the listener: without a handler, a SIGTERM that arrives after the first
    // client has connected would kill the process at once.
    let signals = Signals::new([SIGHUP, SIGTERM, SIGUSR1]).map_err(NodeError::Signals)?;
    let address = config.listen;
    let socket = listener::listen(address).map_err(|error| NodeError::Listen { address, error })?;
    let node = Node::new(&config)?;
    node.handle_signals(signals, read_config);
    let (outcome_sender, outcomes) = mpsc::channel();
    let supervisor = Supervisor(outcome_sender);
    node.start_listener(socket, &supervisor)?;
    node.start_executor_link(&supervisor)?;
    let health_reporter = node.start_health_reports(&config, &supervisor)?;
    let coordination = node.start_coordination(&config)?;
    let counters = node.counters.clone();
    node.start_event_loop(config, health_reporter, coordination, supervisor)?;

    let outcome = outcomes.recv().unwrap_or(Outcome::Failed);
    thread::sleep(FINAL_FLUSH_TIME);
    print_counters(&counters);
    match outcome {
        Outcome::Finished => Ok(()),
        Outcome::Failed => Err(NodeError::ComponentFailed),
    }
}

/// Receives the panics of components that must run for as long as the program does, and ends the program.
#[derive(Clone)]
struct Supervisor(mpsc::Sender<Outcome>);

impl Supervisor {
    /// Returns the panic handler for the component with this name. The handler ends the program.
    fn on_panic(&self, component: &'static str) -> impl FnOnce(Panic) + Send + 'static {
        let outcomes = self.0.clone();
        move |panic: Panic| {
            error!(component, %panic, "component of the node panicked; the program ends");
            // `serve` holds the receiver until the program ends.
            let _ = outcomes.send(Outcome::Failed);
        }
    }
}

/// The handles and channels of the components while the node starts.
struct Node {
    timer: Timer,
    listener: Arc<Listener>,
    executor: Arc<ExecutorHandle>,
    downstream: Arc<DownstreamClient>,
    advertised: Arc<AdvertisedState>,
    counters: Arc<Counters>,
    event_loop: Sender<Message>,
    messages: Receiver<Message>,
}

impl Node {
    fn new(config: &Config) -> Result<Self, NodeError> {
        let schema = RequestSchema::new(&config.backend);
        let counters = Arc::new(Counters::new(&schema.classes));
        let advertised = Arc::new(AdvertisedState::default());
        let (event_loop, messages) = channel();
        let timer = Timer::start().map_err(NodeError::Thread)?;
        let listener = Arc::new(Listener::new(ListenerParts {
            resource_limits: config.resource_limits(),
            schema,
            advertised: advertised.clone(),
            timer: timer.clone(),
            event_loop: event_loop.clone(),
            counters: counters.clone(),
        }));
        let downstream =
            Arc::new(DownstreamClient::new(config.downstream, event_loop.clone(), counters.clone()));
        let executor = Arc::new(ExecutorHandle::new(config.executor));
        Ok(Self { timer, listener, executor, downstream, advertised, counters, event_loop, messages })
    }

    /// Starts the thread that handles signals: SIGTERM shuts the node down, SIGHUP reloads the configuration, SIGUSR1
    /// prints the counters.
    fn handle_signals(
        &self,
        mut signals: Signals,
        read_config: impl Fn() -> Result<Config, LoadError> + Send + 'static,
    ) {
        let event_loop = self.event_loop.clone();
        let counters = self.counters.clone();
        thread::spawn(move || {
            for signal in signals.forever() {
                let message = match signal {
                    SIGTERM => Message::Shutdown,
                    SIGHUP => match read_config() {
                        Ok(config) => Message::Reload(Box::new(config)),
                        Err(error) => {
                            error!(%error, "configuration not reloaded; the previous one stays in force");
                            continue;
                        }
                    },
                    _ => {
                        print_counters(&counters);
                        continue;
                    }
                };
                if event_loop.send(message).is_err() {
                    return;
                }
            }
        });
    }

    fn start_listener(&self, socket: TcpListener, supervisor: &Supervisor) -> Result<(), NodeError> {
        let listener = self.listener.clone();
        let accept = move || listener.accept(socket);
        spawn(STACK_WORDS, accept, supervisor.on_panic("listener")).map_err(NodeError::Coroutine)?;
        Ok(())
    }

    fn start_executor_link(&self, supervisor: &Supervisor) -> Result<(), NodeError> {
        let handle = self.executor.clone();
        let event_loop = self.event_loop.clone();
        let timer = self.timer.clone();
        let counters = self.counters.clone();
        let run = move || {
            ExecutorLink { handle: &handle, event_loop: &event_loop, timer: &timer, counters: &counters }
                .run();
        };
        spawn(STACK_WORDS, run, supervisor.on_panic("executor link")).map_err(NodeError::Coroutine)?;
        Ok(())
    }

    fn start_health_reports(
        &self,
        config: &Config,
        supervisor: &Supervisor,
    ) -> Result<HealthReporter, NodeError> {
        let (sender, messages) = channel();
        // Starts the interval until the first periodic report.
        let _ = sender.send(ReporterMessage::ReportDue);
        let reporter = HealthReporter::new(sender.clone());
        let name = config.name.clone();
        let address = config.control_plane;
        let timer = self.timer.clone();
        let counters = self.counters.clone();
        let run = move || {
            HealthReports { name: &name, address, sender: &sender, timer: &timer, counters: &counters }
                .run(&messages);
        };
        spawn(STACK_WORDS, run, supervisor.on_panic("health reports")).map_err(NodeError::Coroutine)?;
        Ok(reporter)
    }

    fn start_coordination(&self, config: &Config) -> Result<Option<Coordination>, NodeError> {
        let Some(settings) = config.coordination.clone() else { return Ok(None) };
        let event_loop = self.event_loop.clone();
        let on_response = move |token, response| {
            // Sending fails only after the event loop has ended, and then the program ends too.
            let _ = event_loop.send(Message::CoordinatorResponse(CoordinatorResponse { token, response }));
        };
        let sender =
            RequestSender::start(settings.coordinators.clone(), settings.response_timeout, on_response)
                .map_err(NodeError::Thread)?;
        Ok(Some(Coordination::new(&config.name, settings, config.seed, sender)))
    }

    fn start_event_loop(
        self,
        config: Config,
        health_reporter: HealthReporter,
        coordination: Option<Coordination>,
        supervisor: Supervisor,
    ) -> Result<(), NodeError> {
        let messages = self.messages;
        let parts = EventLoopParts {
            timer: self.timer,
            event_loop: self.event_loop,
            health_reporter,
            executor: self.executor,
            downstream: self.downstream,
            listener: self.listener,
            advertised: self.advertised,
            counters: self.counters,
            coordination,
        };
        let run = move || run_event_loop(config, parts, &messages, &supervisor.0);
        let on_panic =
            |panic: Panic| error!(%panic, "event loop panicked again while it failed its open requests");
        spawn(EVENT_LOOP_STACK_WORDS, run, on_panic).map_err(NodeError::Coroutine)?;
        Ok(())
    }
}

/// Runs the event loop to its end and sends the outcome. If the event loop panics, every open request is answered
/// with a failure first.
pub fn run_event_loop(
    config: Config,
    parts: EventLoopParts,
    messages: &Receiver<Message>,
    outcomes: &mpsc::Sender<Outcome>,
) {
    let mut event_loop = EventLoop::new(config, parts);
    let outcome = match catch_panic(|| event_loop.run(messages)) {
        Ok(()) => Outcome::Finished,
        Err(panic) => {
            error!(%panic, "event loop panicked; answering every open request with a failure");
            event_loop.fail_all();
            Outcome::Failed
        }
    };
    // `serve` holds the receiver until the program ends.
    let _ = outcomes.send(outcome);
}

/// Prints the counters on standard output. A write error is ignored, since standard output may be closed.
fn print_counters(counters: &Counters) {
    let _ = writeln!(std::io::stdout(), "{}", counters.line());
}
