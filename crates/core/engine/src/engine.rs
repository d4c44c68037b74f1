//! The [`Engine`]: its state, and the methods through which a driver reports events.

use crate::counts::RequestCounts;
use crate::deduplication::{Deduplication, KeyConflict};
use crate::ended_names::EndedNames;
use crate::executor::{Executor, RunEnd};
use crate::identity::Fingerprint;
use crate::request::{IncomingRequest, OpenRequest, OpenRequests, Rejection, RejectionReason};
use crate::response::{FinalResponse, Responder};
use crate::scheduler::Scheduler;
use crate::timers::{GaugeReading, Timer, Timers};
use crate::wallets::{ReservationUsage, WalletReservation, Wallets};
use lynxtally::{
    Action, Arrival, CallOutcome, Duplicate, Event, Gauges, Instant, LeasedQuotas, RequestId, RequestIdTable,
    RunOutcome, Span,
};

/// How long the name of a request that was started is kept after its end, at least. A caller that left may come back
/// later than a copy of its request is delayed.
const MIN_NAME_RETENTION: Span = Span::from_millis(120_000);

/// One instance of the request engine: a scheduler and the requests, timers and wallets that it decides on.
///
/// - `S` is the [`Scheduler`].
/// - `ExecutorState` is what the [`Executor`] stores with each open request.
/// - `ReplyTo` identifies where the response to a request is awaited, such as a connection.
/// - `FrontendTimer` identifies a timer that the frontend sets for itself.
pub struct Engine<S, ExecutorState, ReplyTo, FrontendTimer> {
    pub(crate) scheduler: Option<S>,
    pub(crate) ids: RequestIdTable,
    pub(crate) ended_names: EndedNames,
    /// How long the name of a request that was started is kept after its end.
    pub(crate) name_retention: Span,
    pub(crate) open: OpenRequests<ExecutorState, ReplyTo>,
    pub(crate) timers: Timers<FrontendTimer>,
    /// Actions that the scheduler has decided on and that are not executed yet.
    pub(crate) actions: Vec<Action>,
    /// Events caused by executing actions or by settling duplicates, not yet reported to the scheduler.
    pub(crate) deferred_events: Vec<Event>,
    pub(crate) deduplication: Deduplication,
    pub(crate) wallets: Wallets,
    /// The number of the downstream call that was started last.
    pub(crate) last_call_number: u64,
    gauges: GaugeReading,
    pub(crate) shutdown_deadline: Option<Instant>,
    pub(crate) counts: RequestCounts,
}

