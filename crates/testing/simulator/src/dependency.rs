//! The dependency that all nodes call: calls share its slots alike (processor sharing), and crowding slows all of them.
//! A cancelled call stays for a while. The dependency is overloaded where it has more calls under way, in the plain mean
//! over a window, than it survives: that mean is kept exactly, as the invariant words it.

use lynxtally::{Instant, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A model of a dependency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DependencyModel {
    /// So many calls each go at full speed.
    pub slots: f64,
    /// By so much for each further `slots` calls: the speed is 1 / (1 + slope x excess).
    pub crowding_slope: f64,
    /// So many calls under way it survives, in the mean over the averaging window.
    pub max_mean_calls: f64,
    /// The window of that mean.
    pub averaging_window: Span,
    /// How long a cancelled call stays at most.
    pub cancellation_lag: Span,
}

/// Ends are counted in nanoseconds of work, so that they can be ordered.
const NANOS_PER_SECOND: f64 = 1e9;
/// Time is counted in microseconds: work that ends less than one away has ended.
const TIME_STEP: f64 = 1e-6;

/// A dependency at work.
pub struct DependencyState {
    model: DependencyModel,
    /// The part of its speed that a fault leaves.
    speed: f64,
    now: Instant,
    /// Work that a call under way since the start would have had, in seconds; a call is done once its own end is reached.
    work_per_call: f64,
    /// The calls under way by their end, in nanoseconds of work.
    ends: BTreeSet<(u64, u32)>,
    end_of: BTreeMap<u32, u64>,
    /// Cancelled calls, by when they end at the latest.
    cancelled: BTreeSet<(Instant, u32)>,
    /// The number of the newest call.
    last_call: u32,
    /// How many calls were under way from when on, as far back as the window goes.
    history: VecDeque<(Instant, f64)>,
    /// The call time of that history, in seconds.
    call_seconds: f64,
    /// The largest mean so far.
    peak_mean: f64,
}

impl DependencyState {
    /// A dependency without calls.
    pub fn new(model: DependencyModel) -> Self {
        Self {
            model,
            speed: 1.0,
            now: Instant::default(),
            work_per_call: 0.0,
            ends: BTreeSet::new(),
            end_of: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            last_call: 0,
            history: VecDeque::from([(Instant::default(), 0.0)]),
            call_seconds: 0.0,
            peak_mean: 0.0,
        }
    }

    /// The speed of one call, in seconds of work a second.
    fn rate(&self) -> f64 {
        let per_slot = self.ends.len() as f64 / self.model.slots;
        let excess = (per_slot - 1.0).max(0.0);
        self.speed / (per_slot.max(1.0) * (1.0 + self.model.crowding_slope * excess))
    }

    /// Time passes; the mean moves on.
    pub fn advance(&mut self, now: Instant) {
        if now <= self.now {
            return;
        }
        let elapsed = (now - self.now).secs();
        self.work_per_call += elapsed * self.rate();
        self.call_seconds += elapsed * self.ends.len() as f64;
        self.now = now;
        let start = now - self.model.averaging_window;
        while let Some(&(from, calls)) = self.history.front().filter(|(from, _)| *from < start) {
            let until = self.history.get(1).map_or(now, |(next, _)| *next).min(start);
            self.call_seconds -= (until - from).secs() * calls;
            self.history.pop_front();
            if until == start {
                self.history.push_front((start, calls));
                break;
            }
        }
        self.peak_mean = self.peak_mean.max(self.mean());
    }

    /// Calls under way in the mean over the window.
    pub fn mean(&self) -> f64 {
        self.call_seconds / self.model.averaging_window.secs()
    }

    /// The largest that this mean has been.
    pub fn peak_mean(&self) -> f64 {
        self.peak_mean
    }

    /// Whether it has more calls than it survives.
    pub fn is_overloaded(&self) -> bool {
        self.mean() > self.model.max_mean_calls
    }

    /// From now on it has this part of its speed.
    pub fn set_speed(&mut self, now: Instant, speed: f64) {
        self.advance(now);
        self.speed = speed;
    }

    fn record_calls(&mut self) {
        let calls = self.ends.len() as f64;
        match self.history.back_mut() {
            Some((from, own)) if *from == self.now => *own = calls,
            _ => self.history.push_back((self.now, calls)),
        }
    }

    /// Starts a call of so much work, in seconds; returns its number.
    pub fn call(&mut self, now: Instant, work: f64) -> u32 {
        self.advance(now);
        self.last_call += 1;
        let end = ((self.work_per_call + work) * NANOS_PER_SECOND) as u64;
        self.ends.insert((end, self.last_call));
        self.end_of.insert(self.last_call, end);
        self.record_calls();
        self.last_call
    }

    /// A call is cancelled: it stays for a while, or until it is done.
    pub fn cancel(&mut self, now: Instant, call: u32) {
        if self.end_of.contains_key(&call) {
            self.cancelled.insert((now + self.model.cancellation_lag, call));
        }
    }

    /// When its state changes next by itself.
    pub fn next_event(&self) -> Option<Instant> {
        let end = self.ends.first().map(|(end, _)| {
            let left = (*end as f64 / NANOS_PER_SECOND - self.work_per_call).max(0.0) / self.rate().max(1e-9);
            self.now + Span::from_micros((left * 1e6).ceil() as u64 + 1)
        });
        let cancelled_end = self.cancelled.first().map(|(at, _)| *at);
        end.into_iter().chain(cancelled_end).min()
    }

    /// The calls that are done by now, cancelled ones as well. Cancelled calls that stayed long enough are dropped.
    pub fn take_done(&mut self, now: Instant) -> Vec<u32> {
        self.advance(now);
        let reached = ((self.work_per_call + TIME_STEP) * NANOS_PER_SECOND) as u64;
        let mut done = Vec::new();
        while let Some(&(end, call)) = self.ends.first().filter(|(end, _)| *end <= reached) {
            self.ends.remove(&(end, call));
            self.end_of.remove(&call);
            done.push(call);
        }
        while let Some(&(at, call)) = self.cancelled.first().filter(|(at, _)| *at <= now) {
            self.cancelled.remove(&(at, call));
            if let Some(end) = self.end_of.remove(&call) {
                self.ends.remove(&(end, call));
            }
        }
        self.record_calls();
        done
    }
}
