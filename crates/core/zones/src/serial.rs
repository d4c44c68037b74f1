//! Serial numbers with wraparound, compared by RFC 1982.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;

/// The serial number of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Serial(pub u32);

impl Serial {
    /// The following serial, with wraparound.
    pub fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }

    /// Whether this serial is newer. Of two serials that are 2^31 apart, neither is newer.
    pub fn newer_than(self, other: Self) -> bool {
        self.partial_cmp(&other) == Some(Ordering::Greater)
    }
}

/// Order by RFC 1982 section 3.2; serials that are 2^31 apart are not ordered.
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
