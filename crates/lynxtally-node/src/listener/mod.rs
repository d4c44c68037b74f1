//! Connections from clients: accepted eagerly, read eagerly, one request at a time on each.

mod accept_loop;
mod connection;
mod table;

pub use lynxtally_net::listener::listen;

use crate::advertised_state::AdvertisedState;
use crate::config::ResourceLimits;
use crate::counters::Counters;
use crate::http::{ParseError, RequestSchema};
use crate::messages::{ConnectionCommand, Message};
use crate::response::ResponseContext;
use lynxtally_engine::FinalResponse;
use lynxtally_net::clock::Clock;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::sync::lock;
use lynxtally_net::timer::Timer;
use may::io::WaitIoWaker;
use may::sync::mpsc::Sender;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use table::{ConnectionState, ConnectionTable};

/// The pause after a connection could not be accepted: with no descriptor left, accepting fails at once each time.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A connection that could go on without waiting lets the others run for so long.
///
/// The failure this guards against: a client that never stops sending keeps the whole node waiting, because a coroutine
/// that only yields is put at the front of its worker's queue again, and the worker never polls for anything else. Of
/// many that do so each waits so many times as long, so that all together get no more than one.
const YIELD_TIME: Duration = Duration::from_millis(1);

/// What a [`Listener`] needs of the other parts.
pub struct ListenerParts {
    /// The limits of connections.
    pub resource_limits: ResourceLimits,
    /// What requests are checked against.
    pub schema: RequestSchema,
    /// What goes with responses.
    pub advertised: Arc<AdvertisedState>,
    /// Sends messages later.
    pub timer: Timer,
    /// Where requests go.
    pub event_loop: Sender<Message>,
    /// Where connections and messages are counted.
    pub counters: Arc<Counters>,
}

/// The listener and all connections that were accepted from it.
pub struct Listener {
    parts: ListenerParts,
    clock: Clock,
    table: Mutex<ConnectionTable>,
    /// How many connections are letting the others run.
    yielding: AtomicU32,
    closing: AtomicBool,
    waker: Mutex<Option<WaitIoWaker>>,
}

impl Listener {
    /// A listener without connections; [`Listener::accept`] serves a socket.
    pub fn new(parts: ListenerParts) -> Self {
        let table = Mutex::new(ConnectionTable::new(parts.resource_limits.max_connections));
        Self {
            parts,
            clock: Clock::default(),
            table,
            yielding: AtomicU32::new(0),
            closing: AtomicBool::new(false),
            waker: Mutex::default(),
        }
    }

    /// Whether no connection is open, but for those that have carried their last response.
    pub fn is_empty(&self) -> bool {
        lock(&self.table).all(|entry| entry.state == ConnectionState::Lingering)
    }

    /// How many connections were accepted so far.
    pub fn accepted(&self) -> u64 {
        self.parts.counters.connections.get()
    }

    /// How many connections are open.
    pub fn len(&self) -> usize {
        lock(&self.table).len()
    }

    /// Closes the connections that have carried nothing for so long.
    pub fn close_idle(&self, idle_for: Duration) {
        lock(&self.table).close_where(CloseReason::IdleTimeout, |entry| {
            matches!(entry.state, ConnectionState::New | ConnectionState::Idle)
                && entry.since.elapsed() >= idle_for
        });
    }

    /// Closes the connections whose time is over: those that complete no message or don't take a response, those that
    /// linger, and idle ones that their clients would have closed long ago if they still knew them.
    ///
    /// This answers silent clients, halves of messages, bytes that trickle in, and forgotten connections. The price: a
    /// client that needs longer than a request's time for one message is closed.
    pub fn close_expired(&self) {
        let ResourceLimits { message_timeout, linger_timeout, idle_timeout, .. } = self.parts.resource_limits;
        lock(&self.table).close_where(CloseReason::TimedOut, |entry| {
            let is_over = |limit| entry.since.elapsed() >= limit;
            match entry.state {
                ConnectionState::Lingering => is_over(linger_timeout),
                ConnectionState::New | ConnectionState::Partial => is_over(message_timeout),
                ConnectionState::Idle => idle_timeout.is_some_and(is_over),
                ConnectionState::Serving => false,
            }
        });
    }

    /// Closes all connections without an open request, also in the middle of a message. The last step before the
    /// program ends: what is half written then would be reset by the end, so its client is told, and sends it again.
    pub fn close_all(&self) {
        lock(&self.table).close_where(CloseReason::Completed, |entry| {
            !matches!(entry.state, ConnectionState::Lingering | ConnectionState::Serving)
        });
    }

    /// Answers whatever request still waits on any connection that it failed.
    pub fn fail_all(&self) {
        lock(&self.table).send_to_all(&ConnectionCommand::Respond(FinalResponse::Failed));
    }

    /// Closes the listening socket, once all connections that wait there have been accepted.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        if let Some(waker) = &*lock(&self.waker) {
            waker.wakeup();
        }
    }

    /// Lets the others run. Answers floods of any kind, and costs nothing to a client that sends one message at a time.
    fn yield_to_others(&self) {
        let yielding = self.yielding.fetch_add(1, Ordering::Relaxed) + 1;
        self.parts.timer.sleep(YIELD_TIME * yielding);
        self.yielding.fetch_sub(1, Ordering::Relaxed);
    }

    /// What goes with a response after which the client or this node closes the connection, or does not.
    fn response_context(&self, closes_connection: bool) -> ResponseContext {
        ResponseContext { capacity: self.parts.advertised.capacity(), closes_connection }
    }

    fn count_parse_error(&self, error: ParseError) {
        let counters = &self.parts.counters;
        match error {
            ParseError::MalformedHead | ParseError::InvalidLength => counters.bad_head.increment(),
            ParseError::InvalidHeader(_) | ParseError::UnknownClass | ParseError::UnknownTenant => {
                counters.bad_header.increment();
            }
            ParseError::UnknownPath | ParseError::MethodNotAllowed => counters.bad_path.increment(),
            ParseError::HeadTooLarge | ParseError::BodyTooLarge | ParseError::UnsupportedEncoding => {
                counters.bad_size.increment();
            }
        }
    }
}
