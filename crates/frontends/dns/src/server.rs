//! The DNS server. One thread owns the engine and the zones: it reads datagrams in batches, handles events, and passes
//! log writes, transfers and slow jobs to other threads. What is run or rejected is decided by the scheduler.

use crate::base_files::remove_unreferenced_bases;
use crate::client::{self, Client};
use crate::codec::{
    ExtendedError, Request, RequestBody, RequestError, ResponseCode, ResponseLimits, MAX_MESSAGE_BYTES,
};
use crate::connection::{ConnectionCommand, ConnectionEvent, Connections, ReceivedMessage, ResponsePath};
use crate::control::{self, Command};
use crate::cookie;
use crate::datagram_queue::{Datagram, DatagramQueue};
use crate::executor::{ExecutorCounts, RequestContext, ZoneExecutor, ZoneState};
use crate::log_writer::{self, AppendJob, DirectoryStorage};
use crate::settings::{self, class, CheckedSettings};
use crate::tsig::Keys;
use crate::udp;
use lynxtally::{CallOutcome, Instant, Policy, Span};
use lynxtally_engine::{Engine, FinalResponse, IncomingRequest, Rejection, Responder, RunEnd, Scheduler};
use lynxtally_net::clock::Clock;
use lynxtally_net::coroutine::{catch_panic, spawn};
use lynxtally_net::fair_yield::FairYield;
use lynxtally_net::memory_account::MemoryAccount;
use lynxtally_net::sync::lock;
use lynxtally_net::timer::Timer;
use lynxtally_wal::{Rotation, Storage, WriteAheadLog};
use lynxtally_zones::change::{diff, Change};
use lynxtally_zones::rate_limit::{prefix, RequestRateLimit};
use lynxtally_zones::secondary::{
    zone_from_records, NotifySender, SecondaryAction, SecondaryZone, TransferResult,
};
use lynxtally_zones::zone_file;
use lynxtally_zones::zone_store::{
    decode, decode_base, encode, encode_base, FreezeReason, PreparedReload, ReloadInput, Snapshot, ZoneStore,
};
use lynxtally_zones::{Serial, Zone};
use nix::poll::{ppoll, PollFd, PollFlags};
use nix::sys::eventfd::{EfdFlags, EventFd};
use nix::sys::time::TimeSpec;
use rand::Rng;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::AsFd;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tracing::{error, info, warn};

/// Stack of the coroutines that accept connections, in words.
const STACK_WORDS: usize = 0x4000;
/// Limits on what one pass of the server loop reads per socket, in batches of datagrams, and from the event queue.
const MAX_BATCHES_PER_TURN: usize = 16;
const MAX_EVENTS_PER_TURN: usize = 64;
/// How long queued datagrams, and events, are handled in one turn before what arrived meanwhile is received.
const DATAGRAM_TURN: Span = Span::from_millis(1);
const EVENT_TURN: Span = Span::from_millis(2);
/// How often connections that have been idle for too long are closed.
const IDLE_CHECK_INTERVAL: Span = Span::from_millis(1000);

/// An event for the server thread. Zones are given by their index.
pub enum ServerEvent {
    /// A TCP connection received a message, closed, or finished a transfer.
    Connection(ConnectionEvent),
    /// All entries of a zone's log below this number are durable, or writing the log failed.
    LogDurable(usize, Result<u64, String>),
    /// A zone file was read for a reload: the name of its base file and the prepared version, or why it was refused.
    /// The sender returns the result to the operator's program that asked.
    FileRead(usize, Result<(String, Box<PreparedReload>), String>, Option<Sender<String>>),
    /// A zone's snapshot was written, or writing it failed.
    SnapshotWritten(usize, Result<(), String>),
    /// A primary returned its serial, or the query failed.
    PrimarySerial(usize, Result<Serial, String>),
    /// A transfer from a primary ended.
    TransferReceived(usize, Result<TransferOutcome, String>),
    /// A secondary acknowledged the NOTIFY of a serial: zone, index of the secondary, serial.
    NotifyAcknowledged(usize, usize, Serial),
    /// An operator's command; its reply is sent to the sender.
    Command(Command, Sender<String>),
    /// Finish the open requests and stop.
    Shutdown,
}

/// The result of a transfer from a primary.
pub enum TransferOutcome {
    /// The primary has nothing newer than this serial.
    UpToDate(Serial),
    /// A full version: its base file, its records, and the change from the version before.
    Full(String, Box<Zone>, Box<Change>),
    /// The changes since the version that the secondary has.
    Incremental(Vec<Change>),
}

/// The timers of the server; a zone has one for leases, refresh and NOTIFY.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKey {
    CloseIdle,
    Zone(usize),
    ForceExit,
}

/// A job for the background thread, so that no response waits for it.
enum BackgroundJob {
    ReadZoneFile {
        zone: usize,
        settings: Box<settings::ZoneSettings>,
        reload_input: Box<ReloadInput>,
        reply_sender: Option<Sender<String>>,
    },
    WriteSnapshot {
        zone: usize,
        name: String,
        rotation: Rotation,
        store: Box<ZoneStore>,
    },
    DropZones(#[allow(dead_code)] Vec<Zone>),
}

/// Sends final responses: datagrams are collected and sent by [`Self::flush`], TCP responses go to their connection.
struct ResponseSender {
    sockets: Vec<Arc<UdpSocket>>,
    outgoing: Vec<Vec<(SocketAddr, Vec<u8>)>>,
    dropped: u64,
    /// The clients of datagrams whose requests got their final response, until the datagram queue is told.
    answered: Vec<SocketAddr>,
}

impl ResponseSender {
    fn send(&mut self, via: &ResponsePath, to: SocketAddr, octets: Vec<u8>) -> bool {
        match via {
            ResponsePath::Udp(socket) => {
                self.outgoing[*socket].push((to, octets));
                true
            }
            ResponsePath::Tcp(connection) => connection.respond(octets),
        }
    }

