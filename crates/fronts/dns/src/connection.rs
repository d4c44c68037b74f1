//! Connections over TCP: messages behind their length (RFC 1035 section 4.2.2), several on one connection, and
//! answers in whatever order they are ready (RFC 7766).

use crate::serving::{Peer, Stream};
use lynxtally::TaskId;
use lynxtally_wire::alarm::Alarm;
use lynxtally_wire::end::End;
use lynxtally_wire::line::{self, Filled, Line, Outbox};
use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// Writing a message of a transfer needs more of it than anything else; only what is touched takes memory.
const STACK_WORDS: usize = 0x4000;
/// Messages on one connection that wait for their answers, and octets that wait to be written, at most. What
/// comes beyond is read later.
const OPEN_MOST: usize = 64;
const OUT_MOST: usize = 128 * 1024;
/// The pause after a connection could not be taken: a full table of descriptors must not be spun on.
const PAUSE: Duration = Duration::from_millis(20);
/// How many such pauses the closing of listeners is waited for.
const CLOSINGS: usize = 10;
/// A connection that carries nothing for so long is closed (RFC 7766 section 6.2.3 leaves it to the server).
const IDLE: Duration = Duration::from_secs(30);

/// What a connection is told.
pub enum Order {
    /// An answer.
    Answer(Vec<u8>),
    /// A transfer.
    Stream(Box<Stream>),
    /// What is under way can't be ended well.
    Cut,
    /// Close where nothing is under way.
    Close(End),
}

/// What the owner hears of connections.
pub enum News {
    /// A message came.
    Came(Vec<u8>, SocketAddr, Tcp),
    /// A connection ended; what is open on it nobody waits for.
    Ended(Tcp, End),
    /// A transfer ended, well or not.
    Streamed(TaskId, u64, bool),
}

/// A connection, as the owner knows it.
#[derive(Clone)]
pub struct Tcp(pub Arc<Outbox<Order>>);

/// Where an answer goes.
#[derive(Clone)]
pub enum Via {
    /// A datagram, by the number of the socket.
    Udp(usize),
    /// A connection.
    Tcp(Tcp),
}

impl Peer for Via {
    fn stream(&self, stream: Box<Stream>) -> bool {
        match self {
            Self::Tcp(Tcp(orders)) => orders.push(Order::Stream(stream)),
            Self::Udp(_) => false,
        }
    }

    fn cut(&self) {
        if let Self::Tcp(Tcp(orders)) = self {
            orders.push(Order::Cut);
        }
    }
}

struct Seat {
    tcp: Tcp,
    resting: bool,
    since: Instant,
}

/// All connections.
pub struct Connections {
    seats: Mutex<BTreeMap<u64, Seat>>,
    next: AtomicU64,
    most: usize,
    alarm: Alarm,
    closing: AtomicBool,
    closed: AtomicUsize,
    wakers: Mutex<Vec<WaitIoWaker>>,
    news: Box<dyn Fn(News) + Send + Sync>,
}

impl Connections {
    /// So many at most; `news` hears of all that comes.
    pub fn new(most: usize, alarm: Alarm, news: impl Fn(News) + Send + Sync + 'static) -> Self {
        Self {
            seats: Mutex::default(),
            next: AtomicU64::new(0),
            most,
            alarm,
            closing: AtomicBool::new(false),
            closed: AtomicUsize::new(0),
            wakers: Mutex::default(),
            news: Box::new(news),
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        line::lock(&self.seats).len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Has those closed that carried nothing for long, or for any time at all.
    pub fn close_idle(&self, all: bool) {
        for seat in line::lock(&self.seats).values() {
            if seat.resting && (all || seat.since.elapsed() >= IDLE) {
                seat.tcp.0.push(Order::Close(End::Idle));
            }
        }
    }

    /// Takes no connections any more, and has all that rest closed; waits until nobody listens.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        line::lock(&self.wakers).iter().for_each(WaitIoWaker::wakeup);
        self.close_idle(true);
        for _ in 0..CLOSINGS {
            if line::lock(&self.wakers).len() == self.closed.load(Ordering::Acquire) {
                return;
            }
            std::thread::sleep(PAUSE);
        }
    }

    /// Takes connections until they are closed.
    pub fn accept(self: &Arc<Self>, listener: TcpListener) {
        let Ok(listener) = CoIo::new(listener) else { return warn!("the listener can't be waited on") };
        line::lock(&self.wakers).push(listener.waker());
        while !self.closing.load(Ordering::Acquire) {
            match listener.inner().accept() {
                Ok((stream, from)) => self.take(stream, from),
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => {
                    listener.wait_io();
                }
                Err(fault) => {
                    warn!(%fault, "a connection could not be taken");
                    self.alarm.sleep(PAUSE);
                }
            }
        }
        drop(listener);
        self.closed.fetch_add(1, Ordering::AcqRel);
    }

    /// Where the table is full, the one that rests longest goes, else the new one.
    fn take(self: &Arc<Self>, stream: TcpStream, from: SocketAddr) {
        let Ok(line) = Line::new(stream) else { return };
        let (number, tcp) = (self.next.fetch_add(1, Ordering::Relaxed), Tcp(Arc::default()));
        {
            let mut seats = line::lock(&self.seats);
            if seats.len() >= self.most {
                let oldest = seats.values().filter(|seat| seat.resting).min_by_key(|seat| seat.since);
                match oldest {
                    Some(seat) => {
                        seat.tcp.0.push(Order::Close(End::Crowded));
                    }
                    None => return debug!(%from, "no room for a connection"),
                }
            }
            seats.insert(number, Seat { tcp: tcp.clone(), resting: true, since: Instant::now() });
        }
        tcp.0.attach(&line);
        let (all, own) = (self.clone(), tcp.clone());
        let work = move || {
            let mut connection =
                Connection { all: &all, number, from, tcp: &own, open: 0, streams: Vec::new() };
            let end = connection.serve(line);
            debug!(%from, %end, "connection ended");
            connection.ended(end);
        };
        let all = self.clone();
        let failed = move |text: String| {
            warn!(text, "a connection's coroutine failed");
            line::lock(&all.seats).remove(&number);
            (all.news)(News::Ended(tcp.clone(), End::Failed));
        };
        if line::spawn(STACK_WORDS, work, failed).is_err() {
            line::lock(&self.seats).remove(&number);
        }
    }
}

struct Connection<'a> {
    all: &'a Arc<Connections>,
    number: u64,
    from: SocketAddr,
    tcp: &'a Tcp,
    /// Messages whose answers are awaited.
    open: usize,
    streams: Vec<Stream>,
}

