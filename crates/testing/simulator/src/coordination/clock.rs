//! Clocks that start anywhere and drift.

use lynxtally::{Instant, Pcg};

/// One machine's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct DriftingClock {
    offset_us: u64,
    /// Microseconds that it counts in a second.
    rate: u64,
}

const SECOND_US: u64 = 1_000_000;

impl DriftingClock {
    /// A clock that runs fast or slow by at most half of `drift_ppm`, so that two differ by no more.
    pub fn draw(random: &mut Pcg, drift_ppm: u64) -> Self {
        let half = drift_ppm as f64 / 2.0;
        let rate = SECOND_US as f64 + half * (2.0 * random.unit() - 1.0);
        Self { offset_us: u64::from(random.next_u32()), rate: rate as u64 }
    }

    /// What it shows at a moment of real time.
    pub fn shows(&self, real_us: u64) -> Instant {
        Instant::from_micros(self.offset_us + scaled(real_us, self.rate, SECOND_US))
    }

    /// When, in real time, it shows at least this.
    pub fn real_time_of(&self, shown: Instant) -> u64 {
        let passed = (shown - Instant::from_micros(self.offset_us)).micros();
        scaled(passed, SECOND_US, self.rate) + 1
    }
}

fn scaled(value: u64, by: u64, over: u64) -> u64 {
    (u128::from(value) * u128::from(by) / u128::from(over)) as u64
}
