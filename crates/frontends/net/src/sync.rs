//! Locking.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also one whose holder panicked: what these mutexes guard is plain data, valid after each statement.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
