//! The one clockwork of a node: a thread that sends a message when a time has come.
//!
//! may's own timed waits are not used for this. They start the timer before the coroutine is laid down for
//! it, so that on a busy core a short time can run out in between, and the coroutine is never woken. They
//! would also run coroutines on a second thread.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

type Message = Box<dyn FnOnce() + Send>;

/// What is sent, and when; of those due at once the first set goes first.
struct Set {
    at: Instant,
    number: u64,
    message: Message,
}

impl PartialEq for Set {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Set {}

impl PartialOrd for Set {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Set {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

#[derive(Default)]
struct Inside {
    set: Mutex<(BinaryHeap<Reverse<Set>>, u64)>,
    changed: Condvar,
}

/// Where messages are left for later.
#[derive(Clone)]
pub struct Alarm(Arc<Inside>);

impl Alarm {
    /// Starts the thread.
    pub fn start() -> std::io::Result<Self> {
        let alarm = Self(Arc::default());
        let inside = alarm.0.clone();
        thread::Builder::new().name("alarm".to_owned()).spawn(move || inside.run())?;
        Ok(alarm)
    }

    /// Has a message sent after so long. It must not block.
    pub fn after(&self, wait: Duration, message: impl FnOnce() + Send + 'static) {
        let mut set = self.0.set.lock().unwrap_or_else(PoisonError::into_inner);
        set.1 += 1;
        let number = set.1;
        set.0.push(Reverse(Set { at: Instant::now() + wait, number, message: Box::new(message) }));
        self.0.changed.notify_one();
    }

    /// Lets the calling coroutine wait for so long.
    pub fn sleep(&self, wait: Duration) {
        let (awake, woken) = may::sync::mpsc::channel();
        // Nobody listens any more only where the program ends.
        self.after(wait, move || {
            let _ = awake.send(());
        });
        let _ = woken.recv();
    }
}

impl Inside {
    fn run(&self) {
        let mut set = self.set.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let now = Instant::now();
            let wait = set.0.peek().map(|Reverse(first)| first.at.saturating_duration_since(now));
            set = match wait {
                Some(Duration::ZERO) => {
                    let due = set.0.pop();
                    drop(set);
                    if let Some(Reverse(due)) = due {
                        (due.message)();
                    }
                    self.set.lock().unwrap_or_else(PoisonError::into_inner)
                }
                Some(wait) => self.changed.wait_timeout(set, wait).unwrap_or_else(PoisonError::into_inner).0,
                None => self.changed.wait(set).unwrap_or_else(PoisonError::into_inner),
            };
        }
    }
}
