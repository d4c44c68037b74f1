//! The accept loop, which accepts connections as soon as possible until the listener is closed.

use super::connection::ClientConnection;
use super::table::ConnectionSlot;
use super::{Listener, ACCEPT_RETRY_PAUSE, YIELD_TIME};
use crate::messages::{ConnectionHandle, Message};
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection::Connection;
use lynxtally_net::coroutine::{self, Panic};
use lynxtally_net::listener::ignore_new_connections;
use lynxtally_net::sync::lock;
use may::io::{CoIo, WaitIo};
use std::io::{self, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, warn};

/// Stack size of a client connection's coroutine.
const STACK_WORDS: usize = 0x2000;
/// After this many consecutive accepts, the loop pauses so that other coroutines run.
const MAX_ACCEPTS_IN_A_ROW: u32 = 16;
/// How long the accept loop waits for evicted connections to close. They close when their coroutines run next, or
/// shortly after if they linger.
const EVICTION_PAUSE: Duration = Duration::from_millis(5);

impl Listener {
    /// Accepts connections until [`Listener::close`], then sends [`Message::ListenerClosed`].
    ///
    /// While closing, the loop still accepts the connections in the kernel's accept queue. Their handshakes are
    /// complete, so their clients may have sent requests, and closing the socket would reset them. When the queue is
    /// empty, a packet filter drops new connection attempts. Connections whose handshake had begun by then get one
    /// more `ACCEPT_RETRY_PAUSE` to reach the queue.
    pub fn accept(self: &Arc<Self>, socket: TcpListener) {
        let socket = match CoIo::new(socket) {
            Ok(socket) => socket,
            Err(error) => {
                return warn!(%error, "failed to register the listening socket for I/O; no client can connect")
            }
        };
        *lock(&self.waker) = Some(socket.waker());
        let mut accepted_in_a_row = 0;
        let mut ignores_new = false;
        loop {
            // The flag is read before `accept`, so that every connection in the queue at that time is still accepted.
            let closing = self.closing.load(Ordering::Acquire);
            if let Some(pause) = self.pause_for_slot().filter(|_| !closing) {
                self.parts.timer.sleep(pause);
                continue;
            }
            match socket.inner().accept() {
                Ok((stream, _)) => {
                    self.serve(stream);
                    accepted_in_a_row += 1;
                    if accepted_in_a_row % MAX_ACCEPTS_IN_A_ROW == 0 {
                        self.parts.timer.sleep(YIELD_TIME);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock && !closing => {
                    socket.wait_io();
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock && ignores_new => break,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if let Err(error) = ignore_new_connections(socket.inner()) {
                        debug!(%error, "failed to filter out new connections; late ones may be reset");
                    }
                    ignores_new = true;
                    self.parts.timer.sleep(ACCEPT_RETRY_PAUSE);
                }
                // The loop continues even while closing, because ending it would reset the connections in the queue.
                Err(error) => self.accept_failed(&error),
            }
        }
        drop(socket);
        // Sending fails only after the event loop has ended, and then the program ends too.
        let _ = self.parts.event_loop.send(Message::ListenerClosed);
    }

    /// Makes room in the table for one connection. Returns how long to wait if there is none yet.
    fn pause_for_slot(&self) -> Option<Duration> {
        match lock(&self.table).make_room() {
            ConnectionSlot::Available => None,
            ConnectionSlot::AfterEviction => Some(EVICTION_PAUSE),
            ConnectionSlot::NoneEvictable => Some(ACCEPT_RETRY_PAUSE),
        }
    }

    /// Handles a failed `accept`. The most likely cause is that no descriptor is left although the table is not full,
    /// so an existing connection is evicted.
    fn accept_failed(&self, error: &io::Error) {
        if self.parts.counters.accepts_failed.get() == 0 {
            warn!(%error, "failed to accept a client connection; further failures are counted, not logged");
        }
        self.parts.counters.accepts_failed.increment();
        lock(&self.table).evict_one();
        self.parts.timer.sleep(ACCEPT_RETRY_PAUSE);
    }

    /// Starts the coroutine for a client connection.
    fn serve(self: &Arc<Self>, stream: TcpStream) {
        self.parts.counters.connections.increment();
        let connection = match Connection::new(stream) {
            Ok(connection) => connection,
            Err(error) => {
                debug!(%error, "client connection broke while it was accepted");
                return self.parts.counters.connections_closed.increment(CloseReason::Reset);
            }
        };
        let handle = ConnectionHandle::default();
        handle.attach(&connection);
        let number = lock(&self.table).insert(handle.clone());
        let listener = self.clone();
        let serve = move || ClientConnection::new(&listener, &handle, number).run(connection);
        let listener = self.clone();
        let on_panic = move |panic: Panic| {
            warn!(connection = number, %panic, "coroutine of a client connection panicked while closing it");
            lock(&listener.table).remove(number);
        };
        if coroutine::spawn(STACK_WORDS, serve, on_panic).is_err() {
            lock(&self.table).remove(number);
            self.parts.counters.connections_closed.increment(CloseReason::InternalError);
        }
    }
}
