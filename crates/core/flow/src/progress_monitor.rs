//! Finds streams that make too little progress: they transfer fewer bytes per interval than a fraction of the learned
//! median of all streams. The fraction is small, so a slow receiver that keeps moving passes; a fixed timeout without
//! data would not catch a receiver that takes one byte at a time while it holds memory that other streams need.

use crate::StreamId;
use lynxtally::{Instant, Span};
use std::collections::BTreeMap;

/// The progress that a stream has to make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgressLimits {
    /// The interval over which progress is measured.
    pub interval: Span,
    /// The fraction of the median bytes per interval that a stream has to transfer.
    pub median_fraction: f64,
    /// The least bytes per interval that a stream has to transfer, whatever the median.
    pub min_bytes: u64,
    /// The number of consecutive intervals with too few bytes after which a stream is reported.
    pub max_short_intervals: u32,
}

#[derive(Clone, Debug)]
struct StreamProgress {
    interval_start: Instant,
    bytes: u64,
    /// Whether the stream had bytes to transfer in this interval. One that waits for its sender has no progress to make.
    could_transfer: bool,
    short_intervals: u32,
}

/// The progress of all streams.
#[derive(Clone, Debug)]
pub struct ProgressMonitor {
    limits: ProgressLimits,
    streams: BTreeMap<StreamId, StreamProgress>,
    /// Learned median of the bytes that a stream transfers per interval.
    median: f64,
}

/// The fraction by which one interval of one stream moves the learned median up or down.
const MEDIAN_STEP: f64 = 0.05;

impl ProgressMonitor {
    /// Creates a monitor whose learned median starts at the least required bytes.
    pub fn new(limits: ProgressLimits) -> Self {
        Self { limits, streams: BTreeMap::new(), median: limits.min_bytes as f64 }
    }

    /// Adds a stream, whose first interval starts now.
    pub fn add(&mut self, now: Instant, stream: StreamId) {
        let progress =
            StreamProgress { interval_start: now, bytes: 0, could_transfer: false, short_intervals: 0 };
        self.streams.insert(stream, progress);
    }

    /// Removes a stream.
    pub fn remove(&mut self, stream: StreamId) {
        self.streams.remove(&stream);
    }

    /// Records that a stream had bytes to transfer and that its receiver took `bytes` of them, possibly none.
    pub fn record(&mut self, stream: StreamId, bytes: u64) {
        if let Some(progress) = self.streams.get_mut(&stream) {
            progress.bytes += bytes;
            progress.could_transfer = true;
        }
    }

    /// The bytes that a stream has to transfer per interval.
    pub fn required_bytes(&self) -> u64 {
        (self.median * self.limits.median_fraction).max(self.limits.min_bytes as f64) as u64
    }

    /// Ends the intervals that are over, and returns the streams that have just reached the limit of consecutive
    /// intervals with too few bytes. A stream is returned again only after an interval with enough bytes.
    pub fn newly_late(&mut self, now: Instant) -> Vec<StreamId> {
        let (required, mut late) = (self.required_bytes(), Vec::new());
        for (id, progress) in &mut self.streams {
            if now - progress.interval_start < self.limits.interval {
                continue;
            }
            if progress.could_transfer {
                // Steps of equal size up and down make the estimate converge to the median.
                let step = self.median.max(1.0) * MEDIAN_STEP;
                self.median += if progress.bytes as f64 > self.median { step } else { -step };
                self.median = self.median.max(self.limits.min_bytes as f64);
                progress.short_intervals =
                    if progress.bytes < required { progress.short_intervals + 1 } else { 0 };
                if progress.short_intervals == self.limits.max_short_intervals {
                    late.push(*id);
                }
            }
            (progress.interval_start, progress.bytes, progress.could_transfer) = (now, 0, false);
        }
        late
    }
}
