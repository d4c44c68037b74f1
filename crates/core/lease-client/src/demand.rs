//! What a node needs of a budget: the mean demand, by arrivals and time in use (Little's law), fading over one lease.

use lynxtally::{Instant, Span};

/// Shortest fading time, in seconds, so that a duration of zero does not divide by zero.
const MIN_FADING_SECONDS: f64 = 1e-6;
/// Thousandths in a unit.
const MILLIUNITS: f64 = 1000.0;

/// What was requested and started since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageCounts {
    /// Things that were requested, whether they were started or not.
    pub requested: u64,
    /// Things that were started.
    pub started: u64,
}

/// Sums of what was observed; the past fades.
#[derive(Clone, Copy, Debug, Default)]
struct FadingSums {
    /// For how long, in seconds.
    seconds: f64,
    /// Units in use times seconds.
    used_unit_seconds: f64,
    requested: f64,
    started: f64,
}

impl FadingSums {
    fn observe(&mut self, passed: Span, in_use: f64, requested: f64, started: f64, fading: Span) {
        let kept = (-passed.secs() / fading.secs().max(MIN_FADING_SECONDS)).exp();
        self.seconds = self.seconds * kept + passed.secs();
        self.used_unit_seconds = self.used_unit_seconds * kept + in_use * passed.secs();
        self.requested = self.requested * kept + requested;
        self.started = self.started * kept + started;
    }

    /// The mean demand: as many as were requested, each for as long as one is in use. What waits is no measure of it,
    /// as it grows while anything is lacked. One unit where nobody knows yet for how long one is in use.
    fn mean_demand(&self) -> f64 {
        let at_least = if self.requested > 0.0 && self.started <= 0.0 { 1.0 } else { 0.0 };
        let mean_in_use = if self.seconds > 0.0 { self.used_unit_seconds / self.seconds } else { 0.0 };
        let seconds_each = if self.started > 0.0 { self.used_unit_seconds / self.started } else { 0.0 };
        let offered = if self.seconds > 0.0 { self.requested * seconds_each / self.seconds } else { 0.0 };
        offered.max(mean_in_use).max(at_least)
    }
}

/// Estimates the demand for one budget.
#[derive(Debug, Default)]
pub(crate) struct DemandEstimate {
    in_use: u64,
    counts: UsageCounts,
    sums: FadingSums,
    last_observed: Option<Instant>,
}

impl DemandEstimate {
    pub fn in_use(&self) -> u64 {
        self.in_use
    }

    /// Notes what is in use from now on, and the counts; whether more was requested than started since the last time.
    pub fn observe(&mut self, now: Instant, in_use: u64, counts: UsageCounts, fading: Span) -> bool {
        let passed = now - *self.last_observed.get_or_insert(now);
        let requested = counts.requested.saturating_sub(self.counts.requested);
        let started = counts.started.saturating_sub(self.counts.started);
        self.sums.observe(passed, self.in_use as f64, requested as f64, started as f64, fading);
        self.counts = counts;
        self.last_observed = Some(now);
        self.in_use = in_use;
        requested > started
    }

    /// The mean demand up to now, in thousandths of a unit.
    pub fn milliunits(&mut self, now: Instant, fading: Span) -> u64 {
        self.observe(now, self.in_use, self.counts, fading);
        // The conversion saturates, and turns what is no number into 0.
        (self.sums.mean_demand() * MILLIUNITS) as u64
    }
}
