//! The timer of a program: a thread that runs callbacks when they are due.
//!
//! The timed waits of `may` are not used, because they start the timer before they suspend the coroutine. On a busy core
//! a short wait can expire in between, and the coroutine is then never woken. They would also run coroutines on a second
//! thread.

use crate::sync::assert_no_lock_held;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

type Callback = Box<dyn FnOnce() + Send>;

/// A callback and the time at which it is due. Callbacks due at the same time run in the order of their numbers, which is
/// the order in which they were scheduled.
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

/// The callbacks that have not run yet, the next one on top.
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

/// A handle to the timer thread.
#[derive(Clone)]
pub struct Timer(Arc<Shared>);

impl Timer {
    /// Starts the timer thread.
    ///
    /// # Errors
    /// The operating system can't start a thread.
    pub fn start() -> std::io::Result<Self> {
        let timer = Self(Arc::default());
        let shared = timer.0.clone();
        thread::Builder::new().name("timer".to_owned()).spawn(move || shared.run())?;
        Ok(timer)
    }

    /// Runs a callback on the timer thread after `wait`. The callback must not block, because it delays all others.
    pub fn run_after(&self, wait: Duration, callback: impl FnOnce() + Send + 'static) {
        let mut queue = self.0.lock_queue();
        queue.last_number += 1;
        let number = queue.last_number;
        let due = Instant::now() + wait;
        queue.callbacks.push(Reverse(Scheduled { due, number, callback: Box::new(callback) }));
        self.0.changed.notify_one();
    }

    /// Suspends the calling coroutine for `wait`.
    ///
    /// # Panics
    /// The caller holds a lock of [`crate::sync`].
    #[track_caller]
    pub fn sleep(&self, wait: Duration) {
        assert_no_lock_held();
        let (wake, woken) = may::sync::mpsc::channel();
        // Sending fails only if the receiver is gone, which means that the program is ending.
        self.run_after(wait, move || {
            let _ = wake.send(());
        });
        let _ = woken.recv();
    }
}

impl Shared {
    /// Locks the queue. The timer thread waits on the condition variable with this lock, and nothing is called under it.
    fn lock_queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self) {
        let mut queue = self.lock_queue();
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
                    self.lock_queue()
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
