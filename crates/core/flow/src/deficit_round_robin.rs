//! Whose octets go next on a scarce link: deficit round robin. Source: M. Shreedhar, G. Varghese, "Efficient Fair
//! Queuing Using Deficit Round-Robin" (1996); a stream's quantum is its weight times the common one.

use crate::StreamId;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug)]
struct Turn {
    weight: f64,
    deficit: f64,
    ready: bool,
}

/// The order.
#[derive(Clone, Debug)]
pub struct Order {
    quantum: f64,
    turns: BTreeMap<StreamId, Turn>,
    line: VecDeque<StreamId>,
    /// Whether the first in line had its quantum added in this turn.
    begun: bool,
}

impl Order {
    /// An order in which a stream of weight 1 sends so many octets a turn.
    pub fn new(quantum: u64) -> Self {
        Self { quantum: quantum.max(1) as f64, turns: BTreeMap::new(), line: VecDeque::new(), begun: false }
    }

    /// A stream takes part from now on.
    pub fn enter(&mut self, stream: StreamId, weight: f64) {
        self.turns.insert(stream, Turn { weight: weight.max(1e-6), deficit: 0.0, ready: false });
    }

    /// A stream is over.
    pub fn leave(&mut self, stream: StreamId) {
        if self.line.front() == Some(&stream) {
            self.begun = false;
        }
        self.turns.remove(&stream);
        self.line.retain(|own| *own != stream);
    }

    /// A stream has octets to send.
    pub fn ready(&mut self, stream: StreamId) {
        if let Some(turn) = self.turns.get_mut(&stream) {
            if !std::mem::replace(&mut turn.ready, true) {
                self.line.push_back(stream);
            }
        }
    }

    /// The stream that sends next and how many octets at most; none where nobody has any.
    pub fn turn(&mut self) -> Option<(StreamId, u64)> {
        loop {
            let stream = *self.line.front()?;
            let Some(turn) = self.turns.get_mut(&stream) else {
                self.line.pop_front();
                continue;
            };
            if !std::mem::replace(&mut self.begun, true) {
                turn.deficit += self.quantum * turn.weight;
            }
            if turn.deficit >= 1.0 {
                return Some((stream, turn.deficit as u64));
            }
            self.line.rotate_left(1);
            self.begun = false;
        }
    }

    /// The one that was next sent so many octets; `more` tells whether it has others.
    pub fn sent(&mut self, stream: StreamId, octets: u64, more: bool) {
        let Some(turn) = self.turns.get_mut(&stream) else { return };
        turn.deficit -= octets as f64;
        let first = self.line.front() == Some(&stream);
        if !more {
            // Who has nothing to send saves nothing up.
            (turn.deficit, turn.ready) = (0.0, false);
            self.line.retain(|own| *own != stream);
        } else if turn.deficit < 1.0 && first {
            self.line.rotate_left(1);
        } else {
            return;
        }
        self.begun &= !first;
    }
}
