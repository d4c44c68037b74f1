//! The client for the downstream dependency that all nodes share: a pool of connections, each with one call at a
//! time.
//!
//! This module makes each call once. Retries are decided by the scheduler.

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

/// An idle connection is closed after this time. The dependency closes idle connections after twice this time. As the
/// node closes first, the dependency doesn't close a connection while a call is being written to it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The minimum time between a response and the next call on the same connection.
///
/// Late bytes after a response, such as a duplicate of it, could otherwise be read as the response to the next call.
/// Bytes or a close that arrive during the quiet time lead to closing the connection. The quiet time costs a few
/// additional connections.
const QUIET_TIME: Duration = Duration::from_millis(20);
/// Stack size of a connection's coroutine.
const STACK_WORDS: usize = 0x2000;

/// One downstream call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The id of the request that the call is made for.
    pub id: String,
    /// The number of the call, unique on this node.
    pub number: u64,
    /// When the call times out. A call that reaches its connection after this time is not written.
    pub deadline: Instant,
    /// The body, from the executor.
    pub body: Vec<u8>,
}

/// A command to a connection of the pool.
#[derive(Clone, Debug)]
pub enum CallCommand {
    /// Make this call.
    Make(Call),
    /// Cancel the call with this number.
    Cancel(u64),
    /// Close the connection if it is idle.
    Close,
}

/// The mailbox through which the event loop sends commands to a connection of the pool.
pub type CallHandle = Arc<Mailbox<CallCommand>>;

/// A pooled connection that waits for its next call.
struct IdleConnection {
    since: Instant,
    handle: CallHandle,
}

/// The client for the downstream dependency, with its connection pool.
pub struct DownstreamClient {
    address: Mutex<Option<SocketAddr>>,
    /// The idle connections, the longest idle first.
    idle: Mutex<Vec<IdleConnection>>,
    event_loop: Sender<Message>,
    counters: Arc<Counters>,
}

impl DownstreamClient {
    /// Creates a client without connections. If there is no address, every call fails without being executed.
    pub fn new(address: Option<SocketAddr>, event_loop: Sender<Message>, counters: Arc<Counters>) -> Self {
        Self { address: Mutex::new(address), idle: Mutex::default(), event_loop, counters }
    }

    /// Makes new calls to this address from now on. Calls in flight complete at the previous address.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        *lock(&self.address) = address;
        for idle in lock(&self.idle).drain(..) {
            idle.handle.push(CallCommand::Close);
        }
    }

    /// Starts a call on a pooled connection or on a new one. The end of the call is sent to the event loop as
    /// [`Message::CallEnded`]. Returns `None` if no coroutine could be started; the call is then not executed, and no
    /// message is sent.
    pub fn start_call(self: &Arc<Self>, call: Call) -> Option<CallHandle> {
        self.counters.calls.increment();
        while let Some(handle) = self.take_quiet_connection() {
            // The push fails if the connection has ended and closed its mailbox.
            if handle.push(CallCommand::Make(call.clone())) {
                return Some(handle);
            }
        }
        self.start_on_new_connection(call)
    }

    /// Removes the longest idle connection from the pool, if it has been idle for [`QUIET_TIME`].
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
            error!(id, %panic, "coroutine of a downstream call panicked; the call may have been executed");
            let end = CallEnd::NoResponse { reason: CloseReason::InternalError, written: true };
            // Sending fails only after the event loop has ended, and then the program ends too.
            let _ = event_loop.send(Message::CallEnded { id, number, end });
        };
        coroutine::spawn(STACK_WORDS, serve, on_panic).ok().map(|_| handle)
    }

    /// Closes the connections that have been idle for `IDLE_TIMEOUT`.
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
