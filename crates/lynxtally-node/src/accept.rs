//! Connections from sidecars: taken eagerly, read eagerly, one task at a time on each.

use crate::answer::{self, Answer, Standing};
use crate::config::Bounds;
use crate::counters::Counters;
use crate::heard::Heard;
pub use crate::heard::{Handle, Order, Taken};
use crate::http::{Asked, Bad, Message, Names, Reader};
use lynxtally_wire::alarm::Alarm;
use lynxtally_wire::clock::Clock;
use lynxtally_wire::end::End;
use lynxtally_wire::line::{self as wire, Filled, Line};
use may::io::{CoIo, WaitIo, WaitIoWaker};
use may::sync::mpsc::Sender;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::{debug, warn};

const STACK_WORDS: usize = 0x2000;
/// Connections that wait to be taken, at most.
const BACKLOG: i32 = 1024;
/// The pause after a connection could not be taken: a full table of descriptors must not be spun on.
const PAUSE: Duration = Duration::from_millis(20);
/// What has stood for less is not closed to make room: its first bytes may be on their way.
const SETTLE: Duration = PAUSE;
/// What is read at once of what nobody will look at.
const LINGER_CHUNK: usize = 16 * 1024;
/// After so many connections taken in one go the others get their turn.
const TURN: u32 = 16;

/// How a connection stands. To make room, the ones named first go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stand {
    /// We wrote the last on it, and read on so that this is not lost.
    Leaving,
    /// Nothing whole has come on it yet.
    New,
    /// A message is begun, or an answer not taken yet.
    Halfway,
    /// Between two messages.
    Resting,
    /// A task on it is open.
    Busy,
}

/// A connection in the table, and since when it has stood so.
struct Seat {
    handle: Handle,
    stand: Stand,
    since: Instant,
    /// Whether it was told to make room.
    told: bool,
}

/// Whether one more connection can be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Room {
    Now,
    /// Once those that were told to go have gone.
    Soon,
    /// Nothing may go yet.
    Later,
}

/// All connections from sidecars and the listener before them.
pub struct Entrance {
    open: Mutex<BTreeMap<u64, Seat>>,
    next: AtomicU64,
    bounds: Bounds,
    closing: AtomicBool,
    waker: Mutex<Option<WaitIoWaker>>,
    names: Names,
    standing: Arc<Standing>,
    clock: Clock,
    alarm: Alarm,
    owner: Sender<Heard>,
    counters: Arc<Counters>,
}

/// Listens on an address that nobody else listens on.
pub fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

