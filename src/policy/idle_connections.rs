//! Closes idle connections, the longest idle first.
//!
//! This happens while the cores have spare time, far more connections are open than requests could run, and
//! far more callers exist than connections. Otherwise idle callers fill the connection table, and connection
//! attempts of other callers fail. In overload none are closed: a caller that can't connect costs less than a
//! rejection does. Drawback: costly where a new connection is expensive.

use super::{Profile, TIMER_PERIOD_FRACTION};
use crate::*;

/// Connections are closed only below this CPU utilization.
const MAX_CPU_UTILIZATION: f64 = 0.85;
/// Connections are closed only above this ratio of open connections to possible runs, and of callers to open
/// connections.
const EXCESS_FACTOR: f64 = 3.5;
/// Averaging window of the CPU utilization, in shortest latency objectives.
const AVERAGING_OBJECTIVES: f64 = 3.0;

/// The mean CPU utilization, and how long a connection has to be idle to be closed.
pub(super) struct IdleConnections {
    /// An exponential moving average.
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

    /// Handles the gauges, once a timer period. The idle time shrinks slowly, so that no more connections are
    /// closed than needed: callers reopen them at a cost. Drawback: connections are freed slowly.
    pub fn update(&mut self, gauges: Gauges, settings: &Settings, profile: &Profile) {
        let utilization = gauges.cpu_utilization.unwrap_or(1.0);
        self.cpu_utilization +=
            (utilization - self.cpu_utilization) * TIMER_PERIOD_FRACTION / AVERAGING_OBJECTIVES;
        let open = gauges.open_connections.unwrap_or(0.0);
        let max_running = settings.max_running_per_core * profile.cores;
        self.is_closing = self.cpu_utilization < MAX_CPU_UTILIZATION
            && open > max_running * EXCESS_FACTOR
            && f64::from(settings.callers) > open * EXCESS_FACTOR;
        let longest_secs = longest_idle_secs(settings, profile.mean_objective_secs);
        let target_secs = if self.is_closing { profile.mean_objective_secs } else { longest_secs };
        self.idle_secs += (target_secs - self.idle_secs) * TIMER_PERIOD_FRACTION;
    }

    /// The action for the host, if connections are to be closed.
    pub fn action(&self) -> Option<Action> {
        self.is_closing.then(|| Action::CloseIdleConnections(Span::from_secs(self.idle_secs)))
    }
}

/// The idle time after which callers close connections, in seconds; at least the mean latency objective.
fn longest_idle_secs(settings: &Settings, mean_objective_secs: f64) -> f64 {
    settings.client_idle_timeout.secs().max(mean_objective_secs)
}
