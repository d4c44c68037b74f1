//! Listeners: connections are accepted until the set of listeners is closed.

use crate::sync::lock;
use crate::timer::Timer;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use tracing::warn;

/// Connections that wait to be accepted, at most.
const BACKLOG: i32 = 1024;
/// The pause after a connection could not be accepted: with no descriptor left, accepting fails at once each time.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How many such pauses [`ListenerSet::close`] waits for the listeners to be closed.
const MAX_CLOSE_PAUSES: usize = 10;

/// The listeners of a frontend.
pub struct ListenerSet {
    closing: AtomicBool,
    closed: AtomicUsize,
    wakers: Mutex<Vec<WaitIoWaker>>,
    timer: Timer,
}

/// Listens for connections on an address that nobody else listens on. What is left of connections of an earlier
/// process on the same address does not prevent that.
///
/// # Errors
/// The address is in use, or is not this machine's.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Instructions of the classic BPF packet filter: load a byte, mask it, skip ahead if it is not equal, return.
const BPF_LOAD_BYTE: u16 = 0x30;
const BPF_AND: u16 = 0x54;
const BPF_JUMP_IF_EQUAL: u16 = 0x15;
const BPF_RETURN: u16 = 0x06;
/// What the filter returns: how many bytes of the segment to keep.
const DROP_SEGMENT: u32 = 0;
const KEEP_SEGMENT: u32 = u32::MAX;
/// Where a TCP segment's flags stand, and those that tell a request for a connection from what follows it.
const TCP_FLAGS_OFFSET: u32 = 13;
const TCP_SYN: u32 = 0x02;
const TCP_SYN_AND_ACK: u32 = 0x12;

/// Ignores new connections at a listener that is about to be closed, while handshakes under way still complete.
///
/// The failure this guards against: a connection is established between the last `accept` and the closing. The
/// system has accepted it, so what the client wrote counts as read, and the closing resets it: a request without a
/// response. The guard drops requests for a connection (SYN) before the last `accept`. The client's system repeats
/// its SYN after a second, when the listener is closed, and the client sees the refusal that late; that is its cost.
///
/// # Errors
/// The system has no packet filters; the gap stays then.
pub fn ignore_new_connections(listener: &TcpListener) -> io::Result<()> {
    use socket2::{SockFilter, SockRef};
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(BPF_LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
        SockFilter::new(BPF_AND, 0, 0, TCP_SYN_AND_ACK),
        SockFilter::new(BPF_JUMP_IF_EQUAL, 0, 1, TCP_SYN),
        SockFilter::new(BPF_RETURN, 0, 0, DROP_SEGMENT),
        SockFilter::new(BPF_RETURN, 0, 0, KEEP_SEGMENT),
    ])
}

impl ListenerSet {
    /// A set without listeners.
    pub fn new(timer: Timer) -> Self {
        Self { closing: AtomicBool::new(false), closed: AtomicUsize::new(0), wakers: Mutex::default(), timer }
    }

    /// Accepts connections until the set is closed. Runs on a coroutine of its own.
    pub fn accept(&self, listener: TcpListener, on_accepted: impl Fn(TcpStream, SocketAddr)) {
        let Ok(listener) = CoIo::new(listener) else {
            return warn!("the listener can't be registered with the event loop");
        };
        lock(&self.wakers).push(listener.waker());
        while !self.closing.load(Ordering::Acquire) {
            match listener.inner().accept() {
                Ok((stream, from)) => on_accepted(stream, from),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    listener.wait_io();
                }
                Err(error) => {
                    warn!(%error, "a connection could not be accepted");
                    self.timer.sleep(ACCEPT_RETRY_PAUSE);
                }
            }
        }
        drop(listener);
        self.closed.fetch_add(1, Ordering::AcqRel);
    }

    /// Accepts no connections any more, and waits until all listeners are closed. Blocks its thread, so it is not for
    /// coroutines.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        lock(&self.wakers).iter().for_each(WaitIoWaker::wakeup);
        for _ in 0..MAX_CLOSE_PAUSES {
            if lock(&self.wakers).len() == self.closed.load(Ordering::Acquire) {
                return;
            }
            std::thread::sleep(ACCEPT_RETRY_PAUSE);
        }
    }
}
