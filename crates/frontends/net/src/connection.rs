//! A connection with a write buffer. It reads and writes without blocking, and can wait for events. Parsing is left to
//! the codecs.

use crate::close_reason::CloseReason;
use crate::fair_yield::FairYield;
use crate::socket::{PeerState, ReadOutcome, Socket};
use may::io::WaitIoWaker;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The maximum size of one read, in bytes.
const READ_CHUNK_BYTES: usize = 4096;

/// Why [`Connection::fill`] stopped reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// All available bytes have been read.
    Drained,
    /// The buffer is full. The remaining bytes must be read without waiting first, because no event announces bytes that
    /// have already arrived.
    BufferFull,
    /// The peer closed its sending side.
    EndOfStream,
}

/// A connection, and the bytes that are still to be written on it.
pub struct Connection {
    socket: Socket,
    /// The write buffer.
    output: Vec<u8>,
    /// How many bytes of the write buffer have been written.
    written: usize,
}

impl Connection {
    /// Wraps an accepted connection.
    ///
    /// # Errors
    /// The connection is already broken, or can't be registered with the event loop.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        Ok(Self { socket: Socket::new(stream)?, output: Vec::new(), written: 0 })
    }

    /// Connects to an address within a timeout.
    ///
    /// # Errors
    /// The reason why no connection was made.
    pub fn connect(to: SocketAddr, timeout: Duration) -> Result<Self, CloseReason> {
        Ok(Self { socket: Socket::connect(to, timeout)?, output: Vec::new(), written: 0 })
    }

    /// Appends available bytes to the buffer, until the buffer holds `capacity` bytes.
    ///
    /// # Errors
    /// The connection broke.
    pub fn fill(&mut self, buffer: &mut Vec<u8>, capacity: usize) -> Result<ReadProgress, CloseReason> {
        loop {
            let start = buffer.len();
            if start >= capacity {
                return Ok(ReadProgress::BufferFull);
            }
            // Reads directly into the vector, because a coroutine's stack is too small for a read buffer.
            buffer.resize(start + READ_CHUNK_BYTES.min(capacity - start), 0);
            let outcome = self.socket.read(&mut buffer[start..]);
            let read = if let Ok(ReadOutcome::Bytes(read)) = outcome { read } else { 0 };
            buffer.truncate(start + read);
            match outcome? {
                ReadOutcome::Bytes(_) => {}
                ReadOutcome::WouldBlock => return Ok(ReadProgress::Drained),
                ReadOutcome::EndOfStream => return Ok(ReadProgress::EndOfStream),
            }
        }
    }

    /// The write buffer. Bytes that are appended to it are sent by [`Connection::flush`].
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Whether the write buffer is empty.
    pub fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// How many bytes of the write buffer have been written so far; zero once all have been written.
    pub fn written(&self) -> usize {
        self.written
    }

    /// Writes as much of the write buffer as the kernel accepts now.
    ///
    /// # Errors
    /// The connection broke.
    pub fn flush(&mut self) -> Result<(), CloseReason> {
        self.written += self.socket.write(&self.output[self.written..])?;
        if self.written == self.output.len() {
            self.output.clear();
            self.written = 0;
        }
        Ok(())
    }

    /// Waits until the connection is readable or writable, or its mailbox has a message.
    #[track_caller]
    pub fn wait(&self) {
        self.socket.wait();
    }

    /// Lets other connections run before this one continues. To be called by a connection that could continue at once.
    pub fn yield_to_others(&self, fair_yield: &FairYield) {
        fair_yield.yield_on(&self.socket);
    }

    /// What the peer can still do. Unread bytes do not hide this.
    pub fn peer_state(&self) -> PeerState {
        self.socket.peer_state()
    }

    /// Closes the sending side. Returns false if the connection is already broken.
    pub fn shutdown_write(&self) -> bool {
        self.socket.shutdown_write()
    }

    pub(crate) fn waker(&self) -> WaitIoWaker {
        self.socket.waker()
    }
}
