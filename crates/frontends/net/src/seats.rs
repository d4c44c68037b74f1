//! Who is connected, and who of them rests: so many at most, and one that rests goes where another comes.

use crate::line::lock;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

struct Seat<T> {
    who: T,
    resting: bool,
    since: Instant,
}

/// The connections of a front.
pub struct Seats<T> {
    inside: Mutex<BTreeMap<u64, Seat<T>>>,
    next: AtomicU64,
    most: usize,
}

/// There is no room, and nobody rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl<T: Clone> Seats<T> {
    /// So many at most.
    pub fn new(most: usize) -> Self {
        Self { inside: Mutex::default(), next: AtomicU64::new(0), most }
    }

    /// A seat for one more: its number, and who has to go for it: the one that rests longest.
    pub fn take(&self, who: T) -> Result<(u64, Option<T>), Full> {
        let mut seats = lock(&self.inside);
        let mut goes = None;
        if seats.len() >= self.most {
            let oldest = seats.values().filter(|seat| seat.resting).min_by_key(|seat| seat.since);
            goes = Some(oldest.ok_or(Full)?.who.clone());
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        seats.insert(number, Seat { who, resting: true, since: Instant::now() });
        Ok((number, goes))
    }

    /// Whether a connection rests from now on.
    pub fn stand(&self, number: u64, resting: bool) {
        if let Some(seat) = lock(&self.inside).get_mut(&number).filter(|seat| seat.resting != resting) {
            (seat.resting, seat.since) = (resting, Instant::now());
        }
    }

    /// Those that rest for so long.
    pub fn resting(&self, least: Duration) -> Vec<T> {
        let seats = lock(&self.inside);
        let rests = seats.values().filter(|seat| seat.resting && seat.since.elapsed() >= least);
        rests.map(|seat| seat.who.clone()).collect()
    }

    /// A connection is over.
    pub fn leave(&self, number: u64) {
        lock(&self.inside).remove(&number);
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        lock(&self.inside).len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
