//! A sum over a sliding time window.

use crate::time::{Instant, Span};
use std::collections::VecDeque;

/// Number of buckets in a window.
const BUCKETS_PER_WINDOW: f64 = 100.0;

/// The amount added within one bucket's width.
struct Bucket {
    began: Instant,
    amount: f64,
}

/// The sum of the amounts added over the last window. Amounts expire up to one bucket late, so that the sum is never
/// too low.
pub(crate) struct SlidingSum {
    window: Span,
    bucket_width: Span,
    buckets: VecDeque<Bucket>,
    sum: f64,
    /// The amount assumed for the window before the first use, spread evenly over it.
    initial: f64,
    first_used: Option<Instant>,
}

impl SlidingSum {
    /// A sum over `window` that starts as if `initial` had been added evenly over the window before its first use.
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

    /// Adds an amount that accumulated up to `now`.
    pub fn add(&mut self, now: Instant, amount: f64) {
        self.first_used.get_or_insert(now);
        self.sum += amount;
        match self.buckets.back_mut() {
            Some(bucket) if now - bucket.began < self.bucket_width => bucket.amount += amount,
            _ if amount > 0.0 => self.buckets.push_back(Bucket { began: now, amount }),
            _ => {}
        }
    }

    /// The sum of the amounts added within the window that ends now.
    pub fn sum(&mut self, now: Instant) -> f64 {
        let max_age = self.window + self.bucket_width;
        while let Some(expired) = self.buckets.pop_front_if(|bucket| now - bucket.began > max_age) {
            self.sum -= expired.amount;
        }
        if self.buckets.is_empty() {
            // Resets the sum, so that rounding errors don't outlive the amounts that caused them.
            self.sum *= 0.0;
        }
        let windows_since_first_use = (now - *self.first_used.get_or_insert(now)) / self.window;
        self.sum + self.initial * (1.0 - windows_since_first_use).max(0.0)
    }
}
