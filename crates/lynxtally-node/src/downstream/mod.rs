//! Calls to the downstream dependency that all nodes share: a pool of connections, one call at a time on each. A call is
//! made once; whether it is made again is decided elsewhere.

mod connection;

use crate::counters::Counters;
use crate::messages::{CallEnd, Message};
use connection::CallConnection;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::coroutine::{self, Panic};
use lynxtally_net::mailbox::Mailbox;
use lynxtally_net::sync::lock;
use may::sync::mpsc::Sender;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::error;

/// An idle connection is closed after this. The dependency closes its side after twice as long: ours goes first, so
/// that none is closed while a call is written to it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection carries the next call once it has been quiet for so long after a response.
///
/// The failure this guards against: something comes late behind a response (a copy of it, noise, a close) and is taken for
/// the response to the next call. In the quiet time it is seen for what it is, and the connection is closed. The price is
/// a few connections more.
const QUIET_TIME: Duration = Duration::from_millis(20);
const STACK_WORDS: usize = 0x2000;

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The id of the request that it is made for.
    pub id: String,
    /// Which of the node's calls this is.
    pub number: u64,
    /// When it times out. It is not begun after that, however long its way to the connection took.
    pub deadline: Instant,
    /// What the executor gave for it.
    pub body: Vec<u8>,
}

/// What a connection of the pool is told.
#[derive(Clone, Debug)]
pub enum CallCommand {
    /// Make this call.
    Make(Call),
    /// Cancel the call with this number.
    Cancel(u64),
    /// Close if there is nothing to do.
    Close,
}

/// A connection of the pool, as the event loop reaches it.
pub type CallHandle = Arc<Mailbox<CallCommand>>;

/// A connection that waits for its next call.
struct IdleConnection {
    since: Instant,
    handle: CallHandle,
}

/// The downstream dependency, and the pool of connections to it.
pub struct DownstreamClient {
    address: Mutex<Option<SocketAddr>>,
    /// The longest idle first.
    idle: Mutex<Vec<IdleConnection>>,
    event_loop: Sender<Message>,
    counters: Arc<Counters>,
}

impl DownstreamClient {
    /// A client without connections. Without an address, no call is ever executed.
    pub fn new(address: Option<SocketAddr>, event_loop: Sender<Message>, counters: Arc<Counters>) -> Self {
        Self { address: Mutex::new(address), idle: Mutex::default(), event_loop, counters }
    }

    /// The dependency is at this address from now on. Calls in flight end where they began.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        *lock(&self.address) = address;
        for idle in lock(&self.idle).drain(..) {
            idle.handle.push(CallCommand::Close);
        }
    }

    /// Starts a call on a pooled connection or on a new one. Its end comes by message. None where no coroutine could be
    /// started: the call was not executed then, and no message comes.
    pub fn start_call(self: &Arc<Self>, call: Call) -> Option<CallHandle> {
        self.counters.calls.increment();
        while let Some(handle) = self.take_quiet_connection() {
            // A connection that ended meanwhile has closed its mailbox.
            if handle.push(CallCommand::Make(call.clone())) {
                return Some(handle);
            }
        }
        self.start_on_new_connection(call)
    }

    /// Takes the connection that has been idle longest out of the pool, if it has been quiet for long enough.
    fn take_quiet_connection(&self) -> Option<CallHandle> {
        let mut idle = lock(&self.idle);
        let is_quiet = idle.first().is_some_and(|longest| longest.since.elapsed() >= QUIET_TIME);
        is_quiet.then(|| idle.remove(0).handle)
    }

    fn start_on_new_connection(self: &Arc<Self>, call: Call) -> Option<CallHandle> {
        let handle = CallHandle::default();
        handle.push(CallCommand::Make(call.clone()));
        let (client, own_handle) = (self.clone(), handle.clone());
        let serve = move || CallConnection::new(&client, &own_handle).serve();
        let event_loop = self.event_loop.clone();
        let Call { id, number, .. } = call;
        let on_panic = move |panic: Panic| {
            error!(id, %panic, "a call's coroutine failed");
            let end = CallEnd::NoResponse { reason: CloseReason::InternalError, written: true };
            // The event loop outlives its calls.
            let _ = event_loop.send(Message::CallEnded { id, number, end });
        };
        coroutine::spawn(STACK_WORDS, serve, on_panic).ok().map(|_| handle)
    }

    /// Closes the connections that have been idle for long.
    pub fn close_idle(&self) {
        lock(&self.idle).retain(|idle| {
            let keep = idle.since.elapsed() < IDLE_TIMEOUT;
            if !keep {
                idle.handle.push(CallCommand::Close);
            }
            keep
        });
    }
}
