//! The listener before the table: connections are taken eagerly until it is closed.

use super::connection::Connection;
use super::{Entrance, Handle, Room, Seat, Stand, PAUSE, TURN};
use crate::messages::Heard;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::coroutine::{self, Panic};
use lynxtally_net::listener::ignore_new_connections;
use lynxtally_net::sync as wire;

use may::io::{CoIo, WaitIo};
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;
use tracing::{debug, warn};

const STACK_WORDS: usize = 0x2000;
/// After so many connections taken in one go the others get their turn.
const AT_ONCE: u32 = 16;

impl Entrance {
    /// Takes connections until the listener is to be closed.
    pub fn accept(self: &Arc<Self>, listener: TcpListener) {
        let listener = match CoIo::new(listener) {
            Ok(listener) => listener,
            Err(fault) => return warn!(%fault, "the listener can't be waited on"),
        };
        *wire::lock(&self.waker) = Some(listener.waker());
        let (mut taken, mut settled) = (0, false);
        loop {
            // Looked at first: what waits by then is still taken.
            let closing = self.closing.load(Ordering::Acquire);
            match self.make_room(false) {
                // Those that were told go as soon as they run, or after a moment of reading on.
                Room::Soon if !closing => {
                    self.alarm.sleep(PAUSE / 4);
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
                    if taken % AT_ONCE == 0 {
                        self.alarm.sleep(TURN);
                    }
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock && !closing => {
                    listener.wait_io();
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock && settled => break,
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => {
                    // What had begun before has come after this, and nothing begins any more.
                    if let Err(fault) = ignore_new_connections(listener.inner()) {
                        debug!(%fault, "connections may begin until the listener is closed");
                    }
                    settled = true;
                    self.alarm.sleep(PAUSE);
                }
                // Also while closing: what waits was taken by the system, and only the program's end gives it up.
                Err(fault) => {
                    if self.counters.accepts_failed.get() == 0 {
                        warn!(%fault, "a connection could not be taken; later ones are only counted");
                    }
                    self.counters.accepts_failed.add();
                    // For want of descriptors most likely, though the table has room.
                    self.make_room(true);
                    self.alarm.sleep(PAUSE);
                }
            }
        }
        drop(listener);
        // The owner is gone only with the program.
        let _ = self.owner.send(Heard::Closed);
    }

    fn take(self: &Arc<Self>, stream: TcpStream) {
        self.counters.connections.add();
        let line = match lynxtally_net::connection::Connection::new(stream) {
            Ok(line) => line,
            Err(fault) => {
                debug!(%fault, "a connection broke as it was taken");
                return self.counters.connection_ends.add(CloseReason::Reset);
            }
        };
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let handle = Handle::default();
        handle.attach(&line);
        let seat = Seat { handle: handle.clone(), stand: Stand::New, since: Instant::now(), told: false };
        wire::lock(&self.open).insert(number, seat);
        let entrance = self.clone();
        let work = move || {
            Connection { entrance: &entrance, handle: &handle, number, task: None, answered: false }
                .carry(line)
        };
        let entrance = self.clone();
        let failed = move |panic: Panic| {
            warn!(%panic, "a connection's coroutine failed as it ended");
            wire::lock(&entrance.open).remove(&number);
        };
        if coroutine::spawn(STACK_WORDS, work, failed).is_err() {
            wire::lock(&self.open).remove(&number);
            self.counters.connection_ends.add(CloseReason::InternalError);
        }
    }
}
