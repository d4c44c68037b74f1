//! Schedules a link of limited rate: a token bucket limits the bytes that go out, and [`DeficitRoundRobin`] decides
//! which stream gets them. A sender asks for a turn, is granted a number of bytes, and asks again once they are sent.

use crate::{DeficitRoundRobin, StreamId};
use lynxtally::{Instant, Span};
use std::collections::BTreeMap;

/// The token bucket of the link, and the bytes granted to each stream.
#[derive(Clone, Debug)]
pub struct LinkScheduler {
    turns: DeficitRoundRobin,
    /// Bytes per second.
    rate: f64,
    /// Capacity of the token bucket, in bytes.
    burst: f64,
    tokens: f64,
    last_refill: Instant,
    granted: BTreeMap<StreamId, u64>,
    /// Bytes granted since `utilization_start`.
    used: f64,
    utilization_start: Instant,
}

/// Capacity of the token bucket, as the time that the link takes to send it.
const BURST: Span = Span::from_millis(20);
/// The quantum of a stream of weight 1, as a fraction of the bucket's capacity.
const QUANTUM_FRACTION: f64 = 1.0 / 16.0;

impl LinkScheduler {
    /// Creates a scheduler for a link of `rate` bytes per second.
    pub fn new(rate: f64, now: Instant) -> Self {
        let burst = (rate * BURST.secs()).max(2.0);
        let turns = DeficitRoundRobin::new((burst * QUANTUM_FRACTION) as u64);
        Self {
            turns,
            rate,
            burst,
            tokens: burst,
            last_refill: now,
            granted: BTreeMap::new(),
            used: 0.0,
            utilization_start: now,
        }
    }

    /// Adds a stream.
    pub fn add(&mut self, stream: StreamId, weight: f64) {
        self.turns.add(stream, weight);
    }

    /// Removes a stream; bytes granted to it and not sent return to the bucket.
    pub fn remove(&mut self, stream: StreamId) {
        self.turns.remove(stream);
        let unused = self.granted.remove(&stream).unwrap_or(0) as f64;
        (self.tokens, self.used) = (self.tokens + unused, self.used - unused);
    }

    /// How many bytes a stream may send now.
    pub fn granted_bytes(&self, stream: StreamId) -> u64 {
        self.granted.get(&stream).copied().unwrap_or(0)
    }

    /// Records that a stream sent `bytes` of its grant; `has_more` says whether it waits for another turn.
    pub fn record_sent(&mut self, stream: StreamId, bytes: u64, has_more: bool) {
        let left = self.granted_bytes(stream).saturating_sub(bytes);
        if left > 0 {
            // The receiver takes no more for now: the stream keeps the rest of its grant until it ends.
            self.granted.insert(stream, left);
        } else {
            self.granted.remove(&stream);
        }
        if has_more && left == 0 {
            self.turns.mark_ready(stream);
        }
    }

    /// Refills the bucket for the time since the last call, grants turns while it has tokens, and returns the streams
    /// that were granted bytes.
    pub fn grant_turns(&mut self, now: Instant) -> Vec<StreamId> {
        self.tokens = (self.tokens + (now - self.last_refill).secs() * self.rate).min(self.burst);
        self.last_refill = self.last_refill.max(now);
        let mut granted_streams = Vec::new();
        while self.tokens >= 1.0 {
            let Some((stream, bytes)) = self.turns.next_turn() else { break };
            // A turn is always granted in full, even if that makes the tokens negative: shortened turns would not follow
            // the weights.
            self.turns.record_sent(stream, bytes, false);
            *self.granted.entry(stream).or_default() += bytes;
            (self.tokens, self.used) = (self.tokens - bytes as f64, self.used + bytes as f64);
            granted_streams.push(stream);
        }
        granted_streams
    }

    /// The fraction of the link's rate that was granted since the last call.
    pub fn take_utilization(&mut self, now: Instant) -> f64 {
        let elapsed = (now - self.utilization_start).secs().max(1e-6);
        let utilization = self.used / (self.rate * elapsed);
        (self.used, self.utilization_start) = (0.0, now);
        utilization.clamp(0.0, 1.0)
    }

    /// How often [`grant_turns`](Self::grant_turns) has to be called while streams wait. It is a quarter of the burst time,
    /// so that a turn is never granted much later than the link could carry it.
    pub fn grant_interval(&self) -> Span {
        BURST * 0.25
    }
}
