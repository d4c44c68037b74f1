//! Shares one memory budget among all streams. Each stream reserves a minimum window, its floor, before it is admitted,
//! so no stream is starved and stalled streams cannot block all others. The rest of the budget is shared by weight and
//! by how fast each receiver takes bytes.

use crate::StreamId;
use lynxtally::{Instant, Span};
use std::collections::BTreeMap;

/// Limits of the pool, in bytes where no other unit is given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryLimits {
    /// The whole budget, which is never exceeded.
    pub total: u64,
    /// The part of the budget that only floors are taken from. Windows above their floors come from the rest. Bytes that
    /// a stalled stream holds cannot be taken back, so they must never use memory that a new stream's floor needs.
    pub reserved: u64,
    /// The least window of each stream.
    pub floor: u64,
    /// The largest window of a stream.
    pub max_window: u64,
    /// A window holds what its receiver takes in this time.
    pub lookahead: Span,
}

#[derive(Clone, Debug)]
struct StreamWindow {
    weight: f64,
    /// The bytes that the stream may hold.
    window: u64,
    /// The bytes that the stream holds.
    held: u64,
    /// The smoothed rate at which the receiver takes bytes, in bytes per second.
    rate: f64,
    /// Bytes that the receiver has taken since the last call of `rebalance`.
    taken: u64,
}

/// The window of each stream, and the bytes that the stream holds.
#[derive(Clone, Debug)]
pub struct MemoryPool {
    limits: MemoryLimits,
    streams: BTreeMap<StreamId, StreamWindow>,
    /// The part of the budget that something else than streams uses, in bytes.
    unavailable: u64,
    last_rebalance: Instant,
}

/// Weight of a new sample in a learned rate that falls. A rate that rises is followed at once, so that a receiver is not
/// kept slow after a stall.
const FALLING_RATE_GAIN: f64 = 0.25;
/// If at least this fraction of a part of the budget is used, memory counts as scarce.
const SCARCE_FRACTION: f64 = 0.8;
/// The factor by which a window grows when its receiver emptied it between two rebalances: then the window limits the
/// stream, not the receiver.
const WINDOW_GROWTH: f64 = 2.0;

impl MemoryPool {
    /// Creates a pool without streams.
    pub fn new(limits: MemoryLimits, now: Instant) -> Self {
        Self { limits, streams: BTreeMap::new(), unavailable: 0, last_rebalance: now }
    }

    /// Sets how many bytes of the budget are used by something else than streams. Windows above their floors get what is
    /// left; floors are not affected.
    pub fn set_unavailable(&mut self, bytes: u64) {
        self.unavailable = bytes;
    }

    /// The bytes that windows above their floors share.
    fn shared_bytes(&self) -> u64 {
        self.limits.total.saturating_sub(self.limits.reserved).saturating_sub(self.unavailable)
    }

    /// Admits a stream and reserves its floor. Returns false if the reserved part has no room for another floor.
    pub fn admit(&mut self, stream: StreamId, weight: f64) -> bool {
        if (self.streams.len() as u64 + 1) * self.limits.floor > self.limits.reserved {
            return false;
        }
        let window = StreamWindow {
            weight: weight.max(1e-9),
            window: self.limits.floor,
            held: 0,
            rate: 0.0,
            taken: 0,
        };
        self.streams.insert(stream, window);
        true
    }

    /// Removes a stream, and frees what it held.
    pub fn remove(&mut self, stream: StreamId) {
        self.streams.remove(&stream);
    }

    /// The sum over all streams of the larger of window and held bytes.
    pub fn committed_bytes(&self) -> u64 {
        self.streams.values().map(|stream| stream.window.max(stream.held)).sum()
    }

    /// The bytes that all streams hold.
    pub fn held_bytes(&self) -> u64 {
        self.streams.values().map(|stream| stream.held).sum()
    }

    /// The least window of each stream, in bytes.
    pub fn floor_bytes(&self) -> u64 {
        self.limits.floor
    }

    /// Whether most of the part above the floors, or most of the part reserved for floors, is in use.
    pub fn is_scarce(&self) -> bool {
        let MemoryLimits { reserved, floor, .. } = self.limits;
        let is_nearly_full = |used: u64, limit: u64| used as f64 >= limit as f64 * SCARCE_FRACTION;
        is_nearly_full(self.committed_above_floors(), self.shared_bytes())
            || is_nearly_full(self.streams.len() as u64 * floor, reserved)
    }

