//! The server: one thread owns the host and the zones, reads datagrams by the batch, and hands out what is to
//! be made durable, streamed or done aside. It makes no choice.

use crate::client::{self, Client};
use crate::codec::{Asked, Bad, Body, Code, Reason, Room, MESSAGE_MOST};
use crate::connection::{Connections, News, Order, Via};
use crate::control::{self, Verb};
use crate::cookie;
use crate::disk::{self, DirectoryStorage, Job};
use crate::serving::{Ask, Counts, Serving, ZoneState};
use crate::settings::{self, stage, Checked};
use crate::tsig::Keys;
use crate::udp;
use lynxtally::{CallOutcome, Instant, Policy, Span};
use lynxtally_engine::{Engine, FinalResponse, IncomingRequest, Rejection, Responder, RunEnd, Scheduler};
use lynxtally_net::clock::Clock;
use lynxtally_net::coroutine::{catch_panic, spawn};
use lynxtally_net::fair_yield::FairYield;
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

const STACK_WORDS: usize = 0x4000;
/// Batches of datagrams, and other messages, in one turn at most.
const BATCHES: usize = 2;
const MESSAGES: usize = 64;
/// A base that nothing names yet stays for so long; its entry is on the log within seconds.
const BASE_KEPT: Duration = Duration::from_secs(600);
/// Idle connections are looked for this often.
const SWEEP: Span = Span::from_millis(1000);

/// What the owner hears.
pub enum Heard {
    /// Of connections.
    Tcp(News),
    /// Entries of a zone are durable up to a number, or its log failed.
    Durable(usize, Result<u64, String>),
    /// A file was read again.
    Reread(usize, Result<(String, Box<PreparedReload>), String>, Option<Sender<String>>),
    /// A snapshot was written, or not.
    Snapshot(usize, Result<(), String>),
    /// A primary told its serial.
    Serial(usize, Result<Serial, String>),
    /// A transfer came.
    Followed(usize, Result<Followed, String>),
    /// A secondary heard of a version.
    Noticed(usize, usize, Serial),
    /// An operator says something.
    Control(Verb, Sender<String>),
    /// The notice to leave.
    Leave,
}

/// What a transfer brought.
pub enum Followed {
    /// Nothing newer.
    Nothing(Serial),
    /// A version, the file that holds it, and what changed.
    Whole(String, Box<Zone>, Box<Change>),
    /// What changed.
    Changes(Vec<Change>),
}

/// What falls due here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Sweep,
    Zone(usize),
    Exit,
}

/// What is done aside, so that no answer waits for it.
enum Aside {
    Reread {
        zone: usize,
        settings: Box<settings::Zone>,
        outline: Box<ReloadInput>,
        answer: Option<Sender<String>>,
    },
    Snapshot {
        zone: usize,
        name: String,
        rotation: Rotation,
        store: Box<ZoneStore>,
    },
    Drop(#[allow(dead_code)] Vec<Zone>),
}

/// Where final answers go.
struct Desk {
    sockets: Vec<Arc<UdpSocket>>,
    out: Vec<Vec<(SocketAddr, Vec<u8>)>>,
    lost: u64,
}

impl Desk {
    fn put(&mut self, via: &Via, to: SocketAddr, octets: Vec<u8>) -> bool {
        match via {
            Via::Udp(socket) => {
                self.out[*socket].push((to, octets));
                true
            }
            Via::Tcp(tcp) => tcp.0.push(Order::Answer(octets)),
        }
    }

    fn flush(&mut self) {
        for (socket, out) in self.sockets.iter().zip(&mut self.out) {
            if !out.is_empty() {
                self.lost += (out.len() - udp::send(socket, out)) as u64;
                out.clear();
            }
        }
    }
}

impl Responder<Arc<Ask<Via>>> for Desk {
    fn respond(&mut self, ask: Arc<Ask<Via>>, answer: FinalResponse) -> bool {
        use crate::serving::Peer;
        let streaming = ask.streaming.load(Ordering::Relaxed);
        let octets = match answer {
            // What went out on the connection is the answer.
            FinalResponse::Completed(octets) if octets.is_empty() => return true,
            FinalResponse::Completed(octets) => octets,
            _ if streaming => {
                ask.peer.cut();
                return true;
            }
            FinalResponse::Rejected { retry_after: hold_off, .. } => {
                let text = format!("busy; come back in {} ms", (hold_off.micros() / 1000).max(1));
                ask.code(Code::FAIL, Some((Reason::NotReady, text)))
            }
            FinalResponse::Failed => {
                ask.code(Code::FAIL, Some((Reason::Other, "not done in time".to_owned())))
            }
        };
        self.put(&ask.peer, ask.from, octets)
    }

    fn log(&mut self, text: &str) {
        info!("{text}");
    }
}

/// What the owner is to hear, and how it is woken where it sleeps.
struct Inbox {
    waiting: Mutex<VecDeque<Heard>>,
    asleep: AtomicBool,
    bell: EventFd,
}

/// A server's handle on itself: who wants it to hear something.
#[derive(Clone)]
pub struct Ear(Arc<Inbox>);

impl Ear {
    fn new() -> Result<Self, String> {
        let bell = EventFd::from_flags(EfdFlags::EFD_NONBLOCK)
            .map_err(|fault| format!("no event can be made: {fault}"))?;
        Ok(Self(Arc::new(Inbox { waiting: Mutex::default(), asleep: AtomicBool::new(false), bell })))
    }

