//! Serializes an [`Instant`] in logs and snapshots as an integer: the microseconds since the clock's origin.

use lynxtally::Instant;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub(crate) fn to_micros(instant: Instant) -> u64 {
    (instant - Instant::default()).micros()
}

pub(crate) fn serialize<S: Serializer>(instant: &Instant, serializer: S) -> Result<S::Ok, S::Error> {
    to_micros(*instant).serialize(serializer)
}

pub(crate) fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Instant, D::Error> {
    u64::deserialize(deserializer).map(Instant::from_micros)
}

/// Serializes an `Option<Instant>` in the same way.
pub(crate) mod optional {
    use lynxtally::Instant;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(instant: &Option<Instant>, serializer: S) -> Result<S::Ok, S::Error> {
        instant.map(super::to_micros).serialize(serializer)
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Option<Instant>, D::Error> {
        Option::<u64>::deserialize(deserializer).map(|micros| micros.map(Instant::from_micros))
    }
}