    fn flush(&mut self) {
        for (socket, outgoing) in self.sockets.iter().zip(&mut self.outgoing) {
            if !outgoing.is_empty() {
                self.dropped += (outgoing.len() - udp::send(socket, outgoing)) as u64;
                outgoing.clear();
            }
        }
    }
}

impl Responder<Arc<RequestContext<ResponsePath>>> for ResponseSender {
    fn respond(&mut self, context: Arc<RequestContext<ResponsePath>>, response: FinalResponse) -> bool {
        use crate::executor::Transport;
        let streaming = context.streaming.load(Ordering::Relaxed);
        if let ResponsePath::Udp(_) = context.peer {
            self.answered.push(context.from);
        }
        let octets = match response {
            // A finished transfer: its messages were the response.
            FinalResponse::Completed(octets) if octets.is_empty() => return true,
            FinalResponse::Completed(octets) => octets,
            _ if streaming => {
                context.peer.abort();
                return true;
            }
            FinalResponse::Rejected { retry_after, .. } => {
                let text = format!("busy; come back in {} ms", (retry_after.micros() / 1000).max(1));
                context.code(ResponseCode::SERVFAIL, Some((ExtendedError::NotReady, text)))
            }
            FinalResponse::Failed | FinalResponse::WithoutResult | FinalResponse::KeyConflict => context
                .code(ResponseCode::SERVFAIL, Some((ExtendedError::Other, "not done in time".to_owned()))),
        };
        self.send(&context.peer, context.from, octets)
    }

    fn log(&mut self, text: &str) {
        info!("{text}");
    }
}

/// The events that wait for the server thread, and the eventfd that wakes it.
struct QueueState {
    pending: Mutex<VecDeque<ServerEvent>>,
    asleep: AtomicBool,
    wakeup: EventFd,
}

/// The queue of events for the server thread.
#[derive(Clone)]
pub struct EventQueue(Arc<QueueState>);

impl EventQueue {
    fn new() -> Result<Self, String> {
        let wakeup = EventFd::from_flags(EfdFlags::EFD_NONBLOCK)
            .map_err(|fault| format!("eventfd can't be created: {fault}"))?;
        Ok(Self(Arc::new(QueueState { pending: Mutex::default(), asleep: AtomicBool::new(false), wakeup })))
    }

    /// Adds an event and wakes the server thread.
    pub fn push(&self, event: ServerEvent) {
        lock(&self.0.pending).push_back(event);
        if self.0.asleep.swap(false, Ordering::SeqCst) {
            // The write fails only if the eventfd's counter is full, and then the eventfd is readable already.
            let _ = self.0.wakeup.write(1);
        }
    }

    fn pop(&self) -> Option<ServerEvent> {
        lock(&self.0.pending).pop_front()
    }

    /// Waits until a datagram arrives, an event is added, or the timeout passes.
    fn wait(&self, sockets: &[Arc<UdpSocket>], timeout: Option<Duration>) {
        self.0.asleep.store(true, Ordering::SeqCst);
        // An event that was added before `asleep` was set did not signal `wakeup`.
        if lock(&self.0.pending).is_empty() {
            let mut fds: Vec<PollFd> =
                sockets.iter().map(|s| PollFd::new(s.as_fd(), PollFlags::POLLIN)).collect();
            fds.push(PollFd::new(self.0.wakeup.as_fd(), PollFlags::POLLIN));
            // An error, such as EINTR, only ends the wait early.
            let _ = ppoll(&mut fds, timeout.map(TimeSpec::from), None);
        }
        self.0.asleep.store(false, Ordering::SeqCst);
        let _ = self.0.wakeup.read();
    }
}

/// The state of the server thread.
pub struct Server<P> {
    settings: CheckedSettings,
    clock: Clock,
    engine: Engine<P, Arc<RequestContext<ResponsePath>>, Arc<RequestContext<ResponsePath>>, TimerKey>,
    executor: ZoneExecutor<ResponsePath>,
    responses: ResponseSender,
    keys: Keys,
    cookie_secret: cookie::Secret,
    rate_limit: RequestRateLimit,
    events: EventQueue,
    log_jobs: Sender<AppendJob>,
    background_jobs: Sender<BackgroundJob>,
    connections: Arc<Connections>,
    datagrams: DatagramQueue,
    /// Datagrams that were dropped because their client sends more than is handled.
    overflowed_datagrams: u64,
    draining: bool,
    stopped: bool,
    unreadable: u64,
    over_share: u64,
    requests_by_class: [u64; 5],
}

/// What a server reports when it has stopped.
pub struct ServerExit {
    /// All counters as one line of JSON.
    pub counters: String,
    /// Whether every request that was read got exactly one response.
    pub counts_consistent: bool,
}

/// The scheduler for a DNS server's settings.
pub fn new_policy(settings: &CheckedSettings, now: Instant) -> Policy {
    Policy::new(settings.policy.clone(), rand::rng().random(), now)
}

/// A server that listens and runs on its own thread.
pub struct RunningServer {
    /// The queue for commands to the server.
    pub events: EventQueue,
    /// The addresses that it listens on, in the order of the settings.
    pub addresses: Vec<SocketAddr>,
    /// Receives one value when the server has stopped.
    pub exit: mpsc::Receiver<ServerExit>,
}

/// Loads the zones and starts a server; `decide` creates its scheduler. An error is one line of text.
pub fn start<P: Scheduler + Send + 'static>(
    settings: CheckedSettings,
    decide: impl FnOnce(&CheckedSettings, Instant) -> P,
) -> Result<RunningServer, String> {
    // One worker, pinned to no core, is enough for all connections. With several workers, coroutines that one worker
    // stole from another were seen to miss the events that they waited for.
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_worker_pin(false);
    let clock = Clock::default();
    let now = clock.now();
    let (mut folder, state) = (open_state_folder(&settings.state)?, settings.state.clone());
    let mut zones = Vec::new();
    for zone in &settings.zones {
        zones.push(load_zone(&mut folder, zone, &settings, now)?);
    }
    let events = EventQueue::new()?;
    let (sockets, listeners, addresses) = open_sockets(&settings)?;
    let timer = Timer::start().map_err(|fault| format!("the timer thread can't be started: {fault}"))?;
    let queue = events.clone();
    control::listen(&state, move |command, reply_sender| {
        queue.push(ServerEvent::Command(command, reply_sender))
    })
    .map_err(|fault| format!("{}: {fault}", control::path(&state).display()))?;
    let fair_yield = FairYield::start().map_err(|fault| format!("a coroutine can't be started: {fault}"))?;
    let queue = events.clone();
    let on_connection_event = move |event| queue.push(ServerEvent::Connection(event));
    let connections = Arc::new(Connections::new(
        settings.limits.connections,
        MemoryAccount::new(settings.limits.connection_memory()),
        timer,
        fair_yield,
        on_connection_event,
    ));
    for listener in listeners {
        let acceptor = connections.clone();
        spawn(
            STACK_WORDS,
            move || acceptor.accept(listener),
            |panic| {
                error!(
                    %panic,
                    "accept coroutine panicked: this listener accepts no more TCP connections"
                )
            },
        )
        .map_err(|fault| format!("a coroutine can't be started: {fault}"))?;
    }
    let (log_jobs, jobs) = mpsc::channel();
    let (queue, storage) = (events.clone(), open_state_folder(&state)?);
    std::thread::spawn(move || {
        log_writer::run(storage, &jobs, |zone, result| queue.push(ServerEvent::LogDurable(zone, result)))
    });
    let (background_jobs, jobs) = mpsc::channel();
    let (queue, state_path) = (events.clone(), state.clone());
    std::thread::spawn(move || jobs.iter().for_each(|job| run_background_job(&state_path, job, &queue)));
    let max_log_bytes = settings.limits.log_mb << 20;
    let mut engine = Engine::new(0);
    engine.start(now, decide(&settings, now));
    engine.set_timer(now, TimerKey::CloseIdle);
    (0..zones.len()).for_each(|zone| engine.set_timer(now, TimerKey::Zone(zone)));
    let cookie_secret = settings.cookie_secret.unwrap_or_else(|| rand::rng().random());
    let server = Server {
        rate_limit: settings.limits.rate_limit(rand::rng().random(), now),
        keys: Keys(settings.keys.clone()),
        cookie_secret: cookie::Secret(cookie_secret),
        responses: ResponseSender {
            outgoing: vec![Vec::new(); sockets.len()],
            sockets: sockets.clone(),
            dropped: 0,
            answered: Vec::new(),
        },
        settings,
        clock,
        engine,
        executor: ZoneExecutor::new(zones, max_log_bytes),
        events: events.clone(),
        log_jobs,
        background_jobs,
        connections,
        datagrams: DatagramQueue::default(),
        overflowed_datagrams: 0,
        draining: false,
        stopped: false,
        unreadable: 0,
        over_share: 0,
        requests_by_class: [0; 5],
    };
    let (exit_sender, exit) = mpsc::channel();
    drop(sockets);
    let run_server = move || {
        let mut server = server;
        let outcome = catch_panic(|| server.run());
        if let Err(panic) = &outcome {
            error!(%panic, "server thread panicked: answering every open request with SERVFAIL and stopping");
            server.fail_open_requests();
        }
        server.connections.close();
        let counts_consistent = outcome.is_ok() && server.engine.counts().is_consistent();
        let counters = server.counters();
        // The sockets are closed before the exit is reported, so that the addresses can be bound again.
        drop(server);
        // The receiver may have been dropped by whoever started the server.
        let _ = exit_sender.send(ServerExit { counters, counts_consistent });
    };
    std::thread::Builder::new()
        .name("names".to_owned())
        .spawn(run_server)
        .map_err(|fault| format!("a thread can't be started: {fault}"))?;
    Ok(RunningServer { events, addresses, exit })
}

