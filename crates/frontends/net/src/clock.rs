//! The system's Unix clock, kept from going backwards: the decisions count on that.

use lynxtally::Instant;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// A clock that all parts of a program share.
#[derive(Debug, Default)]
pub struct Clock {
    latest_micros: AtomicU64,
}

impl Clock {
    /// Microseconds since the start of Unix time; never less than what was returned before.
    pub fn micros(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let read = since_epoch.map_or(0, |passed| passed.as_micros() as u64);
        self.latest_micros.fetch_max(read, Ordering::Relaxed).max(read)
    }

    /// The same as an instant of the decisions.
    pub fn now(&self) -> Instant {
        Instant::from_micros(self.micros())
    }
}
