//! A TCP socket that several coroutines may read and write without blocking; one that has nothing left to do waits
//! on it.

use crate::close_reason::CloseReason;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// `may` takes a connect timeout of zero for none at all, so no timeout is shorter than this.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(1);

/// What one read found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// So many bytes.
    Bytes(usize),
    /// Nothing is there yet.
    WouldBlock,
    /// The peer sends no more.
    EndOfStream,
}

/// A TCP socket.
pub struct Socket {
    stream: CoIo<TcpStream>,
}

impl Socket {
    /// Takes an accepted connection over. Small writes are sent at once (`TCP_NODELAY`).
    ///
    /// # Errors
    /// The connection is broken already.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let stream = CoIo::new(stream).map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Self { stream })
    }

    /// Connects within the given time.
    ///
    /// # Errors
    /// Why no connection was made.
    pub fn connect(to: SocketAddr, timeout: Duration) -> Result<Self, CloseReason> {
        let connected = may::net::TcpStream::connect_timeout(&to, timeout.max(MIN_CONNECT_TIMEOUT));
        let connected = connected.map_err(|error| CloseReason::from_connect_error(&error))?;
        // The same socket, registered anew with the event loop: this registration has seen no events of the connect.
        let stream =
            connected.inner().try_clone().map_err(|error| CloseReason::from_connect_error(&error))?;
        drop(connected);
        Self::new(stream).map_err(|error| CloseReason::from_connect_error(&error))
    }

    /// Reads what is there, as far as the buffer has room.
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

    /// Writes as much as the system takes now, and returns how many bytes that was.
    ///
    /// # Errors
    /// The connection broke before any byte was taken; see [`write_available`].
    pub fn write(&self, bytes: &[u8]) -> Result<usize, CloseReason> {
        write_available(&mut self.stream.inner(), bytes)
    }

    /// Waits until something can be read or written, or the waker is used.
    pub fn wait(&self) {
        self.stream.wait_io();
    }

    /// Wakes the coroutine that waits on this socket.
    pub fn waker(&self) -> WaitIoWaker {
        self.stream.waker()
    }

    /// Whether the peer is known to be gone altogether.
    pub fn is_broken(&self) -> bool {
        !matches!(self.stream.inner().take_error(), Ok(None))
    }

    /// Closes the writing side; false where the connection is gone altogether.
    pub fn shutdown_write(&self) -> bool {
        self.stream.inner().shutdown(Shutdown::Write).is_ok()
    }

    /// Limits the system's send and receive buffers to about so many bytes each.
    pub fn limit_buffers(&self, bytes: usize) {
        let socket = socket2::SockRef::from(self.stream.inner());
        // Where the system has limits of its own, those hold.
        let _ = socket.set_recv_buffer_size(bytes).and(socket.set_send_buffer_size(bytes));
    }

    /// From now on closing the socket resets the connection, so that the peer can't take what was sent on it for a
    /// complete message.
    pub fn reset_on_close(&self) {
        // Where this fails, the connection is gone already.
        let _ = socket2::SockRef::from(self.stream.inner()).set_linger(Some(Duration::ZERO));
    }
}

/// Writes as much as a non-blocking writer takes now, and returns how many bytes that was.
///
/// Bytes written before a failure are counted, and the failure is left to the next call, because the peer may have acted on
/// them. Were the count lost with the error, a request sent in part would look like one of which nothing was sent, and
/// might be sent a second time elsewhere. A connection that failed once fails every later write, so nothing is hidden.
///
/// # Errors
/// The writer failed before it took any byte.
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
