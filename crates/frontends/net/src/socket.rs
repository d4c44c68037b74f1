//! A non-blocking TCP socket, which several coroutines may read and write, and on which a coroutine can wait for events.

use crate::close_reason::CloseReason;
use crate::sync::assert_no_lock_held;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// The shortest connect timeout. `may` treats a timeout of zero as no timeout.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(1);

/// The result of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// This many bytes were read.
    Bytes(usize),
    /// No bytes are available yet.
    WouldBlock,
    /// The peer closed its sending side.
    EndOfStream,
}

/// What the peer of a connection can still do. Unread bytes do not hide this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// The peer can send and receive.
    Open,
    /// The peer closed its sending side. It may wait for responses, or it may have closed the connection; a write tells.
    SendingClosed,
    /// The connection was reset or closed in both directions: the peer receives nothing more.
    Gone,
}

/// A TCP socket.
pub struct Socket {
    stream: CoIo<TcpStream>,
}

impl Socket {
    /// Wraps an accepted connection. Small writes are sent without delay (`TCP_NODELAY`).
    ///
    /// # Errors
    /// The connection is already broken, or can't be registered with the event loop.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let stream = CoIo::new(stream).map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Self { stream })
    }

    /// Connects to an address within a timeout.
    ///
    /// # Errors
    /// The reason why no connection was made.
    ///
    /// # Panics
    /// The caller holds a lock of [`crate::sync`].
    #[track_caller]
    pub fn connect(to: SocketAddr, timeout: Duration) -> Result<Self, CloseReason> {
        assert_no_lock_held();
        let connected = may::net::TcpStream::connect_timeout(&to, timeout.max(MIN_CONNECT_TIMEOUT));
        let connected = connected.map_err(|error| CloseReason::from_connect_error(&error))?;
        // Registers the same socket again: the new registration has no pending events of the connect.
        let stream =
            connected.inner().try_clone().map_err(|error| CloseReason::from_connect_error(&error))?;
        drop(connected);
        Self::new(stream).map_err(|error| CloseReason::from_connect_error(&error))
    }

    /// Reads the bytes that are available, at most as many as fit in the buffer.
    ///
    /// # Errors
    /// The connection broke.
    pub fn read(&self, buffer: &mut [u8]) -> Result<ReadOutcome, CloseReason> {
        loop {
            match self.stream.inner().read(buffer) {
                Ok(0) => return Ok(ReadOutcome::EndOfStream),
                Ok(bytes) => return Ok(ReadOutcome::Bytes(bytes)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(ReadOutcome::WouldBlock),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(CloseReason::from_io_error(&error)),
            }
        }
    }

    /// Writes as many bytes as the kernel accepts now, and returns how many that were.
    ///
    /// # Errors
    /// The connection broke before any byte was accepted; see [`write_available`].
    pub fn write(&self, bytes: &[u8]) -> Result<usize, CloseReason> {
        write_available(&mut self.stream.inner(), bytes)
    }

    /// Waits until the socket is readable or writable, or its waker is used.
    ///
    /// # Panics
    /// The caller holds a lock of [`crate::sync`].
    #[track_caller]
    pub fn wait(&self) {
        assert_no_lock_held();
        self.stream.wait_io();
    }

    /// A handle that wakes the coroutine that waits on this socket.
    pub fn waker(&self) -> WaitIoWaker {
        self.stream.waker()
    }

    /// What the peer can still do, as far as the kernel knows. Reading does not tell while there are unread bytes: they
    /// stay readable after the peer has closed or reset the connection.
    pub fn peer_state(&self) -> PeerState {
        let mut polled = [PollFd::new(self.stream.inner(), PollFlags::RDHUP)];
        // A failure, such as an interruption by a signal, says nothing about the peer.
        if poll(&mut polled, Some(&Timespec::default())).is_err() {
            return PeerState::Open;
        }
        let events = polled[0].revents();
        if events.intersects(PollFlags::ERR | PollFlags::HUP) {
            PeerState::Gone
        } else if events.contains(PollFlags::RDHUP) {
            PeerState::SendingClosed
        } else {
            PeerState::Open
        }
    }

    /// Whether the connection is broken, such as by a reset. A half-closed connection is not broken.
    pub fn is_broken(&self) -> bool {
        self.peer_state() == PeerState::Gone
    }

    /// The number of bytes that were received and not read yet.
    pub fn unread_bytes(&self) -> u64 {
        rustix::io::ioctl_fionread(self.stream.inner()).unwrap_or(0)
    }

    /// Closes the sending side. Returns false if the connection is already broken.
    pub fn shutdown_write(&self) -> bool {
        self.stream.inner().shutdown(Shutdown::Write).is_ok()
    }

    /// Limits the kernel's send and receive buffers to about `bytes` each.
    pub fn limit_buffers(&self, bytes: usize) {
        let socket = socket2::SockRef::from(self.stream.inner());
        // A failure is ignored: limits of the operating system take precedence.
        let _ = socket.set_recv_buffer_size(bytes).and(socket.set_send_buffer_size(bytes));
    }

    /// Makes closing the socket reset the connection, so that the peer can't mistake a partly sent message for a complete
    /// one.
    pub fn reset_on_close(&self) {
        // A failure is ignored: it means that the connection is already gone.
        let _ = socket2::SockRef::from(self.stream.inner()).set_linger(Some(Duration::ZERO));
    }
}

/// Writes as many bytes as a non-blocking writer accepts now, and returns how many that were.
///
/// If the writer fails after it has accepted some bytes, their count is returned and the next call returns the error: the
/// peer may have acted on these bytes. If the error replaced the count, a partly sent request would look unsent and might
/// be sent again to another server. No error is lost, because a connection that failed once fails every later write.
///
/// # Errors
/// The writer failed before it accepted any byte.
pub fn write_available(to: &mut impl Write, bytes: &[u8]) -> Result<usize, CloseReason> {
    let mut written = 0;
    while written < bytes.len() {
        let failure = match to.write(&bytes[written..]) {
            Ok(0) => CloseReason::Reset,
            Ok(more) => {
                written += more;
                continue;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) => CloseReason::from_io_error(&error),
        };
        if written == 0 {
            return Err(failure);
        }
        break;
    }
    Ok(written)
}
