//! A table of the open connections of a frontend, up to a maximum. If the table is full, a new connection evicts the
//! connection that has been idle longest. A busy connection is never evicted.

use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

struct Entry<T> {
    handle: T,
    is_idle: bool,
    /// When the connection last became idle or busy.
    since: Instant,
}

/// The open connections of a frontend. `T` is a handle through which the frontend reaches a connection.
pub struct ConnectionTable<T> {
    entries: Mutex<BTreeMap<u64, Entry<T>>>,
    next_number: AtomicU64,
    max_connections: usize,
}

/// The table is full, and no connection in it is idle.
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
    /// The table is full of busy connections.
    pub fn insert(&self, handle: T) -> Result<Inserted<T>, TableFull> {
        let mut entries = lock(&self.entries);
        let mut evicted = None;
        if entries.len() >= self.max_connections {
            let longest_idle = entries.values().filter(|entry| entry.is_idle).min_by_key(|entry| entry.since);
            evicted = Some(longest_idle.ok_or(TableFull)?.handle.clone());
        }
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        entries.insert(number, Entry { handle, is_idle: true, since: Instant::now() });
        Ok(Inserted { number, evicted })
    }

    /// Marks a connection idle or busy.
    pub fn set_idle(&self, number: u64, is_idle: bool) {
        let mut entries = lock(&self.entries);
        if let Some(entry) = entries.get_mut(&number).filter(|entry| entry.is_idle != is_idle) {
            entry.is_idle = is_idle;
            entry.since = Instant::now();
        }
    }

    /// The connections that have been idle for at least `min_idle`.
    pub fn idle_for(&self, min_idle: Duration) -> Vec<T> {
        let entries = lock(&self.entries);
        let idle = entries.values().filter(|entry| entry.is_idle && entry.since.elapsed() >= min_idle);
        idle.map(|entry| entry.handle.clone()).collect()
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
