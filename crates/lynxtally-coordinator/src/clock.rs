//! A clock that counts up while the machine sleeps, too.

use lynxtally::Instant;
use rustix::time::{clock_gettime, ClockId};

/// Microseconds since the machine was started.
pub fn now() -> Instant {
    let at = clock_gettime(ClockId::Boottime);
    let micros = i128::from(at.tv_sec) * 1_000_000 + i128::from(at.tv_nsec) / 1000;
    Instant::from_micros(u64::try_from(micros).unwrap_or_default())
}
