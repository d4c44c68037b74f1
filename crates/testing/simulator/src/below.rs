//! The dependency that all nodes call: calls share its slots alike (processor sharing), and a crowd slows the whole down.
//! What is given up stays in its hands for a while. It falls over where it holds more calls, in the plain mean over a
//! span, than it survives: that mean is kept exactly, from outside, as the rule words it.

use lynxtally::{Instant, Span};
use std::collections::{BTreeMap, VecDeque};

/// What it is like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dependency {
    /// So many calls each go at full speed.
    pub slots: f64,
    /// By so much for each further `slots` calls: the whole does 1 / (1 + slope x excess).
    pub slope: f64,
    /// So many calls in hand it survives, in the mean over `over`.
    pub survives: f64,
    /// The span of that mean.
    pub over: Span,
    /// How long a call that was given up stays in its hands at most.
    pub linger: Span,
}

/// Work is counted in nanoseconds, so that it can be ordered.
const FINE: f64 = 1e9;

/// It at work.
pub struct Below {
    model: Dependency,
    /// Someone else's doing: this part of the speed is left.
    slowed: f64,
    now: Instant,
    /// Work that a call in hand since the start would have had, in seconds; each is over once its own is reached.
    had: f64,
    ends: BTreeMap<(u64, u32), ()>,
    of: BTreeMap<u32, u64>,
    /// Given up, and when they leave at the latest.
    leaves: BTreeMap<(Instant, u32), ()>,
    calls: u32,
    /// How many were in hand from when on, as far back as the span goes, and the call time of that, in seconds.
    held: VecDeque<(Instant, f64)>,
    sum: f64,
    /// The largest mean so far.
    most: f64,
}

impl Below {
    /// It at rest.
    pub fn new(model: Dependency) -> Self {
        Self {
            model,
            slowed: 1.0,
            now: Instant::default(),
            had: 0.0,
            ends: BTreeMap::new(),
            of: BTreeMap::new(),
            leaves: BTreeMap::new(),
            calls: 0,
            held: VecDeque::from([(Instant::default(), 0.0)]),
            sum: 0.0,
            most: 0.0,
        }
    }

    /// What one call gets, in seconds of work a second.
    fn rate(&self) -> f64 {
        let n = self.ends.len() as f64 / self.model.slots;
        self.slowed / (n.max(1.0) * (1.0 + self.model.slope * (n - 1.0).max(0.0)))
    }

    /// Time passes; the mean moves on.
    pub fn advance(&mut self, now: Instant) {
        if now <= self.now {
            return;
        }
        let past = (now - self.now).secs();
        self.had += past * self.rate();
        self.sum += past * self.ends.len() as f64;
        self.now = now;
        let start = now - self.model.over;
        while let Some(&(from, held)) = self.held.front().filter(|(from, _)| *from < start) {
            let until = self.held.get(1).map_or(now, |(next, _)| *next).min(start);
            self.sum -= (until - from).secs() * held;
            self.held.pop_front();
            if until == start {
                self.held.push_front((start, held));
                break;
            }
        }
        self.most = self.most.max(self.mean());
    }

    /// Calls in hand in the mean over the span.
    pub fn mean(&self) -> f64 {
        self.sum / self.model.over.secs()
    }

    /// The largest that this mean has been.
    pub fn most(&self) -> f64 {
        self.most
    }

    /// Whether it holds more than it survives.
    pub fn falls(&self) -> bool {
        self.mean() > self.model.survives
    }

    /// From now on it does this part of its work.
    pub fn slow(&mut self, now: Instant, part: f64) {
        self.advance(now);
        self.slowed = part;
    }

    fn changed(&mut self) {
        let held = self.ends.len() as f64;
        match self.held.back_mut() {
            Some((from, own)) if *from == self.now => *own = held,
            _ => self.held.push_back((self.now, held)),
        }
    }

    /// A call of so much work, in seconds, comes; its number comes back.
    pub fn call(&mut self, now: Instant, work: f64) -> u32 {
        self.advance(now);
        self.calls += 1;
        let end = ((self.had + work) * FINE) as u64;
        self.ends.insert((end, self.calls), ());
        self.of.insert(self.calls, end);
        self.changed();
        self.calls
    }

    /// A call is given up: it stays for a while, or until it is done.
    pub fn give_up(&mut self, now: Instant, call: u32) {
        if self.of.contains_key(&call) {
            self.leaves.insert((now + self.model.linger, call), ());
        }
    }

    /// When it has to be looked at next.
    pub fn next(&self) -> Option<Instant> {
        let end = self.ends.first_key_value().map(|((end, _), ())| {
            let left = (*end as f64 / FINE - self.had).max(0.0) / self.rate().max(1e-9);
            self.now + Span::from_micros((left * 1e6).ceil() as u64 + 1)
        });
        let leave = self.leaves.first_key_value().map(|((at, _), ())| *at);
        end.into_iter().chain(leave).min()
    }

    /// The calls that are done by now, also such as were given up. What lingered long enough is let go of.
    pub fn done(&mut self, now: Instant) -> Vec<u32> {
        self.advance(now);
        let reached = ((self.had + 1e-6) * FINE) as u64;
        let mut done = Vec::new();
        while let Some((&(end, call), ())) =
            self.ends.first_key_value().filter(|((end, _), ())| *end <= reached)
        {
            self.ends.remove(&(end, call));
            self.of.remove(&call);
            done.push(call);
        }
        while let Some((&(at, call), ())) = self.leaves.first_key_value().filter(|((at, _), ())| *at <= now) {
            self.leaves.remove(&(at, call));
            if let Some(end) = self.of.remove(&call) {
                self.ends.remove(&(end, call));
            }
        }
        self.changed();
        done
    }
}
