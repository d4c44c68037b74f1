//! Lets connections that always have more to do take turns with all the others.
//!
//! A coroutine that only yields is put at the front of its worker's queue again, and the worker never polls for
//! other events: one client that never stops sending would keep all others waiting. A coroutine that yields here is
//! woken by an event, which the worker sees only when it polls for all of them.

use crate::coroutine::spawn;
use crate::socket::Socket;
use crate::sync::lock;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex};
use tracing::error;

const STACK_WORDS: usize = 0x1000;

struct Shared {
    waiting: Mutex<Vec<WaitIoWaker>>,
    /// A byte written here wakes the coroutine that wakes those that wait.
    signal: UnixStream,
}

/// Where connections yield.
#[derive(Clone)]
pub struct FairYield(Arc<Shared>);

impl FairYield {
    /// Starts the coroutine that wakes those that yielded. It ends with the last clone.
    ///
    /// # Errors
    /// The system gives no socket pair, or no stack could be allocated.
    pub fn start() -> io::Result<Self> {
        let (signal, receiver) = UnixStream::pair()?;
        signal.set_nonblocking(true)?;
        let receiver = CoIo::new(receiver).map_err(|error| io::Error::other(error.to_string()))?;
        let fair_yield = Self(Arc::new(Shared { waiting: Mutex::default(), signal }));
        let shared = Arc::downgrade(&fair_yield.0);
        let work = move || loop {
            // The bytes say only that somebody waits.
            let ended = matches!(receiver.inner().read(&mut [0; 64]), Ok(0));
            let Some(shared) = shared.upgrade().filter(|_| !ended) else { return };
            let waiting = std::mem::take(&mut *lock(&shared.waiting));
            drop(shared);
            waiting.iter().for_each(WaitIoWaker::wakeup);
            receiver.wait_io();
        };
        spawn(STACK_WORDS, work, |panic| error!(%panic, "the coroutine that gives turns failed"))?;
        Ok(fair_yield)
    }

    /// Waits on a socket for the next turn, or for anything else that wakes it.
    pub fn yield_on(&self, socket: &Socket) {
        let mut waiting = lock(&self.0.waiting);
        let is_first = waiting.is_empty();
        waiting.push(socket.waker());
        drop(waiting);
        if is_first {
            // Where the socket pair is full, the coroutine is about to be woken anyway.
            let _ = (&self.0.signal).write(&[0]);
        }
        socket.wait();
    }
}
