//! A running stream server: its listeners, the proxy behind them, and its shutdown.

use crate::proxy::Proxy;
use crate::request_manager::RequestManager;
use crate::settings::StreamSettings;
use crate::start_error::StartError;
use crate::upload_archive::UploadArchive;
use lynxtally::{Instant, Policy, Span};
use lynxtally_engine::Scheduler;
use lynxtally_net::clock::Clock;
use lynxtally_net::coroutine::spawn;
use lynxtally_net::fair_yield::FairYield;
use lynxtally_net::listener::listen;
use lynxtally_net::timer::Timer;
use rand::Rng;
use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::Duration;
use tracing::{error, warn};

/// The size of a coroutine's stack, in words.
const STACK_WORDS: usize = 0x10000;

/// How often idle connections are closed, commands are taken and the progress of a shutdown is checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// The same interval during a shutdown, so that the server ends soon after its last request.
const SHUTDOWN_SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Expired uploads are removed every this many sweeps.
const SWEEPS_PER_EXPIRY: u64 = 100;

/// The fraction of the shutdown timeout after which running requests are cut off. The rest is left for
/// sending the last responses.
const SHUTDOWN_DEADLINE_FRACTION: f64 = 0.95;

/// The fraction of the shutdown timeout for which the end of the server waits for the archive of uploads. It is less than
/// what is left after the deadline of the requests.
const ARCHIVE_TIMEOUT_FRACTION: f64 = 0.03;

/// Commands to a running server.
pub enum ServerCommand {
    /// Shut down gracefully: finish the running requests, cut off those that do not finish in time, and end.
    Shutdown,
    /// Send the counters as one line of JSON.
    ReportCounters(Sender<String>),
}

/// The result of a server that has ended.
pub struct ServerExit {
    /// All counters as one line of JSON.
    pub counters: String,
    /// Whether each request received got exactly one final response.
    pub is_consistent: bool,
}

/// A server that is running.
pub struct RunningServer {
    /// Takes commands. Once all senders are dropped, the server shuts down.
    pub commands: Sender<ServerCommand>,
    /// The addresses that the server listens on, in the order of the settings.
    pub listen_addresses: Vec<SocketAddr>,
    /// Receives the result when the server ends; closed without a result if the server failed.
    pub exit: Receiver<ServerExit>,
}

/// The scheduling policy with the settings of a stream server.
pub fn scheduling_policy(settings: &StreamSettings, now: Instant) -> Policy {
    Policy::new(settings.scheduling.clone(), rand::rng().random(), now)
}

/// Starts a server, with the scheduler that `scheduler` creates.
///
/// # Errors
/// An address cannot be listened on, the upload archive cannot be opened, or a thread or coroutine cannot be
/// started.
pub fn start<P: Scheduler + Send + 'static>(
    settings: StreamSettings,
    scheduler: impl FnOnce(&StreamSettings, Instant) -> P,
) -> Result<RunningServer, StartError> {
    // One worker thread runs all coroutines: it works only when bytes arrive, and nearly all of its work is
    // copying them.
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_worker_pin(false);
    let now = Clock::default().now();
    let timer = Timer::start().map_err(StartError::Thread)?;
    let fair_yield = FairYield::start().map_err(StartError::Coroutine)?;
    let manager = RequestManager::new(&settings, now, scheduler(&settings, now), rand::rng().random());
    let shutdown_timeout = settings.shutdown_timeout;
    let addresses = settings.listen.clone();
    let archive = open_archive(&settings)?;
    let proxy = Proxy::new(settings, manager, timer, fair_yield, archive);
    let mut listen_addresses = Vec::new();
    for address in addresses {
        listen_addresses.push(accept_on(&proxy, address)?);
    }
    proxy.run_manager();
    let (commands, received_commands) = mpsc::channel();
    let (exit_sender, exit) = mpsc::channel();
    let work = move || {
        supervise(&proxy, &received_commands, shutdown_timeout);
        // The receiver may have been dropped by whoever started the server.
        let _ = exit_sender.send(close(&proxy, shutdown_timeout));
    };
    std::thread::Builder::new().name("streams".to_owned()).spawn(work).map_err(StartError::Thread)?;
    Ok(RunningServer { commands, listen_addresses, exit })
}

