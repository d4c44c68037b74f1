//! The table of open connections, and which of them is closed to make room for a new one.

use super::ACCEPT_RETRY_PAUSE;
use crate::messages::{ConnectionCommand, ConnectionHandle};
use lynxtally_net::close_reason::CloseReason;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A connection that has been in its state for less is not evicted: its first bytes may be on their way.
pub(super) const MIN_TIME_IN_STATE: Duration = ACCEPT_RETRY_PAUSE;
/// Evicted connections need a moment to close. Until then the table may hold this fraction more than its limit.
const OVERCOMMIT_DIVISOR: usize = 8;

/// What a connection is doing. To make room, connections are evicted in the order of these states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ConnectionState {
    /// The last response was written, and it is read on so that this response is not lost to a reset.
    Lingering,
    /// No complete message has come on it yet.
    New,
    /// A message has begun, or a response is not taken yet.
    Partial,
    /// Between two messages.
    Idle,
    /// A request on it is open.
    Serving,
}

/// An open connection.
pub(super) struct Entry {
    handle: ConnectionHandle,
    pub state: ConnectionState,
    /// Since when it has been in this state.
    pub since: Instant,
    /// Whether it was told to close to make room, and has not changed its state since.
    evicted: bool,
}

/// Whether one more connection can be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionSlot {
    /// Now.
    Available,
    /// Once evicted connections have closed.
    AfterEviction,
    /// No connection may be evicted yet.
    NoneEvictable,
}

/// All open connections, by number.
pub(super) struct ConnectionTable {
    entries: BTreeMap<u64, Entry>,
    next_number: u64,
    max_connections: usize,
}

impl ConnectionTable {
    pub fn new(max_connections: usize) -> Self {
        Self { entries: BTreeMap::new(), next_number: 0, max_connections }
    }

    /// Adds a new connection and returns its number.
    pub fn insert(&mut self, handle: ConnectionHandle) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let entry = Entry { handle, state: ConnectionState::New, since: Instant::now(), evicted: false };
        self.entries.insert(number, entry);
        number
    }

    pub fn remove(&mut self, number: u64) {
        self.entries.remove(&number);
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn all(&self, predicate: impl Fn(&Entry) -> bool) -> bool {
        self.entries.values().all(predicate)
    }

    /// A connection is in this state from now on.
    pub fn set_state(&mut self, number: u64, state: ConnectionState) {
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.state = state;
            entry.since = Instant::now();
            entry.evicted = false;
        }
    }

    /// Tells the connections that the predicate selects to close.
    pub fn close_where(&self, reason: CloseReason, selects: impl Fn(&Entry) -> bool) {
        for entry in self.entries.values().filter(|entry| selects(entry)) {
            entry.handle.push(ConnectionCommand::Close(reason));
        }
    }

    pub fn send_to_all(&self, command: &ConnectionCommand) {
        for entry in self.entries.values() {
            entry.handle.push(command.clone());
        }
    }

    /// Whether there is room for one more connection, for which another is evicted where the table is full.
    ///
    /// Evicted first are connections that linger, then those that never carried a complete message, then idle ones, of
    /// each the one that has been so longest; never one with an open request. So neither silent clients nor those that
    /// keep their connections open for good shut the others out. The price: a client whose idle connection is evicted
    /// just as it sends has to send again.
    pub fn make_room(&mut self) -> ConnectionSlot {
        if self.len() < self.max_connections {
            return ConnectionSlot::Available;
        }
        self.evict_one()
    }

    /// The same where the system has no descriptor left, although the table is not full.
    pub fn evict_one(&mut self) -> ConnectionSlot {
        let is_overcommitted = self.len() >= self.max_connections + self.max_connections / OVERCOMMIT_DIVISOR;
        if is_overcommitted && self.entries.values().any(|entry| entry.evicted) {
            return ConnectionSlot::AfterEviction;
        }
        let may_be_evicted = |entry: &&mut Entry| {
            !entry.evicted
                && entry.state != ConnectionState::Serving
                && entry.since.elapsed() >= MIN_TIME_IN_STATE
        };
        let candidates = self.entries.values_mut().filter(may_be_evicted);
        let Some(entry) = candidates.min_by_key(|entry| (entry.state, entry.since)) else {
            return ConnectionSlot::NoneEvictable;
        };
        // Each makes room for one new connection: evicted twice, it would be counted on twice.
        entry.evicted = true;
        entry.handle.push(ConnectionCommand::Close(CloseReason::Evicted));
        if is_overcommitted {
            ConnectionSlot::AfterEviction
        } else {
            ConnectionSlot::Available
        }
    }
}
