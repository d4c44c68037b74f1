//! Budget for the copies of request bodies that are kept so that a body can be sent again. It limits the copy of each
//! stream and the sum of all copies. A copy that would exceed a limit must be dropped completely, because a part of a
//! body cannot be sent again.

use crate::StreamId;
use std::collections::BTreeMap;

/// The limits, and the bytes that each stream has reserved.
#[derive(Clone, Debug)]
pub struct CopyBudget {
    max_total_bytes: u64,
    max_stream_bytes: u64,
    reserved: BTreeMap<StreamId, u64>,
    total_reserved: u64,
}

impl CopyBudget {
    /// Creates a budget of `max_total_bytes` for all streams together and `max_stream_bytes` for each.
    pub fn new(max_total_bytes: u64, max_stream_bytes: u64) -> Self {
        Self { max_total_bytes, max_stream_bytes, reserved: BTreeMap::new(), total_reserved: 0 }
    }

    /// Reserves `bytes` more for a stream. Returns false, and reserves nothing, if a limit would be exceeded.
    pub fn try_reserve(&mut self, stream: StreamId, bytes: u64) -> bool {
        let stream_bytes = self.reserved.get(&stream).copied().unwrap_or(0) + bytes;
        let fits =
            stream_bytes <= self.max_stream_bytes && self.total_reserved + bytes <= self.max_total_bytes;
        if fits {
            self.reserved.insert(stream, stream_bytes);
            self.total_reserved += bytes;
        }
        fits
    }

    /// Releases all that a stream has reserved.
    pub fn release(&mut self, stream: StreamId) {
        self.total_reserved -= self.reserved.remove(&stream).unwrap_or(0);
    }

    /// Bytes reserved by all streams together.
    pub fn total_reserved(&self) -> u64 {
        self.total_reserved
    }
}
