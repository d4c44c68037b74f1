//! Locks on state that coroutines share.
//!
//! A coroutine that waits while it holds a lock leaves the worker thread to the next coroutine. If that one takes the
//! same lock, it blocks the thread, and the holder is never resumed: all coroutines of the worker hang for good. The
//! same happens to a coroutine that takes a lock twice. The compiler rejects neither, so this module prevents them in
//! two ways:
//!
//! - [`Shared`] lends its content to a closure only. No guard exists that could outlive a statement.
//! - [`lock`] and [`Shared`] record which locks a thread holds. Waiting while one is held panics, and so does taking
//!   one twice. The panic names the line that took the lock, ends one coroutine and releases its locks; without it, all
//!   coroutines of the process would hang silently.

use std::cell::RefCell;
use std::ops::{Deref, DerefMut};
use std::panic::Location;
use std::ptr;
use std::sync::{Mutex, MutexGuard, PoisonError, TryLockError};

/// A lock that the current thread holds.
struct HeldLock {
    address: usize,
    taken_at: &'static Location<'static>,
}

thread_local! {
    /// The locks that this thread holds, in the order in which they were taken. A coroutine never waits while it holds
    /// one, so none of them belongs to a coroutine that is suspended.
    static HELD_LOCKS: RefCell<Vec<HeldLock>> = const { RefCell::new(Vec::new()) };
}

/// Releases its lock when it is dropped. Must not be held across a wait.
pub struct LockGuard<'a, T> {
    address: usize,
    guard: MutexGuard<'a, T>,
}

impl<T> Deref for LockGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.guard
    }
}

impl<T> DerefMut for LockGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.guard
    }
}

impl<T> Drop for LockGuard<'_, T> {
    fn drop(&mut self) {
        HELD_LOCKS.with_borrow_mut(|held| {
            if let Some(index) = held.iter().rposition(|lock| lock.address == self.address) {
                held.remove(index);
            }
        });
    }
}

/// Locks a mutex, even if an earlier holder of the lock panicked. To be used only for mutexes that guard plain data
/// which is valid after each statement.
///
/// # Panics
/// The current thread already holds the lock.
#[track_caller]
pub fn lock<T>(mutex: &Mutex<T>) -> LockGuard<'_, T> {
    let address = ptr::from_ref(mutex).addr();
    let guard = match mutex.try_lock() {
        Ok(guard) => guard,
        Err(TryLockError::Poisoned(poisoned)) => poisoned.into_inner(),
        Err(TryLockError::WouldBlock) => {
            assert_not_held(address);
            mutex.lock().unwrap_or_else(PoisonError::into_inner)
        }
    };
    let taken_at = Location::caller();
    HELD_LOCKS.with_borrow_mut(|held| held.push(HeldLock { address, taken_at }));
    LockGuard { address, guard }
}

#[track_caller]
fn assert_not_held(address: usize) {
    let earlier = HELD_LOCKS
        .with_borrow(|held| held.iter().find(|lock| lock.address == address).map(|lock| lock.taken_at));
    if let Some(taken_at) = earlier {
        panic!("a lock that was taken at {taken_at} is taken again by its holder");
    }
}

/// Asserts that the current thread holds no lock. Every function that suspends a coroutine calls this first.
///
/// # Panics
/// A lock is held.
#[track_caller]
pub fn assert_no_lock_held() {
    let latest = HELD_LOCKS.with_borrow(|held| held.last().map(|lock| lock.taken_at));
    if let Some(taken_at) = latest {
        panic!("a coroutine waits while it holds the lock that was taken at {taken_at}");
    }
}

/// A value that coroutines share under a lock. It is lent to a closure, so the lock can't be held any longer than the
/// closure runs, and never by mistake through the arms of a `match`.
#[derive(Debug, Default)]
pub struct Shared<T>(Mutex<T>);

impl<T> Shared<T> {
    /// Creates a shared value.
    pub fn new(value: T) -> Self {
        Self(Mutex::new(value))
    }

    /// Calls `work` with the value under the lock.
    ///
    /// # Panics
    /// `work` waits, or uses the same shared value.
    #[track_caller]
    pub fn with<R>(&self, work: impl FnOnce(&mut T) -> R) -> R {
        work(&mut lock(&self.0))
    }
}
