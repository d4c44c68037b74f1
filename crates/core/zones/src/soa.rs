//! The fields of a zone's SOA record.

use crate::serial::Serial;

/// The fields of a SOA record (RFC 1035 section 3.3.13); intervals are in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Soa {
    /// The serial of the version.
    pub serial: Serial,
    /// Interval at which a secondary checks for a newer version.
    pub refresh: u32,
    /// Interval after which a secondary checks again after a failure.
    pub retry: u32,
    /// Time without a successful check after which a secondary stops serving.
    pub expire: u32,
    /// Maximum TTL of negative responses (RFC 2308).
    pub minimum: u32,
}

impl Soa {
    /// Parses the fields from the record's data; none if it is too short.
    pub fn parse(data: &[u8]) -> Option<Self> {
        let tail = data.last_chunk::<20>()?;
        let part = |n: usize| u32::from_be_bytes([tail[n], tail[n + 1], tail[n + 2], tail[n + 3]]);
        Some(Self {
            serial: Serial(part(0)),
            refresh: part(4),
            retry: part(8),
            expire: part(12),
            minimum: part(16),
        })
    }
}

/// Returns the data of a SOA with the serial replaced.
pub fn with_serial(data: &[u8], serial: Serial) -> Vec<u8> {
    let mut data = data.to_vec();
    if let Some(at) = data.len().checked_sub(20) {
        data[at..at + 4].copy_from_slice(&serial.0.to_be_bytes());
    }
    data
}
