//! How much is kept of what was sent up, so that it can be sent again: a part for each stream and a bound for all. What
//! finds no room is not kept at all, since a part of a body can't be repeated.

use crate::StreamId;
use std::collections::BTreeMap;

/// The bound, and what each stream keeps.
#[derive(Clone, Debug)]
pub struct Spools {
    total: u64,
    each: u64,
    kept: BTreeMap<StreamId, u64>,
    sum: u64,
}

impl Spools {
    /// All together keep so many octets at most, one stream so many.
    pub fn new(total: u64, each: u64) -> Self {
        Self { total, each, kept: BTreeMap::new(), sum: 0 }
    }

    /// Whether a stream may keep so many more octets; they count from now on.
    pub fn keep(&mut self, stream: StreamId, more: u64) -> bool {
        let own = self.kept.get(&stream).copied().unwrap_or(0) + more;
        let may = own <= self.each && self.sum + more <= self.total;
        if may {
            self.kept.insert(stream, own);
            self.sum += more;
        }
        may
    }

    /// A stream keeps nothing any more.
    pub fn drop(&mut self, stream: StreamId) {
        self.sum -= self.kept.remove(&stream).unwrap_or(0);
    }

    /// What all keep.
    pub fn sum(&self) -> u64 {
        self.sum
    }
}
