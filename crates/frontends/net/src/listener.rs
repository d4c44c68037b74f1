//! Listening sockets that accept connections until they are closed together.

use crate::sync::lock;
use crate::timer::Timer;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use tracing::warn;

/// The maximum number of established connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// The pause after a failed `accept`. Without it the loop would spin when no file descriptor is left, because each
/// `accept` then fails at once.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// After this many accepts without a wait, a listener sleeps so that other coroutines run. A client that opens connections
/// at full speed would otherwise keep the worker thread.
const MAX_ACCEPTS_IN_A_ROW: u32 = 16;
/// How long it sleeps then.
const YIELD_TIME: Duration = Duration::from_millis(1);
/// The longest time that [`ListenerSet::close`] waits until all listeners are closed, in pauses.
const MAX_CLOSE_PAUSES: usize = 10;

/// The listeners of a frontend, which are closed together.
pub struct ListenerSet {
    closing: AtomicBool,
    /// The number of listeners that are closed.
    closed: AtomicUsize,
    /// One for each listener, open or closed.
    wakers: Mutex<Vec<WaitIoWaker>>,
    timer: Timer,
}

/// Listens for connections on an address. Connections of an earlier process on the same address that are still in
/// TIME_WAIT do not prevent this (`SO_REUSEADDR`).
///
/// # Errors
/// Another process listens on the address, or it is not an address of this machine.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

// Opcodes of the classic BPF packet filter: load a byte, mask it, skip the next instruction if it is not equal, return.
const BPF_LOAD_BYTE: u16 = 0x30;
const BPF_AND: u16 = 0x54;
const BPF_JUMP_IF_EQUAL: u16 = 0x15;
const BPF_RETURN: u16 = 0x06;
// Return values of the filter: how many bytes of the segment to keep.
const DROP_SEGMENT: u32 = 0;
const KEEP_SEGMENT: u32 = u32::MAX;
// The offset of the flags in a TCP header, and the flags that distinguish the first segment of a connection (SYN without
// ACK) from all later ones.
const TCP_FLAGS_OFFSET: u32 = 13;
const TCP_SYN: u32 = 0x02;
const TCP_SYN_AND_ACK: u32 = 0x12;

/// Drops new connection attempts at a listener that is about to be closed. Handshakes that have begun still complete.
///
/// Without this, the kernel can establish a connection between the last `accept` and the closing of the listener. The
/// client may have sent a request on it, and closing the listener resets the connection, so that the request gets no
/// response. To be called before the last `accept`: from then on the SYN segments of new connections are dropped. The
/// cost is that such a client sees its connection refused only when its kernel repeats the SYN, after one second.
///
/// # Errors
/// The operating system has no packet filters. Connections can then be reset as described.
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
    /// Creates a set without listeners.
    pub fn new(timer: Timer) -> Self {
        Self { closing: AtomicBool::new(false), closed: AtomicUsize::new(0), wakers: Mutex::default(), timer }
    }

    /// Accepts connections until the set is closed. Each listener needs a coroutine of its own for this.
    pub fn accept(&self, listener: TcpListener, on_accepted: impl Fn(TcpStream, SocketAddr)) {
        let listener = match CoIo::new(listener) {
            Ok(listener) => listener,
            Err(error) => {
                return warn!(%error, "can't register listener with event loop; it accepts no connections");
            }
        };
        lock(&self.wakers).push(listener.waker());
        let mut accepted_in_a_row = 0;
        while !self.closing.load(Ordering::Acquire) {
            match listener.inner().accept() {
                Ok((stream, from)) => {
                    on_accepted(stream, from);
                    accepted_in_a_row += 1;
                    if accepted_in_a_row % MAX_ACCEPTS_IN_A_ROW == 0 {
                        self.timer.sleep(YIELD_TIME);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    accepted_in_a_row = 0;
                    listener.wait_io();
                }
                Err(error) => {
                    warn!(%error, "can't accept a connection; retrying after a pause");
                    self.timer.sleep(ACCEPT_RETRY_PAUSE);
                }
            }
        }
        drop(listener);
        self.closed.fetch_add(1, Ordering::AcqRel);
    }

    /// Stops accepting connections, and waits for a limited time until all listeners are closed. Blocks the calling thread,
    /// so it must not be called on a coroutine.
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