type Sockets = (Vec<Arc<UdpSocket>>, Vec<TcpListener>, Vec<SocketAddr>);

/// How many ports are tried if the system chooses the port: the port that it chooses for UDP may be in use for TCP.
const PORT_ATTEMPTS: usize = 16;

/// Opens a UDP and a TCP socket on the same port for each address of the settings.
fn open_sockets(settings: &CheckedSettings) -> Result<Sockets, String> {
    let mut all: Sockets = Default::default();
    for requested in &settings.listen {
        let open = || -> std::io::Result<_> {
            let socket = udp::open(*requested)?;
            let address = socket.local_addr()?;
            Ok((socket, lynxtally_net::listener::listen(address)?, address))
        };
        let attempts = if requested.port() == 0 { PORT_ATTEMPTS } else { 1 };
        let mut opened = open();
        for _ in 1..attempts {
            if opened.is_err() {
                opened = open();
            }
        }
        let (socket, listener, address) =
            opened.map_err(|fault| format!("`listen`: {requested}: {fault}"))?;
        all.0.push(Arc::new(socket));
        all.1.push(listener);
        all.2.push(address);
    }
    Ok(all)
}

/// Opens the folder that holds the zones' logs, snapshots and base files.
pub fn open_state_folder(state: &Path) -> Result<DirectoryStorage, String> {
    DirectoryStorage::new(state).map_err(|fault| format!("{}: {fault}", state.display()))
}

/// The stem of the names of a zone's log files: the apex, with all characters other than letters, digits and `-` replaced
/// by `_`.
pub fn journal_name(zone: &settings::ZoneSettings) -> String {
    let text = zone.apex.to_string();
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    let stem: String = text.trim_end_matches('.').chars().map(plain).collect();
    if stem.is_empty() {
        "root".to_owned()
    } else {
        stem
    }
}

/// Reads a zone file. Refused records are logged; the error says why the whole file can't be used.
pub fn read_zone_file(path: &Path, zone: &settings::ZoneSettings) -> Result<Zone, String> {
    let shown = path.display().to_string();
    let text = std::fs::read(path).map_err(|fault| format!("{shown}: {fault}"))?;
    let folder = path.parent().map(Path::to_owned).unwrap_or_default();
    let mut include = |name: &str| -> Result<Vec<u8>, String> { read_include(&folder, name) };
    let read = zone_file::read(&shown, &text, Some(&zone.apex), zone.file_limits, &mut include);
    for fault in &read.faults {
        warn!("zone file record refused: {fault}");
    }
    match read.unusable {
        Some(fault) => Err(fault.to_string()),
        None => Ok(read.zone),
    }
}

/// Reads a file that a zone file includes. After symbolic links are resolved it must be in the zone file's folder.
pub fn read_include(folder: &Path, name: &str) -> Result<Vec<u8>, String> {
    let folder = if folder.as_os_str().is_empty() { Path::new(".") } else { folder };
    let path = folder.join(name).canonicalize().map_err(|fault| fault.to_string())?;
    let folder = folder.canonicalize().map_err(|fault| fault.to_string())?;
    if !path.starts_with(&folder) {
        return Err("it is not within the zone's folder".to_owned());
    }
    std::fs::read(path).map_err(|fault| fault.to_string())
}

