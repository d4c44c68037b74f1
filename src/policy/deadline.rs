//! When is a request given up?
//!
//! The rule: a queued request is refused at the latest start from which it is still expected to respond in
//! time, and at once where the queue ahead of it lasts until then, so that its caller can try elsewhere while
//! that helps. Where its class earns part of its utility for a late response, it stays queued at a rate cut
//! to that part, until its deadline. A started request fails at the end of its time: its latency objective
//! where the host can stop runs, else its deadline.

use super::final_response::RetryAdvice;
use super::Policy;
use crate::request::{Request, RequestState};
use crate::*;

/// A queued request keeps its full rate for this fraction of the time until it would be refused.
const FRESH_FRACTION: f64 = 0.3;
/// What is left of the rate after that.
const STALE_RATE_FRACTION: f64 = 0.5;
/// The queue ahead of a request may last for this fraction of the mean latency objective.
const MAX_QUEUE_FRACTION: f64 = 0.15;

impl Policy {
    /// The point of refusal: a queued request that starts later is not expected to respond in time.
    pub(super) fn refusal_time(&self, request: &Request) -> Instant {
        let costs = &self.learned.costs;
        let running = self.requests.usage().running + 1.0;
        let slowdown = (running / self.profile.cores).max(1.0);
        let run_secs = costs.cost_secs(request.class, request.work) * slowdown;
        let wait_secs = costs.wait_secs(request.class) + self.call_queue_secs(request.class);
        request.respond_by - Span::from_secs(run_secs + wait_secs)
    }

    /// How long a call of this class stands in the call queue, in seconds. Behind a long one the cores' work
    /// would be wasted, so it counts as the run queue does.
    fn call_queue_secs(&self, class: usize) -> f64 {
        let may_call = self.settings.classes[class].calls_downstream;
        let queued_calls = if may_call { self.requests.call_queue().len() } else { 0.0 };
        queued_calls * self.call_window.usual_call_secs / self.call_window.size
    }

    /// Sets the first check of a request that has just been queued: when it is no longer fresh.
    pub(super) fn set_first_deadline_check(&mut self, id: RequestId) {
        let until_refusal = self.refusal_time(&self.requests[id]) - self.now;
        self.requests.set_timer(id, self.now, self.now + until_refusal * FRESH_FRACTION);
    }

    /// Rejects what stands behind a long queue, or more than can be done in time, now, while another backend
    /// may be in time. Catches slow cores and backlogs of any cause, which show as late responses; harms
    /// where the expected cost is too high.
    pub(super) fn reject_hopeless(&mut self) {
        let max_queue_secs = self.profile.mean_objective_secs * MAX_QUEUE_FRACTION;
        let mut work_ahead_secs = 0.0;
        let mut hopeless = Vec::new();
        for id in self.requests.run_queue().iter() {
            let request = &self.requests[id];
            let start_in = Span::from_secs(work_ahead_secs / self.profile.cores);
            if start_in.secs() > max_queue_secs || self.now + start_in > self.refusal_time(request) {
                hopeless.push(id);
            } else {
                work_ahead_secs += self.learned.costs.cost_secs(request.class, request.work);
            }
        }
        self.queued_work_secs = work_ahead_secs;
        for id in hopeless {
            let advice = self.retry_advice(id);
            self.give_up_or_demote(id, advice);
        }
    }

    /// Whether a hopeless request should be retried at another backend. Where reading is behind here it most
    /// likely is elsewhere, and a request that wanders is read by each. Catches every jam of reading, which
    /// shows as growing receive delays; harms where only this backend is behind.
    fn retry_advice(&mut self, id: RequestId) -> RetryAdvice {
        let is_useless = self.profile.one_class_stands_out
            || self.requests[id].is_retry
            || self.rng.unit() < self.fraction_behind();
        if is_useless {
            RetryAdvice::NoRetry
        } else {
            RetryAdvice::Retry
        }
    }

    /// A queued request can't respond in time: it is rejected or, where late responses earn a part, demoted.
    pub(super) fn give_up_or_demote(&mut self, id: RequestId, advice: RetryAdvice) {
        let request = &self.requests[id];
        let late_fraction = self.settings.classes[request.class].late_utility_fraction;
        if late_fraction <= 0.0 || request.respond_by >= request.deadline {
            return self.reject(id, advice);
        }
        self.requests.cut_queued_rate(id, late_fraction);
        let request = &mut self.requests[id];
        request.respond_by = request.deadline;
        let refused_at = self.refusal_time(&self.requests[id]);
        self.requests.set_timer(id, self.now, refused_at.max(self.now));
    }

    /// Does what a request's deadlines ask for at this moment, and sets the timer for the next one.
    pub(super) fn check_deadlines(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        match request.state {
            RequestState::Done => self.requests.mark_changed(id),
            RequestState::Queued => self.check_queued(id),
            RequestState::AwaitingCall => self.leave_call_out(id),
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

    /// What was queued for long may come late and waste its run, so of similar requests the fresh one goes
    /// first. Catches long queueing of any cause, which shows as runs cut off at the end of their time; harms
    /// where costs hardly vary.
    fn check_queued(&mut self, id: RequestId) {
        let refused_at = self.refusal_time(&self.requests[id]);
        if refused_at <= self.now {
            return self.give_up_or_demote(id, RetryAdvice::NoRetry);
        }
        if !std::mem::replace(&mut self.requests[id].stale, true) {
            self.requests.cut_queued_rate(id, STALE_RATE_FRACTION);
        }
        self.requests.set_timer(id, self.now, refused_at);
    }
}
