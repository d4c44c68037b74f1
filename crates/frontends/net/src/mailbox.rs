//! A message queue for a coroutine that waits on its connection.

use crate::connection::Connection;
use crate::sync::lock;
use may::io::WaitIoWaker;
use std::collections::VecDeque;
use std::sync::Mutex;

/// A message queue for a coroutine that waits on its connection; a new message wakes the coroutine.
pub struct Mailbox<T> {
    state: Mutex<State<T>>,
}

struct State<T> {
    queue: VecDeque<T>,
    waker: Option<WaitIoWaker>,
    closed: bool,
}

impl<T> Default for Mailbox<T> {
    fn default() -> Self {
        Self { state: Mutex::new(State { queue: VecDeque::new(), waker: None, closed: false }) }
    }
}

impl<T> Mailbox<T> {
    /// Adds a message and wakes the attached connection. Returns false and drops the message if the mailbox is closed.
    pub fn push(&self, message: T) -> bool {
        let mut state = lock(&self.state);
        if state.closed {
            return false;
        }
        state.queue.push_back(message);
        if let Some(waker) = &state.waker {
            waker.wakeup();
        }
        true
    }

    /// Wakes the attached connection without adding a message.
    pub fn wake(&self) {
        if let Some(waker) = &lock(&self.state).waker {
            waker.wakeup();
        }
    }

    /// Removes and returns the oldest message.
    pub fn take(&self) -> Option<T> {
        lock(&self.state).queue.pop_front()
    }

    /// Calls a function with the oldest message, which stays in the queue.
    pub fn peek<R>(&self, look: impl FnOnce(&T) -> R) -> Option<R> {
        lock(&self.state).queue.front().map(look)
    }

    /// Makes new messages wake this connection.
    pub fn attach(&self, connection: &Connection) {
        lock(&self.state).waker = Some(connection.waker());
    }

    /// Makes new messages wake no connection until another one is attached.
    pub fn detach(&self) {
        lock(&self.state).waker = None;
    }

    /// Whether the mailbox is closed to new messages.
    pub fn is_closed(&self) -> bool {
        lock(&self.state).closed
    }

    /// Closes the mailbox to new messages, and returns those that have not been taken.
    pub fn close(&self) -> VecDeque<T> {
        let mut state = lock(&self.state);
        state.closed = true;
        state.waker = None;
        std::mem::take(&mut state.queue)
    }
}
