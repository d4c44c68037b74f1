//! Rejects queued requests that can't respond in time, and ends started ones.
//!
//! A queued request is rejected at its latest start, after which it is not expected to respond in time, or
//! at once if the queue ahead lasts until then, while its caller can still try elsewhere. If its class earns
//! part of its utility for a late response, it stays queued until its deadline at a rate cut to that part. A
//! started request fails at its latency objective if the host can stop runs, else at its deadline.

use super::final_response::RetryAdvice;
use super::Policy;
use crate::request::{Request, RequestState};
use crate::*;

/// A queued request keeps its full rate for this fraction of the time to its latest start.
const FULL_RATE_FRACTION: f64 = 0.3;
/// The rate of a request that is queued beyond `FULL_RATE_FRACTION` is multiplied by this.
const STALE_RATE_FRACTION: f64 = 0.5;
/// Longest time to drain the queue ahead of a request, as a fraction of the mean latency objective.
const MAX_QUEUE_FRACTION: f64 = 0.15;

impl Policy {
    /// The latest start from which a queued request is expected to respond in time.
    pub(super) fn latest_start(&self, request: &Request) -> Instant {
        let costs = &self.learned.costs;
        let running = self.requests.usage().running + 1.0;
        let slowdown = (running / self.profile.cores).max(1.0);
        let run_secs = costs.cost_secs(request.class, request.work) * slowdown;
        let wait_secs = costs.wait_secs(request.class) + self.call_queue_secs(request.class);
        request.respond_by - Span::from_secs(run_secs + wait_secs)
    }

    /// Expected wait for a call of this class in the call queue, in seconds. A run that can't make its call
    /// in time wastes its core time, so this wait counts like the wait in the run queue.
    fn call_queue_secs(&self, class: usize) -> f64 {
        let may_call = self.settings.classes[class].calls_downstream;
        let queued_calls = if may_call { self.requests.call_queue().len() } else { 0.0 };
        queued_calls * self.call_window.usual_call_secs / self.call_window.size
    }

    /// Schedules the first check of a newly queued request, at the time until which it keeps its full rate.
    pub(super) fn set_first_deadline_check(&mut self, id: RequestId) {
        let until_latest_start = self.latest_start(&self.requests[id]) - self.now;
        self.requests.set_timer(id, self.now, self.now + until_latest_start * FULL_RATE_FRACTION);
    }

    /// Rejects requests that are behind a long queue or can't get a response in time here, as long as another
    /// backend may still respond in time.
    /// Without this, slow cores and backlogs of any cause lead to late responses. Drawback: rejects too many
    /// requests if the expected cost is too high.
    pub(super) fn reject_infeasible(&mut self) {
        let max_queue_secs = self.profile.mean_objective_secs * MAX_QUEUE_FRACTION;
        let mut work_ahead_secs = 0.0;
        let mut infeasible = Vec::new();
        for id in self.requests.run_queue().iter() {
            let request = &self.requests[id];
            let start_in = Span::from_secs(work_ahead_secs / self.profile.cores);
            if start_in.secs() > max_queue_secs || self.now + start_in > self.latest_start(request) {
                infeasible.push(id);
            } else {
                work_ahead_secs += self.learned.costs.cost_secs(request.class, request.work);
            }
        }
        self.queued_work_secs = work_ahead_secs;
        for id in infeasible {
            let advice = self.retry_advice(id);
            self.reject_or_demote(id, advice);
        }
    }

    /// Whether an infeasible request should be retried elsewhere. If the receive delay is high here, it most
    /// likely is at other backends too, and each has to read the retry. This covers any cause of growing
    /// receive delays. Drawback: prevents useful retries if only this backend is slow to read.
    fn retry_advice(&mut self, id: RequestId) -> RetryAdvice {
        let retry_is_pointless = self.profile.has_dominant_class
            || self.requests[id].is_retry
            || self.rng.unit() < self.receive_saturation();
        if retry_is_pointless {
            RetryAdvice::NoRetry
        } else {
            RetryAdvice::Retry
        }
    }

    /// Rejects a queued request that can't respond in time, or cuts its rate if late responses earn utility.
    pub(super) fn reject_or_demote(&mut self, id: RequestId, advice: RetryAdvice) {
        let request = &self.requests[id];
        let late_fraction = self.settings.classes[request.class].late_utility_fraction;
        if late_fraction <= 0.0 || request.respond_by >= request.deadline {
            return self.reject(id, advice);
        }
        self.requests.cut_queued_rate(id, late_fraction);
        let request = &mut self.requests[id];
        request.respond_by = request.deadline;
        let latest_start = self.latest_start(&self.requests[id]);
        self.requests.set_timer(id, self.now, latest_start.max(self.now));
    }

    /// Handles the deadlines that are due for a request, and sets its timer for the next one.
    pub(super) fn check_deadlines(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        match request.state {
            RequestState::Done => self.requests.mark_changed(id),
            RequestState::Queued => self.check_queued(id),
            RequestState::AwaitingCall => self.skip_call(id),
            _ => {
                let end = if self.settings.stoppable { request.respond_by } else { request.deadline };
                if self.now < end {
                    self.requests.set_timer(id, self.now, end);
                } else {
                    self.finish(id, Action::Fail(id));
                }
            }
        }
    }

    /// Rejects a queued request at its latest start. Before that, lowers its rate once, so that similar new
    /// requests start first: the run of the older one may end too late. Without the lower rate, long queues
    /// of any cause lead to runs that end at their deadline. Drawback: loses utility where costs hardly vary.
    fn check_queued(&mut self, id: RequestId) {
        let latest_start = self.latest_start(&self.requests[id]);
        if latest_start <= self.now {
            return self.reject_or_demote(id, RetryAdvice::NoRetry);
        }
        if !std::mem::replace(&mut self.requests[id].stale, true) {
            self.requests.cut_queued_rate(id, STALE_RATE_FRACTION);
        }
        self.requests.set_timer(id, self.now, latest_start);
    }
}
