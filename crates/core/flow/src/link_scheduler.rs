//! A scarce link: octets go out no faster than it carries, in the order of [`Order`]. A sender asks, is granted so many
//! octets, and asks again.

use crate::{Order, StreamId};
use lynxtally::{Instant, Span};
use std::collections::BTreeMap;

/// The link.
#[derive(Clone, Debug)]
pub struct Link {
    order: Order,
    /// Octets a second.
    rate: f64,
    burst: f64,
    tokens: f64,
    last: Instant,
    granted: BTreeMap<StreamId, u64>,
    /// Octets granted since this was last asked, and since when.
    used: f64,
    since: Instant,
}

/// What may go out at once after a pause, as time.
const BURST: Span = Span::from_millis(20);
/// A turn's octets, as a part of what goes out in that time.
const QUANTUM: f64 = 1.0 / 16.0;

impl Link {
    /// A link that carries so many octets a second.
    pub fn new(rate: f64, now: Instant) -> Self {
        let burst = (rate * BURST.secs()).max(2.0);
        let order = Order::new((burst * QUANTUM) as u64);
        Self { order, rate, burst, tokens: burst, last: now, granted: BTreeMap::new(), used: 0.0, since: now }
    }

    /// A stream takes part from now on.
    pub fn enter(&mut self, stream: StreamId, weight: f64) {
        self.order.enter(stream, weight);
    }

    /// A stream is over; what it was granted and did not use goes to others.
    pub fn leave(&mut self, stream: StreamId) {
        self.order.leave(stream);
        let back = self.granted.remove(&stream).unwrap_or(0) as f64;
        (self.tokens, self.used) = (self.tokens + back, self.used - back);
    }

    /// How many octets a stream may send now.
    pub fn granted(&self, stream: StreamId) -> u64 {
        self.granted.get(&stream).copied().unwrap_or(0)
    }

    /// A stream sent so many of them; `more` tells whether it has others.
    pub fn sent(&mut self, stream: StreamId, octets: u64, more: bool) {
        let left = self.granted(stream).saturating_sub(octets);
        if left > 0 {
            // Its receiver takes no more now: what is left is kept for it, or is others' where it has none to send.
            self.granted.insert(stream, left);
        } else {
            self.granted.remove(&stream);
        }
        if more && left == 0 {
            self.order.ready(stream);
        }
    }

    /// Grants what the link has carried meanwhile; tells who may send.
    pub fn grant(&mut self, now: Instant) -> Vec<StreamId> {
        self.tokens = (self.tokens + (now - self.last).secs() * self.rate).min(self.burst);
        self.last = self.last.max(now);
        let mut woken = Vec::new();
        while self.tokens >= 1.0 {
            let Some((stream, most)) = self.order.turn() else { break };
            // Whole turns are granted, and paid for afterwards: weights would not count for pieces of turns.
            self.order.sent(stream, most, false);
            *self.granted.entry(stream).or_default() += most;
            (self.tokens, self.used) = (self.tokens - most as f64, self.used + most as f64);
            woken.push(stream);
        }
        woken
    }

    /// The part of the link that was granted since this was last asked.
    pub fn busy(&mut self, now: Instant) -> f64 {
        let past = (now - self.since).secs().max(1e-6);
        let busy = self.used / (self.rate * past);
        (self.used, self.since) = (0.0, now);
        busy.clamp(0.0, 1.0)
    }

    /// How long a stream that asks waits at most until the next look, so that a turn is never late by much.
    pub fn period(&self) -> Span {
        BURST * 0.25
    }
}