/// Writes a full version of a zone to a base file and returns the file's name.
fn write_base(folder: &mut DirectoryStorage, name: &str, zone: &Zone) -> Result<String, String> {
    let file = format!("{name}.{:016x}.base", rand::rng().random::<u64>());
    let octets = lynxtally_wal::encode_checksummed_file(u64::from(zone.serial().0), &encode_base(zone));
    folder.replace(&file, &octets).map_err(|fault| format!("{file}: {fault}"))?;
    Ok(file)
}

/// Reads a base file; `None` if it is missing or damaged.
pub fn read_base(folder: &mut DirectoryStorage, file: &str) -> Option<Zone> {
    let octets = folder.read(file).ok()??;
    decode_base(lynxtally_wal::decode_checksummed_file(&octets)?.content)
}

/// Loads a zone from its log, or from its zone file if it has no log yet. With a damaged log the zone is frozen at the
/// last readable entry, and nothing more is written to the log.
pub fn load_zone(
    folder: &mut DirectoryStorage,
    zone: &settings::ZoneSettings,
    settings: &CheckedSettings,
    now: Instant,
) -> Result<ZoneState, String> {
    let name = journal_name(zone);
    let (mut journal, found) = WriteAheadLog::open(folder, &name).map_err(|fault| fault.to_string())?;
    let limits = settings.limits.zone_store_limits(settings.zones.len());
    if let Some(cut) = &found.torn_tail {
        warn!(
            zone = %zone.apex, file = cut.file, at = cut.offset, octets = cut.length,
            "zone log ended in an incomplete entry, which was truncated"
        );
    }
    let mut damage: Vec<String> = found.damage.iter().map(ToString::to_string).collect();
    let mut store = match found.snapshot {
        None if found.entries.is_empty() => None,
        None => {
            damage.push(format!("{name}: the log has entries but no snapshot"));
            None
        }
        Some(octets) => {
            let snapshot: Snapshot = decode(&octets).map_err(|fault| format!("{name}: {fault}"))?;
            let base = read_base(folder, &snapshot.base);
            let base =
                base.ok_or_else(|| format!("{}: the base file is missing or damaged", snapshot.base))?;
            let restored = ZoneStore::restore(now, base, snapshot, limits);
            Some(restored.map_err(|misfit| format!("{name}: {misfit}"))?)
        }
    };
    if let Some(store) = &mut store {
        for entry in &found.entries {
            let entry = decode(entry).map_err(|fault| fault.to_string())?;
            if let Err(what) = store.replay(now, entry, |file| read_base(folder, file)) {
                damage.push(format!("{name}: {what}"));
                break;
            }
        }
        info!(
            zone = %zone.apex, serial = %store.current().serial(), entries = found.entries.len(),
            "zone loaded from its log"
        );
    } else if let Some(path) = &zone.file {
        let base = read_zone_file(path, zone)?;
        let file = write_base(folder, &name, &base)?;
        let new_store = ZoneStore::new(base, file, limits);
        let rotation = journal.rotate();
        WriteAheadLog::write_snapshot(folder, &name, rotation, &encode(&new_store.snapshot()))
            .map_err(|fault| fault.to_string())?;
        info!(
            zone = %zone.apex,
            serial = %new_store.current().serial(),
            records = new_store.current().record_count(),
            "zone loaded from its zone file"
        );
        store = Some(new_store);
    }
    if let Some(what) = damage.first() {
        error!(
            zone = %zone.apex, what,
            "zone log is damaged: serving the zone as of the last readable entry and refusing updates"
        );
        if let Some(store) = &mut store {
            store.freeze(FreezeReason::LogFailed(what.clone()));
        }
    }
    let is_secondary = !zone.primaries.is_empty();
    if is_secondary {
        if let Some(store) = &mut store {
            store.freeze(FreezeReason::Secondary);
        }
    }
    let soa = store.as_ref().and_then(|store| store.current().soa());
    let times = settings.limits.retry_times();
    let seed = || rand::rng().random();
    let secondary = is_secondary.then(|| SecondaryZone::new(now, zone.primaries.len(), soa, times, seed()));
    let notify_sender = NotifySender::new(zone.notify.len(), times, seed());
    Ok(ZoneState::new(zone.clone(), store, journal, secondary, notify_sender))
}

fn run_background_job(state: &Path, job: BackgroundJob, events: &EventQueue) {
    match job {
        BackgroundJob::DropZones(versions) => drop(versions),
        BackgroundJob::WriteSnapshot { zone, name, rotation, store } => {
            let result = open_state_folder(state).and_then(|mut folder| {
                let octets = encode(&store.snapshot());
                WriteAheadLog::write_snapshot(&mut folder, &name, rotation, &octets)
                    .map_err(|fault| fault.to_string())?;
                if let Err(error) = remove_unreferenced_bases(state, &mut folder, &name) {
                    warn!(name, %error, "can't tell which base files are unreferenced; they are kept");
                }
                Ok(())
            });
            events.push(ServerEvent::SnapshotWritten(zone, result));
        }
        BackgroundJob::ReadZoneFile { zone, settings, reload_input, reply_sender } => {
            let path = settings.file.clone().unwrap_or_default();
            let result = read_zone_file(&path, &settings).and_then(|base| {
                let prepared =
                    reload_input.prepare(base).map_err(|stale| format!("{}: {stale}", path.display()))?;
                let file =
                    write_base(&mut open_state_folder(state)?, &journal_name(&settings), &prepared.base)?;
                Ok((file, Box::new(prepared)))
            });
            events.push(ServerEvent::FileRead(zone, result, reply_sender));
        }
    }
}

impl<P: Scheduler> Server<P> {
    /// The server loop. It needs a thread of its own: as a coroutine that always has work it would keep its worker from
    /// polling for the events that other coroutines wait for.
    fn run(&mut self) {
        let mut buffers = udp::ReceiveBuffers::default();
        let sockets = self.responses.sockets.clone();
        while !self.stopped {
            self.executor.now = self.clock.now();
            let mut more = self.receive_datagrams(&sockets, &mut buffers);
            self.handle_datagrams();
            more |= self.datagrams.is_ready();
            more |= self.handle_events();
            self.run_engine();
            if self.draining && self.engine.counts().in_flight == 0 && self.datagrams.is_empty() {
                break;
            }
            if !more {
                let now = self.clock.now();
                let timeout = self.engine.next_timer().map(|at| Duration::from_micros((at - now).micros()));
                self.events.wait(&sockets, timeout);
            }
        }
        self.responses.flush();
    }

