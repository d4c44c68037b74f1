//! Lets connections that always have more to do take turns with all the others. A coroutine that only yields stands
//! first in its worker's own line again, and the worker never looks whether anything else came; one that goes through
//! here is woken only after it looked.

use crate::line::{lock, spawn};
use crate::socket::Socket;
use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex};
use tracing::error;

const STACK_WORDS: usize = 0x1000;

struct Inside {
    waiting: Mutex<Vec<WaitIoWaker>>,
    bell: UnixStream,
}

/// Where they go through.
#[derive(Clone)]
pub struct Turnstile(Arc<Inside>);

impl Turnstile {
    /// Starts its coroutine.
    pub fn start() -> io::Result<Self> {
        let (bell, ear) = UnixStream::pair()?;
        bell.set_nonblocking(true)?;
        let ear = CoIo::new(ear).map_err(|fault| io::Error::other(fault.to_string()))?;
        let turnstile = Self(Arc::new(Inside { waiting: Mutex::default(), bell }));
        let inside = Arc::downgrade(&turnstile.0);
        let work = move || loop {
            // Octets say only that somebody waits.
            let ended = matches!(ear.inner().read(&mut [0; 64]), Ok(0));
            let Some(inside) = inside.upgrade().filter(|_| !ended) else { return };
            let waiting = std::mem::take(&mut *lock(&inside.waiting));
            drop(inside);
            waiting.iter().for_each(WaitIoWaker::wakeup);
            ear.wait_io();
        };
        spawn(STACK_WORDS, work, |text| error!(text, "nobody gets a turn any more"))?;
        Ok(turnstile)
    }

    /// Waits on a connection for the next turn, or for anything else that wakes it.
    pub fn pass(&self, socket: &Socket) {
        let mut waiting = lock(&self.0.waiting);
        let first = waiting.is_empty();
        waiting.push(socket.waker());
        drop(waiting);
        if first {
            // A full pipe rings as well.
            let _ = (&self.0.bell).write(&[0]);
        }
        socket.wait();
    }
}
