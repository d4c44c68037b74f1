//! Points in time and lengths of time, as types that can't be confused with each other.

use std::ops::{Add, Div, Mul, Sub};

/// A point on the host's clock, in whole microseconds since an origin that the host chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(u64);

/// A length of time in whole microseconds, never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Instant {
    /// The point this many microseconds after the clock's origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }
}

impl Span {
    /// A span of length zero.
    pub const ZERO: Self = Self(0);

    /// A span of whole microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// A span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }

    /// The span in microseconds.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// A span of this many seconds; zero if `secs` is negative or not a number.
    pub fn from_secs(secs: f64) -> Self {
        Self((secs * 1e6).max(0.0) as u64)
    }
}

impl Add<Span> for Instant {
    type Output = Instant;
    fn add(self, span: Span) -> Instant {
        Instant(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Instant {
    type Output = Instant;
    fn sub(self, span: Span) -> Instant {
        Instant(self.0.saturating_sub(span.0))
    }
}

/// The time from `other` to this point; zero if `other` is later.
impl Sub for Instant {
    type Output = Span;
    fn sub(self, other: Instant) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

/// This span minus the other; zero if the other is longer.
impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).max(0.0) as u64)
    }
}

/// The ratio of this span to the other, whose length counts as at least one microsecond.
impl Div for Span {
    type Output = f64;
    fn div(self, other: Span) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}
