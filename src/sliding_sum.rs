//! A sum over a sliding time window.

use crate::time::{Instant, Span};
use std::collections::VecDeque;

/// A window is kept in this many buckets.
const BUCKETS_PER_WINDOW: f64 = 100.0;

/// What was added within one bucket's width.
struct Bucket {
    began: Instant,
    amount: f64,
}

/// The sum of what was added over the last window. It forgets up to one bucket late, so it never reports too little.
pub(crate) struct SlidingSum {
    window: Span,
    bucket_width: Span,
    buckets: VecDeque<Bucket>,
    sum: f64,
    /// The sum assumed for the window before the first use, spread evenly over it.
    initial: f64,
    first_used: Option<Instant>,
}

impl SlidingSum {
    /// A sum over `window` that begins as if `initial` had been added evenly over the window before its first use.
    pub fn new(window: Span, initial: f64) -> Self {
        Self {
            window,
            bucket_width: window * (1.0 / BUCKETS_PER_WINDOW),
            buckets: VecDeque::new(),
            sum: 0.0,
            initial: initial.max(0.0),
            first_used: None,
        }
    }

    /// Adds what accumulated up to `now`.
    pub fn add(&mut self, now: Instant, amount: f64) {
        self.first_used.get_or_insert(now);
        self.sum += amount;
        match self.buckets.back_mut() {
            Some(bucket) if now - bucket.began < self.bucket_width => bucket.amount += amount,
            _ if amount > 0.0 => self.buckets.push_back(Bucket { began: now, amount }),
            _ => {}
        }
    }

    /// The sum of what was added within the window that ends now.
    pub fn sum(&mut self, now: Instant) -> f64 {
        let kept_for = self.window + self.bucket_width;
        while let Some(expired) = self.buckets.pop_front_if(|bucket| now - bucket.began > kept_for) {
            self.sum -= expired.amount;
        }
        if self.buckets.is_empty() {
            // Rounding errors of the additions and subtractions must not outlive what was added.
            self.sum *= 0.0;
        }
        let windows_since_first_use = (now - *self.first_used.get_or_insert(now)) / self.window;
        self.sum + self.initial * (1.0 - windows_since_first_use).max(0.0)
    }
}
