//! The queue of things to come: a radix heap. Simulated time only goes forward, so what comes out is never less than what
//! came out before; then each thing moves down a bucket at most once for each bit of time. Source: R. K. Ahuja,
//! K. Mehlhorn, J. B. Orlin, R. E. Tarjan, "Faster Algorithms for the Shortest Path Problem" (1990). Of things due at once
//! the first put in comes out first.

/// The queue.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    /// Bucket 0 holds what is due at `last`; bucket n what differs from it first in bit n - 1.
    buckets: Vec<Vec<(u64, T)>>,
    /// Where in bucket 0 the next one stands.
    front: usize,
    last: u64,
    length: usize,
}

impl<T: Copy> Default for Queue<T> {
    fn default() -> Self {
        Self { buckets: (0..=64).map(|_| Vec::new()).collect(), front: 0, last: 0, length: 0 }
    }
}

impl<T: Copy> Queue<T> {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn bucket(&self, at: u64) -> usize {
        (64 - (at ^ self.last).leading_zeros()) as usize
    }

    /// Adds one. What is due before the present is due now.
    pub fn push(&mut self, at: u64, what: T) {
        let at = at.max(self.last);
        let bucket = self.bucket(at);
        self.buckets[bucket].push((at, what));
        self.length += 1;
    }

    /// Takes the next one out.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        if self.length == 0 {
            return None;
        }
        if self.front == self.buckets[0].len() {
            self.buckets[0].clear();
            self.front = 0;
            let bucket = self.buckets.iter().position(|bucket| !bucket.is_empty())?;
            // The order within a bucket is that in which they were put in, and stays so as they move down.
            let moved = std::mem::take(&mut self.buckets[bucket]);
            self.last = moved.iter().map(|(at, _)| *at).min()?;
            for (at, what) in &moved {
                let bucket = self.bucket(*at);
                self.buckets[bucket].push((*at, *what));
            }
            // Its room is used again.
            let mut moved = moved;
            moved.clear();
            if self.buckets[bucket].is_empty() {
                self.buckets[bucket] = moved;
            }
        }
        let next = self.buckets[0].get(self.front).copied()?;
        self.front += 1;
        self.length -= 1;
        Some(next)
    }
}
