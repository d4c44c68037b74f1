//! A plain sum over the span that has just passed: state, no choice.

use crate::time::{Instant, Span};
use std::collections::VecDeque;

/// So many parts of the span are told apart.
const PARTS: f64 = 100.0;

/// What was added over the last span. It forgets late, by a part of the span at most, and so never tells too little.
pub(crate) struct Lately {
    over: Span,
    part: Span,
    /// When each part began, and what was added in it.
    parts: VecDeque<(Instant, f64)>,
    sum: f64,
    /// What is taken to have been added, evenly, over the span before it was first told of.
    before: f64,
    since: Option<Instant>,
}

impl Lately {
    pub fn new(over: Span, before: f64) -> Self {
        let part = over * (1.0 / PARTS);
        Self { over, part, parts: VecDeque::new(), sum: 0.0, before: before.max(0.0), since: None }
    }

    /// Adds what came up to now.
    pub fn add(&mut self, now: Instant, amount: f64) {
        self.since.get_or_insert(now);
        self.sum += amount;
        match self.parts.back_mut() {
            Some((began, sum)) if now - *began < self.part => *sum += amount,
            _ if amount > 0.0 => self.parts.push_back((now, amount)),
            _ => {}
        }
    }

    /// The sum of what was added since the span before now.
    pub fn sum(&mut self, now: Instant) -> f64 {
        while let Some((_, gone)) = self.parts.pop_front_if(|(began, _)| now - *began > self.over + self.part)
        {
            self.sum -= gone;
        }
        // What is left of sums and differences where nothing is.
        self.sum *= f64::from(u8::from(!self.parts.is_empty()));
        let age = (now - *self.since.get_or_insert(now)) / self.over;
        self.sum + self.before * (1.0 - age).max(0.0)
    }
}