impl Entrance {
    /// An entrance with these bounds.
    pub fn new(
        bounds: Bounds,
        names: Names,
        standing: Arc<Standing>,
        alarm: Alarm,
        owner: Sender<Heard>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            open: Mutex::default(),
            next: AtomicU64::new(0),
            bounds,
            closing: AtomicBool::new(false),
            waker: Mutex::default(),
            names,
            standing,
            clock: Clock::default(),
            alarm,
            owner,
            counters,
        }
    }

    /// Whether no connection is open, but such as have carried their last answer.
    pub fn is_empty(&self) -> bool {
        wire::lock(&self.open).values().all(|seat| seat.stand == Stand::Leaving)
    }

    /// How many connections were taken so far.
    pub fn taken(&self) -> u64 {
        self.counters.connections.get()
    }

    /// How many connections are open.
    pub fn len(&self) -> usize {
        wire::lock(&self.open).len()
    }

    /// Has connections closed that carried nothing for so long.
    pub fn close_idle(&self, since: Duration) {
        self.close_where(End::Idle, |seat| {
            matches!(seat.stand, Stand::New | Stand::Resting) && seat.since.elapsed() >= since
        });
    }

    /// Has connections closed whose time is over: those that carry no whole message or don't take an answer,
    /// those that were to leave, and those that sidecars would have closed long ago if they still knew them.
    /// Catches silent clients, halves of messages, trickles and forgotten connections; harms a sidecar that
    /// needs longer than a task's time for one message.
    pub fn sweep(&self) {
        let Bounds { message, linger, idle, .. } = self.bounds;
        self.close_where(End::Expired, |seat| {
            let over = |span| seat.since.elapsed() >= span;
            match seat.stand {
                Stand::Leaving => over(linger),
                Stand::New | Stand::Halfway => over(message),
                Stand::Resting => idle.is_some_and(over),
                Stand::Busy => false,
            }
        });
    }

    fn close_where(&self, end: End, goes: impl Fn(&Seat) -> bool) {
        for seat in wire::lock(&self.open).values().filter(|seat| goes(seat)) {
            seat.handle.push(Order::Close(end));
        }
    }

    /// Makes room where the table is full: what is leaving goes first, then what has never carried a whole
    /// message, then what rests, of each the longest; a connection with a task never. So neither silent
    /// clients nor such as keep their connections shut the sidecars out. Harms a sidecar whose connection
    /// rests and is closed as it sends: it sends once more.
    fn make_room(&self) -> Room {
        let mut open = wire::lock(&self.open);
        let most = self.bounds.connections;
        if open.len() < most {
            return Room::Now;
        }
        // Those that were told need a moment to go; some places are taken before that.
        let full = open.len() >= most + most / 8;
        if full && open.values().any(|seat| seat.told) {
            return Room::Soon;
        }
        let may_go =
            |seat: &&mut Seat| !seat.told && seat.stand != Stand::Busy && seat.since.elapsed() >= SETTLE;
        let first = open.values_mut().filter(may_go).min_by_key(|seat| (seat.stand, seat.since));
        let Some(seat) = first else { return Room::Later };
        // Each makes room for one: told again, it would be counted on twice.
        seat.told = true;
        seat.handle.push(Order::Close(End::Crowded));
        if full {
            Room::Soon
        } else {
            Room::Now
        }
    }

    /// Answers whatever still waits on any connection that it failed. Where nothing waits this does nothing.
    pub fn abandon_all(&self) {
        for seat in wire::lock(&self.open).values() {
            seat.handle.push(Order::Answer(Answer::Abandoned));
        }
    }

    /// Has the listener closed, once all that waits before it is taken.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        if let Some(waker) = &*wire::lock(&self.waker) {
            waker.wakeup();
        }
    }

    /// Takes connections until the listener is to be closed.
    pub fn accept(self: &Arc<Self>, listener: TcpListener) {
        let listener = match CoIo::new(listener) {
            Ok(listener) => listener,
            Err(fault) => return warn!(%fault, "the listener can't be waited on"),
        };
        *wire::lock(&self.waker) = Some(listener.waker());
        let mut taken = 0;
        loop {
            // Looked at first: what waits by then is still taken.
            let closing = self.closing.load(Ordering::Acquire);
            match self.make_room() {
                Room::Soon if !closing => {
                    may::coroutine::yield_now();
                    continue;
                }
                Room::Later if !closing => {
                    self.alarm.sleep(PAUSE);
                    continue;
                }
                _ => {}
            }
            match listener.inner().accept() {
                Ok((stream, _)) => {
                    self.take(stream);
                    taken += 1;
                    if taken % TURN == 0 {
                        may::coroutine::yield_now();
                    }
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock && !closing => {
                    listener.wait_io();
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => break,
                Err(fault) => {
                    if self.counters.accepts_failed.get() == 0 {
                        warn!(%fault, "a connection could not be taken; later ones are only counted");
                    }
                    self.counters.accepts_failed.add();
                    self.alarm.sleep(PAUSE);
                    if closing {
                        break;
                    }
                }
            }
        }
        drop(listener);
        // The owner is gone only with the program.
        let _ = self.owner.send(Heard::Closed);
    }

    fn take(self: &Arc<Self>, stream: TcpStream) {
        self.counters.connections.add();
        let line = match Line::new(stream) {
            Ok(line) => line,
            Err(fault) => {
                debug!(%fault, "a connection broke as it was taken");
                return self.counters.connection_ends.add(End::Reset);
            }
        };
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let handle = Handle::default();
        handle.attach(&line);
        let seat = Seat { handle: handle.clone(), stand: Stand::New, since: Instant::now(), told: false };
        wire::lock(&self.open).insert(number, seat);
        let entrance = self.clone();
        let work =
            move || Connection { entrance: &entrance, handle: &handle, number, task: None }.carry(line);
        let entrance = self.clone();
        let failed = move |text: String| {
            warn!(text, "a connection's coroutine failed as it ended");
            wire::lock(&entrance.open).remove(&number);
        };
        if wire::spawn(STACK_WORDS, work, failed).is_err() {
            wire::lock(&self.open).remove(&number);
            self.counters.connection_ends.add(End::Failed);
        }
    }

    fn count_bad(&self, bad: Bad) {
        match bad {
            Bad::Head | Bad::Length => self.counters.bad_head.add(),
            Bad::Field(_) | Bad::Stage | Bad::Customer => self.counters.bad_field.add(),
            Bad::Path | Bad::Method => self.counters.bad_path.add(),
            Bad::HeadLarge | Bad::BodyLarge | Bad::Coding => self.counters.bad_size.add(),
        }
    }
}

/// One connection while it is served.
struct Connection<'a> {
    entrance: &'a Entrance,
    handle: &'a Handle,
    number: u64,
    /// The task whose answer is awaited, and whether the sidecar wants no further one here.
    task: Option<(String, bool)>,
}