fn open_archive(settings: &StreamSettings) -> Result<Option<Arc<UploadArchive>>, StartError> {
    let Some(directory) = &settings.upload_directory else { return Ok(None) };
    UploadArchive::open(directory, settings.upload_limits).map(Some).map_err(StartError::Archive)
}

/// Listens on an address. Returns it with the port that the system chose, if the setting gives port 0.
fn accept_on<P: Scheduler + Send + 'static>(
    proxy: &Arc<Proxy<P>>,
    address: SocketAddr,
) -> Result<SocketAddr, StartError> {
    let listen_error = |source| StartError::Listen { address, source };
    let listener = listen(address).map_err(listen_error)?;
    let listen_address = listener.local_addr().map_err(listen_error)?;
    let proxy = proxy.clone();
    let accept = move || proxy.listeners.accept(listener, |stream, from| proxy.accept(stream, from));
    spawn(
        STACK_WORDS,
        accept,
        |panic| error!(%panic, "the accept loop panicked; the listener accepts no more connections"),
    )
    .map_err(StartError::Coroutine)?;
    Ok(listen_address)
}

/// Closes the listeners and the idle connections, and returns the result of the server.
fn close<P: Scheduler + Send + 'static>(proxy: &Arc<Proxy<P>>, shutdown_timeout: Duration) -> ServerExit {
    proxy.listeners.close();
    proxy.sweep(true);
    let timeout = shutdown_timeout.mul_f64(ARCHIVE_TIMEOUT_FRACTION);
    let is_archived = proxy.archive.as_ref().is_none_or(|archive| archive.wait_until_idle(timeout));
    if !is_archived {
        warn!(
            "the archive of uploads is still writing; what it has not written is found out at the next start"
        );
    }
    proxy.with_manager(|manager, _| {
        let counts = manager.request_counts();
        ServerExit {
            counters: proxy.counters(manager).to_string(),
            is_consistent: counts.is_consistent() && counts.in_flight == 0,
        }
    })
}

/// Runs the server: takes commands, closes idle connections and removes expired uploads at each interval.
/// Returns when a shutdown has begun and either all requests are answered or its deadline has passed. Until
/// then requests are read and answered, so that no client of a listening server is left without a response.
fn supervise<P: Scheduler + Send + 'static>(
    proxy: &Arc<Proxy<P>>,
    commands: &Receiver<ServerCommand>,
    shutdown_timeout: Duration,
) {
    let deadline_after = Span::from_micros(shutdown_timeout.as_micros() as u64) * SHUTDOWN_DEADLINE_FRACTION;
    let begin_shutdown = || {
        proxy.with_manager(|manager, now| manager.begin_shutdown(now, deadline_after));
    };
    let mut is_disconnected = false;
    let mut interval = SWEEP_INTERVAL;
    let mut sweeps: u64 = 0;
    loop {
        match commands.recv_timeout(interval) {
            Ok(ServerCommand::Shutdown) => begin_shutdown(),
            Ok(ServerCommand::ReportCounters(reply)) => {
                // The receiver may have been dropped by whoever sent the command.
                let _ = reply.send(proxy.with_manager(|manager, _| proxy.counters(manager).to_string()));
            }
            Err(RecvTimeoutError::Disconnected) if !is_disconnected => {
                is_disconnected = true;
                begin_shutdown();
            }
            // Receiving from a channel without senders returns at once, so the interval is slept here.
            Err(RecvTimeoutError::Disconnected) => std::thread::sleep(interval),
            Err(RecvTimeoutError::Timeout) => {}
        }
        let (deadline, in_flight, now) = proxy.with_manager(|manager, now| {
            (manager.shutdown_deadline(), manager.request_counts().in_flight, now)
        });
        proxy.sweep(deadline.is_some());
        sweeps += 1;
        if let Some(archive) = proxy.archive.as_ref().filter(|_| sweeps.is_multiple_of(SWEEPS_PER_EXPIRY)) {
            archive.remove_expired();
        }
        if let Some(deadline) = deadline {
            interval = SHUTDOWN_SWEEP_INTERVAL;
            if in_flight == 0 || now >= deadline {
                return;
            }
        }
    }
}
