//! When are idle connections closed?
//!
//! The rule: while the cores have room, far more connections are open than requests could run, and far more
//! callers exist than connections, those that have been idle for longest are closed. It answers a connection
//! table that is full of idle callers, which shows as attempts of other callers that get no connection. In
//! overload none are closed: no rejection is cheaper than a caller without a connection. Harms where a new
//! connection is dear.

use super::{Profile, TIMER_PERIOD_FRACTION};
use crate::*;

/// Connections are closed only below this CPU utilization.
const MAX_CPU_UTILIZATION: f64 = 0.85;
/// "Far more" in the rule: this many times.
const FAR_MORE_FACTOR: f64 = 3.5;
/// The CPU utilization is averaged over this many shortest latency objectives.
const AVERAGING_OBJECTIVES: f64 = 3.0;

/// How busy the cores are, and how long a connection has to be idle to be closed.
pub(super) struct IdleConnections {
    /// A moving average.
    cpu_utilization: f64,
    is_closing: bool,
    idle_secs: f64,
}

impl IdleConnections {
    pub fn new(settings: &Settings, mean_objective_secs: f64) -> Self {
        Self {
            cpu_utilization: 1.0,
            is_closing: false,
            idle_secs: longest_idle_secs(settings, mean_objective_secs),
        }
    }

    /// Takes in the gauges, once a timer period. The longest idle go first, no more than it takes: all at
    /// once would come back, each at the cost of a new connection. Harms where room is needed at once.
    pub fn update(&mut self, gauges: Gauges, settings: &Settings, profile: &Profile) {
        let utilization = gauges.cpu_utilization.unwrap_or(1.0);
        self.cpu_utilization +=
            (utilization - self.cpu_utilization) * TIMER_PERIOD_FRACTION / AVERAGING_OBJECTIVES;
        let open = gauges.open_connections.unwrap_or(0.0);
        let max_running = settings.max_running_per_core * profile.cores;
        self.is_closing = self.cpu_utilization < MAX_CPU_UTILIZATION
            && open > max_running * FAR_MORE_FACTOR
            && f64::from(settings.callers) > open * FAR_MORE_FACTOR;
        let longest_secs = longest_idle_secs(settings, profile.mean_objective_secs);
        let target_secs = if self.is_closing { profile.mean_objective_secs } else { longest_secs };
        self.idle_secs += (target_secs - self.idle_secs) * TIMER_PERIOD_FRACTION;
    }

    /// What the host has to close, if anything.
    pub fn action(&self) -> Option<Action> {
        self.is_closing.then(|| Action::CloseIdleConnections(Span::from_secs(self.idle_secs)))
    }
}

/// How long a connection is idle at most before its caller closes it, in seconds.
fn longest_idle_secs(settings: &Settings, mean_objective_secs: f64) -> f64 {
    settings.client_idle_timeout.secs().max(mean_objective_secs)
}
