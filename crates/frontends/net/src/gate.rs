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

/// Instructions of the system's packet filter: load an octet, mask it, compare it, end with a verdict.
const LOAD: u16 = 0x30;
const AND: u16 = 0x54;
const IS: u16 = 0x15;
const VERDICT: u16 = 0x06;
/// Where a TCP segment's flags stand, and those that tell a request for a connection from what follows it.
const FLAGS_AT: u32 = 13;
const SYN: u32 = 0x02;
const SYN_AND_ACK: u32 = 0x12;

/// From now on no connection begins at a listener, and those whose beginning is under way still come to it: requests
/// for one are not answered, so their side asks again in a second, when the listener is closed and it is refused.
/// Else a connection may begin between the last look at what waits and the closing: it was taken by the system, so
/// what is written to it counts as read, and the closing resets it. Harms who asks in that moment: it hears of the
/// refusal a second later. Where the system knows no packet filters that gap stays.
pub fn begin_none(listener: &TcpListener) -> io::Result<()> {
    use socket2::{SockFilter, SockRef};
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(LOAD, 0, 0, FLAGS_AT),
        SockFilter::new(AND, 0, 0, SYN_AND_ACK),
        SockFilter::new(IS, 0, 1, SYN),
        SockFilter::new(VERDICT, 0, 0, 0),
        SockFilter::new(VERDICT, 0, 0, u32::MAX),
    ])
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
