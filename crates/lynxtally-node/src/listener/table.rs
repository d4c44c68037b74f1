//! The table of open connections, and the choice of the connection to evict for a new one.

use super::ACCEPT_RETRY_PAUSE;
use crate::messages::{ConnectionCommand, ConnectionHandle};
use lynxtally_net::close_reason::CloseReason;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A connection is not evicted until it has been in its state for this long, as its first bytes may be in transit.
pub(super) const MIN_TIME_IN_STATE: Duration = ACCEPT_RETRY_PAUSE;
/// While evicted connections close, the table may exceed its limit by the limit divided by this.
const OVERCOMMIT_DIVISOR: usize = 8;

/// The state of a connection. Connections are evicted in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ConnectionState {
    /// The last response was written. The node still reads, as closing now could reset the connection and lose the
    /// response.
    Lingering,
    /// No complete message has arrived yet.
    New,
    /// A message is incomplete, or a response is not fully written.
    Partial,
    /// The connection is between two messages.
    Idle,
    /// The connection has an open request.
    Serving,
}

/// An open connection in the table.
pub(super) struct Entry {
    handle: ConnectionHandle,
    pub state: ConnectionState,
    /// When the connection entered this state.
    pub since: Instant,
    /// Whether the connection got an eviction command in this state.
    evicted: bool,
}

/// Whether the table has a slot for one more connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionSlot {
    /// A slot is available now.
    Available,
    /// A slot will be available when evicted connections have closed.
    AfterEviction,
    /// The table is full, and no connection may be evicted yet.
    NoneEvictable,
}

/// The open connections, by connection number.
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

    /// Sets the state of a connection, which resets its time in the state and its eviction mark.
    pub fn set_state(&mut self, number: u64, state: ConnectionState) {
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.state = state;
            entry.since = Instant::now();
            entry.evicted = false;
        }
    }

    /// Sends a close command to each connection that the predicate selects.
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

    /// Returns whether there is a slot for one more connection. If the table is full, evicts a connection for it.
    ///
    /// Connections are evicted in the order of [`ConnectionState`], and within a state by the longest time in it. A
    /// connection with an open request is never evicted. Thus neither silent clients nor clients that keep
    /// connections open forever can block new clients. A client whose idle connection is evicted while it sends a
    /// request has to send the request again.
    pub fn make_room(&mut self) -> ConnectionSlot {
        if self.len() < self.max_connections {
            return ConnectionSlot::Available;
        }
        self.evict_one()
    }

    /// Evicts one connection even if the table is not full. Used when the process has no descriptors left.
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
        // Each evicted connection provides one slot. Evicting it a second time would count that slot twice.
        entry.evicted = true;
        entry.handle.push(ConnectionCommand::Close(CloseReason::Evicted));
        if is_overcommitted {
            ConnectionSlot::AfterEviction
        } else {
            ConnectionSlot::Available
        }
    }
}
