//! Lets a connection that always has more to do yield to all other connections.
//!
//! `may`'s own yield puts the coroutine back at the front of its worker's queue, and the worker does not poll for other
//! events first: one client that never stops sending would block all others. A coroutine that yields through this module
//! is woken by an event instead, and the worker sees that event only when it polls for the events of all connections.

use crate::coroutine::spawn;
use crate::socket::Socket;
use crate::sync::lock;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex};
use tracing::error;

/// The stack size of the waking coroutine, in machine words.
const STACK_WORDS: usize = 0x1000;

struct Shared {
    waiting: Mutex<Vec<WaitIoWaker>>,
    /// A byte written here wakes the coroutine that wakes all waiting connections.
    signal: UnixStream,
}

/// A handle with which connections yield to one another.
#[derive(Clone)]
pub struct FairYield(Arc<Shared>);

impl FairYield {
    /// Starts the coroutine that wakes connections that yielded. It ends when the last clone of the handle is dropped.
    ///
    /// # Errors
    /// The operating system can't create a socket pair, or the stack could not be allocated.
    pub fn start() -> io::Result<Self> {
        let (signal, receiver) = UnixStream::pair()?;
        signal.set_nonblocking(true)?;
        let receiver = CoIo::new(receiver).map_err(|error| io::Error::other(error.to_string()))?;
        let fair_yield = Self(Arc::new(Shared { waiting: Mutex::default(), signal }));
        let shared = Arc::downgrade(&fair_yield.0);
        let work = move || loop {
            // The values of the bytes have no meaning; a byte only signals that a connection waits.
            let ended = matches!(receiver.inner().read(&mut [0; 64]), Ok(0));
            let Some(shared) = shared.upgrade().filter(|_| !ended) else { return };
            let waiting = std::mem::take(&mut *lock(&shared.waiting));
            drop(shared);
            waiting.iter().for_each(WaitIoWaker::wakeup);
            receiver.wait_io();
        };
        spawn(
            STACK_WORDS,
            work,
            |panic| error!(%panic, "coroutine that wakes yielding connections panicked; they may stall"),
        )?;
        Ok(fair_yield)
    }

    /// Waits until all other connections with pending events have had a chance to run, or until the socket has an event.
    #[track_caller]
    pub fn yield_on(&self, socket: &Socket) {
        let mut waiting = lock(&self.0.waiting);
        let is_first = waiting.is_empty();
        waiting.push(socket.waker());
        drop(waiting);
        if is_first {
            // A failure is ignored: if the socket pair is full, the coroutine is about to be woken anyway.
            let _ = (&self.0.signal).write(&[0]);
        }
        socket.wait();
    }
}
