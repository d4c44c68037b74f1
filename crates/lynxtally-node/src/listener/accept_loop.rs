//! The accept loop: connections are accepted eagerly until the listener is closed.

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

const STACK_WORDS: usize = 0x2000;
/// After so many connections accepted in one go the others run.
const MAX_ACCEPTS_IN_A_ROW: u32 = 16;
/// The pause for evicted connections to close: they do as soon as they run, or after a moment of reading on.
const EVICTION_PAUSE: Duration = Duration::from_millis(5);

impl Listener {
    /// Accepts connections until [`Listener::close`], then reports that the socket is closed.
    ///
    /// While closing, what waits in the system's queue is still accepted: the system has accepted those connections,
    /// so requests on them count as read, and closing the socket over them would reset them. Only when the queue is
    /// empty, new connections are ignored; those whose handshake was under way get one more pause to arrive.
    pub fn accept(self: &Arc<Self>, socket: TcpListener) {
        let socket = match CoIo::new(socket) {
            Ok(socket) => socket,
            Err(error) => return warn!(%error, "the listener can't be registered with the event loop"),
        };
        *lock(&self.waker) = Some(socket.waker());
        let mut accepted_in_a_row = 0;
        let mut ignores_new = false;
        loop {
            // Read before the look at the queue: what waits by then is still accepted.
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
                        debug!(%error, "connections may begin until the listener is closed");
                    }
                    ignores_new = true;
                    self.parts.timer.sleep(ACCEPT_RETRY_PAUSE);
                }
                // Also while closing: only the end of the program gives up what waits in the queue.
                Err(error) => self.accept_failed(&error),
            }
        }
        drop(socket);
        // The event loop is gone only where the program ends.
        let _ = self.parts.event_loop.send(Message::ListenerClosed);
    }

    /// How long to wait for room in the table, where there is none.
    fn pause_for_slot(&self) -> Option<Duration> {
        match lock(&self.table).make_room() {
            ConnectionSlot::Available => None,
            ConnectionSlot::AfterEviction => Some(EVICTION_PAUSE),
            ConnectionSlot::NoneEvictable => Some(ACCEPT_RETRY_PAUSE),
        }
    }

    /// There is no descriptor left, most likely, although the table has room.
    fn accept_failed(&self, error: &io::Error) {
        if self.parts.counters.accepts_failed.get() == 0 {
            warn!(%error, "a connection could not be accepted; later ones are only counted");
        }
        self.parts.counters.accepts_failed.increment();
        lock(&self.table).evict_one();
        self.parts.timer.sleep(ACCEPT_RETRY_PAUSE);
    }

    /// Starts the coroutine of a connection.
    fn serve(self: &Arc<Self>, stream: TcpStream) {
        self.parts.counters.connections.increment();
        let connection = match Connection::new(stream) {
            Ok(connection) => connection,
            Err(error) => {
                debug!(%error, "a connection broke as it was accepted");
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
            warn!(%panic, "a connection's coroutine failed while closing");
            lock(&listener.table).remove(number);
        };
        if coroutine::spawn(STACK_WORDS, serve, on_panic).is_err() {
            lock(&self.table).remove(number);
            self.parts.counters.connections_closed.increment(CloseReason::InternalError);
        }
    }
}
