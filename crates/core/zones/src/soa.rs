//! The fields of a zone's SOA record.

use crate::serial::Serial;

/// What a zone says of itself (RFC 1035 section 3.3.13); times in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Soa {
    /// The version.
    pub serial: Serial,
    /// How often a secondary asks whether there is a newer one.
    pub refresh: u32,
    /// How soon it asks again after a failure.
    pub retry: u32,
    /// After how long without an answer it stops serving.
    pub expire: u32,
    /// For how long it may be kept that something is not there (RFC 2308).
    pub minimum: u32,
}

impl Soa {
    /// Reads it from a record's data.
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

/// The data of a zone's SOA with another serial.
pub fn with_serial(data: &[u8], serial: Serial) -> Vec<u8> {
    let mut data = data.to_vec();
    if let Some(at) = data.len().checked_sub(20) {
        data[at..at + 4].copy_from_slice(&serial.0.to_be_bytes());
    }
    data
}
