//! Connections from sidecars: taken eagerly, read eagerly, one task at a time on each.

use crate::alarm::Alarm;
use crate::answer::{self, Answer, Standing};
use crate::counters::Counters;
use crate::decide::Heard;
use crate::end::End;
use crate::http::{Asked, Bad, Message, Names, Reader, Sent};
use crate::wire::{self, Filled, Line, Outbox};
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
/// How long we read on after our last byte.
const LINGER: Duration = Duration::from_secs(1);
/// The pause after a connection could not be taken: a full table of descriptors must not be spun on.
const PAUSE: Duration = Duration::from_millis(20);

/// What a connection is told.
#[derive(Clone, Debug)]
pub enum Order {
    /// The final answer to its task.
    Answer(Answer),
    /// Close if nothing was carried for so long.
    CloseIdle(Duration),
}

/// A connection, as the owner knows it.
pub type Handle = Arc<Outbox<Order>>;

/// A task as it goes to the owner, and where its answer is awaited.
pub struct Taken {
    /// The task.
    pub sent: Sent,
    /// The connection.
    pub from: Handle,
}

/// All connections from sidecars and the listener before them.
pub struct Entrance {
    open: Mutex<BTreeMap<u64, Handle>>,
    next: AtomicU64,
    most: usize,
    closing: AtomicBool,
    waker: Mutex<Option<WaitIoWaker>>,
    names: Names,
    standing: Arc<Standing>,
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
    /// An entrance for so many connections at most.
    pub fn new(
        most: usize,
        names: Names,
        standing: Arc<Standing>,
        alarm: Alarm,
        owner: Sender<Heard>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            open: Mutex::default(),
            next: AtomicU64::new(0),
            most,
            closing: AtomicBool::new(false),
            waker: Mutex::default(),
            names,
            standing,
            alarm,
            owner,
            counters,
        }
    }

    /// How many connections are open.
    pub fn len(&self) -> usize {
        wire::lock(&self.open).len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Has connections closed that carried nothing for so long.
    pub fn close_idle(&self, since: Duration) {
        for handle in wire::lock(&self.open).values() {
            handle.push(Order::CloseIdle(since));
        }
    }

    /// Answers whatever still waits on any connection that it failed. Where nothing waits this does nothing.
    pub fn abandon_all(&self) {
        for handle in wire::lock(&self.open).values() {
            handle.push(Order::Answer(Answer::Abandoned));
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
        loop {
            // Looked at first: what waits by then is still taken.
            let closing = self.closing.load(Ordering::Acquire);
            if self.len() >= self.most && !closing {
                self.alarm.sleep(PAUSE);
                continue;
            }
            match listener.inner().accept() {
                Ok((stream, _)) => self.take(stream),
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
        wire::lock(&self.open).insert(number, handle.clone());
        let (entrance, own) = (self.clone(), handle.clone());
        let work = move || {
            let mut connection = Connection { entrance: &entrance, handle: &own, task: None };
            let (end, line) = connection.serve(line);
            connection.leave(number, end);
            if matches!(end, End::Finished | End::Idle | End::Closed | End::Garbled) {
                line.linger(LINGER);
            }
        };
        let entrance = self.clone();
        let failed = move |text: String| {
            warn!(text, "a connection's coroutine failed");
            // Its task, if any, ends as its time runs out.
            Connection { entrance: &entrance, handle: &handle, task: None }.leave(number, End::Failed);
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
    /// The task whose answer is awaited, and whether the sidecar wants no further one here.
    task: Option<(String, bool)>,
}

impl Connection<'_> {
    fn serve(&mut self, mut line: Line) -> (End, Line) {
        let mut reader = Reader::default();
        let (mut last, mut sends, mut used) = (None, true, Instant::now());
        loop {
            let (mut filled, mut idle_for) = (Filled::All, None);
            while let Some(order) = self.handle.take() {
                match order {
                    Order::Answer(answer) => {
                        let close = self.answer(line.out(), &answer);
                        last = last.or(close.then_some(End::Finished));
                        used = Instant::now();
                    }
                    Order::CloseIdle(span) => idle_for = Some(span),
                }
            }
            if sends && last.is_none() {
                let before = reader.buffer.len();
                match line.fill(&mut reader.buffer, Reader::ROOM) {
                    Ok(found) => filled = found,
                    Err(end) => return (end, line),
                }
                sends = filled != Filled::End;
                if reader.buffer.len() > before {
                    used = Instant::now();
                }
            }
            while self.task.is_none() && last.is_none() {
                match reader.next_asked(&self.entrance.names) {
                    Ok(Some(message)) => last = self.asked(message, line.out()).then_some(End::Finished),
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
                return (end, line);
            }
            // Closed as idle only where nothing is under way, once all that came is read.
            let quiet = self.task.is_none() && line.clear() && reader.buffer.is_empty();
            if last.is_none() && quiet && idle_for.is_some_and(|span| used.elapsed() >= span) {
                last = Some(End::Idle);
            }
            if !sends && last.is_none() && self.task.is_none() {
                last = Some(if reader.buffer.is_empty() { End::Closed } else { End::Truncated });
            }
            // A sidecar that sends no more and reads no more either is gone.
            if !sends && line.broken() {
                return (End::Reset, line);
            }
            match last {
                Some(end) if line.clear() && self.task.is_none() => return (end, line),
                // What there was no room for is read now, or, while a task is open, after its answer.
                _ if filled == Filled::Full && reader.buffer.len() < Reader::ROOM => {}
                _ => line.wait(),
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
        let Some((_, last)) = self.task.take() else { return false };
        let standing = &self.entrance.standing;
        let last = last || standing.leaving();
        answer::write(out, answer, standing.free(), last);
        last
    }

    /// Takes the connection off the list; the owner hears of a task that still waited on it.
    fn leave(&mut self, number: u64, end: End) {
        wire::lock(&self.entrance.open).remove(&number);
        self.entrance.counters.connection_ends.add(end);
        for order in self.handle.close() {
            if matches!(order, Order::Answer(_)) {
                self.entrance.counters.answers_lost.add();
            }
        }
        if let Some((id, _)) = self.task.take() {
            if end.caller_gone() {
                // The owner is gone only with the program.
                let _ = self.entrance.owner.send(Heard::CallerGone { id, end });
            }
        }
    }
}