impl Connection<'_> {
    /// Carries the connection from its first byte to its last.
    fn carry(mut self, mut line: Line) {
        let end = wire::guarded(|| self.serve(&mut line)).unwrap_or_else(|text| {
            warn!(text, "a connection's coroutine failed");
            End::Failed
        });
        if let Some((id, _)) = self.task.take() {
            if end == End::Failed {
                answer::write(line.out(), &Answer::Abandoned, None, true);
                // If it does not go, the connection ends without it.
                let _ = line.flush();
            }
            if end.caller_gone() {
                let from = self.handle.clone();
                // The owner is gone only with the program.
                let _ = self.entrance.owner.send(Heard::CallerGone { id, from, end });
            }
        }
        self.entrance.counters.connection_ends.add(end);
        debug!(connection = self.number, %end, "a connection ends");
        if matches!(end, End::Finished | End::Idle | End::Closed | End::Garbled | End::Expired) {
            self.stand(Stand::Leaving);
            self.linger(&mut line);
        }
        wire::lock(&self.entrance.open).remove(&self.number);
        for order in self.handle.close() {
            if matches!(order, Order::Answer(_)) {
                self.entrance.counters.answers_lost.add();
            }
        }
    }

    /// Ends the writing side and reads on: a socket closed with unread bytes would reset the connection and
    /// lose the last answer. Bounded in bytes here, and in time by the sweep.
    fn linger(&self, line: &mut Line) {
        if !line.shutdown() {
            return;
        }
        let (mut scratch, mut left) = (Vec::new(), self.entrance.bounds.linger_bytes);
        while left > 0 {
            while let Some(order) = self.handle.take() {
                if matches!(order, Order::Close(_)) {
                    return;
                }
            }
            scratch.clear();
            match line.fill(&mut scratch, LINGER_CHUNK) {
                Ok(Filled::End) | Err(_) => return,
                Ok(Filled::All) if scratch.is_empty() => line.wait(),
                Ok(_) => may::coroutine::yield_now(),
            }
            left = left.saturating_sub(scratch.len());
        }
    }

    /// Notes how the connection stands from now on.
    fn stand(&self, stand: Stand) {
        if let Some(seat) = wire::lock(&self.entrance.open).get_mut(&self.number) {
            (seat.stand, seat.since, seat.told) = (stand, Instant::now(), false);
        }
    }

    fn serve(&mut self, line: &mut Line) -> End {
        let mut reader = Reader::default();
        let (mut last, mut sends, mut stood) = (None, true, Stand::New);
        loop {
            let (mut filled, mut close, mut moved) = (Filled::All, None, false);
            while let Some(order) = self.handle.take() {
                match order {
                    Order::Answer(answer) => {
                        let ends = self.answer(line.out(), &answer);
                        last = last.or(ends.then_some(End::Finished));
                        moved = true;
                    }
                    Order::Close(end) => close = Some(end),
                }
            }
            if sends && last.is_none() {
                match line.fill(&mut reader.buffer, Reader::ROOM) {
                    Ok(found) => filled = found,
                    Err(end) => return end,
                }
                sends = filled != Filled::End;
            }
            while self.task.is_none() && last.is_none() {
                match reader.next_asked(&self.entrance.names, self.entrance.clock.micros() / 1000) {
                    Ok(Some(message)) => {
                        last = self.asked(message, line.out()).then_some(End::Finished);
                        moved = true;
                    }
                    Ok(None) => break,
                    Err(bad) => {
                        debug!(%bad, "a message can't be taken");
                        self.entrance.count_bad(bad);
                        let free = self.entrance.standing.free();
                        answer::write(line.out(), &Answer::Unfit(bad.status()), free, true);
                        last = Some(End::Garbled);
                    }
                }
            }
            if let Err(end) = line.flush() {
                return end;
            }
            if self.task.is_none() && !sends && last.is_none() {
                last = Some(if reader.buffer.is_empty() { End::Closed } else { End::Truncated });
            }
            // Told to close, it does so only where nothing is under way, once all that came is read.
            if let Some(end) = close.filter(|_| self.task.is_none() && !moved) {
                if !line.clear() {
                    return End::Reset;
                }
                if last.is_none() && (end != End::Idle || reader.buffer.is_empty()) {
                    last = Some(end);
                }
            }
            // A sidecar that sends no more and reads no more either is gone.
            if !sends && line.broken() {
                return End::Reset;
            }
            match last {
                Some(end) if line.clear() && self.task.is_none() => return end,
                _ => {}
            }
            let stand = match stood {
                _ if self.task.is_some() => Stand::Busy,
                // Bytes that make no message yet give it no further time.
                Stand::New if !moved => Stand::New,
                _ if !line.clear() || !reader.buffer.is_empty() => Stand::Halfway,
                _ => Stand::Resting,
            };
            if moved || stand != stood {
                stood = stand;
                self.stand(stand);
            }
            if reader.buffer.is_empty() {
                // What rests needs no buffer.
                reader.buffer = Vec::new();
            }
            // What there was no room for is read now, or, while a task is open, after its answer.
            if filled == Filled::Full && reader.buffer.len() < Reader::ROOM {
                may::coroutine::yield_now();
            } else {
                line.wait();
            }
        }
    }

    /// Takes one message; tells whether the connection ends with it.
    fn asked(&mut self, message: Message<Asked>, out: &mut Vec<u8>) -> bool {
        let standing = &self.entrance.standing;
        match message.what {
            Asked::Health => {
                self.entrance.counters.health_checks.add();
                let last = message.last || standing.leaving();
                answer::write_health(out, standing.healthy(), standing.free(), last);
                last
            }
            Asked::Task(sent) => {
                debug!(id = sent.id, connection = self.number, "asked");
                self.task = Some((sent.id.clone(), message.last));
                let taken = Taken { sent: *sent, from: self.handle.clone() };
                if self.entrance.owner.send(Heard::Taken(taken)).is_err() {
                    return self.answer(out, &Answer::Abandoned);
                }
                false
            }
        }
    }

    /// Writes the final answer; tells whether the connection ends with it.
    fn answer(&mut self, out: &mut Vec<u8>, answer: &Answer) -> bool {
        let Some((id, last)) = self.task.take() else { return false };
        debug!(id, status = answer.status(), "answered");
        let standing = &self.entrance.standing;
        let last = last || standing.leaving();
        answer::write(out, answer, standing.free(), last);
        last
    }
}