    /// Has the owner hear something.
    pub fn say(&self, heard: Heard) {
        lock(&self.0.waiting).push_back(heard);
        if self.0.asleep.swap(false, Ordering::SeqCst) {
            // A full counter wakes as well.
            let _ = self.0.bell.write(1);
        }
    }

    fn take(&self) -> Option<Heard> {
        lock(&self.0.waiting).pop_front()
    }

    /// Sleeps until a datagram comes, something is said, or so long has passed.
    fn sleep(&self, sockets: &[Arc<UdpSocket>], most: Option<Duration>) {
        self.0.asleep.store(true, Ordering::SeqCst);
        // What was said before that rang no bell.
        if lock(&self.0.waiting).is_empty() {
            let mut fds: Vec<PollFd> =
                sockets.iter().map(|s| PollFd::new(s.as_fd(), PollFlags::POLLIN)).collect();
            fds.push(PollFd::new(self.0.bell.as_fd(), PollFlags::POLLIN));
            // An interrupted sleep is a short one.
            let _ = ppoll(&mut fds, most.map(TimeSpec::from), None);
        }
        self.0.asleep.store(false, Ordering::SeqCst);
        let _ = self.0.bell.read();
    }
}

/// The owner.
pub struct Server<P> {
    settings: Checked,
    clock: Clock,
    host: Engine<P, Arc<Ask<Via>>, Arc<Ask<Via>>, Due>,
    serving: Serving<Via>,
    desk: Desk,
    keys: Keys,
    secret: cookie::Secret,
    shares: RequestRateLimit,
    ear: Ear,
    log: Sender<Job>,
    aside: Sender<Aside>,
    connections: Arc<Connections>,
    leaving: bool,
    over: bool,
    unreadable: u64,
    beyond: u64,
    tasks: [u64; 5],
}

/// How a program's serving ended.
pub struct Ended {
    /// All counters as one line of JSON.
    pub counters: String,
    /// Whether each task read got one answer.
    pub adds_up: bool,
}

/// The module, as a names server has it.
pub fn module(settings: &Checked, now: Instant) -> Policy {
    Policy::new(settings.policy.clone(), rand::rng().random(), now)
}

/// A server that listens already.
pub struct Running {
    /// What to say to it.
    pub ear: Ear,
    /// Where it listens, in the order of the settings.
    pub listen: Vec<SocketAddr>,
    /// How it ended.
    pub end: mpsc::Receiver<Ended>,
}

/// Starts a server; an error is one line. `decide` makes what decides.
pub fn start<P: Scheduler + Send + 'static>(
    settings: Checked,
    decide: impl FnOnce(&Checked, Instant) -> P,
) -> Result<Running, String> {
    // Connections are light: one worker carries them all, bound to no core. With several, coroutines that were
    // stolen from one worker by another were seen to miss what they waited for.
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_worker_pin(false);
    let clock = Clock::default();
    let now = clock.now();
    let (mut folder, state) = (folder(&settings.state)?, settings.state.clone());
    let mut zones = Vec::new();
    for zone in &settings.zones {
        zones.push(load(&mut folder, zone, &settings, now)?);
    }
    let ear = Ear::new()?;
    let (sockets, listeners, listen) = open_sockets(&settings)?;
    let alarm = Timer::start().map_err(|fault| format!("a thread can't be started: {fault}"))?;
    let own = ear.clone();
    control::listen(&state, move |verb, answer| own.say(Heard::Control(verb, answer)))
        .map_err(|fault| format!("{}: {fault}", control::path(&state).display()))?;
    let turnstile = FairYield::start().map_err(|fault| format!("a coroutine can't be started: {fault}"))?;
    let own = ear.clone();
    let news = move |news| own.say(Heard::Tcp(news));
    let connections = Arc::new(Connections::new(settings.limits.connections, alarm, turnstile, news));
    for listener in listeners {
        let all = connections.clone();
        spawn(
            STACK_WORDS,
            move || all.accept(listener),
            |panic| error!(%panic, "no connections are taken any more"),
        )
        .map_err(|fault| format!("a coroutine can't be started: {fault}"))?;
    }
    let (log, jobs) = mpsc::channel();
    let (own, disk) = (ear.clone(), self::folder(&state)?);
    std::thread::spawn(move || disk::work(disk, &jobs, |zone, done| own.say(Heard::Durable(zone, done))));
    let (aside, todo) = mpsc::channel();
    let (own, at) = (ear.clone(), state.clone());
    std::thread::spawn(move || todo.iter().for_each(|todo| do_aside(&at, todo, &own)));
    let log_most = settings.limits.log_mb << 20;
    let mut host = Engine::new(0);
    host.start(now, decide(&settings, now));
    host.set_timer(now, Due::Sweep);
    (0..zones.len()).for_each(|at| host.set_timer(now, Due::Zone(at)));
    let secret = settings.cookie_secret.unwrap_or_else(|| rand::rng().random());
    let server = Server {
        shares: settings.limits.shares(rand::rng().random(), now),
        keys: Keys(settings.keys.clone()),
        secret: cookie::Secret(secret),
        desk: Desk { out: vec![Vec::new(); sockets.len()], sockets: sockets.clone(), lost: 0 },
        settings,
        clock,
        host,
        serving: Serving::new(zones, log_most),
        ear: ear.clone(),
        log,
        aside,
        connections,
        leaving: false,
        over: false,
        unreadable: 0,
        beyond: 0,
        tasks: [0; 5],
    };
    let (ended, end) = mpsc::channel();
    drop(sockets);
    let work = move || {
        let mut server = server;
        let worked = catch_panic(|| server.work());
        if let Err(panic) = &worked {
            error!(%panic, "the owner failed; every open task is answered that it failed");
            server.give_up();
        }
        server.connections.close();
        let adds_up = worked.is_ok() && server.host.counts().is_consistent();
        let counters = server.counters();
        // Whoever hears of the end may use the addresses again.
        drop(server);
        // Who started it may be gone.
        let _ = ended.send(Ended { counters, adds_up });
    };
    std::thread::Builder::new()
        .name("names".to_owned())
        .spawn(work)
        .map_err(|fault| format!("a thread can't be started: {fault}"))?;
    Ok(Running { ear, listen, end })
}