impl<S: Scheduler, ExecutorState, ReplyTo, FrontendTimer: Copy + Ord>
    Engine<S, ExecutorState, ReplyTo, FrontendTimer>
{
    /// Creates an engine without a scheduler. Retained results take at most `max_result_bytes` bytes in total.
    pub fn new(max_result_bytes: usize) -> Self {
        Self {
            scheduler: None,
            ids: RequestIdTable::default(),
            ended_names: EndedNames::default(),
            name_retention: MIN_NAME_RETENTION,
            open: OpenRequests::new(),
            timers: Timers::new(),
            actions: Vec::new(),
            deferred_events: Vec::new(),
            deduplication: Deduplication::new(max_result_bytes),
            wallets: Wallets::default(),
            last_call_number: 0,
            gauges: GaugeReading::default(),
            shutdown_deadline: None,
            counts: RequestCounts::default(),
        }
    }

    /// Sets the scheduler, so that requests are accepted from now on. If a graceful shutdown has already begun, the
    /// scheduler is told about it first.
    pub fn start(&mut self, now: Instant, mut scheduler: S) {
        if let Some(shutdown_deadline) = self.shutdown_deadline {
            scheduler.handle(now, Event::Drain(shutdown_deadline));
        }
        self.scheduler = Some(scheduler);
    }

    /// Whether [`Engine::start`] has been called.
    pub fn is_started(&self) -> bool {
        self.scheduler.is_some()
    }

    /// The scheduler, so that a driver can read its state; none before [`Engine::start`].
    pub fn scheduler_mut(&mut self) -> Option<&mut S> {
        self.scheduler.as_mut()
    }

    /// Counts of the requests received so far, by how they ended.
    pub fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// The period of the scheduler's timer; zero until the scheduler first sets it.
    pub fn timer_period(&self) -> Span {
        self.timers.period()
    }

    /// When the graceful shutdown ends; none if none has begun.
    pub fn shutdown_deadline(&self) -> Option<Instant> {
        self.shutdown_deadline
    }

    /// The id of the open request with this name.
    pub fn find(&self, name: &str) -> Option<RequestId> {
        self.ids.find(name).filter(|request| self.open.get(*request).is_some())
    }

    /// The name of a request; none if it was submitted without one.
    pub fn name(&self, request: RequestId) -> Option<&str> {
        self.ids.name(request)
    }

    /// The executor's state of an open request.
    pub fn executor_state(&mut self, request: RequestId) -> Option<&mut ExecutorState> {
        self.open.get_mut(request).map(|open| &mut open.executor_state)
    }

    /// The executor's state of each open request, in the order of request ids.
    pub fn executor_states_mut(&mut self) -> impl Iterator<Item = &mut ExecutorState> {
        self.open.values_mut().map(|open| &mut open.executor_state)
    }

    /// The open requests whose `reply_to` satisfies `is_own`.
    pub fn awaiting_reply(&self, is_own: impl Fn(&ReplyTo) -> bool) -> Vec<RequestId> {
        let awaited = self.open.iter().filter(|(_, open)| open.reply_to.as_ref().is_some_and(&is_own));
        awaited.map(|(request, _)| request).collect()
    }

    /// Where a request's response is awaited; none once it has been sent or the caller is gone.
    pub fn reply_to(&self, request: RequestId) -> Option<&ReplyTo> {
        self.open.get(request)?.reply_to.as_ref()
    }

    /// Sets the longest time that a request can wait on this machine before it is read. Expired idempotency keys are
    /// remembered for this long, because a duplicate that arrived in time may still be unread. The names of requests that
    /// were started are kept for at least twice as long after their ends: the time of arrival in a copy of a request may be
    /// this long ago, or this far in the future.
    pub fn set_max_receive_delay(&mut self, max_receive_delay: Span) {
        self.deduplication.set_max_receive_delay(max_receive_delay);
        self.name_retention = MIN_NAME_RETENTION.max(max_receive_delay * 2.0);
    }

    /// Sets how much memory idempotency keys may take, in bytes. Requests with further keys are rejected, as a key that was
    /// accepted must be remembered for its time.
    pub fn set_max_key_bytes(&mut self, max_key_bytes: usize) {
        self.deduplication.set_max_key_bytes(max_key_bytes);
    }

    /// Submits a request that the frontend has read.
    ///
    /// # Errors
    /// If the request is not accepted, returns `reply_to` and the [`RejectionReason`]; the frontend then responds to it.
    pub fn submit(
        &mut self,
        now: Instant,
        name: Option<&str>,
        incoming: IncomingRequest,
        executor_state: ExecutorState,
        reply_to: ReplyTo,
    ) -> Result<RequestId, Rejection<ReplyTo>> {
        self.counts.received += 1;
        let rejection = if self.scheduler.is_none() {
            Some(RejectionReason::NotReady)
        } else if name.is_some_and(|name| self.is_name_in_use(now, name)) {
            Some(RejectionReason::NameInUse)
        } else if incoming
            .identity
            .as_ref()
            .is_some_and(|identity| !self.deduplication.has_room_for(identity))
        {
            Some(RejectionReason::TooManyKeys)
        } else {
            None
        };
        if let Some(reason) = rejection {
            self.counts.rejected += 1;
            return Err(Rejection { reply_to, reason });
        }
        let request = match name {
            Some(name) => self.ids.assign(name),
            None => self.ids.assign_unnamed(),
        };
        let Ok(duplicate) = self.register_identity(now, request, &incoming) else {
            self.ids.release(request);
            self.counts.failed += 1;
            return Err(Rejection { reply_to, reason: RejectionReason::KeyConflict });
        };
        self.counts.in_flight += 1;
        let price = self.wallets.reserve(incoming.tenant, incoming.class);
        let arrival = Arrival {
            request,
            class: incoming.class,
            tenant: incoming.tenant,
            caller: incoming.caller,
            expected_work: incoming.expected_work,
            receive_delay: incoming.receive_delay,
            deadline: incoming.deadline,
            is_retry: incoming.is_retry,
            duplicate,
            coalescable: incoming.coalescable,
            memory_kb: incoming.memory_kb,
            prepaid: price.is_covered(),
        };
        let open = OpenRequest {
            reply_to: Some(reply_to),
            identity: incoming.identity,
            call_number: None,
            price_hold: price.hold(),
            has_started: false,
            executor_state,
        };
        self.open.insert(request, open);
        self.notify_scheduler(now, Event::Arrived(arrival));
        Ok(request)
    }

    /// Whether a request with this name is open, or was started and ended a short time ago.
    fn is_name_in_use(&self, now: Instant, name: &str) -> bool {
        self.ids.find(name).is_some() || self.ended_names.contains(name, now)
    }

    /// Registers a request under its identity and returns which request it duplicates. The time that counts is when
    /// the request arrived at this machine, not when it was read: otherwise a duplicate that waited unread while its key
    /// expired would be executed again.
    fn register_identity(
        &mut self,
        now: Instant,
        request: RequestId,
        incoming: &IncomingRequest,
    ) -> Result<Duplicate, KeyConflict> {
        let Some(identity) = &incoming.identity else { return Ok(Duplicate::No) };
        let arrived_at = now - incoming.receive_delay;
        self.deduplication.register(arrived_at, identity, request)
    }

    /// Reports that the content of a request has been received, if it was pending when the request was submitted.
    /// Responds to the duplicates that can be compared now. Does nothing if the request's `reply_to` does not satisfy
    /// `is_own`, or if it has already been responded to.
    pub fn content_received(
        &mut self,
        request: RequestId,
        fingerprint: Fingerprint,
        is_own: impl FnOnce(&ReplyTo) -> bool,
        responder: &mut impl Responder<ReplyTo>,
    ) {
        let open = self.open.get_mut(request).filter(|open| open.reply_to.as_ref().is_some_and(is_own));
        let Some(identity) = open.and_then(|open| open.identity.as_mut()) else { return };
        identity.set_content(fingerprint);
        let settled = self.deduplication.content_received(identity.key(), request, fingerprint);
        self.settle_duplicates(settled, responder);
    }

    /// Reports that a caller has stopped waiting. Does nothing and returns false if the request's `reply_to` does not
    /// satisfy `is_own`, or if it has already been responded to.
    pub fn caller_gone(
        &mut self,
        now: Instant,
        request: RequestId,
        is_own: impl FnOnce(&ReplyTo) -> bool,
    ) -> bool {
        let Some(open) = self.open.get_mut(request) else { return false };
        let gone = open.reply_to.take_if(|reply_to| is_own(reply_to)).is_some();
        if gone {
            self.counts.caller_gone += 1;
            self.counts.in_flight -= 1;
            // The caller gets no response, so its tenant is not charged.
            self.settle_price(request, false);
            self.notify_scheduler(now, Event::CallerGone(request));
        }
        gone
    }

    /// Reports that a running request is ready to make its downstream call.
    pub fn call_requested(&mut self, now: Instant, request: RequestId) {
        self.notify_scheduler(now, Event::CallRequested(request));
    }

    /// Reports that a downstream call ended. Returns false if the request no longer waits for the call with this number.
    pub fn call_ended(
        &mut self,
        now: Instant,
        request: RequestId,
        number: u64,
        outcome: CallOutcome,
    ) -> bool {
        let Some(open) = self.open.get_mut(request) else { return false };
        let awaited = open.call_number.take_if(|own| *own == number).is_some();
        if awaited {
            self.notify_scheduler(now, Event::CallEnded(request, outcome));
        }
        awaited
    }

    /// Reports that a run ended. Responds to its request and to the duplicates that waited for its result.
    pub fn run_ended(
        &mut self,
        now: Instant,
        request: RequestId,
        end: RunEnd,
        executor: &mut impl Executor<ExecutorState>,
        responder: &mut impl Responder<ReplyTo>,
    ) {
        let Some(open) = self.open.get_mut(request) else { return };
        // The run no longer needs the result of a call that is still in flight.
        if let Some(number) = open.call_number.take() {
            executor.cancel_call(&mut open.executor_state, number);
        }
        if let Some(identity) = open.identity.as_ref() {
            let key = identity.key();
            let settled = match &end {
                RunEnd::Completed(result) => self.deduplication.run_ended(key, request, Some(result)),
                RunEnd::Failed | RunEnd::Stopped => self.deduplication.run_ended(key, request, None),
                // Nothing was executed, so the next request with this key must run.
                RunEnd::NotStarted | RunEnd::Unavailable(_) => self.deduplication.release_key(key, request),
            };
            self.settle_duplicates(settled, responder);
        }
        if matches!(end, RunEnd::NotStarted | RunEnd::Unavailable(_)) {
            self.set_started(request, false);
        }
        let outcome = match end {
            RunEnd::Completed(result) => {
                self.respond(request, FinalResponse::Completed(result), responder);
                RunOutcome::Responded
            }
            RunEnd::Failed => {
                self.respond(request, FinalResponse::Failed, responder);
                RunOutcome::Responded
            }
            RunEnd::Stopped => RunOutcome::Cancelled,
            RunEnd::NotStarted => RunOutcome::NotStarted,
            RunEnd::Unavailable(retry_after) => {
                self.respond(request, FinalResponse::Rejected { retry_after, no_retry: false }, responder);
                RunOutcome::NotStarted
            }
        };
        self.notify_scheduler(now, Event::RunEnded(request, outcome));
    }

    /// Reports the current measurements of this backend.
    pub fn update_gauges(&mut self, now: Instant, gauges: Gauges) {
        self.gauges = GaugeReading { reported_at: now, gauges };
    }

    /// Begins a graceful shutdown: the process will end after `time_left`. Does nothing and returns false if a shutdown has
    /// already begun.
    pub fn begin_drain(&mut self, now: Instant, time_left: Span) -> bool {
        if self.shutdown_deadline.is_some() {
            return false;
        }
        let shutdown_deadline = now + time_left;
        self.shutdown_deadline = Some(shutdown_deadline);
        self.notify_scheduler(now, Event::Drain(shutdown_deadline));
        true
    }

    /// Reports the quotas that are now leased to this backend.
    pub fn set_quotas(&mut self, now: Instant, quotas: LeasedQuotas) {
        self.notify_scheduler(now, Event::QuotasChanged(quotas));
    }

    /// Replaces a tenant's wallet reservation.
    pub fn set_reservation(&mut self, tenant: usize, reservation: WalletReservation) {
        self.wallets.set(tenant, reservation);
    }

    /// How much of a tenant's wallet reservation has been used so far.
    pub fn reservation_usage(&self, tenant: usize) -> ReservationUsage {
        self.wallets.usage(tenant)
    }

    /// Sets a timer of the frontend; [`Engine::expire_timers`] returns it once it has expired.
    pub fn set_timer(&mut self, at: Instant, timer: FrontendTimer) {
        self.timers.set(at, Timer::Frontend(timer));
    }

    /// When the next timer expires; none if no timer is set.
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Handles the expired timers of the engine. Stops at the first expired timer of the frontend and returns it, so it
    /// must be called until it returns none.
    pub fn expire_timers(
        &mut self,
        now: Instant,
        executor: &mut impl Executor<ExecutorState>,
    ) -> Option<FrontendTimer> {
        self.notify_deferred(now);
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                Timer::Frontend(timer) => return Some(timer),
                Timer::RequestGauges => executor.request_gauges(),
                Timer::Scheduler => {
                    let gauges = self.gauges.current(now, self.timers.period());
                    self.notify_scheduler(now, Event::TimerFired(gauges));
                    executor.on_timer();
                    self.deduplication.remove_expired(now);
                    self.ended_names.remove_expired(now);
                }
                Timer::CallTimeout(request, number) => {
                    let open = self.open.get_mut(request);
                    if let Some(open) = open.filter(|open| open.call_number == Some(number)) {
                        executor.cancel_call(&mut open.executor_state, number);
                    }
                }
            }
        }
        None
    }

    /// Lets the scheduler decide on all events since the last call, and executes its actions.
    pub fn decide(
        &mut self,
        now: Instant,
        executor: &mut impl Executor<ExecutorState>,
        responder: &mut impl Responder<ReplyTo>,
    ) {
        while let Some(scheduler) = &mut self.scheduler {
            scheduler.decide(now, &mut self.actions);
            self.execute_actions(now, executor, responder);
            if self.deferred_events.is_empty() {
                break;
            }
            self.notify_deferred(now);
        }
    }

    /// Counts all open requests as failed, after an internal error, and returns where their responses are awaited. The
    /// frontend responds to each that it failed.
    pub fn fail_all(&mut self) -> Vec<ReplyTo> {
        let awaited: Vec<ReplyTo> = self.open.values_mut().filter_map(|open| open.reply_to.take()).collect();
        self.counts.failed += awaited.len() as u64;
        self.counts.in_flight -= awaited.len() as u64;
        awaited
    }

    pub(crate) fn set_started(&mut self, request: RequestId, has_started: bool) {
        if let Some(open) = self.open.get_mut(request) {
            open.has_started = has_started;
        }
    }

    pub(crate) fn notify_scheduler(&mut self, now: Instant, event: Event) {
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.handle(now, event);
        }
    }

    fn notify_deferred(&mut self, now: Instant) {
        for event in std::mem::take(&mut self.deferred_events) {
            self.notify_scheduler(now, event);
        }
    }
}
