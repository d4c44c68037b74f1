//! The queue of future events, a radix heap. It relies on simulated time being monotonic: no event is due earlier than the
//! last event that was popped, so each event moves to a lower bucket at most once per bit of its time. Events due at the
//! same instant are popped in the order in which they were pushed. Source: R. K. Ahuja, K. Mehlhorn, J. B. Orlin,
//! R. E. Tarjan, "Faster Algorithms for the Shortest Path Problem" (1990).

/// A monotone priority queue of events, ordered by time.
#[derive(Clone, Debug)]
pub struct EventQueue<T> {
    /// Bucket 0 holds the events due at `now`; bucket n holds those whose time differs from `now` in bit n - 1 and in no
    /// higher bit.
    buckets: Vec<Vec<(u64, T)>>,
    /// Index of the next event in bucket 0.
    next_in_first: usize,
    /// Time of the events in bucket 0.
    now: u64,
    length: usize,
}

impl<T: Copy> Default for EventQueue<T> {
    fn default() -> Self {
        Self { buckets: (0..=64).map(|_| Vec::new()).collect(), next_in_first: 0, now: 0, length: 0 }
    }
}

impl<T: Copy> EventQueue<T> {
    /// Number of events in the queue.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the queue has no events.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn bucket(&self, at: u64) -> usize {
        (64 - (at ^ self.now).leading_zeros()) as usize
    }

    /// Adds an event. An event with a time before that of the last popped event is due immediately.
    pub fn push(&mut self, at: u64, event: T) {
        let at = at.max(self.now);
        let bucket = self.bucket(at);
        self.buckets[bucket].push((at, event));
        self.length += 1;
    }

    /// Removes and returns the event with the earliest time.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        if self.length == 0 {
            return None;
        }
        if self.next_in_first == self.buckets[0].len() {
            self.buckets[0].clear();
            self.next_in_first = 0;
            let bucket = self.buckets.iter().position(|bucket| !bucket.is_empty())?;
            // Events of a bucket are in the order in which they were pushed. Moving them in order keeps it.
            let moved = std::mem::take(&mut self.buckets[bucket]);
            self.now = moved.iter().map(|(at, _)| *at).min()?;
            for (at, event) in &moved {
                let bucket = self.bucket(*at);
                self.buckets[bucket].push((*at, *event));
            }
            // Keeps the allocation of the emptied bucket for later events.
            let mut moved = moved;
            moved.clear();
            if self.buckets[bucket].is_empty() {
                self.buckets[bucket] = moved;
            }
        }
        let next = self.buckets[0].get(self.next_in_first).copied()?;
        self.next_in_first += 1;
        self.length -= 1;
        Some(next)
    }
}
