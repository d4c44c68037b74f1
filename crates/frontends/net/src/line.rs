//! The thin driver under every connection: it reads what is there, writes what can be written, and waits.
//! What the bytes mean is the codecs' business.

use crate::end::End;
use crate::socket::{Got, Socket};
use crate::turnstile::Turnstile;
use may::coroutine::{Builder, JoinHandle};
use may::io::WaitIoWaker;
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What one read takes at most, so that a busy connection can't keep the others waiting.
const CHUNK: usize = 4096;

/// A lock whose holder panicked still guards plain data.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a piece of work; a panic in it comes back as its message.
pub fn guarded<T>(work: impl FnOnce() -> T) -> Result<T, String> {
    catch_unwind(AssertUnwindSafe(work)).map_err(|panic| {
        let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
        text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "a panic".to_owned())
    })
}

/// Starts a coroutine; `failed` hears of a panic in it, which would end it silently.
pub fn spawn<F, G>(stack_words: usize, work: F, failed: G) -> io::Result<JoinHandle<()>>
where
    F: FnOnce() + Send + 'static,
    G: FnOnce(String) + Send + 'static,
{
    let watched = move || {
        if let Err(text) = guarded(work) {
            failed(text);
        }
    };
    // SAFETY: may asks two things of a coroutine. It must not rely on thread-local storage across a point
    // where it waits, and none of ours does; and its stack must suffice, which is sized with room and guarded
    // by a page.
    #[allow(unsafe_code)]
    unsafe {
        Builder::new().stack_size(stack_words).spawn(watched)
    }
}

/// Messages for a coroutine that waits on its connection.
pub struct Outbox<T> {
    state: Mutex<State<T>>,
}

struct State<T> {
    waiting: VecDeque<T>,
    waker: Option<WaitIoWaker>,
    closed: bool,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self { state: Mutex::new(State { waiting: VecDeque::new(), waker: None, closed: false }) }
    }
}

impl<T> Outbox<T> {
    /// Adds a message and wakes the connection; false where nobody takes it any more.
    pub fn push(&self, message: T) -> bool {
        let mut state = lock(&self.state);
        if state.closed {
            return false;
        }
        state.waiting.push_back(message);
        if let Some(waker) = &state.waker {
            waker.wakeup();
        }
        true
    }

    /// Wakes the connection without a message.
    pub fn wake(&self) {
        if let Some(waker) = &lock(&self.state).waker {
            waker.wakeup();
        }
    }

    /// The oldest message.
    pub fn take(&self) -> Option<T> {
        lock(&self.state).waiting.pop_front()
    }

    /// Looks at the oldest message without taking it.
    pub fn peek<R>(&self, look: impl FnOnce(&T) -> R) -> Option<R> {
        lock(&self.state).waiting.front().map(look)
    }

    /// From now on messages wake this connection.
    pub fn attach(&self, line: &Line) {
        lock(&self.state).waker = Some(line.socket.waker());
    }

    /// No connection is woken until the next one is attached.
    pub fn detach(&self) {
        lock(&self.state).waker = None;
    }

    /// Takes no message any more; those that wait are handed back.
    pub fn close(&self) -> VecDeque<T> {
        let mut state = lock(&self.state);
        state.closed = true;
        state.waker = None;
        std::mem::take(&mut state.waiting)
    }
}

/// What reading found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Filled {
    /// All that was there has been read.
    All,
    /// There was room for no more: what is left has to be read without a further sign of it.
    Full,
    /// The other side sends no more.
    End,
}

/// One connection and what waits to be written on it.
pub struct Line {
    socket: Socket,
    out: Vec<u8>,
    written: usize,
}

impl Line {
    /// Takes a connection over.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        Ok(Self { socket: Socket::new(stream)?, out: Vec::new(), written: 0 })
    }

    /// Connects within the given time.
    pub fn connect(to: SocketAddr, within: Duration) -> Result<Self, End> {
        Ok(Self { socket: Socket::connect(to, within)?, out: Vec::new(), written: 0 })
    }

    /// Reads what is there into the buffer, up to so many bytes in it.
    pub fn fill(&mut self, into: &mut Vec<u8>, room: usize) -> Result<Filled, End> {
        loop {
            let start = into.len();
            if start >= room {
                return Ok(Filled::Full);
            }
            // Read in place: a coroutine's stack is no place for buffers.
            into.resize(start + CHUNK.min(room - start), 0);
            let got = self.socket.read(&mut into[start..]);
            into.truncate(start + if let Ok(Got::Octets(read)) = got { read } else { 0 });
            match got? {
                Got::Octets(_) => {}
                Got::Nothing => return Ok(Filled::All),
                Got::End => return Ok(Filled::End),
            }
        }
    }

    /// Where bytes to be written are added.
    pub fn out(&mut self) -> &mut Vec<u8> {
        &mut self.out
    }

    /// Whether all was written.
    pub fn clear(&self) -> bool {
        self.out.is_empty()
    }

    /// How many of the bytes now waiting were written.
    pub fn written(&self) -> usize {
        self.written
    }

    /// Writes as much as goes.
    pub fn flush(&mut self) -> Result<(), End> {
        self.written += self.socket.write(&self.out[self.written..])?;
        if self.written == self.out.len() {
            self.out.clear();
            self.written = 0;
        }
        Ok(())
    }

    /// Waits until something can be read or written, or a message came.
    pub fn wait(&self) {
        self.socket.wait();
    }

    /// Leaves the others a turn where more could be done at once.
    pub fn leave_turn(&self, turnstile: &Turnstile) {
        turnstile.pass(&self.socket);
    }

    /// Whether the other side is known to be gone altogether.
    pub fn broken(&self) -> bool {
        self.socket.broken()
    }

    /// Ends the writing side; false where the connection is gone altogether.
    pub fn shutdown(&self) -> bool {
        self.socket.shutdown()
    }
}
