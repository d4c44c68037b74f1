//! The register's time, made of what leaders observed.

use crate::command::Stamped;
use lynxtally::{Instant, Span};
use serde::{Deserialize, Serialize};

/// Time that never passes faster than it does.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Time {
    #[serde(with = "micros")]
    now: Instant,
    /// The term whose leader's clock is followed.
    term: u64,
    /// Where that clock stood at the first entry of its term, and what the time was then.
    #[serde(with = "micros")]
    from: Instant,
    #[serde(with = "micros")]
    base: Instant,
}

impl Time {
    /// Follows the stamp of an entry that was written in `term`; false where the stamp is of another term.
    ///
    /// A stamp and an entry of one term come from one leader that was so all the time between them. Whatever
    /// stands in the log of earlier terms was written before this leader's first look at its clock, so from
    /// there on no more is counted than really passed.
    pub fn advance(&mut self, term: u64, entry: &Stamped) -> bool {
        if entry.term != term || term < self.term {
            return false;
        }
        if term > self.term {
            (self.term, self.from, self.base) = (term, entry.at, self.now);
        }
        // Entries of one leader may stand in another order than their stamps.
        self.now = self.now.max(self.base + (entry.at - self.from));
        true
    }

    pub fn now(&self) -> Instant {
        self.now
    }
}

/// How much longer the register counts than the holder: by the drift of two clocks, in millionths, rounded up.
pub(crate) fn drifted(span: Span, drift: u64) -> Span {
    let micros = u128::from(span.micros()) * (1_000_000 + u128::from(drift));
    Span::from_micros(u64::try_from(micros.div_ceil(1_000_000)).unwrap_or(u64::MAX))
}

/// Points in time as whole microseconds.
pub(crate) mod micros {
    use lynxtally::Instant;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(at: &Instant, to: S) -> Result<S::Ok, S::Error> {
        (*at - Instant::default()).micros().serialize(to)
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<Instant, D::Error> {
        u64::deserialize(from).map(Instant::from_micros)
    }
}