    /// Moves received datagrams into the queue. Returns whether more may be waiting.
    fn receive_datagrams(&mut self, sockets: &[Arc<UdpSocket>], buffers: &mut udp::ReceiveBuffers) -> bool {
        let mut more = false;
        for (socket_index, socket) in sockets.iter().enumerate() {
            for _ in 0..MAX_BATCHES_PER_TURN {
                let received = buffers.receive(socket, |from, octets, received_us| {
                    let octets = octets.map(<[u8]>::to_vec);
                    let datagram = Datagram { octets, from, socket: socket_index, received_us };
                    self.overflowed_datagrams += u64::from(!self.datagrams.push(datagram));
                });
                match received {
                    Ok(true) => more = true,
                    Ok(false) => break,
                    Err(fault) => warn!(%fault, "receiving UDP datagrams failed"),
                }
            }
        }
        more
    }

    /// Handles events for a limited time. Returns whether there was one.
    fn handle_events(&mut self) -> bool {
        let start = self.clock.now();
        for handled in 0..MAX_EVENTS_PER_TURN {
            let Some(event) = self.events.pop() else { return handled > 0 };
            self.handle_event(event);
            if self.clock.now() - start >= EVENT_TURN {
                break;
            }
        }
        true
    }

    /// Handles queued datagrams for a limited time, so that those that arrive meanwhile are received.
    fn handle_datagrams(&mut self) {
        let start = self.executor.now;
        while self.clock.now() - start < DATAGRAM_TURN {
            let Some(Datagram { octets, from, socket, received_us }) = self.datagrams.pop() else { return };
            if !self.handle_message(octets.as_deref(), from, ResponsePath::Udp(socket), received_us) {
                self.datagrams.request_ended(from);
            }
        }
    }

    /// Answers every open request with SERVFAIL after the server thread panicked.
    fn fail_open_requests(&mut self) {
        for context in self.engine.fail_all() {
            let octets = context.code(ResponseCode::SERVFAIL, None);
            self.responses.send(&context.peer, context.from, octets);
        }
        self.responses.flush();
    }

    /// Lets the engine decide, and reports to it what has ended, until nothing new is requested or ended. Then sends log
    /// batches and responses.
    fn run_engine(&mut self) {
        let now = self.executor.now;
        while let Some(due) = self.engine.expire_timers(now, &mut self.executor) {
            self.handle_timer(due);
        }
        loop {
            let now = self.executor.now;
            self.engine.decide(now, &mut self.executor, &mut self.responses);
            self.executor.answer_durable_updates();
            if self.executor.call_requests.is_empty()
                && self.executor.ended_runs.is_empty()
                && self.executor.ended_calls.is_empty()
            {
                break;
            }
            // The runs above took time that the scheduler has to account for.
            let now = self.clock.now();
            self.executor.now = now;
            for request_id in std::mem::take(&mut self.executor.call_requests) {
                self.engine.call_requested(now, request_id);
            }
            for (request_id, call_number, outcome) in std::mem::take(&mut self.executor.ended_calls) {
                self.engine.call_ended(now, request_id, call_number, outcome);
            }
            for (request_id, end) in std::mem::take(&mut self.executor.ended_runs) {
                self.engine.run_ended(now, request_id, end, &mut self.executor, &mut self.responses);
            }
        }
        for (zone, batch) in self.executor.batches() {
            // The log thread runs as long as the program: the send can't fail.
            let _ = self.log_jobs.send(AppendJob { zone, batch });
        }
        for client in std::mem::take(&mut self.responses.answered) {
            self.datagrams.request_ended(client);
        }
        for zone in std::mem::take(&mut self.executor.notified_zones) {
            self.poll_primary(zone);
        }
        self.responses.flush();
    }

    /// Reads a message, verifies its TSIG and cookie, and submits it to the engine as a request. Returns false if it is not
    /// submitted.
    fn handle_message(
        &mut self,
        octets: Option<&[u8]>,
        from: SocketAddr,
        via: ResponsePath,
        received_us: Option<u64>,
    ) -> bool {
        let now = self.executor.now;
        let udp = matches!(via, ResponsePath::Udp(_));
        let read = octets.map_or(Err(RequestError::Ignore), Request::read);
        let mut request = match read {
            Ok(request) => request,
            Err(error) => {
                self.unreadable += 1;
                match (error, &via) {
                    (RequestError::Respond(octets), via) => {
                        self.responses.send(via, from, octets);
                    }
                    // A client that sends anything but DNS requests gets its connection closed.
                    (RequestError::Ignore, ResponsePath::Tcp(connection)) => {
                        connection.push(ConnectionCommand::Abort);
                    }
                    (RequestError::Ignore, ResponsePath::Udp(_)) => {}
                }
                return false;
            }
        };
        let unix = (now - Instant::default()).micros() / 1_000_000;
        let mut signer = None;
        if let (Some(tsig), Some(octets)) = (&request.tsig, octets) {
            match self.keys.verify(octets, tsig, unix) {
                Ok(verified) => signer = Some(verified),
                Err((error, error_signer)) => {
                    warn!(%from, key = %tsig.key, "TSIG check failed, request refused: {error}");
                    signer = Some(error_signer);
                    request.body = RequestBody::Rejected(ResponseCode::NOTAUTH);
                }
            }
        }
        let client_cookie = request.edns.as_ref().and_then(|edns| edns.cookie.clone());
        let cookie_valid = client_cookie.as_ref().is_some_and(|(client, server)| {
            self.cookie_secret.is_valid(*client, server, from.ip(), unix as u32)
        });
        let address_proven =
            !udp || cookie_valid || signer.as_ref().is_some_and(|signer| signer.key().is_some());
        let cookie = client_cookie.filter(|_| address_proven).map(|(client, _)| {
            let mut full_cookie = [0; 24];
            full_cookie[..8].copy_from_slice(&client);
            full_cookie[8..].copy_from_slice(&self.cookie_secret.issue(client, from.ip(), unix as u32));
            full_cookie
        });
        let udp_payload_bytes = self.settings.limits.payload;
        let max_bytes = match udp {
            false => MAX_MESSAGE_BYTES,
            // Prevents amplification to a spoofed address: without proof the response is no longer than the request.
            true if self.settings.limits.proof && !address_proven => request.length,
            true => request.max_udp_response_bytes(usize::from(udp_payload_bytes)),
        };
        let class = match &request.body {
            RequestBody::Update { .. } => class::UPDATE,
            RequestBody::Transfer(_) if !udp => class::TRANSFER,
            RequestBody::Notify(_) => class::NOTIFY,
            _ if self.rate_limit.exceeds_share(now, prefix(from.ip())) => {
                self.over_share += 1;
                class::BEYOND
            }
            _ => class::QUERY,
        };
        self.requests_by_class[class] += 1;
        let incoming = IncomingRequest {
            class,
            caller: prefix(from.ip()),
            receive_delay: received_us
                .map_or(Span::ZERO, |received_us| now - Instant::from_micros(received_us)),
            memory_kb: request.memory_bytes() as f64 / 1024.0,
            ..IncomingRequest::default()
        };
        let limits = ResponseLimits { max_bytes, udp_payload_bytes };
        let context = Arc::new(RequestContext {
            request,
            peer: via,
            from,
            signer,
            limits,
            cookie,
            streaming: AtomicBool::new(false),
        });
        if let Err(Rejection { reply_to: context, .. }) =
            self.engine.submit(now, None, incoming, context.clone(), context)
        {
            let octets = context.code(ResponseCode::SERVFAIL, None);
            self.responses.send(&context.peer, from, octets);
            return false;
        }
        true
    }

