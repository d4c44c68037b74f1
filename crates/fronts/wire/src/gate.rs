//! Listeners: connections are taken until the gate is closed.

use crate::alarm::Alarm;
use crate::line::lock;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use tracing::warn;

/// Connections that wait to be taken, at most.
const BACKLOG: i32 = 1024;
/// The pause after a connection could not be taken: a full table of descriptors must not be spun on.
const PAUSE: Duration = Duration::from_millis(20);
/// How many such pauses the closing of listeners is waited for.
const CLOSINGS: usize = 10;

/// The listeners of a front.
pub struct Gate {
    closing: AtomicBool,
    closed: AtomicUsize,
    wakers: Mutex<Vec<WaitIoWaker>>,
    alarm: Alarm,
}

/// Listens for connections on an address that nobody else listens on.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

impl Gate {
    /// An open gate without listeners.
    pub fn new(alarm: Alarm) -> Self {
        Self { closing: AtomicBool::new(false), closed: AtomicUsize::new(0), wakers: Mutex::default(), alarm }
    }

    /// Takes connections from a coroutine until the gate is closed.
    pub fn accept(&self, listener: TcpListener, take: impl Fn(TcpStream, SocketAddr)) {
        let Ok(listener) = CoIo::new(listener) else { return warn!("the listener can't be waited on") };
        lock(&self.wakers).push(listener.waker());
        while !self.closing.load(Ordering::Acquire) {
            match listener.inner().accept() {
                Ok((stream, from)) => take(stream, from),
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

    /// Takes no connections any more, and waits until nobody listens. Not for coroutines.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        lock(&self.wakers).iter().for_each(WaitIoWaker::wakeup);
        for _ in 0..CLOSINGS {
            if lock(&self.wakers).len() == self.closed.load(Ordering::Acquire) {
                return;
            }
            std::thread::sleep(PAUSE);
        }
    }
}
