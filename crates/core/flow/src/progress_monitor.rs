//! What progress a stream owes: octets over a span, learned from what the others move, not a fixed time of silence. A
//! slow link that moves is well; one that moves next to nothing while it holds memory that others want is not.

use crate::StreamId;
use lynxtally::{Instant, Span};
use std::collections::BTreeMap;

/// What is owed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgressLimits {
    /// Over this span progress is looked at.
    pub span: Span,
    /// A stream owes this part of what streams move in the middle of them all.
    pub part: f64,
    /// And so many octets a span in any case.
    pub least: u64,
    /// So many spans in a row may fall short.
    pub patience: u32,
}

#[derive(Clone, Debug)]
struct Mover {
    since: Instant,
    moved: u64,
    /// Whether it could have moved: one that waits for its sender owes nothing.
    could: bool,
    short: u32,
}

/// The progress of all streams.
#[derive(Clone, Debug)]
pub struct Progress {
    limits: ProgressLimits,
    movers: BTreeMap<StreamId, Mover>,
    /// What a stream moved in a span, in the middle; learned.
    middle: f64,
}

/// What one stream's span moves the learned middle, up or down.
const STEP: f64 = 0.05;

impl Progress {
    /// Nothing is known of what is usual yet.
    pub fn new(limits: ProgressLimits) -> Self {
        Self { limits, movers: BTreeMap::new(), middle: limits.least as f64 }
    }

    /// A stream begins.
    pub fn enter(&mut self, now: Instant, stream: StreamId) {
        self.movers.insert(stream, Mover { since: now, moved: 0, could: false, short: 0 });
    }

    /// A stream is over.
    pub fn leave(&mut self, stream: StreamId) {
        self.movers.remove(&stream);
    }

    /// A stream had octets to give, and its receiver took so many of them, maybe none.
    pub fn moved(&mut self, stream: StreamId, octets: u64) {
        if let Some(mover) = self.movers.get_mut(&stream) {
            mover.moved += octets;
            mover.could = true;
        }
    }

    /// What is owed over one span.
    pub fn owed(&self) -> u64 {
        (self.middle * self.limits.part).max(self.limits.least as f64) as u64
    }

    /// The streams that owed progress for too long; each is told once.
    pub fn late(&mut self, now: Instant) -> Vec<StreamId> {
        let (owed, mut late) = (self.owed(), Vec::new());
        for (id, mover) in &mut self.movers {
            if now - mover.since < self.limits.span {
                continue;
            }
            if mover.could {
                // A median learned by steps: as many pull it up as down.
                let step = self.middle.max(1.0) * STEP;
                self.middle += if mover.moved as f64 > self.middle { step } else { -step };
                self.middle = self.middle.max(self.limits.least as f64);
                mover.short = if mover.moved < owed { mover.short + 1 } else { 0 };
                if mover.short == self.limits.patience {
                    late.push(*id);
                }
            }
            (mover.since, mover.moved, mover.could) = (now, 0, false);
        }
        late
    }
}
