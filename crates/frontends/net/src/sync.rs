//! Locking of mutexes that may be poisoned.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if an earlier holder of the lock panicked. To be used only for mutexes that guard plain data
/// which is valid after each statement.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
