//! One budget of memory for all streams. Each has its floor reserved before it is let in, so none can be starved and
//! no order of stalls can lock them all; what is left is shared by utility and by use.

use crate::StreamId;
use lynxtally::{Instant, Span};
use std::collections::BTreeMap;

/// What the pool is held to; octets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// The budget, which is never passed.
    pub total: u64,
    /// The part of it that is kept for floors alone. What is above the floors comes from the rest: what stalled streams
    /// hold can't be had back from them, so it must never be in the way of one that comes.
    pub reserved: u64,
    /// What every stream has in any case.
    pub floor: u64,
    /// The most that one may have.
    pub most: u64,
    /// A window holds what a receiver takes in this time.
    pub ahead: Span,
}

#[derive(Clone, Debug)]
struct Share {
    weight: f64,
    /// What it may hold from now on.
    window: u64,
    /// What it holds.
    held: u64,
    /// What its receiver lately took, in octets a second.
    rate: f64,
    taken: u64,
}

/// The pool.
#[derive(Clone, Debug)]
pub struct Pool {
    limits: PoolLimits,
    streams: BTreeMap<StreamId, Share>,
    last: Instant,
}

/// What one look moves a learned rate that falls; one that rises is followed at once, so that a receiver that goes on
/// after a stall is not kept slow.
const FALL: f64 = 0.25;
/// From this part on, what is used of the budget is nearly all of it.
const SCARCE: f64 = 0.8;
/// A window that its receiver emptied between two looks is the bound, not the receiver: it doubles.
const GROWTH: f64 = 2.0;

impl Pool {
    /// An empty pool.
    pub fn new(limits: PoolLimits, now: Instant) -> Self {
        Self { limits, streams: BTreeMap::new(), last: now }
    }

    /// Lets a stream in with its floor; false where no more floors are reserved.
    pub fn enter(&mut self, stream: StreamId, weight: f64) -> bool {
        if (self.streams.len() as u64 + 1) * self.limits.floor > self.limits.reserved {
            return false;
        }
        let share =
            Share { weight: weight.max(1e-9), window: self.limits.floor, held: 0, rate: 0.0, taken: 0 };
        self.streams.insert(stream, share);
        true
    }

    /// A stream is over; what it held is free.
    pub fn leave(&mut self, stream: StreamId) {
        self.streams.remove(&stream);
    }

    /// What is held or may be held at once, by all.
    pub fn promised(&self) -> u64 {
        self.streams.values().map(|share| share.window.max(share.held)).sum()
    }

    /// What all hold.
    pub fn held(&self) -> u64 {
        self.streams.values().map(|share| share.held).sum()
    }

    /// What every stream has in any case.
    pub fn floor(&self) -> u64 {
        self.limits.floor
    }

    /// Whether nearly all is held or promised: of what is above the floors, or of the floors.
    pub fn scarce(&self) -> bool {
        let PoolLimits { total, reserved, floor, .. } = self.limits;
        let nearly = |used: u64, of: u64| used as f64 >= of as f64 * SCARCE;
        nearly(self.above(), total - reserved) || nearly(self.streams.len() as u64 * floor, reserved)
    }

    /// What is held or promised above the floors.
    fn above(&self) -> u64 {
        let floor = self.limits.floor;
        self.streams.values().map(|share| share.window.max(share.held).saturating_sub(floor)).sum()
    }

    /// What a stream holds now, and what its receiver took since this was last told.
    pub fn hold(&mut self, stream: StreamId, held: u64, took: u64) {
        if let Some(share) = self.streams.get_mut(&stream) {
            share.held = held;
            share.taken += took;
        }
    }

    /// How much a stream may hold.
    pub fn window(&self, stream: StreamId) -> u64 {
        self.streams.get(&stream).map_or(0, |share| share.window)
    }

    /// How many octets may be read for a stream now.
    pub fn room(&self, stream: StreamId) -> u64 {
        self.streams.get(&stream).map_or(0, |share| share.window.saturating_sub(share.held))
    }

    /// So many octets were read for a stream; never more than its room.
    pub fn read(&mut self, stream: StreamId, octets: u64) {
        if let Some(share) = self.streams.get_mut(&stream) {
            debug_assert!(
                octets <= share.window.saturating_sub(share.held),
                "more was read than there was room for"
            );
            share.held += octets;
        }
    }

    /// So many octets went on to its receiver.
    pub fn wrote(&mut self, stream: StreamId, octets: u64) {
        if let Some(share) = self.streams.get_mut(&stream) {
            share.held = share.held.saturating_sub(octets);
            share.taken += octets;
        }
    }

    /// Shares the budget anew by what receivers took since the last look. A stalled one falls to its floor; a window
    /// that shrinks under what it holds gives back only as that goes on, and nobody is promised it before.
    pub fn share(&mut self, now: Instant) {
        let past = (now - self.last).secs();
        if past <= 0.0 {
            return;
        }
        self.last = now;
        let PoolLimits { total, reserved, floor, most, ahead } = self.limits;
        let mut wanted = Vec::with_capacity(self.streams.len());
        for (id, share) in &mut self.streams {
            let rate = share.taken as f64 / past;
            share.rate = if rate > share.rate { rate } else { share.rate + (rate - share.rate) * FALL };
            let bound = share.taken >= share.window;
            let ahead = if bound { share.window as f64 * GROWTH } else { share.rate * ahead.secs() };
            wanted.push((*id, share.weight, (ahead as u64).clamp(floor, most.max(floor)) - floor));
            share.taken = 0;
        }
        let mut left = total.saturating_sub(reserved) as f64;
        // Weighted filling: who wants less than its share leaves the rest to the others.
        wanted.sort_by(|a, b| (a.2 as f64 / a.1).total_cmp(&(b.2 as f64 / b.1)).then(a.0.cmp(&b.0)));
        let mut weights: f64 = wanted.iter().map(|(_, weight, _)| weight).sum();
        let mut targets = Vec::with_capacity(wanted.len());
        for (id, weight, extra) in wanted {
            let given = (left * weight / weights).min(extra as f64).floor();
            (left, weights) = (left - given, weights - weight);
            targets.push((id, floor + given as u64));
        }
        // Shrink first; what is still held is no one else's yet.
        for (id, target) in &targets {
            let Some(share) = self.streams.get_mut(id) else { continue };
            share.window = share.window.min(*target);
        }
        let mut free = total.saturating_sub(reserved).saturating_sub(self.above());
        for (id, target) in targets {
            let Some(share) = self.streams.get_mut(&id) else { continue };
            let now = share.window.max(share.held);
            let grown = target.max(now) - now;
            let given = grown.min(free);
            if target > share.window {
                share.window = target.min(now + given);
            }
            free -= given;
        }
    }
}
