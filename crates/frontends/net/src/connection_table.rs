//! A table of the open connections of a frontend, up to a maximum. If the table is full, a new connection evicts the one
//! that has had an incomplete message for longest, or else the one that has been idle longest. A busy connection, whose
//! request is being served, is never evicted.

use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// An incomplete message does not make its connection a candidate for eviction before this time: the rest may be in
/// transit.
const MIN_RECEIVING_TIME: Duration = Duration::from_millis(20);

/// The state of a connection. Connections are evicted in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionState {
    /// A part of a message was received, and no request of the connection is being served.
    Receiving,
    /// The connection is between two messages.
    Idle,
    /// A request of the connection is being served.
    Busy,
}

struct Entry<T> {
    handle: T,
    state: ConnectionState,
    /// When the connection entered this state.
    since: Instant,
    /// Whether the connection was evicted and is about to be removed.
    is_evicted: bool,
}

impl<T> Entry<T> {
    fn may_be_evicted(&self) -> bool {
        !self.is_evicted
            && match self.state {
                ConnectionState::Receiving => self.since.elapsed() >= MIN_RECEIVING_TIME,
                ConnectionState::Idle => true,
                ConnectionState::Busy => false,
            }
    }
}

/// The open connections of a frontend. `T` is a handle through which the frontend reaches a connection.
pub struct ConnectionTable<T> {
    entries: Mutex<BTreeMap<u64, Entry<T>>>,
    next_number: AtomicU64,
    max_connections: usize,
}

/// The table is full, and no connection in it may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableFull;

/// A connection that was added to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Inserted<T> {
    /// The number that identifies the connection in later calls to the table.
    pub number: u64,
    /// The connection that must be closed in exchange. It stays in the table until it is removed.
    pub evicted: Option<T>,
}

impl<T: Clone> ConnectionTable<T> {
    /// Creates an empty table for `max_connections` connections. It holds more only until evicted ones are removed.
    pub fn new(max_connections: usize) -> Self {
        Self { entries: Mutex::default(), next_number: AtomicU64::new(0), max_connections }
    }

    /// Adds a connection, which is idle at first.
    ///
    /// # Errors
    /// The table is full of connections that may not be evicted.
    pub fn insert(&self, handle: T) -> Result<Inserted<T>, TableFull> {
        let mut entries = lock(&self.entries);
        let mut evicted = None;
        if entries.len() >= self.max_connections {
            let chosen = Self::choose_evicted(&mut entries, ConnectionState::Idle);
            evicted = Some(chosen.ok_or(TableFull)?);
        }
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let entry = Entry { handle, state: ConnectionState::Idle, since: Instant::now(), is_evicted: false };
        entries.insert(number, entry);
        Ok(Inserted { number, evicted })
    }

    /// Chooses a connection to evict although the table may have room, and returns its handle. `last` is the last state
    /// in the order of eviction from which one is chosen. The connection must be closed; it stays in the table until it is
    /// removed.
    pub fn evict(&self, last: ConnectionState) -> Option<T> {
        Self::choose_evicted(&mut lock(&self.entries), last)
    }

    fn choose_evicted(entries: &mut BTreeMap<u64, Entry<T>>, last: ConnectionState) -> Option<T> {
        let candidates = entries.values_mut().filter(|entry| entry.state <= last && entry.may_be_evicted());
        let entry = candidates.min_by_key(|entry| (entry.state, entry.since))?;
        entry.is_evicted = true;
        Some(entry.handle.clone())
    }

    /// Sets the state of a connection. Its time in the state is counted from the first call with this state.
    pub fn set_state(&self, number: u64, state: ConnectionState) {
        let mut entries = lock(&self.entries);
        if let Some(entry) = entries.get_mut(&number).filter(|entry| entry.state != state) {
            entry.state = state;
            entry.since = Instant::now();
            entry.is_evicted = false;
        }
    }

    /// The connections that have been idle for at least `min_idle`.
    pub fn idle_for(&self, min_idle: Duration) -> Vec<T> {
        self.in_state_for(ConnectionState::Idle, min_idle)
    }

    /// The connections that have been in a state for at least `min_time`.
    pub fn in_state_for(&self, state: ConnectionState, min_time: Duration) -> Vec<T> {
        let entries = lock(&self.entries);
        let selected =
            entries.values().filter(|entry| entry.state == state && entry.since.elapsed() >= min_time);
        selected.map(|entry| entry.handle.clone()).collect()
    }

    /// Removes a connection that was closed.
    pub fn remove(&self, number: u64) {
        lock(&self.entries).remove(&number);
    }

    /// How many connections are open.
    pub fn len(&self) -> usize {
        lock(&self.entries).len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
