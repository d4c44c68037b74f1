//! The queue of future events: a radix heap. Simulated time only goes forward, so what comes out is never earlier than
//! what came out before; then each event moves down a bucket at most once for each bit of time. Source: R. K. Ahuja,
//! K. Mehlhorn, J. B. Orlin, R. E. Tarjan, "Faster Algorithms for the Shortest Path Problem" (1990). Of events due at
//! the same instant the first pushed comes out first.

/// Future events by their time.
#[derive(Clone, Debug)]
pub struct EventQueue<T> {
    /// Bucket 0 holds what is due `now`; bucket n what differs from it first in bit n - 1.
    buckets: Vec<Vec<(u64, T)>>,
    /// Where in bucket 0 the next event is.
    next_in_first: usize,
    now: u64,
    length: usize,
}

impl<T: Copy> Default for EventQueue<T> {
    fn default() -> Self {
        Self { buckets: (0..=64).map(|_| Vec::new()).collect(), next_in_first: 0, now: 0, length: 0 }
    }
}

impl<T: Copy> EventQueue<T> {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn bucket(&self, at: u64) -> usize {
        (64 - (at ^ self.now).leading_zeros()) as usize
    }

    /// Adds an event. What is due before the present is due now.
    pub fn push(&mut self, at: u64, event: T) {
        let at = at.max(self.now);
        let bucket = self.bucket(at);
        self.buckets[bucket].push((at, event));
        self.length += 1;
    }

    /// Takes the next event out.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        if self.length == 0 {
            return None;
        }
        if self.next_in_first == self.buckets[0].len() {
            self.buckets[0].clear();
            self.next_in_first = 0;
            let bucket = self.buckets.iter().position(|bucket| !bucket.is_empty())?;
            // The order within a bucket is that in which events were pushed, and stays so as they move down.
            let moved = std::mem::take(&mut self.buckets[bucket]);
            self.now = moved.iter().map(|(at, _)| *at).min()?;
            for (at, event) in &moved {
                let bucket = self.bucket(*at);
                self.buckets[bucket].push((*at, *event));
            }
            // Its capacity is used again.
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
