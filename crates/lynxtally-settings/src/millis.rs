//! Times in messages and settings.

use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};

/// A time in messages and settings, in milliseconds with fractions.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Millis(pub f64);

impl Millis {
    /// This time as a point on the clock.
    pub fn instant(self) -> Instant {
        Instant::from_micros(self.micros())
    }

    /// This time as a length of time.
    pub fn span(self) -> Span {
        Span::from_micros(self.micros())
    }

    fn micros(self) -> u64 {
        (self.0 * 1000.0).round().max(0.0) as u64
    }
}

impl From<Span> for Millis {
    fn from(span: Span) -> Self {
        Self(span.micros() as f64 / 1000.0)
    }
}
