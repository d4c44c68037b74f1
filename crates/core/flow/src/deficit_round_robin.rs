//! Deficit round robin: decides which stream sends next and how many bytes. Source: M. Shreedhar, G. Varghese,
//! "Efficient Fair Queuing Using Deficit Round-Robin" (1996). The quantum of a stream is the common quantum times the
//! stream's weight.

use crate::StreamId;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug)]
struct StreamQueue {
    weight: f64,
    /// Bytes that the stream may still send in its turn.
    deficit: f64,
    /// Whether the stream has bytes to send and is in the active list.
    active: bool,
}

/// The scheduler's state: the weight and deficit of each stream, and the active list.
#[derive(Clone, Debug)]
pub struct DeficitRoundRobin {
    quantum: f64,
    queues: BTreeMap<StreamId, StreamQueue>,
    active_list: VecDeque<StreamId>,
    /// Whether the stream at the front of the active list has received its quantum for this turn.
    turn_started: bool,
}

impl DeficitRoundRobin {
    /// Creates a scheduler in which a stream of weight 1 may send `quantum` bytes per turn.
    pub fn new(quantum: u64) -> Self {
        Self {
            quantum: quantum.max(1) as f64,
            queues: BTreeMap::new(),
            active_list: VecDeque::new(),
            turn_started: false,
        }
    }

    /// Adds a stream, which has nothing to send yet.
    pub fn add(&mut self, stream: StreamId, weight: f64) {
        self.queues.insert(stream, StreamQueue { weight: weight.max(1e-6), deficit: 0.0, active: false });
    }

    /// Removes a stream.
    pub fn remove(&mut self, stream: StreamId) {
        if self.active_list.front() == Some(&stream) {
            self.turn_started = false;
        }
        self.queues.remove(&stream);
        self.active_list.retain(|listed| *listed != stream);
    }

    /// Marks a stream as having bytes to send.
    pub fn mark_ready(&mut self, stream: StreamId) {
        if let Some(queue) = self.queues.get_mut(&stream) {
            if !std::mem::replace(&mut queue.active, true) {
                self.active_list.push_back(stream);
            }
        }
    }

    /// The stream that sends next, and the most bytes that it may send. Returns `None` if no stream has bytes to send.
    pub fn next_turn(&mut self) -> Option<(StreamId, u64)> {
        loop {
            let stream = *self.active_list.front()?;
            let Some(queue) = self.queues.get_mut(&stream) else {
                self.active_list.pop_front();
                continue;
            };
            if !std::mem::replace(&mut self.turn_started, true) {
                queue.deficit += self.quantum * queue.weight;
            }
            if queue.deficit >= 1.0 {
                return Some((stream, queue.deficit as u64));
            }
            self.active_list.rotate_left(1);
            self.turn_started = false;
        }
    }

    /// Records that the stream returned by [`next_turn`](Self::next_turn) sent `bytes`; `has_more` says whether it has
    /// more to send.
    pub fn record_sent(&mut self, stream: StreamId, bytes: u64, has_more: bool) {
        let Some(queue) = self.queues.get_mut(&stream) else { return };
        queue.deficit -= bytes as f64;
        let is_first = self.active_list.front() == Some(&stream);
        if !has_more {
            // A stream without bytes to send must not carry a deficit over to a later turn.
            (queue.deficit, queue.active) = (0.0, false);
            self.active_list.retain(|listed| *listed != stream);
        } else if queue.deficit < 1.0 && is_first {
            self.active_list.rotate_left(1);
        } else {
            return;
        }
        self.turn_started &= !is_first;
    }
}
