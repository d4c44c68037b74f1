//! Local clocks with a random offset and drift.

use lynxtally::{Instant, Pcg};

/// The local clock of one machine.
#[derive(Clone, Copy, Debug)]
pub(super) struct DriftingClock {
    /// Reading of the clock at the start of the simulation.
    offset_us: u64,
    /// Microseconds that the clock advances per second of real time.
    rate: u64,
}

const SECOND_US: u64 = 1_000_000;

impl DriftingClock {
    /// Draws a clock that runs fast or slow by at most half of `drift_ppm`, so that the rates of two clocks differ by at most
    /// `drift_ppm`.
    pub fn draw(random: &mut Pcg, drift_ppm: u64) -> Self {
        let max_deviation = drift_ppm as f64 / 2.0;
        let rate = SECOND_US as f64 + max_deviation * (2.0 * random.unit() - 1.0);
        Self { offset_us: u64::from(random.next_u32()), rate: rate as u64 }
    }

    /// The reading of the clock at a real time.
    pub fn local_time(&self, real_us: u64) -> Instant {
        Instant::from_micros(self.offset_us + scaled(real_us, self.rate, SECOND_US))
    }

    /// A real time, in microseconds, at which the clock reads at least `reading`. The extra microsecond makes up for the
    /// truncation of the division.
    pub fn real_time_of(&self, reading: Instant) -> u64 {
        let elapsed_us = (reading - Instant::from_micros(self.offset_us)).micros();
        scaled(elapsed_us, SECOND_US, self.rate) + 1
    }
}

/// Computes `value * numerator / denominator` without overflow of the product.
fn scaled(value: u64, numerator: u64, denominator: u64) -> u64 {
    (u128::from(value) * u128::from(numerator) / u128::from(denominator)) as u64
}
