//! A connection with a write buffer: it reads what is there, writes what can be written, and waits. What the bytes
//! mean is for the codecs to say.

use crate::close_reason::CloseReason;
use crate::fair_yield::FairYield;
use crate::socket::{ReadOutcome, Socket};
use may::io::WaitIoWaker;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What one read takes at most, in bytes.
const READ_CHUNK_BYTES: usize = 4096;

/// How far [`Connection::fill`] came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// All that was there has been read.
    Drained,
    /// The buffer is full. What is left has to be read without waiting: no further event announces it.
    BufferFull,
    /// The peer sends no more.
    EndOfStream,
}

/// A connection, and the bytes that wait to be written on it.
pub struct Connection {
    socket: Socket,
    output: Vec<u8>,
    written: usize,
}

impl Connection {
    /// Takes an accepted connection over.
    ///
    /// # Errors
    /// The connection is broken already.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        Ok(Self { socket: Socket::new(stream)?, output: Vec::new(), written: 0 })
    }

    /// Connects within the given time.
    ///
    /// # Errors
    /// Why no connection was made.
    pub fn connect(to: SocketAddr, timeout: Duration) -> Result<Self, CloseReason> {
        Ok(Self { socket: Socket::connect(to, timeout)?, output: Vec::new(), written: 0 })
    }

    /// Reads what is there into the buffer, until the buffer holds `capacity` bytes.
    ///
    /// # Errors
    /// The connection broke.
    pub fn fill(&mut self, buffer: &mut Vec<u8>, capacity: usize) -> Result<ReadProgress, CloseReason> {
        loop {
            let start = buffer.len();
            if start >= capacity {
                return Ok(ReadProgress::BufferFull);
            }
            // Read in place: a coroutine's stack is too small for read buffers.
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

    /// The write buffer: append here, then [`Connection::flush`].
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Whether the write buffer is empty.
    pub fn is_flushed(&self) -> bool {
        self.output.is_empty()
    }

    /// How many bytes of the write buffer have been written so far; zero once it was flushed whole.
    pub fn written(&self) -> usize {
        self.written
    }

    /// Writes as much as the system takes now.
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

    /// Waits until something can be read or written, or the connection's mailbox has a message.
    pub fn wait(&self) {
        self.socket.wait();
    }

    /// Lets other connections run where this one could go on at once.
    pub fn yield_to_others(&self, fair_yield: &FairYield) {
        fair_yield.yield_on(&self.socket);
    }

    /// Whether the peer is known to be gone altogether.
    pub fn is_broken(&self) -> bool {
        self.socket.is_broken()
    }

    /// Closes the writing side; false where the connection is gone altogether.
    pub fn shutdown_write(&self) -> bool {
        self.socket.shutdown_write()
    }

    pub(crate) fn waker(&self) -> WaitIoWaker {
        self.socket.waker()
    }
}
