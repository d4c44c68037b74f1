//! Rate limit by prefixes of client addresses, in constant memory: a count-min sketch with exponential decay.
//! Sources: G. Cormode, S. Muthukrishnan, "An improved data stream summary: the count-min sketch and its
//! applications" (2005); conservative updates: C. Estan, G. Varghese (2002).

use lynxtally::{Instant, Span};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::net::IpAddr;

/// Number of rows. A prefix has one cell in each row, and the smallest of its cells is the estimate of its count.
const ROWS: usize = 4;

/// Approximate counts by prefix that decay exponentially.
#[derive(Clone, Debug)]
pub struct CountMinSketch {
    /// Each cell's count and the period in which it was last decayed.
    cells: Vec<(f32, u32)>,
    width: usize,
    key: u64,
    start: Instant,
    period: Span,
    total: f64,
    total_period: u32,
}

/// Fraction of a count that remains after each period. A count thus covers about two periods.
const REMAINDER_PER_PERIOD: f32 = 0.5;

/// The prefix by which clients are counted: 24 bits of an IPv4 address, 56 bits of an IPv6 address.
pub fn prefix(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => u64::from(u32::from(address) >> 8) | 1 << 60,
        IpAddr::V6(address) => match address.to_ipv4_mapped() {
            Some(address) => prefix(address.into()),
            None => (u128::from(address) >> 72) as u64,
        },
    }
}

impl CountMinSketch {
    /// Creates a sketch with `width` cells per row, rounded up to a power of two. Its counts cover about two
    /// periods.
    pub fn new(width: usize, period: Span, key: u64, now: Instant) -> Self {
        let width = width.next_power_of_two();
        Self {
            cells: vec![(0.0, 0); width * ROWS],
            width,
            key,
            start: now,
            period,
            total: 0.0,
            total_period: 0,
        }
    }

    /// The memory use in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.cells.len() * std::mem::size_of::<(f32, u32)>()
    }

    fn period(&self, now: Instant) -> u32 {
        ((now - self.start) / self.period) as u32
    }

    fn cell_indices(&self, prefix: u64) -> [usize; ROWS] {
        let mut hasher = SipHasher13::new_with_keys(self.key, !self.key);
        hasher.write_u64(prefix);
        let hash = hasher.finish();
        // Each row uses other bits of one hash; the multiplication spreads them for rows wider than 16 bits.
        std::array::from_fn(|row| {
            let mixed = hash.rotate_left(16 * row as u32).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
            row * self.width + (mixed as usize & (self.width - 1))
        })
    }

    fn decayed_count((count, period): (f32, u32), now: u32) -> f32 {
        match now.saturating_sub(period) {
            0 => count,
            past => count * REMAINDER_PER_PERIOD.powi(past.min(64) as i32),
        }
    }

    /// Counts a request and returns the new estimate for its prefix. The estimate is never below the true count.
    pub fn add(&mut self, now: Instant, prefix: u64) -> f64 {
        let period = self.period(now);
        let cell_indices = self.cell_indices(prefix);
        let min_count = cell_indices
            .iter()
            .map(|at| Self::decayed_count(self.cells[*at], period))
            .fold(f32::INFINITY, f32::min);
        let count = min_count + 1.0;
        for at in cell_indices {
            self.cells[at] = (Self::decayed_count(self.cells[at], period).max(count), period);
        }
        self.total = self.total_at(period) + 1.0;
        self.total_period = period;
        f64::from(count)
    }

    /// The estimate for a prefix, which is never below the true count.
    pub fn count(&self, now: Instant, prefix: u64) -> f64 {
        let period = self.period(now);
        let decayed_count = self.cell_indices(prefix).map(|at| Self::decayed_count(self.cells[at], period));
        f64::from(decayed_count.into_iter().fold(f32::INFINITY, f32::min))
    }

    fn total_at(&self, period: u32) -> f64 {
        self.total
            * f64::from(REMAINDER_PER_PERIOD.powi(period.saturating_sub(self.total_period).min(64) as i32))
    }

    /// The decayed count of all requests.
    pub fn total(&self, now: Instant) -> f64 {
        self.total_at(self.period(now))
    }
}

/// Finds the prefixes that exceed their fraction of all requests. A request from such a prefix is not rejected: the
/// caller gives it the lowest utility, so it is only answered with capacity that other requests leave free.
#[derive(Clone, Debug)]
pub struct RequestRateLimit {
    sketch: CountMinSketch,
    share: f64,
    min_count: f64,
}

impl RequestRateLimit {
    /// A prefix exceeds its share if its count is above `min_count` and above the fraction `share` of all requests.
    pub fn new(sketch: CountMinSketch, share: f64, min_count: f64) -> Self {
        Self { sketch, share, min_count }
    }

    /// Counts a request; returns whether its prefix exceeds its share.
    pub fn exceeds_share(&mut self, now: Instant, prefix: u64) -> bool {
        let count = self.sketch.add(now, prefix);
        count > self.min_count && count > self.sketch.total(now) * self.share
    }
}