type Sockets = (Vec<Arc<UdpSocket>>, Vec<TcpListener>, Vec<SocketAddr>);

/// So often another port is tried where the system is to choose one.
const PORTS: usize = 16;

/// Opens the sockets, UDP and TCP on the same port.
fn open_sockets(settings: &Checked) -> Result<Sockets, String> {
    let mut all: Sockets = Default::default();
    for at in &settings.listen {
        let open = || -> std::io::Result<_> {
            let socket = udp::open(*at)?;
            let own = socket.local_addr()?;
            Ok((socket, lynxtally_net::listener::listen(own)?, own))
        };
        let tries = if at.port() == 0 { PORTS } else { 1 };
        let mut opened = open();
        for _ in 1..tries {
            if opened.is_err() {
                opened = open();
            }
        }
        let (socket, listener, own) = opened.map_err(|fault| format!("`listen`: {at}: {fault}"))?;
        all.0.push(Arc::new(socket));
        all.1.push(listener);
        all.2.push(own);
    }
    Ok(all)
}

/// Opens a state folder.
pub fn folder(state: &Path) -> Result<DirectoryStorage, String> {
    DirectoryStorage::new(state).map_err(|fault| format!("{}: {fault}", state.display()))
}

/// The name of a zone's journal.
pub fn journal_name(zone: &settings::Zone) -> String {
    let text = zone.apex.to_string();
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    let stem: String = text.trim_end_matches('.').chars().map(plain).collect();
    if stem.is_empty() {
        "root".to_owned()
    } else {
        stem
    }
}

/// Reads a zone's file; what is refused is logged, what makes it unusable is the error.
pub fn read_file(path: &Path, zone: &settings::Zone) -> Result<Zone, String> {
    let shown = path.display().to_string();
    let text = std::fs::read(path).map_err(|fault| format!("{shown}: {fault}"))?;
    let folder = path.parent().map(Path::to_owned).unwrap_or_default();
    let mut include = |name: &str| -> Result<Vec<u8>, String> { include(&folder, name) };
    let read = zone_file::read(&shown, &text, Some(&zone.apex), zone.file_limits, &mut include);
    for fault in &read.faults {
        warn!("{fault}");
    }
    match read.unusable {
        Some(fault) => Err(fault.to_string()),
        None => Ok(read.zone),
    }
}

/// Reads a file that a zone's file names, within its folder also where links lead.
pub fn include(folder: &Path, name: &str) -> Result<Vec<u8>, String> {
    let folder = if folder.as_os_str().is_empty() { Path::new(".") } else { folder };
    let path = folder.join(name).canonicalize().map_err(|fault| fault.to_string())?;
    let folder = folder.canonicalize().map_err(|fault| fault.to_string())?;
    if !path.starts_with(&folder) {
        return Err("it is not within the zone's folder".to_owned());
    }
    std::fs::read(path).map_err(|fault| fault.to_string())
}

/// Writes a base to its own file; tells its name.
fn write_base(folder: &mut DirectoryStorage, name: &str, zone: &Zone) -> Result<String, String> {
    let file = format!("{name}.{:016x}.base", rand::rng().random::<u64>());
    let octets = lynxtally_wal::seal(u64::from(zone.serial().0), &encode_base(zone));
    folder.replace(&file, &octets).map_err(|fault| format!("{file}: {fault}"))?;
    Ok(file)
}

/// Reads it.
pub fn read_base(folder: &mut DirectoryStorage, file: &str) -> Option<Zone> {
    let octets = folder.read(file).ok()??;
    decode_base(lynxtally_wal::unseal(&octets)?.content)
}

