//! The listener before the table: connections are taken eagerly until it is closed.

use super::connection::Connection;
use super::{Entrance, Handle, Room, Seat, Stand, PAUSE};
use crate::heard::Heard;
use lynxtally_wire::end::End;
use lynxtally_wire::line::{self as wire, Line};
use may::io::{CoIo, WaitIo};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;
use tracing::{debug, warn};

const STACK_WORDS: usize = 0x2000;
/// Connections that wait to be taken, at most.
const BACKLOG: i32 = 1024;
/// After so many connections taken in one go the others get their turn.
const TURN: u32 = 16;

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
    /// Takes connections until the listener is to be closed.
    pub fn accept(self: &Arc<Self>, listener: TcpListener) {
        let listener = match CoIo::new(listener) {
            Ok(listener) => listener,
            Err(fault) => return warn!(%fault, "the listener can't be waited on"),
        };
        *wire::lock(&self.waker) = Some(listener.waker());
        let mut taken = 0;
        loop {
            // Looked at first: what waits by then is still taken.
            let closing = self.closing.load(Ordering::Acquire);
            match self.make_room() {
                Room::Soon if !closing => {
                    may::coroutine::yield_now();
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
                    if taken % TURN == 0 {
                        may::coroutine::yield_now();
                    }
                }
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
        let seat = Seat { handle: handle.clone(), stand: Stand::New, since: Instant::now(), told: false };
        wire::lock(&self.open).insert(number, seat);
        let entrance = self.clone();
        let work =
            move || Connection { entrance: &entrance, handle: &handle, number, task: None }.carry(line);
        let entrance = self.clone();
        let failed = move |text: String| {
            warn!(text, "a connection's coroutine failed as it ended");
            wire::lock(&entrance.open).remove(&number);
        };
        if wire::spawn(STACK_WORDS, work, failed).is_err() {
            wire::lock(&self.open).remove(&number);
            self.counters.connection_ends.add(End::Failed);
        }
    }
}
