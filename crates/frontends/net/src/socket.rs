//! A connection that may be read and written from several coroutines without waiting; who has nothing left to do
//! waits on it.

use crate::end::End;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// What one read found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Got {
    /// So many octets.
    Octets(usize),
    /// Nothing is there yet.
    Nothing,
    /// The other side sends no more.
    End,
}

/// A connection over TCP.
pub struct Socket {
    stream: CoIo<TcpStream>,
}

impl Socket {
    /// Takes a connection over.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let stream = CoIo::new(stream).map_err(|fault| io::Error::other(fault.to_string()))?;
        Ok(Self { stream })
    }

    /// Connects within the given time.
    pub fn connect(to: SocketAddr, within: Duration) -> Result<Self, End> {
        let made = may::net::TcpStream::connect_timeout(&to, within.max(Duration::from_millis(1)));
        let made = made.map_err(|fault| End::unmade(&fault))?;
        // The same socket under a waiter of its own: this end of it knows nothing of what came before.
        let stream = made.inner().try_clone().map_err(|fault| End::unmade(&fault))?;
        drop(made);
        Self::new(stream).map_err(|fault| End::unmade(&fault))
    }

    /// Reads what is there, no more than there is room for.
    pub fn read(&self, into: &mut [u8]) -> Result<Got, End> {
        loop {
            match self.stream.inner().read(into) {
                Ok(0) => return Ok(Got::End),
                Ok(octets) => return Ok(Got::Octets(octets)),
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => return Ok(Got::Nothing),
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                Err(fault) => return Err(End::of(&fault)),
            }
        }
    }

    /// Writes as much as goes; tells how much that was.
    pub fn write(&self, octets: &[u8]) -> Result<usize, End> {
        let mut written = 0;
        while written < octets.len() {
            match self.stream.inner().write(&octets[written..]) {
                Ok(0) => return Err(End::Reset),
                Ok(n) => written += n,
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => break,
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                Err(fault) => return Err(End::of(&fault)),
            }
        }
        Ok(written)
    }

    /// Waits until something can be read or written, or the waiter is woken.
    pub fn wait(&self) {
        self.stream.wait_io();
    }

    /// What wakes who waits on it.
    pub fn waker(&self) -> WaitIoWaker {
        self.stream.waker()
    }

    /// Whether the other side is known to be gone altogether.
    pub fn broken(&self) -> bool {
        !matches!(self.stream.inner().take_error(), Ok(None))
    }

    /// Ends the writing side; false where the connection is gone altogether.
    pub fn shutdown(&self) -> bool {
        self.stream.inner().shutdown(Shutdown::Write).is_ok()
    }

    /// The system holds no more than about so many octets for it, each way.
    pub fn bound(&self, octets: usize) {
        let socket = socket2::SockRef::from(self.stream.inner());
        // Where the system has bounds of its own, those hold.
        let _ = socket.set_recv_buffer_size(octets).and(socket.set_send_buffer_size(octets));
    }

    /// From now on its closing breaks it off, so that nothing sent on it can look whole.
    pub fn break_off(&self) {
        // Where that can't be had, the connection is gone already.
        let _ = socket2::SockRef::from(self.stream.inner()).set_linger(Some(Duration::ZERO));
    }
}
