//! Estimates a node's mean demand for a budget by Little's law: arrival rate times mean time in use. Older observations
//! decay exponentially, with a time constant of about one lease duration.

use lynxtally::{Instant, Span};

/// Lower bound of the decay time constant, in seconds; avoids a division by zero when the lease duration is 0.
const MIN_TIME_CONSTANT_SECONDS: f64 = 1e-6;
const MILLIUNITS_PER_UNIT: f64 = 1000.0;

/// Counts of units of a budget since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageCounts {
    /// Units that were requested, whether or not they were started.
    pub requested: u64,
    /// Units that were started.
    pub started: u64,
}

/// Exponentially decaying sums of the observations.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSums {
    /// Observed time, in seconds.
    seconds: f64,
    /// Integral of the units in use over time.
    used_unit_seconds: f64,
    requested: f64,
    started: f64,
}

impl DecayingSums {
    fn observe(&mut self, elapsed: Span, in_use: f64, requested: f64, started: f64, time_constant: Span) {
        let decay_factor = (-elapsed.secs() / time_constant.secs().max(MIN_TIME_CONSTANT_SECONDS)).exp();
        self.seconds = self.seconds * decay_factor + elapsed.secs();
        self.used_unit_seconds = self.used_unit_seconds * decay_factor + in_use * elapsed.secs();
        self.requested = self.requested * decay_factor + requested;
        self.started = self.started * decay_factor + started;
    }

    /// The mean demand in units: the rate of requested units times the mean time that a unit is in use. The queue length is
    /// not used, because it grows for as long as units are lacking. Returns at least 1 if units were requested and none was
    /// started yet, as the time in use is unknown then.
    fn mean_demand(&self) -> f64 {
        let min_demand = if self.requested > 0.0 && self.started <= 0.0 { 1.0 } else { 0.0 };
        let mean_in_use = if self.seconds > 0.0 { self.used_unit_seconds / self.seconds } else { 0.0 };
        let mean_seconds_in_use =
            if self.started > 0.0 { self.used_unit_seconds / self.started } else { 0.0 };
        let offered =
            if self.seconds > 0.0 { self.requested * mean_seconds_in_use / self.seconds } else { 0.0 };
        offered.max(mean_in_use).max(min_demand)
    }
}

/// Estimates the demand for one budget.
#[derive(Debug, Default)]
pub(crate) struct DemandEstimate {
    in_use: u64,
    counts: UsageCounts,
    sums: DecayingSums,
    last_observed: Option<Instant>,
}

impl DemandEstimate {
    pub fn in_use(&self) -> u64 {
        self.in_use
    }

    /// Records the units in use from now on, and the counts. Returns whether more units were requested than started since
    /// the last call.
    pub fn observe(&mut self, now: Instant, in_use: u64, counts: UsageCounts, time_constant: Span) -> bool {
        let elapsed = now - *self.last_observed.get_or_insert(now);
        let requested = counts.requested.saturating_sub(self.counts.requested);
        let started = counts.started.saturating_sub(self.counts.started);
        self.sums.observe(elapsed, self.in_use as f64, requested as f64, started as f64, time_constant);
        self.counts = counts;
        self.last_observed = Some(now);
        self.in_use = in_use;
        requested > started
    }

    /// The mean demand up to now, in thousandths of a unit.
    pub fn milliunits(&mut self, now: Instant, time_constant: Span) -> u64 {
        self.observe(now, self.in_use, self.counts, time_constant);
        // The cast saturates, and turns NaN into 0.
        (self.sums.mean_demand() * MILLIUNITS_PER_UNIT) as u64
    }
}
