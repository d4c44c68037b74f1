//! The system's Unix clock, kept from going backwards. The rules count on it.

use lynxtally::Instant;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// A clock that all parts of one node share.
#[derive(Debug, Default)]
pub struct Clock {
    latest: AtomicU64,
}

impl Clock {
    /// Microseconds since the start of Unix time; never less than was told before.
    pub fn micros(&self) -> u64 {
        let read = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |past| past.as_micros() as u64);
        self.latest.fetch_max(read, Ordering::Relaxed).max(read)
    }

    /// The same as the module's point in time.
    pub fn now(&self) -> Instant {
        Instant::from_micros(self.micros())
    }
}
