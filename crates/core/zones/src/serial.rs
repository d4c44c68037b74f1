//! Serial numbers that wrap, compared by RFC 1982.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;

/// A version's number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Serial(pub u32);

impl Serial {
    /// The next one; it wraps.
    pub fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }

    /// Whether it is newer than the other. Of two that lie half of the circle apart neither is.
    pub fn newer_than(self, other: Self) -> bool {
        self.partial_cmp(&other) == Some(Ordering::Greater)
    }
}

/// RFC 1982 section 3.2; numbers 2^31 apart have no order.
impl PartialOrd for Serial {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        match self.0.wrapping_sub(other.0) {
            0 => Some(Ordering::Equal),
            ahead if ahead < 1 << 31 => Some(Ordering::Greater),
            ahead if ahead > 1 << 31 => Some(Ordering::Less),
            _ => None,
        }
    }
}

impl fmt::Display for Serial {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}
