//! The random number generator of the policy. Nothing else in the library is random.

/// A permuted congruential generator (PCG-XSH-RR 64/32, after O'Neill).
#[derive(Clone, Debug)]
pub struct Pcg(u64);

impl Pcg {
    const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
    const INCREMENT: u64 = 1_442_695_040_888_963_407;

    /// A generator whose sequence is determined by the seed.
    pub fn new(seed: u64) -> Self {
        let mut pcg = Self(seed.wrapping_add(Self::INCREMENT));
        pcg.next_u32();
        pcg
    }

    /// The next 32 random bits.
    pub fn next_u32(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(Self::MULTIPLIER).wrapping_add(Self::INCREMENT);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        mixed.rotate_right((old >> 59) as u32)
    }

    /// A random number from 0 (inclusive) to 1 (exclusive).
    pub fn unit(&mut self) -> f64 {
        f64::from(self.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}
