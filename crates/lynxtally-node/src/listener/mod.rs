//! The listener and the client connections that it accepts. Each connection has at most one open request.

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

/// The pause before another `accept` after one has failed. Without descriptors, `accept` fails immediately each time.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// How long a connection sleeps to yield to other coroutines although it has more work.
///
/// A coroutine that only yields returns to the front of its worker's queue, and the worker doesn't poll for I/O.
/// Without the sleep, a client that never stops sending would block the whole node. The sleep is multiplied by the
/// number of connections that yield at the same time, so that all of them together get as much time as one would.
const YIELD_TIME: Duration = Duration::from_millis(1);

/// The configuration of a [`Listener`], and its handles to the other components.
pub struct ListenerParts {
    /// The limits for connections.
    pub resource_limits: ResourceLimits,
    /// The schema that requests are validated against.
    pub schema: RequestSchema,
    /// The state that responses and health checks advertise.
    pub advertised: Arc<AdvertisedState>,
    /// Puts coroutines to sleep and schedules commands.
    pub timer: Timer,
    /// Sends requests to the event loop.
    pub event_loop: Sender<Message>,
    /// The counters of connections and messages.
    pub counters: Arc<Counters>,
}

/// The listener and the open connections that it accepted.
pub struct Listener {
    parts: ListenerParts,
    clock: Clock,
    table: Mutex<ConnectionTable>,
    /// The number of connections that sleep to yield to others.
    yielding: AtomicU32,
    closing: AtomicBool,
    waker: Mutex<Option<WaitIoWaker>>,
}

impl Listener {
    /// Creates a listener without connections. [`Listener::accept`] accepts connections from a socket.
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

    /// Whether no connection is open, apart from those that linger after their last response.
    pub fn is_empty(&self) -> bool {
        lock(&self.table).all(|entry| entry.state == ConnectionState::Lingering)
    }

    /// The number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.parts.counters.connections.get()
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        lock(&self.table).len()
    }

    /// Closes the connections that have been idle, or without a first message, for at least this long.
    pub fn close_idle(&self, idle_for: Duration) {
        lock(&self.table).close_where(CloseReason::IdleTimeout, |entry| {
            matches!(entry.state, ConnectionState::New | ConnectionState::Idle)
                && entry.since.elapsed() >= idle_for
        });
    }

    /// Closes the connections that have exceeded a timeout: the message timeout for completing a message or reading a
    /// response, the linger timeout, or the idle timeout.
    ///
    /// This limits silent clients, incomplete messages, clients that send a few bytes at a time, and connections that
    /// their clients have forgotten. A slow client that needs longer than the message timeout for one message is
    /// closed too.
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

    /// Closes all connections without an open request, even in the middle of a message. This is the last step before
    /// the program ends. The end of the program would reset connections with incomplete messages, whereas after a
    /// close their clients know that they must send the messages again.
    pub fn close_all(&self) {
        lock(&self.table).close_where(CloseReason::Completed, |entry| {
            !matches!(entry.state, ConnectionState::Lingering | ConnectionState::Serving)
        });
    }

    /// Answers the open requests of all connections with a failure.
    pub fn fail_all(&self) {
        lock(&self.table).send_to_all(&ConnectionCommand::Respond(FinalResponse::Failed));
    }

    /// Closes the listening socket after all connections in the accept queue have been accepted.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        if let Some(waker) = &*lock(&self.waker) {
            waker.wakeup();
        }
    }

    /// Sleeps so that other coroutines run. This limits clients that flood the node, and never slows down a client that
    /// sends one message at a time.
    fn yield_to_others(&self) {
        let yielding = self.yielding.fetch_add(1, Ordering::Relaxed) + 1;
        self.parts.timer.sleep(YIELD_TIME * yielding);
        self.yielding.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the context for a response. `closes_connection` tells whether the connection is closed after it.
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