    fn handle_event(&mut self, event: ServerEvent) {
        let now = self.executor.now;
        match event {
            ServerEvent::Connection(ConnectionEvent::MessageReceived(message)) => {
                let ReceivedMessage { octets, from, connection, charge } = message;
                // Nothing is begun for a client that is gone.
                if !connection.is_closed() {
                    self.handle_message(Some(&octets), from, ResponsePath::Tcp(connection), None);
                }
                drop(charge);
            }
            ServerEvent::Connection(ConnectionEvent::Closed(connection, _)) => {
                let same_connection = |context: &Arc<RequestContext<ResponsePath>>| {
                    matches!(
                        &context.peer,
                        ResponsePath::Tcp(other) if other.is_same(&connection)
                    )
                };
                for request_id in self.engine.awaiting_reply(same_connection) {
                    self.engine.caller_gone(now, request_id, |_| true);
                }
            }
            ServerEvent::Connection(ConnectionEvent::TransferEnded(request_id, call_number, completed)) => {
                let outcome = if completed { CallOutcome::Succeeded } else { CallOutcome::MaybeExecuted };
                self.executor.ended_calls.push((request_id, call_number, outcome));
                let end = if completed { RunEnd::Completed(Vec::new()) } else { RunEnd::Failed };
                self.executor.ended_runs.push((request_id, end));
            }
            ServerEvent::LogDurable(zone, Ok(durable_below)) => {
                if self.executor.entries_durable(zone, durable_below) {
                    self.engine.set_timer(now, TimerKey::Zone(zone));
                }
                self.rotate_log(zone, false);
            }
            ServerEvent::LogDurable(zone, Err(why)) => self.executor.log_failed(zone, &why),
            ServerEvent::FileRead(zone, result, reply_sender) => {
                self.executor.zones[zone].file_read_running = false;
                let apex = self.executor.zones[zone].settings.apex.clone();
                let reply = match result {
                    Ok((file, prepared)) => {
                        let retired = self.executor.apply_reload(zone, file, *prepared);
                        let _ = self.background_jobs.send(BackgroundJob::DropZones(retired));
                        info!(zone = %apex, "zone file reloaded");
                        "{\"reread\":true}".to_owned()
                    }
                    Err(why) => {
                        warn!(
                            zone = %apex, why,
                            "zone file not reloaded; the current version of the zone is still served"
                        );
                        control::error(&why)
                    }
                };
                // The operator's program may have disconnected.
                let _ = reply_sender.map(|reply_sender| reply_sender.send(reply));
            }
            ServerEvent::SnapshotWritten(zone, result) => {
                self.executor.zones[zone].snapshot_running = false;
                if let Err(why) = result {
                    warn!(
                        zone = %self.executor.zones[zone].settings.apex, why,
                        "writing the zone's snapshot failed; its log keeps growing"
                    );
                }
            }
            ServerEvent::PrimarySerial(zone, Ok(serial)) => {
                let action = self.executor.zones[zone]
                    .secondary
                    .as_mut()
                    .and_then(|secondary| secondary.serial_received(now, serial));
                self.start_secondary_action(zone, action);
                self.engine.set_timer(now, TimerKey::Zone(zone));
            }
            ServerEvent::PrimarySerial(zone, Err(why)) | ServerEvent::TransferReceived(zone, Err(why)) => {
                let zone_state = &mut self.executor.zones[zone];
                info!(
                    zone = %zone_state.settings.apex, why,
                    "refreshing the zone from a primary failed; it will be retried"
                );
                if let Some(secondary) = &mut zone_state.secondary {
                    secondary.step_failed(now);
                }
                self.engine.set_timer(now, TimerKey::Zone(zone));
            }
            ServerEvent::TransferReceived(zone, Ok(outcome)) => self.handle_transfer(zone, outcome),
            ServerEvent::NotifyAcknowledged(zone, target, serial) => {
                self.executor.zones[zone].notify_sender.acknowledged(target, Some(serial));
            }
            ServerEvent::Command(command, reply_sender) => self.handle_command(command, reply_sender),
            ServerEvent::Shutdown => {
                let stop = Span::from_micros(self.settings.stop_timeout.as_micros() as u64);
                if self.engine.begin_drain(now, stop) {
                    info!(
                        stop_ms = self.settings.stop_timeout.as_millis() as u64,
                        "shutdown requested: finishing open requests"
                    );
                    self.draining = true;
                    self.engine.set_timer(now + (stop - self.engine.timer_period()), TimerKey::ForceExit);
                }
            }
        }
    }

