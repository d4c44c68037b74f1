//! Executes the scheduler's actions, and ensures that each request gets one final response and is charged at most once.

use crate::deduplication::{DuplicateOutcome, SettledDuplicate};
use crate::engine::Engine;
use crate::executor::Executor;
use crate::identity::{ContentFingerprint, RequestIdentity};
use crate::response::{FinalResponse, Responder};
use crate::scheduler::Scheduler;
use crate::timers::Timer;
use lynxtally::{Action, CallOutcome, Event, Instant, RequestId, RunOutcome, Span};

impl<S: Scheduler, ExecutorState, ReplyTo, FrontendTimer: Copy + Ord>
    Engine<S, ExecutorState, ReplyTo, FrontendTimer>
{
    pub(crate) fn execute_actions(
        &mut self,
        now: Instant,
        executor: &mut impl Executor<ExecutorState>,
        responder: &mut impl Responder<ReplyTo>,
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.execute(now, action, executor, responder);
        }
        // The drained vector is put back so that its allocation is reused.
        self.actions = actions;
    }

    fn execute(
        &mut self,
        now: Instant,
        action: Action,
        executor: &mut impl Executor<ExecutorState>,
        responder: &mut impl Responder<ReplyTo>,
    ) {
        match action {
            Action::Start(request) => {
                if let Some(open) = self.open.get_mut(request) {
                    open.has_started = true;
                    executor.start(request, &mut open.executor_state);
                }
            }
            Action::Stop(request) => {
                if let Some(open) = self.open.get_mut(request) {
                    executor.stop(request, &mut open.executor_state);
                }
            }
            Action::Degrade(request) => {
                if let Some(open) = self.open.get_mut(request) {
                    executor.degrade(request, &mut open.executor_state);
                }
            }
            Action::Call { request, timeout } => self.start_call(now, request, timeout, executor),
            Action::Reject { request, retry_after, no_retry } => {
                self.respond(request, FinalResponse::Rejected { retry_after, no_retry }, responder);
            }
            Action::Fail(request) => self.respond(request, FinalResponse::Failed, responder),
            // Health checks fail during a graceful shutdown, even if the scheduler reports that the backend is healthy.
            Action::SetHealth(healthy) => responder.set_health(healthy && self.shutdown_deadline.is_none()),
            Action::AdvertiseCapacity(capacity) => responder.advertise_capacity(capacity),
            Action::CloseIdleConnections(idle_for) => responder.close_idle_connections(idle_for),
            Action::SetTimer(period) => self.timers.set_period(now, period),
            Action::Log(text) => responder.log(&text),
            Action::ReleaseId(request) => self.release_request(now, request, executor, responder),
            Action::Coalesce(request) => self.coalesce(request, executor, responder),
            Action::RetainKey(request, duration) => {
                if let Some(identity) = self.identity(request) {
                    self.deduplication.retain_key(now, &identity, request, duration);
                }
            }
            Action::ReleaseKey(request) => self.release_key(request, responder),
        }
    }

    fn coalesce(
        &mut self,
        request: RequestId,
        executor: &mut impl Executor<ExecutorState>,
        responder: &mut impl Responder<ReplyTo>,
    ) {
        let Some(identity) = self.identity(request) else { return };
        let settled = self.deduplication.coalesce(&identity, request);
        let awaits_content = settled.is_none() && identity.content() == ContentFingerprint::Pending;
        if let Some(open) = self.open.get_mut(request).filter(|_| awaits_content) {
            executor.receive_content(request, &mut open.executor_state);
        }
        self.settle_duplicates(settled, responder);
    }

    fn start_call(
        &mut self,
        now: Instant,
        request: RequestId,
        timeout: Span,
        executor: &mut impl Executor<ExecutorState>,
    ) {
        let Some(open) = self.open.get_mut(request) else { return };
        self.last_call_number += 1;
        let number = self.last_call_number;
        if executor.start_call(request, &mut open.executor_state, number, timeout) {
            open.call_number = Some(number);
            self.timers.set(now + timeout, Timer::CallTimeout(request, number));
        } else {
            self.deferred_events.push(Event::CallEnded(request, CallOutcome::NotExecuted));
        }
    }

    fn release_request(
        &mut self,
        now: Instant,
        request: RequestId,
        executor: &mut impl Executor<ExecutorState>,
        responder: &mut impl Responder<ReplyTo>,
    ) {
        let name = self.ids.name(request).map(str::to_owned);
        self.ids.release(request);
        let Some(mut open) = self.open.remove(request) else { return };
        if let Some(name) = name.filter(|_| open.has_started) {
            self.ended_names.insert(&name, now + self.name_retention);
        }
        if let Some(identity) = &open.identity {
            let settled = self.deduplication.release_request(now, identity.key(), request);
            self.settle_duplicates(settled, responder);
        }
        if let Some(number) = open.call_number {
            executor.cancel_call(&mut open.executor_state, number);
        }
        executor.release(request, open.executor_state);
    }

    /// Forgets a request's idempotency key, so that the next request with this key runs. Duplicates that waited are rejected.
    pub(crate) fn release_key(&mut self, request: RequestId, responder: &mut impl Responder<ReplyTo>) {
        if let Some(identity) = self.identity(request) {
            let settled = self.deduplication.release_key(identity.key(), request);
            self.settle_duplicates(settled, responder);
        }
    }

    fn identity(&self, request: RequestId) -> Option<RequestIdentity> {
        self.open.get(request)?.identity.clone()
    }

    /// Responds to duplicates. The scheduler is told that their runs ended.
    pub(crate) fn settle_duplicates(
        &mut self,
        settled: impl IntoIterator<Item = SettledDuplicate>,
        responder: &mut impl Responder<ReplyTo>,
    ) {
        for SettledDuplicate { request, outcome } in settled {
            let response = match outcome {
                DuplicateOutcome::Result(result) => FinalResponse::Completed(result),
                DuplicateOutcome::WithoutResult => FinalResponse::WithoutResult,
                DuplicateOutcome::NotExecuted => {
                    FinalResponse::Rejected { retry_after: Span::ZERO, no_retry: false }
                }
                DuplicateOutcome::KeyConflict => FinalResponse::KeyConflict,
            };
            self.respond(request, response, responder);
            self.deferred_events.push(Event::RunEnded(request, RunOutcome::Responded));
        }
    }

    /// Sends a request its final response, unless it already got one or its caller is gone.
    pub(crate) fn respond(
        &mut self,
        request: RequestId,
        response: FinalResponse,
        responder: &mut impl Responder<ReplyTo>,
    ) {
        let Some(open) = self.open.get_mut(request) else { return };
        let Some(reply_to) = open.reply_to.take() else { return };
        self.counts.in_flight -= 1;
        match &response {
            FinalResponse::Completed(_) => self.counts.completed += 1,
            FinalResponse::Rejected { .. } => self.counts.rejected += 1,
            FinalResponse::Failed | FinalResponse::WithoutResult | FinalResponse::KeyConflict => {
                self.counts.failed += 1;
            }
        }
        let completed = matches!(response, FinalResponse::Completed(_));
        let delivered = responder.respond(reply_to, response);
        self.counts.undelivered += u64::from(!delivered);
        // The tenant is charged only for a result that was delivered, not for rejected or failed requests.
        self.settle_price(request, completed && delivered);
    }

    /// Settles the price that is reserved for a request; later calls for the same request do nothing. All requests with one
    /// idempotency key are charged once.
    pub(crate) fn settle_price(&mut self, request: RequestId, charged: bool) {
        let Some(open) = self.open.get_mut(request) else { return };
        let Some(hold) = open.price_hold.take() else { return };
        let identity = open.identity.as_ref();
        let charged =
            charged && identity.is_none_or(|identity| self.deduplication.charge_once(identity.key()));
        self.wallets.settle(hold, charged);
    }
}
