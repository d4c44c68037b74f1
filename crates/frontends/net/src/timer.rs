//! The one timer of a program: a thread that runs callbacks when they are due.
//!
//! `may`'s own timed waits are not used for this. They start the timer before the coroutine is suspended, so that on
//! a busy core a short wait can expire in between, and the coroutine is never woken. They would also run coroutines
//! on a second thread.

use crate::sync::lock;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

type Callback = Box<dyn FnOnce() + Send>;

/// A callback, and when it is due. Of those due at the same instant the one scheduled first runs first.
struct Scheduled {
    due: Instant,
    number: u64,
    callback: Callback,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due, self.number).cmp(&(other.due, other.number))
    }
}

/// The callbacks that are not due yet.
#[derive(Default)]
struct Queue {
    callbacks: BinaryHeap<Reverse<Scheduled>>,
    last_number: u64,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
}

/// A handle to the timer's thread.
#[derive(Clone)]
pub struct Timer(Arc<Shared>);

impl Timer {
    /// Starts the thread.
    ///
    /// # Errors
    /// The system starts no thread.
    pub fn start() -> std::io::Result<Self> {
        let timer = Self(Arc::default());
        let shared = timer.0.clone();
        thread::Builder::new().name("timer".to_owned()).spawn(move || shared.run())?;
        Ok(timer)
    }

    /// Runs a callback on the timer's thread after so long. It must not block: all others wait for it.
    pub fn run_after(&self, wait: Duration, callback: impl FnOnce() + Send + 'static) {
        let mut queue = lock(&self.0.queue);
        queue.last_number += 1;
        let number = queue.last_number;
        let due = Instant::now() + wait;
        queue.callbacks.push(Reverse(Scheduled { due, number, callback: Box::new(callback) }));
        self.0.changed.notify_one();
    }

    /// Suspends the calling coroutine for so long.
    pub fn sleep(&self, wait: Duration) {
        let (wake, woken) = may::sync::mpsc::channel();
        // The receiver is gone only where the program ends.
        self.run_after(wait, move || {
            let _ = wake.send(());
        });
        let _ = woken.recv();
    }
}

impl Shared {
    fn run(&self) {
        let mut queue = lock(&self.queue);
        loop {
            let now = Instant::now();
            let wait = queue.callbacks.peek().map(|Reverse(first)| first.due.saturating_duration_since(now));
            queue = match wait {
                Some(Duration::ZERO) => {
                    let due = queue.callbacks.pop();
                    drop(queue);
                    if let Some(Reverse(due)) = due {
                        (due.callback)();
                    }
                    lock(&self.queue)
                }
                Some(wait) => {
                    let woken = self.changed.wait_timeout(queue, wait);
                    woken.unwrap_or_else(PoisonError::into_inner).0
                }
                None => self.changed.wait(queue).unwrap_or_else(PoisonError::into_inner),
            };
        }
    }
}
