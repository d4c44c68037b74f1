//! Estimates learned from arrivals and runs.
//!
//! Each is a moving average that starts from the settings: the cost and the waits of a run by class, the
//! demand that keeps the cores full (`capacity`), the rate of each tenant, the number of sending callers,
//! and the receive delay, which is how long requests wait on this machine before they are read.

use super::capacity::Throughput;
use super::Policy;
use crate::caller_similarity::CallerSimilarity;
use crate::cost_model::{ClassEstimate, CostModel, ObservedRun};
use crate::receive_delay::ReceiveDelay;
use crate::tenant_rates::TenantRates;
use crate::*;

/// Gain of the averages that a run (cost, throughput), a call (call time) or an arrival (callers) updates.
pub(super) const LEARNING_GAIN: f64 = 1.0 / 16.0;
/// Gain of the learned cost for the first run of a class.
const FIRST_RUN_GAIN: f64 = 0.5;
/// Assumed cost of a run or call before the first was observed, as a fraction of the latency objective.
pub(super) const UNOBSERVED_COST_FRACTION: f64 = 1.0 / 8.0;
/// A run counts for at most this many times its expected cost, so that huge runs don't distort the mean.
const MAX_OBSERVED_COST_FACTOR: f64 = 4.0;
/// Averaging window of tenants' rates, in mean latency objectives.
const TENANT_RATE_OBJECTIVES: f64 = 5.0;
/// Receive delay that counts as saturated, as a fraction of the mean latency objective.
const SATURATED_RECEIVE_DELAY_FRACTION: f64 = 0.25;
/// Gain of the mean receive delay for each arrival.
pub(super) const RECEIVE_DELAY_GAIN: f64 = 1.0 / 8.0;
/// Assumed number of earlier attempts of a request that is marked as a retry.
const ATTEMPTS_BEFORE_RETRY: f64 = 2.0;
/// Lower bound of divisors, in seconds.
const MIN_DIVISOR_SECS: f64 = 1e-3;

/// All learned estimates.
pub(super) struct Learned {
    pub costs: CostModel,
    pub throughput: Throughput,
    pub tenants: TenantRates,
    pub callers: CallerSimilarity,
    pub receive_delay: ReceiveDelay,
}

impl Learned {
    pub fn new(settings: &Settings, mean_objective_secs: f64) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective.secs());
        let costs = objectives.map(|secs| ClassEstimate::unobserved(secs * UNOBSERVED_COST_FRACTION));
        Self {
            costs: CostModel::new(costs),
            throughput: Throughput::default(),
            tenants: TenantRates::new(settings, mean_objective_secs * TENANT_RATE_OBJECTIVES),
            callers: CallerSimilarity::new(settings.callers),
            // The delay decays as fast as callers forget the advertised capacity that it reduces.
            receive_delay: ReceiveDelay::new(settings.capacity_ttl.secs().max(MIN_DIVISOR_SECS)),
        }
    }
}

impl Policy {
    /// The paper's demand: expected cost over latency objective, in cores. Uses the mean objective of all
    /// classes, because runs are not paced: a run with a longer objective loads the cores as much as any
    /// other. Drawback: wrong for paced runs.
    pub(super) fn demand(&self, class: usize, work: f64) -> f64 {
        let cost_secs = self.learned.costs.cost_secs(class, work);
        (cost_secs / self.profile.mean_objective_secs.max(MIN_DIVISOR_SECS)).max(1e-9)
    }

    /// Counts a request of the tenant, and returns the fraction of its utility that it is expected to keep.
    /// The tenant's rate at other backends is unknown, so the probability that the request is within the
    /// quota is estimated as quota over rate, both of this backend.
    pub(super) fn expected_utility_fraction(&mut self, tenant: usize) -> f64 {
        self.learned.tenants.count(tenant);
        let within_quota = self.learned.tenants.covered_fraction(tenant);
        within_quota + (1.0 - within_quota) * self.settings.over_quota_utility_fraction
    }

    /// The mean receive delay as a fraction of the delay that counts as saturated, at most 1.
    pub(super) fn receive_saturation(&self) -> f64 {
        let saturated_secs = self.profile.mean_objective_secs * SATURATED_RECEIVE_DELAY_FRACTION;
        (self.learned.receive_delay.secs() / saturated_secs).min(1.0)
    }

    /// The time that a retry waited unread at other backends, if each has the receive delay of this one.
    pub(super) fn elapsed_before_retry(&self) -> Span {
        Span::from_secs(self.learned.receive_delay.secs() * ATTEMPTS_BEFORE_RETRY)
    }

    /// Updates the estimates with a run that ended with a response.
    pub(super) fn learn_from_run(&mut self, id: RequestId) {
        let request = &self.requests[id];
        let costs = &mut self.learned.costs;
        let core_secs = request.run.core_secs;
        let max_core_secs = costs.cost_secs(request.class, request.work) * MAX_OBSERVED_COST_FACTOR;
        let run = ObservedRun {
            class: request.class,
            work: request.work,
            core_secs: core_secs.min(max_core_secs),
            wait_secs: ((self.now - request.run.started_at).secs() - core_secs).max(0.0),
        };
        let gain = if costs.is_observed(request.class) { LEARNING_GAIN } else { FIRST_RUN_GAIN };
        costs.observe(&run, gain);
        self.learn_throughput(request.demand);
    }
}