    /// The part of the committed bytes that exceeds the floors.
    fn committed_above_floors(&self) -> u64 {
        let floor = self.limits.floor;
        self.streams.values().map(|stream| stream.window.max(stream.held).saturating_sub(floor)).sum()
    }

    /// Sets the bytes that a stream holds, and adds the bytes that its receiver took since the last report.
    pub fn record_held(&mut self, stream: StreamId, held: u64, taken: u64) {
        if let Some(state) = self.streams.get_mut(&stream) {
            state.held = held;
            state.taken += taken;
        }
    }

    /// The bytes that a stream may hold.
    pub fn window(&self, stream: StreamId) -> u64 {
        self.streams.get(&stream).map_or(0, |stream| stream.window)
    }

    /// The bytes that may be read for a stream now.
    pub fn room(&self, stream: StreamId) -> u64 {
        self.streams.get(&stream).map_or(0, |stream| stream.window.saturating_sub(stream.held))
    }

    /// Records bytes that were read for a stream; they must not exceed its room.
    pub fn record_read(&mut self, stream: StreamId, bytes: u64) {
        if let Some(state) = self.streams.get_mut(&stream) {
            debug_assert!(
                bytes <= state.window.saturating_sub(state.held),
                "a stream read more bytes than its window has room for"
            );
            state.held += bytes;
        }
    }

    /// Records bytes that were written to a stream's receiver.
    pub fn record_written(&mut self, stream: StreamId, bytes: u64) {
        if let Some(state) = self.streams.get_mut(&stream) {
            state.held = state.held.saturating_sub(bytes);
            state.taken += bytes;
        }
    }

    /// Recomputes the windows from the bytes that the receivers have taken since the last call. The window of a stalled
    /// stream shrinks to its floor. If a window shrinks below what its stream holds, the excess goes to other streams only once
    /// it has been written out.
    pub fn rebalance(&mut self, now: Instant) {
        let elapsed = (now - self.last_rebalance).secs();
        if elapsed <= 0.0 {
            return;
        }
        self.last_rebalance = now;
        let MemoryLimits { floor, max_window, lookahead, .. } = self.limits;
        let shared = self.shared_bytes();
        let mut wanted = Vec::with_capacity(self.streams.len());
        for (id, stream) in &mut self.streams {
            let rate = stream.taken as f64 / elapsed;
            stream.rate = if rate > stream.rate {
                rate
            } else {
                stream.rate + (rate - stream.rate) * FALLING_RATE_GAIN
            };
            let is_window_limited = stream.taken >= stream.window;
            let wanted_window = if is_window_limited {
                stream.window as f64 * WINDOW_GROWTH
            } else {
                stream.rate * lookahead.secs()
            };
            let above_floor = (wanted_window as u64).clamp(floor, max_window.max(floor)) - floor;
            wanted.push((*id, stream.weight, above_floor));
            stream.taken = 0;
        }
        let mut left = shared as f64;
        // Weighted water-filling, smallest demand per weight first: memory that a stream does not need is left to the
        // others.
        wanted.sort_by(|a, b| (a.2 as f64 / a.1).total_cmp(&(b.2 as f64 / b.1)).then(a.0.cmp(&b.0)));
        let mut weights: f64 = wanted.iter().map(|(_, weight, _)| weight).sum();
        let mut targets = Vec::with_capacity(wanted.len());
        for (id, weight, above_floor) in wanted {
            let given = (left * weight / weights).min(above_floor as f64).floor();
            (left, weights) = (left - given, weights - weight);
            targets.push((id, floor + given as u64));
        }
        // Windows shrink before any grows. Bytes that are still held above a shrunk window are not free yet.
        for (id, target) in &targets {
            let Some(stream) = self.streams.get_mut(id) else { continue };
            stream.window = stream.window.min(*target);
        }
        let mut free = shared.saturating_sub(self.committed_above_floors());
        for (id, target) in targets {
            let Some(stream) = self.streams.get_mut(&id) else { continue };
            let committed = stream.window.max(stream.held);
            let missing = target.max(committed) - committed;
            let given = missing.min(free);
            if target > stream.window {
                stream.window = target.min(committed + given);
            }
            free -= given;
        }
    }
}
