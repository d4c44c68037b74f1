//! A server: its listeners, the proxy behind them, and its shutdown.

use crate::proxy::Proxy;
use crate::request_manager::Owner;
use crate::settings::Checked;
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
use tracing::error;

/// The size of a coroutine's stack, in words.
const STACK_WORDS: usize = 0x10000;

/// How often idle connections are closed and the shutdown is looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// The same during a shutdown, which is to end soon after its last stream.
const SHUTDOWN_SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// After so many sweeps, expired uploads are removed.
const SWEEPS_PER_EXPIRY: u64 = 100;

/// The part of the shutdown timeout after which streams are cut: the rest is for the last responses to go out.
const SHUTDOWN_DEADLINE_FRACTION: f64 = 0.95;

/// What a running server can be told.
pub enum ServerCommand {
    /// Shut down gracefully: finish or cut what is under way, and end.
    Shutdown,
    /// Send the counters as one line of JSON.
    ReportCounters(Sender<String>),
}

/// How a server ended.
pub struct ServerExit {
    /// All counters as one line of JSON.
    pub counters: String,
    /// Whether each stream that was read got one final response.
    pub is_consistent: bool,
}

/// A server that listens.
pub struct RunningServer {
    /// Takes commands. Once all senders are dropped, the server shuts down.
    pub commands: Sender<ServerCommand>,
    /// The addresses that it listens on, in the order of the settings.
    pub listen_addresses: Vec<SocketAddr>,
    /// Receives how the server ended; nothing where it failed.
    pub exit: Receiver<ServerExit>,
}

/// The scheduling policy with the settings of a stream server.
pub fn scheduling_policy(settings: &Checked, now: Instant) -> Policy {
    Policy::new(settings.policy.clone(), rand::rng().random(), now)
}

/// Starts a server; `scheduler` makes what decides.
///
/// # Errors
/// An address cannot be listened on, the upload archive cannot be opened, or a thread or coroutine not be started.
pub fn start<P: Scheduler + Send + 'static>(
    settings: Checked,
    scheduler: impl FnOnce(&Checked, Instant) -> P,
) -> Result<RunningServer, StartError> {
    // One worker carries all streams: it is fed by what arrives, and copying is the work.
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_worker_pin(false);
    let now = Clock::default().now();
    let timer = Timer::start().map_err(StartError::Thread)?;
    let fair_yield = FairYield::start().map_err(StartError::Coroutine)?;
    let owner = Owner::new(&settings, now, scheduler(&settings, now), rand::rng().random());
    let shutdown_timeout = settings.stop;
    let addresses = settings.listen.clone();
    let archive = open_archive(&settings)?;
    let proxy = Proxy::new(settings, owner, timer, fair_yield, archive);
    let mut listen_addresses = Vec::new();
    for address in addresses {
        listen_addresses.push(accept_on(&proxy, address)?);
    }
    proxy.turn();
    let (commands, received_commands) = mpsc::channel();
    let (exit_sender, exit) = mpsc::channel();
    let work = move || {
        supervise(&proxy, &received_commands, shutdown_timeout);
        // Whoever started the server may be gone.
        let _ = exit_sender.send(close(&proxy));
    };
    std::thread::Builder::new().name("streams".to_owned()).spawn(work).map_err(StartError::Thread)?;
    Ok(RunningServer { commands, listen_addresses, exit })
}

fn open_archive(settings: &Checked) -> Result<Option<Arc<UploadArchive>>, StartError> {
    let Some(directory) = &settings.state else { return Ok(None) };
    UploadArchive::open(directory, settings.uploads).map(Some).map_err(StartError::Archive)
}

/// Listens on an address, and returns it with the port that was chosen where the setting has none.
fn accept_on<P: Scheduler + Send + 'static>(
    proxy: &Arc<Proxy<P>>,
    address: SocketAddr,
) -> Result<SocketAddr, StartError> {
    let listen_error = |source| StartError::Listen { address, source };
    let listener = listen(address).map_err(listen_error)?;
    let listen_address = listener.local_addr().map_err(listen_error)?;
    let proxy = proxy.clone();
    let accept = move || proxy.listeners.accept(listener, |stream, from| proxy.accept(stream, from));
    spawn(STACK_WORDS, accept, |panic| error!(%panic, "no connections are taken any more"))
        .map_err(StartError::Coroutine)?;
    Ok(listen_address)
}

/// Closes the listeners and the idle connections, and sums the server up.
fn close<P: Scheduler + Send + 'static>(proxy: &Arc<Proxy<P>>) -> ServerExit {
    proxy.listeners.close();
    proxy.sweep(true);
    proxy.with(|owner, _| {
        let counts = owner.tally();
        ServerExit {
            counters: owner.counters().to_string(),
            is_consistent: counts.is_consistent() && counts.in_flight == 0,
        }
    })
}

/// Sweeps and takes commands until a shutdown was asked for and everything is answered, or its deadline is over. Until
/// then all that arrives is still read and answered: nobody who came to a listening server is left without a response.
fn supervise<P: Scheduler + Send + 'static>(
    proxy: &Arc<Proxy<P>>,
    commands: &Receiver<ServerCommand>,
    shutdown_timeout: Duration,
) {
    let deadline_after = Span::from_micros(shutdown_timeout.as_micros() as u64) * SHUTDOWN_DEADLINE_FRACTION;
    let begin_shutdown = || {
        proxy.with(|owner, now| owner.leave(now, deadline_after));
    };
    let mut is_disconnected = false;
    let mut interval = SWEEP_INTERVAL;
    let mut sweeps: u64 = 0;
    loop {
        match commands.recv_timeout(interval) {
            Ok(ServerCommand::Shutdown) => begin_shutdown(),
            Ok(ServerCommand::ReportCounters(reply)) => {
                // Whoever asked may be gone.
                let _ = reply.send(proxy.with(|owner, _| owner.counters().to_string()));
            }
            Err(RecvTimeoutError::Disconnected) if !is_disconnected => {
                is_disconnected = true;
                begin_shutdown();
            }
            // A channel without senders returns at once.
            Err(RecvTimeoutError::Disconnected) => std::thread::sleep(interval),
            Err(RecvTimeoutError::Timeout) => {}
        }
        let (deadline, in_flight, now) =
            proxy.with(|owner, now| (owner.kill(), owner.tally().in_flight, now));
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
