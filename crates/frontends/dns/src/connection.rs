//! Connections over TCP: messages behind their length (RFC 1035 section 4.2.2), several on one connection, and
//! answers in whatever order they are ready (RFC 7766).

use crate::executor::{Peer, Stream};
use lynxtally::RequestId;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection::{self as net, ReadProgress};
use lynxtally_net::connection_table::{ConnectionTable, Inserted};
use lynxtally_net::coroutine::{spawn, Panic};
use lynxtally_net::fair_yield::FairYield;
use lynxtally_net::listener::ListenerSet;
use lynxtally_net::mailbox::Mailbox;
use lynxtally_net::timer::Timer;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, warn};

/// Writing a message of a transfer needs more of it than anything else; only what is touched takes memory.
const STACK_WORDS: usize = 0x4000;
/// Messages on one connection that wait for their answers, and octets that wait to be written, at most. What
/// comes beyond is read later.
const OPEN_MOST: usize = 64;
const OUT_MOST: usize = 128 * 1024;
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
    Close(CloseReason),
}

/// What the owner hears of connections.
pub enum News {
    /// A message came.
    Came(Vec<u8>, SocketAddr, Tcp),
    /// A connection ended; what is open on it nobody waits for.
    Ended(Tcp, CloseReason),
    /// A transfer ended, well or not.
    Streamed(RequestId, u64, bool),
}

/// A connection, as the owner knows it.
#[derive(Clone)]
pub struct Tcp(pub Arc<Mailbox<Order>>);

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

/// All connections.
pub struct Connections {
    seats: ConnectionTable<Tcp>,
    gate: ListenerSet,
    turnstile: FairYield,
    news: Box<dyn Fn(News) + Send + Sync>,
}

impl Connections {
    /// So many at most; `news` hears of all that comes.
    pub fn new(
        most: usize,
        alarm: Timer,
        turnstile: FairYield,
        news: impl Fn(News) + Send + Sync + 'static,
    ) -> Self {
        Self {
            seats: ConnectionTable::new(most),
            gate: ListenerSet::new(alarm),
            turnstile,
            news: Box::new(news),
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.seats.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.seats.is_empty()
    }

    /// Has those closed that carried nothing for long, or for any time at all.
    pub fn close_idle(&self, all: bool) {
        for tcp in self.seats.idle_for(if all { Duration::ZERO } else { IDLE }) {
            tcp.0.push(Order::Close(CloseReason::IdleTimeout));
        }
    }

    /// Takes no connections any more, and has all that rest closed; waits until nobody listens.
    pub fn close(&self) {
        self.close_idle(true);
        self.gate.close();
        self.close_idle(true);
    }

    /// Takes connections until they are closed.
    pub fn accept(self: &Arc<Self>, listener: TcpListener) {
        self.gate.accept(listener, |stream, from| self.take(stream, from));
    }

    /// Where the table is full, the one that rests longest goes, else the new one.
    fn take(self: &Arc<Self>, stream: TcpStream, from: SocketAddr) {
        let Ok(line) = net::Connection::new(stream) else { return };
        let tcp = Tcp(Arc::default());
        let Ok(Inserted { number, evicted: goes }) = self.seats.insert(tcp.clone()) else {
            return debug!(%from, "no room for a connection");
        };
        if let Some(goes) = goes {
            goes.0.push(Order::Close(CloseReason::Evicted));
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
        let failed = move |panic: Panic| {
            warn!(%panic, "a connection's coroutine failed");
            all.seats.remove(number);
            (all.news)(News::Ended(tcp.clone(), CloseReason::InternalError));
        };
        if spawn(STACK_WORDS, work, failed).is_err() {
            self.seats.remove(number);
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
    fn ended(&mut self, end: CloseReason) {
        for order in self.tcp.0.close() {
            if let Order::Stream(stream) = order {
                self.streams.push(*stream);
            }
        }
        for stream in self.streams.drain(..) {
            (self.all.news)(News::Streamed(stream.task, stream.number, false));
        }
        self.all.seats.remove(self.number);
        (self.all.news)(News::Ended(self.tcp.clone(), end));
    }

    fn serve(&mut self, mut line: net::Connection) -> CloseReason {
        let (mut buffer, mut sends) = (Vec::new(), true);
        loop {
            let mut close = None;
            while let Some(order) = self.tcp.0.take() {
                match order {
                    Order::Answer(octets) => {
                        put(line.output(), &octets);
                        self.open = self.open.saturating_sub(1);
                    }
                    Order::Stream(stream) => self.streams.push(*stream),
                    Order::Cut => return CloseReason::Cancelled,
                    Order::Close(end) => close = Some(end),
                }
            }
            self.fill_out(&mut line);
            if let Err(end) = line.flush() {
                return end;
            }
            let mut filled = ReadProgress::BufferFull;
            if sends && self.open < OPEN_MOST && line.output().len() < OUT_MOST {
                filled = match line.fill(&mut buffer, 2 + crate::codec::MESSAGE_MOST) {
                    Ok(filled) => filled,
                    Err(end) => return end,
                };
                sends = filled != ReadProgress::EndOfStream;
            }
            let came = match self.messages(&mut buffer) {
                Ok(came) => came,
                Err(end) => return end,
            };
            let idle = self.open == 0 && self.streams.is_empty() && line.is_flushed();
            if !sends && idle {
                return if buffer.is_empty() { CloseReason::ClosedByPeer } else { CloseReason::Truncated };
            }
            if let Some(end) = close.filter(|_| idle && buffer.is_empty()) {
                return end;
            }
            self.all.seats.set_idle(self.number, idle && buffer.is_empty());
            // More may be there to be read or written without a further sign of it.
            let room = self.open < OPEN_MOST && line.output().len() < OUT_MOST;
            let more = came
                || (sends
                    && room
                    && filled == ReadProgress::BufferFull
                    && buffer.len() < 2 + crate::codec::MESSAGE_MOST);
            if more || (!self.streams.is_empty() && line.is_flushed()) {
                // A coroutine that only yields is the next again, for as long as its transfer lasts.
                line.yield_to_others(&self.all.turnstile);
            } else {
                line.wait();
            }
        }
    }

    /// Adds messages of the transfers under way, no more than can wait to be written.
    fn fill_out(&mut self, line: &mut net::Connection) {
        while line.output().len() < OUT_MOST / 2 {
            let Some(stream) = self.streams.first_mut() else { return };
            match stream.writer.next_message() {
                Some(octets) => put(line.output(), &octets),
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
    fn messages(&mut self, buffer: &mut Vec<u8>) -> Result<bool, CloseReason> {
        let mut at = 0;
        while let Some(head) = buffer.get(at..at + 2).filter(|_| self.open < OPEN_MOST) {
            let length = usize::from(u16::from_be_bytes([head[0], head[1]]));
            if length < crate::codec::HEAD {
                return Err(CloseReason::Malformed);
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
