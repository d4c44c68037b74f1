//! Model of the dependency that all nodes call. Calls in flight share its slots equally (processor sharing), and more calls
//! than slots slow all of them down further. A cancelled call stays in flight until its cancellation lag is over. The
//! dependency is overloaded when the arithmetic mean of its calls in flight over a window exceeds a limit. The mean is
//! computed exactly, not approximated by exponential smoothing, because the invariant is defined on it.

use lynxtally::{Instant, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Parameters of the dependency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DependencyModel {
    /// Number of calls that can be in flight before they slow each other down.
    pub slots: f64,
    /// Slowdown for each further `slots` calls, on top of the equal sharing: the speed is divided by 1 + slope x excess.
    pub crowding_slope: f64,
    /// Limit on the mean number of calls in flight over the averaging window; the dependency is overloaded above it.
    pub max_mean_calls: f64,
    /// Length of the window of that mean.
    pub averaging_window: Span,
    /// Maximum time that a cancelled call stays in flight.
    pub cancellation_lag: Span,
}

/// Ends are whole nanoseconds of work, because floating-point numbers can't be keys of an ordered set.
const NANOS_PER_SECOND: f64 = 1e9;
/// Resolution of simulated time, in seconds: work that ends within one microsecond counts as ended.
const TIME_STEP_SECONDS: f64 = 1e-6;

/// The calls in flight at the dependency, and their mean over the averaging window.
pub struct DependencyState {
    model: DependencyModel,
    /// Fraction of the full speed that an injected fault leaves; 1 without a fault.
    speed: f64,
    now: Instant,
    /// Work done so far on a hypothetical call that has been in flight since the start, in seconds (the virtual time of
    /// processor sharing). A call is done when this reaches the call's entry in `ends`.
    work_per_call: f64,
    /// Calls in flight, ordered by the value of `work_per_call` at which each is done, in nanoseconds.
    ends: BTreeSet<(u64, u32)>,
    end_of: BTreeMap<u32, u64>,
    /// Cancelled calls, ordered by the time at which each is dropped if it isn't done before.
    cancelled: BTreeSet<(Instant, u32)>,
    /// Number of the newest call.
    last_call: u32,
    /// Number of calls in flight from each instant on, as far back as the averaging window reaches.
    history: VecDeque<(Instant, f64)>,
    /// Integral of `history` over time, in call-seconds.
    call_seconds: f64,
    /// Largest mean since the start.
    peak_mean: f64,
}

impl DependencyState {
    /// Creates a dependency without calls.
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

    /// Speed of each call, in seconds of work per second.
    fn rate(&self) -> f64 {
        let per_slot = self.ends.len() as f64 / self.model.slots;
        let excess = (per_slot - 1.0).max(0.0);
        self.speed / (per_slot.max(1.0) * (1.0 + self.model.crowding_slope * excess))
    }

    /// Advances the time to `now`, adds the work done since the last update to the progress of each call in flight, and moves
    /// the averaging window to end at `now`.
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

    /// Mean number of calls in flight over the averaging window that ends at the last update.
    pub fn mean(&self) -> f64 {
        self.call_seconds / self.model.averaging_window.secs()
    }

    /// Largest value of [`Self::mean`] since the start.
    pub fn peak_mean(&self) -> f64 {
        self.peak_mean
    }

    /// Whether the mean number of calls in flight exceeds the limit of the model.
    pub fn is_overloaded(&self) -> bool {
        self.mean() > self.model.max_mean_calls
    }

    /// Sets the speed from `now` on, as a fraction of the full speed.
    pub fn set_speed(&mut self, now: Instant, speed: f64) {
        self.advance(now);
        self.speed = speed;
    }

    /// Adds the current number of calls in flight to the history.
    fn record_calls(&mut self) {
        let calls = self.ends.len() as f64;
        match self.history.back_mut() {
            Some((from, recorded)) if *from == self.now => *recorded = calls,
            _ => self.history.push_back((self.now, calls)),
        }
    }

    /// Starts a call of `work` seconds and returns its number.
    pub fn call(&mut self, now: Instant, work: f64) -> u32 {
        self.advance(now);
        self.last_call += 1;
        let end = ((self.work_per_call + work) * NANOS_PER_SECOND) as u64;
        self.ends.insert((end, self.last_call));
        self.end_of.insert(self.last_call, end);
        self.record_calls();
        self.last_call
    }

    /// Cancels a call. It stays in flight until it is done or its cancellation lag is over, whichever comes first.
    pub fn cancel(&mut self, now: Instant, call: u32) {
        if self.end_of.contains_key(&call) {
            self.cancelled.insert((now + self.model.cancellation_lag, call));
        }
    }

    /// When the next call is done or the next cancelled call is dropped, if no call starts before.
    pub fn next_event(&self) -> Option<Instant> {
        let end = self.ends.first().map(|(end, _)| {
            let left = (*end as f64 / NANOS_PER_SECOND - self.work_per_call).max(0.0) / self.rate().max(1e-9);
            self.now + Span::from_micros((left * 1e6).ceil() as u64 + 1)
        });
        let cancelled_end = self.cancelled.first().map(|(at, _)| *at);
        end.into_iter().chain(cancelled_end).min()
    }

    /// Removes and returns the calls that are done by `now`, including cancelled ones. Also removes the cancelled calls whose
    /// cancellation lag is over, without returning them.
    pub fn take_done(&mut self, now: Instant) -> Vec<u32> {
        self.advance(now);
        let reached = ((self.work_per_call + TIME_STEP_SECONDS) * NANOS_PER_SECOND) as u64;
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
