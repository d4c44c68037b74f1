//! A monotonic clock that keeps counting while the machine sleeps.

use lynxtally::Instant;
use rustix::time::{clock_gettime, ClockId};

/// The time since the machine booted, in microseconds.
pub fn now() -> Instant {
    let uptime = clock_gettime(ClockId::Boottime);
    let micros = i128::from(uptime.tv_sec) * 1_000_000 + i128::from(uptime.tv_nsec) / 1000;
    Instant::from_micros(u64::try_from(micros).unwrap_or_default())
}
