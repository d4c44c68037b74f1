//! Points in time as whole microseconds since the clock's zero, in logs and snapshots.

use lynxtally::Instant;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub(crate) fn to_micros(at: Instant) -> u64 {
    (at - Instant::default()).micros()
}

pub(crate) fn serialize<S: Serializer>(at: &Instant, serializer: S) -> Result<S::Ok, S::Error> {
    to_micros(*at).serialize(serializer)
}

pub(crate) fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Instant, D::Error> {
    u64::deserialize(deserializer).map(Instant::from_micros)
}

/// The same for a point in time that may not have come.
pub(crate) mod optional {
    use lynxtally::Instant;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(at: &Option<Instant>, serializer: S) -> Result<S::Ok, S::Error> {
        at.map(super::to_micros).serialize(serializer)
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Option<Instant>, D::Error> {
        Option::<u64>::deserialize(deserializer).map(|micros| micros.map(Instant::from_micros))
    }
}