impl Connection<'_> {
    fn ended(&mut self, end: End) {
        for order in self.tcp.0.close() {
            if let Order::Stream(stream) = order {
                self.streams.push(*stream);
            }
        }
        for stream in self.streams.drain(..) {
            (self.all.news)(News::Streamed(stream.task, stream.number, false));
        }
        line::lock(&self.all.seats).remove(&self.number);
        (self.all.news)(News::Ended(self.tcp.clone(), end));
    }

    fn stand(&self, resting: bool) {
        if let Some(seat) = line::lock(&self.all.seats).get_mut(&self.number) {
            if seat.resting != resting {
                (seat.resting, seat.since) = (resting, Instant::now());
            }
        }
    }

    fn serve(&mut self, mut line: Line) -> End {
        let (mut buffer, mut sends) = (Vec::new(), true);
        loop {
            let mut close = None;
            while let Some(order) = self.tcp.0.take() {
                match order {
                    Order::Answer(octets) => {
                        put(line.out(), &octets);
                        self.open = self.open.saturating_sub(1);
                    }
                    Order::Stream(stream) => self.streams.push(*stream),
                    Order::Cut => return End::GivenUp,
                    Order::Close(end) => close = Some(end),
                }
            }
            self.fill_out(&mut line);
            if let Err(end) = line.flush() {
                return end;
            }
            let mut filled = Filled::Full;
            if sends && self.open < OPEN_MOST && line.out().len() < OUT_MOST {
                filled = match line.fill(&mut buffer, 2 + crate::codec::MESSAGE_MOST) {
                    Ok(filled) => filled,
                    Err(end) => return end,
                };
                sends = filled != Filled::End;
            }
            let came = match self.messages(&mut buffer) {
                Ok(came) => came,
                Err(end) => return end,
            };
            let idle = self.open == 0 && self.streams.is_empty() && line.clear();
            if !sends && idle {
                return if buffer.is_empty() { End::Closed } else { End::Truncated };
            }
            if let Some(end) = close.filter(|_| idle && buffer.is_empty()) {
                return end;
            }
            self.stand(idle && buffer.is_empty());
            // More may be there to be read or written without a further sign of it.
            let room = self.open < OPEN_MOST && line.out().len() < OUT_MOST;
            let more = came
                || (sends && room && filled == Filled::Full && buffer.len() < 2 + crate::codec::MESSAGE_MOST);
            if more || (!self.streams.is_empty() && line.clear()) {
                may::coroutine::yield_now();
            } else {
                line.wait();
            }
        }
    }

    /// Adds messages of the transfers under way, no more than can wait to be written.
    fn fill_out(&mut self, line: &mut Line) {
        while line.out().len() < OUT_MOST / 2 {
            let Some(stream) = self.streams.first_mut() else { return };
            match stream.writer.next_message() {
                Some(octets) => put(line.out(), &octets),
                None => {
                    let stream = self.streams.remove(0);
                    // Its answer is what went out: none is awaited any more.
                    self.open = self.open.saturating_sub(1);
                    (self.all.news)(News::Streamed(stream.task, stream.number, true));
                }
            }
        }
    }

    /// Takes the whole messages that came; tells whether there was any.
    fn messages(&mut self, buffer: &mut Vec<u8>) -> Result<bool, End> {
        let mut at = 0;
        while let Some(head) = buffer.get(at..at + 2).filter(|_| self.open < OPEN_MOST) {
            let length = usize::from(u16::from_be_bytes([head[0], head[1]]));
            if length < crate::codec::HEAD {
                return Err(End::Garbled);
            }
            let Some(octets) = buffer.get(at + 2..at + 2 + length) else { break };
            self.open += 1;
            (self.all.news)(News::Came(octets.to_vec(), self.from, self.tcp.clone()));
            at += 2 + length;
        }
        buffer.drain(..at);
        if buffer.is_empty() {
            // What rests needs no buffer.
            *buffer = Vec::new();
        }
        Ok(at > 0)
    }
}

fn put(out: &mut Vec<u8>, octets: &[u8]) {
    out.extend((octets.len() as u16).to_be_bytes());
    out.extend_from_slice(octets);
}

/// Listens for connections.
pub fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}