/// Takes a zone from its log, or from its file where it has none yet. A damaged log freezes the zone as far as it
/// could be read; nothing is written to it then.
pub fn load(
    folder: &mut DirectoryStorage,
    zone: &settings::Zone,
    settings: &Checked,
    now: Instant,
) -> Result<ZoneState, String> {
    let name = journal_name(zone);
    let (mut journal, found) = WriteAheadLog::open(folder, &name).map_err(|fault| fault.to_string())?;
    let limits = settings.limits.zone_store_limits();
    if let Some(cut) = &found.torn_tail {
        warn!(zone = %zone.apex, file = cut.file, at = cut.offset, octets = cut.length, "an entry that broke off was cut off");
    }
    let mut damage: Vec<String> = found.damage.iter().map(ToString::to_string).collect();
    let mut store = match found.snapshot {
        None if found.entries.is_empty() => None,
        None => {
            damage.push(format!("{name}: entries without a snapshot"));
            None
        }
        Some(octets) => {
            let snapshot: Snapshot = decode(&octets).map_err(|fault| format!("{name}: {fault}"))?;
            let base = read_base(folder, &snapshot.base);
            let base = base.ok_or_else(|| format!("{}: the base is missing or damaged", snapshot.base))?;
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
        info!(zone = %zone.apex, serial = %store.current().serial(), entries = found.entries.len(), "taken from its log");
    } else if let Some(path) = &zone.file {
        let base = read_file(path, zone)?;
        let file = write_base(folder, &name, &base)?;
        let made = ZoneStore::new(base, file, limits);
        let rotation = journal.rotate();
        WriteAheadLog::write_snapshot(folder, &name, rotation, &encode(&made.snapshot()))
            .map_err(|fault| fault.to_string())?;
        info!(zone = %zone.apex, serial = %made.current().serial(), records = made.current().record_count(), "read from its file");
        store = Some(made);
    }
    if let Some(what) = damage.first() {
        error!(zone = %zone.apex, what, "the log is damaged: the zone is served as far as it could be read, and frozen");
        if let Some(store) = &mut store {
            store.freeze(FreezeReason::LogFailed(what.clone()));
        }
    }
    let follows = !zone.primaries.is_empty();
    if follows {
        if let Some(store) = &mut store {
            store.freeze(FreezeReason::Secondary);
        }
    }
    let soa = store.as_ref().and_then(|store| store.current().soa());
    let times = settings.limits.times();
    let seed = || rand::rng().random();
    let follower = follows.then(|| SecondaryZone::new(now, zone.primaries.len(), soa, times, seed()));
    let notices = NotifySender::new(zone.notify.len(), times, seed());
    Ok(ZoneState::new(zone.clone(), store, journal, follower, notices))
}

fn do_aside(state: &Path, todo: Aside, ear: &Ear) {
    match todo {
        Aside::Drop(versions) => drop(versions),
        Aside::Snapshot { zone, name, rotation, store } => {
            let done = folder(state).and_then(|mut folder| {
                let octets = encode(&store.snapshot());
                WriteAheadLog::write_snapshot(&mut folder, &name, rotation, &octets)
                    .map_err(|fault| fault.to_string())?;
                clean_bases(state, &mut folder, &name);
                Ok(())
            });
            ear.say(Heard::Snapshot(zone, done));
        }
        Aside::Reread { zone, settings, outline, answer } => {
            let path = settings.file.clone().unwrap_or_default();
            let done = read_file(&path, &settings).and_then(|base| {
                let ready = outline.prepare(base).map_err(|stale| format!("{}: {stale}", path.display()))?;
                let file = write_base(&mut folder(state)?, &journal_name(&settings), &ready.base)?;
                Ok((file, Box::new(ready)))
            });
            ear.say(Heard::Reread(zone, done, answer));
        }
    }
}

/// Takes away bases that no snapshot or log that is left names: all but those of the last two snapshots and the
/// logs after them.
fn clean_bases(state: &Path, folder: &mut DirectoryStorage, name: &str) {
    let Ok(files) = folder.list() else { return };
    let mut named = Vec::new();
    for file in files.iter().filter(|file| file.starts_with(&format!("{name}."))) {
        let Ok(Some(octets)) = folder.read(file) else { return };
        if file.ends_with(".snap") {
            let Some(sealed) = lynxtally_wal::unseal(&octets) else { return };
            let Ok(snapshot) = decode::<Snapshot>(sealed.content) else { return };
            named.push(snapshot.base);
        } else if file.ends_with(".log") {
            // A base that an entry names stands in it as text.
            named.push(String::from_utf8_lossy(&octets).into_owned());
        }
    }
    for file in files.iter().filter(|file| file.starts_with(&format!("{name}.")) && file.ends_with(".base")) {
        // One just written may be named by an entry that is on its way to the log.
        let written = std::fs::metadata(state.join(file)).and_then(|found| found.modified());
        let young = written.is_ok_and(|at| at.elapsed().unwrap_or_default() < BASE_KEPT);
        if !young && !named.iter().any(|text| text.contains(file.as_str())) {
            let _ = folder.remove(file);
        }
    }
}

impl<P: Scheduler> Server<P> {
    /// On a thread of its own: a coroutine that always has more to do would keep its worker from ever looking
    /// for what other coroutines wait for.
    fn work(&mut self) {
        let mut buffers = udp::Buffers::default();
        let sockets = self.desk.sockets.clone();
        while !self.over {
            self.serving.now = self.clock.now();
            let mut more = false;
            for (number, socket) in sockets.iter().enumerate() {
                for _ in 0..BATCHES {
                    let got = buffers.receive(socket, |from, octets, stamp| {
                        self.came(octets, from, Via::Udp(number), stamp);
                    });
                    match got {
                        Ok(true) => more = true,
                        Ok(false) => break,
                        Err(fault) => warn!(%fault, "datagrams can't be read"),
                    }
                }
            }
            for _ in 0..MESSAGES {
                let Some(heard) = self.ear.take() else { break };
                more = true;
                self.hear(heard);
            }
            self.turn();
            if self.leaving && self.host.counts().in_flight == 0 {
                break;
            }
            if !more {
                let now = self.clock.now();
                let most = self.host.next_timer().map(|at| Duration::from_micros((at - now).micros()));
                self.ear.sleep(&sockets, most);
            }
        }
        self.desk.flush();
    }

    /// After a failure of our own: every open task is answered that it failed.
    fn give_up(&mut self) {
        for ask in self.host.fail_all() {
            let octets = ask.code(Code::FAIL, None);
            self.desk.put(&ask.peer, ask.from, octets);
        }
        self.desk.flush();
    }

    /// Has all that was heard decided on, carried out and sent.
    fn turn(&mut self) {
        let now = self.serving.now;
        while let Some(due) = self.host.expire_timers(now, &mut self.serving) {
            self.fall_due(due);
        }
        loop {
            let now = self.serving.now;
            self.host.decide(now, &mut self.serving, &mut self.desk);
            self.serving.settle_pending();
            if self.serving.at_call.is_empty()
                && self.serving.ended.is_empty()
                && self.serving.called.is_empty()
            {
                break;
            }
            // What ran took its time: the module learns from it.
            let now = self.clock.now();
            self.serving.now = now;
            for task in std::mem::take(&mut self.serving.at_call) {
                self.host.call_requested(now, task);
            }
            for (task, number, outcome) in std::mem::take(&mut self.serving.called) {
                self.host.call_ended(now, task, number, outcome);
            }
            for (task, end) in std::mem::take(&mut self.serving.ended) {
                self.host.run_ended(now, task, end, &mut self.serving, &mut self.desk);
            }
        }
        for (zone, batch) in self.serving.batches() {
            // The thread ends only with the program.
            let _ = self.log.send(Job { zone, batch });
        }
        for zone in std::mem::take(&mut self.serving.notified) {
            self.follow(zone);
        }
        self.desk.flush();
    }

    /// A message was read: it becomes a task.
    fn came(&mut self, octets: Option<&[u8]>, from: SocketAddr, via: Via, stamp: Option<u64>) {
        let now = self.serving.now;
        let udp = matches!(via, Via::Udp(_));
        let read = octets.map_or(Err(Bad::Silent), Asked::read);
        let mut asked = match read {
            Ok(asked) => asked,
            Err(bad) => {
                self.unreadable += 1;
                match (bad, &via) {
                    (Bad::Answer(octets), via) => {
                        self.desk.put(via, from, octets);
                    }
                    // A connection on which something else than questions comes has no further use.
                    (Bad::Silent, Via::Tcp(tcp)) => {
                        tcp.0.push(Order::Cut);
                    }
                    (Bad::Silent, Via::Udp(_)) => {}
                }
                return;
            }
        };
        let unix = (now - Instant::default()).micros() / 1_000_000;
        let mut signer = None;
        if let (Some(signed), Some(octets)) = (&asked.signed, octets) {
            match self.keys.check(octets, signed, unix) {
                Ok(right) => signer = Some(right),
                Err((bad, refusing)) => {
                    warn!(%from, key = %signed.key, "{bad}");
                    signer = Some(refusing);
                    asked.body = Body::Rejected(Code::NOT_AUTH);
                }
            }
        }
        let client = asked.edns.as_ref().and_then(|edns| edns.cookie.clone());
        let known = client
            .as_ref()
            .is_some_and(|(client, server)| self.secret.proves(*client, server, from.ip(), unix as u32));
        let proven = !udp || known || signer.as_ref().is_some_and(|signer| signer.key().is_some());
        let cookie = client.filter(|_| proven).map(|(client, _)| {
            let mut both = [0; 24];
            both[..8].copy_from_slice(&client);
            both[8..].copy_from_slice(&self.secret.make(client, from.ip(), unix as u32));
            both
        });
        let payload = self.settings.limits.payload;
        let most = match udp {
            false => MESSAGE_MOST,
            // Nobody is flooded through us: to where nothing is proven no more goes than came.
            true if self.settings.limits.proof && !proven => asked.length,
            true => asked.payload(usize::from(payload)),
        };
        let stage = match &asked.body {
            Body::Update { .. } => stage::UPDATE,
            Body::Transfer(_) if !udp => stage::TRANSFER,
            Body::Notify(_) => stage::NOTIFY,
            _ if self.shares.exceeds_share(now, prefix(from.ip())) => {
                self.beyond += 1;
                stage::BEYOND
            }
            _ => stage::QUERY,
        };
        self.tasks[stage] += 1;
        let entry = IncomingRequest {
            class: stage,
            caller: prefix(from.ip()),
            receive_delay: stamp.map_or(Span::ZERO, |stamp| now - Instant::from_micros(stamp)),
            memory_kb: 0.5 + asked.length as f64 / 512.0,
            ..IncomingRequest::default()
        };
        let room = Room { most, payload };
        let ask =
            Arc::new(Ask { asked, peer: via, from, signer, room, cookie, streaming: AtomicBool::new(false) });
        if let Err(Rejection { reply_to: ask, .. }) = self.host.submit(now, None, entry, ask.clone(), ask) {
            let octets = ask.code(Code::FAIL, None);
            self.desk.put(&ask.peer, from, octets);
        }
    }

    fn hear(&mut self, heard: Heard) {
        let now = self.serving.now;
        match heard {
            Heard::Tcp(News::Came(octets, from, tcp)) => self.came(Some(&octets), from, Via::Tcp(tcp), None),
            Heard::Tcp(News::Ended(tcp, _)) => {
                let own = |ask: &Arc<Ask<Via>>| matches!(&ask.peer, Via::Tcp(other) if Arc::ptr_eq(&other.0, &tcp.0));
                for task in self.host.awaiting_reply(own) {
                    self.host.caller_gone(now, task, |_| true);
                }
            }
            Heard::Tcp(News::Streamed(task, number, well)) => {
                let outcome = if well { CallOutcome::Succeeded } else { CallOutcome::MaybeExecuted };
                self.serving.called.push((task, number, outcome));
                let end = if well { RunEnd::Completed(Vec::new()) } else { RunEnd::Failed };
                self.serving.ended.push((task, end));
            }
            Heard::Durable(zone, Ok(up_to)) => {
                if self.serving.durable(zone, up_to) {
                    self.host.set_timer(now, Due::Zone(zone));
                }
                self.rotate(zone, false);
            }
            Heard::Durable(zone, Err(why)) => self.serving.log_failed(zone, &why),
            Heard::Reread(zone, done, answer) => {
                self.serving.zones[zone].reading = false;
                let apex = self.serving.zones[zone].settings.apex.clone();
                let said = match done {
                    Ok((file, ready)) => {
                        let retired = self.serving.rebase(zone, file, *ready);
                        let _ = self.aside.send(Aside::Drop(retired));
                        info!(zone = %apex, "the file was read again");
                        "{\"reread\":true}".to_owned()
                    }
                    Err(why) => {
                        warn!(zone = %apex, why, "the file was not taken; the version in force stays");
                        control::error(&why)
                    }
                };
                // Who asked may be gone.
                let _ = answer.map(|answer| answer.send(said));
            }
            Heard::Snapshot(zone, done) => {
                self.serving.zones[zone].snapshotting = false;
                if let Err(why) = done {
                    warn!(zone = %self.serving.zones[zone].settings.apex, why, "no snapshot; the log goes on growing");
                }
            }
            Heard::Serial(zone, Ok(serial)) => {
                let step =
                    self.serving.zones[zone].follower.as_mut().and_then(|f| f.serial_received(now, serial));
                self.step(zone, step);
                self.host.set_timer(now, Due::Zone(zone));
            }
            Heard::Serial(zone, Err(why)) | Heard::Followed(zone, Err(why)) => {
                let zone_state = &mut self.serving.zones[zone];
                info!(zone = %zone_state.settings.apex, why, "a primary could not be followed");
                if let Some(follower) = &mut zone_state.follower {
                    follower.step_failed(now);
                }
                self.host.set_timer(now, Due::Zone(zone));
            }
            Heard::Followed(zone, Ok(followed)) => self.followed(zone, followed),
            Heard::Noticed(zone, target, serial) => {
                self.serving.zones[zone].notices.acknowledged(target, Some(serial));
            }
            Heard::Control(verb, answer) => self.control(verb, answer),
            Heard::Leave => {
                let stop = Span::from_micros(self.settings.stop.as_micros() as u64);
                if self.host.begin_drain(now, stop) {
                    info!(stop_ms = self.settings.stop.as_millis() as u64, "notice to leave");
                    self.leaving = true;
                    self.host.set_timer(now + (stop - self.host.timer_period()), Due::Exit);
                }
            }
        }
    }

    fn rotate(&mut self, zone: usize, asked: bool) {
        if let Some((rotation, store)) = self.serving.rotate(zone, asked) {
            let name = journal_name(&self.serving.zones[zone].settings);
            let _ = self.aside.send(Aside::Snapshot { zone, name, rotation, store: Box::new(store) });
        }
    }

    fn control(&mut self, verb: Verb, answer: Sender<String>) {
        let zone_of = |text: &str| {
            let apex: lynxtally_zones::Name = text.parse().ok()?;
            self.serving.zone(apex.wire())
        };
        let unknown = || control::error("no such zone");
        let said = match verb {
            Verb::Status => self.counters(),
            Verb::Freeze(zone) => match zone_of(&zone).and_then(|at| self.serving.zones[at].store.as_mut()) {
                Some(store) => {
                    store.freeze(FreezeReason::Operator);
                    "{\"frozen\":true}".to_owned()
                }
                None => unknown(),
            },
            Verb::Thaw(zone) => match zone_of(&zone).and_then(|at| self.serving.zones[at].store.as_mut()) {
                Some(store) => match store.thaw() {
                    true => "{\"frozen\":false}".to_owned(),
                    false => control::error(&store.frozen().map_or(String::new(), ToString::to_string)),
                },
                None => unknown(),
            },
            Verb::Reread(zone) => match zone_of(&zone) {
                Some(at) => match self.reread(at, Some(answer.clone())) {
                    Ok(()) => return,
                    Err(what) => control::error(what),
                },
                None => unknown(),
            },
            Verb::Compact(zone) => match zone_of(&zone) {
                Some(at) => {
                    self.rotate(at, true);
                    "{\"compacting\":true}".to_owned()
                }
                None => unknown(),
            },
        };
        // Who asked may be gone.
        let _ = answer.send(said);
    }

    fn reread(&mut self, at: usize, answer: Option<Sender<String>>) -> Result<(), &'static str> {
        let zone = &mut self.serving.zones[at];
        let (Some(store), Some(_)) = (&zone.store, &zone.settings.file) else {
            return Err("the zone has no file");
        };
        if zone.reading {
            return Err("the file is being read already");
        }
        if matches!(store.frozen(), Some(FreezeReason::LogFailed(_))) {
            return Err("the zone's log failed");
        }
        zone.reading = true;
        let (settings, outline) = (Box::new(zone.settings.clone()), Box::new(store.reload_input()));
        let _ = self.aside.send(Aside::Reread { zone: at, settings, outline, answer });
        Ok(())
    }

    fn fall_due(&mut self, due: Due) {
        let now = self.serving.now;
        match due {
            Due::Sweep => {
                self.connections.close_idle(self.leaving);
                self.host.set_timer(now + SWEEP, Due::Sweep);
            }
            Due::Exit => self.over = true,
            Due::Zone(at) => {
                self.serving.lapse(at);
                self.follow(at);
                self.notify(at);
                let zone = &self.serving.zones[at];
                let next = [
                    zone.store
                        .as_ref()
                        .filter(|k| k.frozen().is_none())
                        .and_then(|k| k.leases().next_expiry()),
                    zone.follower.as_ref().map(SecondaryZone::next_due),
                    zone.notices.next_due(),
                ];
                if let Some(at_time) = next.into_iter().flatten().min() {
                    // Not sooner than the clock's grain: what is due now was just looked at.
                    self.host.set_timer(at_time.max(now + Span::from_millis(10)), Due::Zone(at));
                }
            }
        }
    }

    fn follow(&mut self, at: usize) {
        let step = self.serving.follow_due(at);
        self.step(at, step);
    }

    /// Has a primary asked, on a thread of its own: a large transfer must hold up no answer.
    fn step(&mut self, at: usize, step: Option<SecondaryAction>) {
        let (primary, from) = match step {
            Some(SecondaryAction::QuerySerial(primary)) => (primary, None),
            Some(SecondaryAction::Transfer(primary, from)) => (primary, Some(from)),
            Some(SecondaryAction::Expire) | None => return,
        };
        let zone = &self.serving.zones[at];
        let settings = &zone.settings;
        let client = Client {
            server: settings.primaries[primary % settings.primaries.len()],
            key: settings.key.clone(),
            patience: Duration::from_secs(5),
        };
        let (apex, ear, state) = (settings.apex.clone(), self.ear.clone(), self.settings.state.clone());
        let (name, most) = (journal_name(settings), self.settings.limits.records);
        let have = zone.store.as_ref().map(|store| store.current().clone());
        let id = rand::rng().random();
        std::thread::spawn(move || {
            let Some(from) = from else {
                let serial = client.serial(&apex, id).map_err(|fault| format!("{}: {fault}", client.server));
                return ear.say(Heard::Serial(at, serial));
            };
            let soa = have.as_ref().filter(|_| from.is_some()).and_then(|zone| zone.soa_record());
            let brought = client.transfer(&apex, soa.as_ref(), most, id);
            let done = brought.map_err(|fault| format!("{}: {fault}", client.server)).and_then(|brought| {
                Ok(match brought {
                    TransferResult::UpToDate(serial) => Followed::Nothing(serial),
                    TransferResult::Incremental(changes) => Followed::Changes(changes),
                    TransferResult::Full(records) => {
                        let serial = have.as_ref().map(|zone| zone.serial());
                        let new = zone_from_records(&apex, serial, &records)
                            .map_err(|fault| format!("{}: {fault}", client.server))?;
                        let file = write_base(&mut folder(&state)?, &name, &new)?;
                        let change = have.map_or_else(Change::default, |old| diff(&old, &new));
                        Followed::Whole(file, Box::new(new), Box::new(change))
                    }
                })
            });
            ear.say(Heard::Followed(at, done));
        });
    }

    fn followed(&mut self, at: usize, followed: Followed) {
        let now = self.serving.now;
        let brought = match followed {
            Followed::Nothing(serial) => {
                let step =
                    self.serving.zones[at].follower.as_mut().and_then(|f| f.serial_received(now, serial));
                // The primary has no way to say it by changes: the whole zone then.
                if step.is_some() {
                    self.serving.zones[at].follower.iter_mut().for_each(|f| f.incremental_failed(now));
                }
                false
            }
            Followed::Changes(changes) => {
                let fits = self.serving.follow_changes(at, &changes);
                if !fits {
                    self.serving.zones[at].follower.iter_mut().for_each(|f| f.incremental_failed(now));
                }
                fits
            }
            Followed::Whole(file, zone, change) => {
                let first = self.serving.zones[at].store.is_none();
                let limits = self.settings.limits;
                let retired = self.serving.follow(at, file, *zone, *change, &limits);
                let _ = self.aside.send(Aside::Drop(retired));
                if first {
                    // A zone's first snapshot is what its log stands on.
                    self.first_snapshot(at);
                }
                true
            }
        };
        let zone = &mut self.serving.zones[at];
        if let (true, Some(follower), Some(store)) = (brought, &mut zone.follower, &zone.store) {
            if let Some(soa) = store.latest().soa() {
                info!(zone = %zone.settings.apex, serial = %soa.serial, "followed its primary");
                follower.transfer_completed(now, soa);
            }
        }
        self.host.set_timer(now, Due::Zone(at));
    }

    fn first_snapshot(&mut self, at: usize) {
        let zone = &mut self.serving.zones[at];
        let Some(store) = &zone.store else { return };
        let (name, octets) = (journal_name(&zone.settings), encode(&store.snapshot()));
        let rotation = Rotation { generation: 0, first_entry: 0 };
        let done = folder(&self.settings.state).and_then(|mut folder| {
            WriteAheadLog::write_snapshot(&mut folder, &name, rotation, &octets)
                .map_err(|fault| fault.to_string())
        });
        if let Err(why) = done {
            self.serving.log_failed(at, &why);
        }
    }

    /// Tells secondaries of new versions, each on a thread of its own for as long as it takes.
    fn notify(&mut self, at: usize) {
        let now = self.serving.now;
        let zone = &mut self.serving.zones[at];
        let due = zone.notices.due(now);
        let soa = zone.store.as_ref().and_then(|store| store.current().soa_record());
        let Some(soa) = soa else { return };
        for (target, serial) in due {
            let (ear, soa, apex) = (self.ear.clone(), soa.clone(), zone.settings.apex.clone());
            let (server, patience) = (zone.settings.notify[target], Duration::from_secs(2));
            // A secondary knows its primary by the address at which it listens.
            let from = Some(self.settings.listen[0].ip());
            let id = rand::rng().random();
            std::thread::spawn(move || {
                let question = crate::codec::Question {
                    opcode: 4,
                    soa: Some(&soa),
                    ..client::query(id, &apex, soa.kind)
                };
                let client = Client { server, key: None, patience };
                if client.ask_by_datagram_from(from, &question).is_ok_and(|answered| answered.code == 0) {
                    ear.say(Heard::Noticed(at, target, serial));
                }
            });
        }
    }

    /// All counters as one line of JSON.
    fn counters(&self) -> String {
        let tally = self.host.counts();
        let Counts { codes, repeats, versions, lapsed, transfers } = self.serving.counts;
        let codes: Vec<String> = codes
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0)
            .map(|(code, count)| format!("\"{}\":{count}", Code(code as u16)))
            .collect();
        let tasks: Vec<String> =
            stage::NAMES.iter().zip(&self.tasks).map(|(name, count)| format!("\"{name}\":{count}")).collect();
        let zones: Vec<String> = self.serving.zones.iter().map(zone_status).collect();
        format!(
            "{{\"tasks\":{{{}}},\"read\":{},\"finished\":{},\"rejected\":{},\"abandoned\":{},\"caller_gone\":{},\
             \"open\":{},\"answers_lost\":{},\"unreadable\":{},\"beyond_share\":{},\"codes\":{{{}}},\
             \"repeats\":{repeats},\"versions\":{versions},\"lapsed\":{lapsed},\"transfers\":{transfers},\
             \"connections\":{},\"zones\":[{}]}}",
            tasks.join(","),
            tally.received,
            tally.completed,
            tally.rejected,
            tally.failed,
            tally.caller_gone,
            tally.in_flight,
            tally.undelivered + self.desk.lost,
            self.unreadable,
            self.beyond,
            codes.join(","),
            self.connections.len(),
            zones.join(","),
        )
    }
}

fn zone_status(zone: &ZoneState) -> String {
    let apex = &zone.settings.apex;
    let Some(store) = &zone.store else { return format!("{{\"apex\":\"{apex}\",\"serial\":null}}") };
    let live = store.current();
    let frozen = store.frozen().map_or(String::new(), |why| why.to_string().replace('"', "'"));
    format!(
        "{{\"apex\":\"{apex}\",\"serial\":{},\"records\":{},\"names\":{},\"leases\":{},\"suspect\":{},\
         \"log_octets\":{},\"frozen\":\"{frozen}\",\"served\":{}}}",
        live.serial(),
        live.record_count(),
        live.name_count(),
        store.leases().len(),
        store.leases().suspect_since().is_some(),
        zone.journal.bytes_since_snapshot(),
        zone.served().is_some(),
    )
}
