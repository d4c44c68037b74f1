//! The Unix clock of the operating system, made monotonic, because scheduling decisions rely on time that never goes
//! back.

use lynxtally::Instant;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// A monotonic Unix clock. All parts of a program share one.
#[derive(Debug, Default)]
pub struct Clock {
    latest_micros: AtomicU64,
}

impl Clock {
    /// Microseconds since the Unix epoch; never less than any value returned before.
    pub fn micros(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let read = since_epoch.map_or(0, |passed| passed.as_micros() as u64);
        self.latest_micros.fetch_max(read, Ordering::Relaxed).max(read)
    }

    /// The same time as [`Clock::micros`], as an [`Instant`].
    pub fn now(&self) -> Instant {
        Instant::from_micros(self.micros())
    }
}
