//! Clocks that are set anyhow and drift.

use lynxtally::{Instant, Pcg};

/// One machine's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    offset: u64,
    /// Microseconds that it counts in a second.
    rate: u64,
}

const SECOND: u64 = 1_000_000;

impl Clock {
    /// A clock that runs fast or slow by at most half of `drift` millionths, so that two differ by no more.
    pub fn draw(chance: &mut Pcg, drift: u64) -> Self {
        let half = drift as f64 / 2.0;
        let rate = SECOND as f64 + half * (2.0 * chance.unit() - 1.0);
        Self { offset: u64::from(chance.next_u32()), rate: rate as u64 }
    }

    /// What it shows at a moment of real time.
    pub fn shows(&self, real: u64) -> Instant {
        Instant::from_micros(self.offset + scaled(real, self.rate, SECOND))
    }

    /// When, in real time, it shows at least this.
    pub fn when(&self, shown: Instant) -> u64 {
        let past = (shown - Instant::from_micros(self.offset)).micros();
        scaled(past, SECOND, self.rate) + 1
    }
}

fn scaled(value: u64, by: u64, over: u64) -> u64 {
    (u128::from(value) * u128::from(by) / u128::from(over)) as u64
}