    fn rotate_log(&mut self, zone: usize, force: bool) {
        if let Some((rotation, store)) = self.executor.rotate_log(zone, force) {
            let name = journal_name(&self.executor.zones[zone].settings);
            let _ = self.background_jobs.send(BackgroundJob::WriteSnapshot {
                zone,
                name,
                rotation,
                store: Box::new(store),
            });
        }
    }

    fn handle_command(&mut self, command: Command, reply_sender: Sender<String>) {
        let zone_of = |text: &str| {
            let apex: lynxtally_zones::Name = text.parse().ok()?;
            self.executor.zone(apex.wire())
        };
        let unknown = || control::error("no such zone");
        let reply = match command {
            Command::Status => self.counters(),
            Command::Freeze(zone) => {
                match zone_of(&zone).and_then(|zone_index| self.executor.zones[zone_index].store.as_mut()) {
                    Some(store) => {
                        store.freeze(FreezeReason::Operator);
                        "{\"frozen\":true}".to_owned()
                    }
                    None => unknown(),
                }
            }
            Command::Thaw(zone) => {
                match zone_of(&zone).and_then(|zone_index| self.executor.zones[zone_index].store.as_mut()) {
                    Some(store) => match store.thaw() {
                        true => "{\"frozen\":false}".to_owned(),
                        false => control::error(&store.frozen().map_or(String::new(), ToString::to_string)),
                    },
                    None => unknown(),
                }
            }
            Command::Reread(zone) => match zone_of(&zone) {
                Some(zone_index) => match self.start_file_read(zone_index, Some(reply_sender.clone())) {
                    Ok(()) => return,
                    Err(what) => control::error(what),
                },
                None => unknown(),
            },
            Command::Compact(zone) => match zone_of(&zone) {
                Some(zone_index) => {
                    self.rotate_log(zone_index, true);
                    "{\"compacting\":true}".to_owned()
                }
                None => unknown(),
            },
        };
        // The operator's program may have disconnected.
        let _ = reply_sender.send(reply);
    }

