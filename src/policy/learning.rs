//! What is learned from arrivals and runs?
//!
//! The rule: each estimate is a moving average that begins with what the settings say: the cost and the waits
//! of a run by class, the demand that keeps the cores full (see `capacity`), what each tenant sends, how many
//! callers there are, and how long requests lie on this machine before they are read.

use super::capacity::Throughput;
use super::Policy;
use crate::caller_similarity::CallerSimilarity;
use crate::cost_model::{ClassEstimate, CostModel, ObservedRun};
use crate::receive_delay::ReceiveDelay;
use crate::tenant_rates::TenantRates;
use crate::*;

/// What one run moves cost and throughput, one call the usual time, one arrival the callers' similarity.
pub(super) const LEARNING_GAIN: f64 = 1.0 / 16.0;
/// What the first run of a class moves its learned cost.
const FIRST_RUN_GAIN: f64 = 0.5;
/// A cost that was not observed yet is taken for this fraction of the latency objective.
pub(super) const UNSEEN_COST_FRACTION: f64 = 1.0 / 8.0;
/// A run counts for at most this many times its expected cost, so that a few huge ones can't spoil the mean.
const MAX_COST_SURPRISE: f64 = 4.0;
/// What a tenant sends is averaged over this many mean latency objectives.
const TENANT_RATE_OBJECTIVES: f64 = 5.0;
/// A receive delay of this fraction of the mean latency objective means that reading is fully behind.
const FULLY_BEHIND_FRACTION: f64 = 0.25;
/// What one arrival moves the receive delay.
pub(super) const RECEIVE_DELAY_GAIN: f64 = 1.0 / 8.0;
/// The attempts that a request marked as a retry is taken to have behind it.
const ATTEMPTS_BEFORE_RETRY: f64 = 2.0;
/// No time is divided by less than this, in seconds.
const MIN_DIVISOR_SECS: f64 = 1e-3;

/// All estimates.
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
        let costs = objectives.map(|secs| ClassEstimate::unobserved(secs * UNSEEN_COST_FRACTION));
        Self {
            costs: CostModel::new(costs),
            throughput: Throughput::default(),
            tenants: TenantRates::new(settings, mean_objective_secs * TENANT_RATE_OBJECTIVES),
            callers: CallerSimilarity::new(settings.callers),
            // The delay is forgotten as fast as callers forget the advertised capacity that it cuts.
            receive_delay: ReceiveDelay::new(settings.capacity_ttl.secs().max(MIN_DIVISOR_SECS)),
        }
    }
}

impl Policy {
    /// The paper's demand: expected cost over latency objective, in cores. The objective is the mean of all
    /// classes', as nothing paces a run: one that may take longer demands the cores no less. Harms where runs
    /// are paced.
    pub(super) fn demand(&self, class: usize, work: f64) -> f64 {
        let cost_secs = self.learned.costs.cost_secs(class, work);
        (cost_secs / self.profile.mean_objective_secs.max(MIN_DIVISOR_SECS)).max(1e-9)
    }

    /// Counts a request of the tenant; the fraction of its utility that it is expected to keep. Whether it is
    /// within the quota of all backends is not known: the probability is the quota over the rate, both here.
    pub(super) fn expected_utility_fraction(&mut self, tenant: usize) -> f64 {
        self.learned.tenants.count(tenant);
        let within_quota = self.learned.tenants.covered_fraction(tenant);
        within_quota + (1.0 - within_quota) * self.settings.over_quota_utility_fraction
    }

    /// How far reading is behind, from 0 to 1.
    pub(super) fn fraction_behind(&self) -> f64 {
        let fully_behind_secs = self.profile.mean_objective_secs * FULLY_BEHIND_FRACTION;
        (self.learned.receive_delay.secs() / fully_behind_secs).min(1.0)
    }

    /// The time that a retry lay unread at other backends, each time about as long as is usual here.
    pub(super) fn spent_by_retry(&self) -> Span {
        Span::from_secs(self.learned.receive_delay.secs() * ATTEMPTS_BEFORE_RETRY)
    }

    /// Takes in a run that ended with its own response.
    pub(super) fn learn_from_run(&mut self, id: RequestId) {
        let request = &self.requests[id];
        let costs = &mut self.learned.costs;
        let core_secs = request.run.core_secs;
        let max_core_secs = costs.cost_secs(request.class, request.work) * MAX_COST_SURPRISE;
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