    fn start_file_read(
        &mut self,
        zone_index: usize,
        reply_sender: Option<Sender<String>>,
    ) -> Result<(), &'static str> {
        let zone = &mut self.executor.zones[zone_index];
        let (Some(store), Some(_)) = (&mut zone.store, &zone.settings.file) else {
            return Err("the zone has no file");
        };
        if zone.file_read_running {
            return Err("the file is being read already");
        }
        if matches!(store.frozen(), Some(FreezeReason::LogFailed(_))) {
            return Err("the zone's log failed");
        }
        zone.file_read_running = true;
        let (settings, reload_input) = (Box::new(zone.settings.clone()), Box::new(store.reload_input()));
        let _ = self.background_jobs.send(BackgroundJob::ReadZoneFile {
            zone: zone_index,
            settings,
            reload_input,
            reply_sender,
        });
        Ok(())
    }

    fn handle_timer(&mut self, due: TimerKey) {
        let now = self.executor.now;
        match due {
            TimerKey::CloseIdle => {
                self.connections.close_idle(self.draining);
                self.engine.set_timer(now + IDLE_CHECK_INTERVAL, TimerKey::CloseIdle);
            }
            TimerKey::ForceExit => self.stopped = true,
            TimerKey::Zone(zone_index) => {
                self.executor.expire_leases(zone_index);
                self.poll_primary(zone_index);
                self.send_notifies(zone_index);
                let zone = &self.executor.zones[zone_index];
                let next = [
                    zone.store
                        .as_ref()
                        .filter(|k| k.frozen().is_none())
                        .and_then(|k| k.leases().next_expiry()),
                    zone.secondary.as_ref().map(SecondaryZone::next_due),
                    zone.notify_sender.next_due(),
                ];
                if let Some(due_at) = next.into_iter().flatten().min() {
                    // What is due now was just handled; the pause keeps the timer from firing in a loop.
                    self.engine
                        .set_timer(due_at.max(now + Span::from_millis(10)), TimerKey::Zone(zone_index));
                }
            }
        }
    }

    fn poll_primary(&mut self, zone_index: usize) {
        let action = self.executor.next_secondary_action(zone_index);
        self.start_secondary_action(zone_index, action);
    }

    /// Queries a primary on a thread of its own, so that a large transfer delays no response.
    fn start_secondary_action(&mut self, zone_index: usize, action: Option<SecondaryAction>) {
        let (primary, from) = match action {
            Some(SecondaryAction::QuerySerial(primary)) => (primary, None),
            Some(SecondaryAction::Transfer(primary, from)) => (primary, Some(from)),
            Some(SecondaryAction::Expire) | None => return,
        };
        let zone = &self.executor.zones[zone_index];
        let settings = &zone.settings;
        let client = Client {
            server: settings.primaries[primary % settings.primaries.len()],
            key: settings.key.clone(),
            timeout: Duration::from_secs(5),
        };
        let (apex, events, state) = (settings.apex.clone(), self.events.clone(), self.settings.state.clone());
        let (name, max_records) = (journal_name(settings), self.settings.limits.records);
        let have = zone.store.as_ref().map(|store| store.current().clone());
        let id = rand::rng().random();
        std::thread::spawn(move || {
            let Some(from) = from else {
                let serial = client.serial(&apex, id).map_err(|fault| format!("{}: {fault}", client.server));
                return events.push(ServerEvent::PrimarySerial(zone_index, serial));
            };
            let soa = have.as_ref().filter(|_| from.is_some()).and_then(|zone| zone.soa_record());
            let transferred = client.transfer(&apex, soa.as_ref(), max_records, id);
            let result =
                transferred.map_err(|fault| format!("{}: {fault}", client.server)).and_then(|transferred| {
                    Ok(match transferred {
                        TransferResult::UpToDate(serial) => TransferOutcome::UpToDate(serial),
                        TransferResult::Incremental(changes) => TransferOutcome::Incremental(changes),
                        TransferResult::Full(records) => {
                            let serial = have.as_ref().map(|zone| zone.serial());
                            let new = zone_from_records(&apex, serial, &records)
                                .map_err(|fault| format!("{}: {fault}", client.server))?;
                            let file = write_base(&mut open_state_folder(&state)?, &name, &new)?;
                            let change = have.map_or_else(Change::default, |old| diff(&old, &new));
                            TransferOutcome::Full(file, Box::new(new), Box::new(change))
                        }
                    })
                });
            events.push(ServerEvent::TransferReceived(zone_index, result));
        });
    }

    fn handle_transfer(&mut self, zone_index: usize, outcome: TransferOutcome) {
        let now = self.executor.now;
        let transferred = match outcome {
            TransferOutcome::UpToDate(serial) => {
                let action = self.executor.zones[zone_index]
                    .secondary
                    .as_mut()
                    .and_then(|secondary| secondary.serial_received(now, serial));
                // The primary has a newer serial but sent no changes: a full transfer is requested next.
                if action.is_some() {
                    self.executor.zones[zone_index]
                        .secondary
                        .iter_mut()
                        .for_each(|secondary| secondary.incremental_failed(now));
                }
                false
            }
            TransferOutcome::Incremental(changes) => {
                let fits = self.executor.apply_incremental_transfer(zone_index, &changes);
                if !fits {
                    self.executor.zones[zone_index]
                        .secondary
                        .iter_mut()
                        .for_each(|secondary| secondary.incremental_failed(now));
                }
                fits
            }
            TransferOutcome::Full(file, zone, change) => {
                let is_first_version = self.executor.zones[zone_index].store.is_none();
                let limits = self.settings.limits;
                let retired = self.executor.apply_full_transfer(zone_index, file, *zone, *change, &limits);
                let _ = self.background_jobs.send(BackgroundJob::DropZones(retired));
                if is_first_version {
                    // A log can only be replayed on top of a snapshot.
                    self.write_first_snapshot(zone_index);
                }
                true
            }
        };
        let zone = &mut self.executor.zones[zone_index];
        if let (true, Some(secondary), Some(store)) = (transferred, &mut zone.secondary, &zone.store) {
            if let Some(soa) = store.latest().soa() {
                info!(zone = %zone.settings.apex, serial = %soa.serial, "zone updated from its primary");
                secondary.transfer_completed(now, soa);
            }
        }
        self.engine.set_timer(now, TimerKey::Zone(zone_index));
    }

    fn write_first_snapshot(&mut self, zone_index: usize) {
        let zone = &mut self.executor.zones[zone_index];
        let Some(store) = &zone.store else { return };
        let (name, octets) = (journal_name(&zone.settings), encode(&store.snapshot()));
        let rotation = Rotation { generation: 0, first_entry: 0 };
        let result = open_state_folder(&self.settings.state).and_then(|mut folder| {
            WriteAheadLog::write_snapshot(&mut folder, &name, rotation, &octets)
                .map_err(|fault| fault.to_string())
        });
        if let Err(why) = result {
            self.executor.log_failed(zone_index, &why);
        }
    }

    /// Sends NOTIFY to the secondaries that are due, each on a thread of its own that waits for the response.
    fn send_notifies(&mut self, zone_index: usize) {
        let now = self.executor.now;
        let zone = &mut self.executor.zones[zone_index];
        let due = zone.notify_sender.due(now);
        let soa = zone.store.as_ref().and_then(|store| store.current().soa_record());
        let Some(soa) = soa else { return };
        for (target, serial) in due {
            let (events, soa, apex) = (self.events.clone(), soa.clone(), zone.settings.apex.clone());
            let (server, timeout) = (zone.settings.notify[target], Duration::from_secs(2));
            // Secondaries accept a NOTIFY only from the address that they know as their primary's.
            let from = Some(self.settings.listen[0].ip());
            let id = rand::rng().random();
            std::thread::spawn(move || {
                let question = crate::codec::OutgoingRequest {
                    opcode: 4,
                    soa: Some(&soa),
                    ..client::query(id, &apex, soa.kind)
                };
                let client = Client { server, key: None, timeout };
                if client.exchange_udp_from(from, &question).is_ok_and(|answered| answered.code == 0) {
                    events.push(ServerEvent::NotifyAcknowledged(zone_index, target, serial));
                }
            });
        }
    }

    /// The counters and the state of each zone as one line of JSON.
    fn counters(&self) -> String {
        let counts = self.engine.counts();
        let ExecutorCounts { codes, repeats, versions, lapsed, transfers } = self.executor.counts;
        let codes: Vec<String> = codes
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0)
            .map(|(code, count)| format!("\"{}\":{count}", ResponseCode(code as u16)))
            .collect();
        let requests_by_class: Vec<String> = class::NAMES
            .iter()
            .zip(&self.requests_by_class)
            .map(|(name, count)| format!("\"{name}\":{count}"))
            .collect();
        let zones: Vec<String> = self.executor.zones.iter().map(zone_status).collect();
        format!(
            "{{\"tasks\":{{{}}},\"read\":{},\"finished\":{},\"rejected\":{},\"abandoned\":{},\"caller_gone\":{},\
             \"open\":{},\"answers_lost\":{},\"unreadable\":{},\"beyond_share\":{},\"overflowed\":{},\"codes\":{{{}}},\
             \"repeats\":{repeats},\"versions\":{versions},\"lapsed\":{lapsed},\"transfers\":{transfers},\
             \"connections\":{},\"zones\":[{}]}}",
            requests_by_class.join(","),
            counts.received,
            counts.completed,
            counts.rejected,
            counts.failed,
            counts.caller_gone,
            counts.in_flight,
            counts.undelivered + self.responses.dropped,
            self.unreadable,
            self.over_share,
            self.overflowed_datagrams,
            codes.join(","),
            self.connections.len(),
            zones.join(","),
        )
    }
}

fn zone_status(zone: &ZoneState) -> String {
    let apex = &zone.settings.apex;
    let Some(store) = &zone.store else { return format!("{{\"apex\":\"{apex}\",\"serial\":null}}") };
    let current = store.current();
    let frozen = store.frozen().map_or(String::new(), |why| why.to_string().replace('"', "'"));
    format!(
        "{{\"apex\":\"{apex}\",\"serial\":{},\"records\":{},\"names\":{},\"leases\":{},\"suspect\":{},\
         \"log_octets\":{},\"frozen\":\"{frozen}\",\"served\":{}}}",
        current.serial(),
        current.record_count(),
        current.name_count(),
        store.leases().len(),
        store.leases().suspect_since().is_some(),
        zone.journal.bytes_since_snapshot(),
        zone.served().is_some(),
    )
}
