//! The engine itself: what a driver reports to it, and the state that its decisions act on.

use crate::counts::RequestCounts;
use crate::deduplication::{Deduplication, KeyConflict};
use crate::executor::{Executor, RunEnd};
use crate::request::{IncomingRequest, OpenRequest, OpenRequests, Rejection, RejectionReason};
use crate::response::{FinalResponse, Responder};
use crate::scheduler::Scheduler;
use crate::timers::{GaugeReading, Timer, Timers};
use crate::wallets::{ReservationUsage, WalletReservation, Wallets};
use lynxtally::{
    Action, Arrival, CallOutcome, Duplicate, Event, Gauges, Instant, LeasedQuotas, RequestId, RequestIdTable,
    RunOutcome, Span,
};

/// One instance: the scheduler, and all that it decides on. `P` is the scheduler, `W` what the executor keeps of a
/// request, `F` where a response is awaited, `D` what the frontend's own timers are for.
pub struct Engine<S, ExecutorState, ReplyTo, FrontendTimer> {
    pub(crate) scheduler: Option<S>,
    pub(crate) ids: RequestIdTable,
    pub(crate) open: OpenRequests<ExecutorState, ReplyTo>,
    pub(crate) timers: Timers<FrontendTimer>,
    /// Decided and not yet executed.
    pub(crate) actions: Vec<Action>,
    /// What executing actions brought about at once; reported to the scheduler before anything else.
    pub(crate) deferred_events: Vec<Event>,
    pub(crate) deduplication: Deduplication,
    pub(crate) wallets: Wallets,
    /// The number of the newest downstream call.
    pub(crate) last_call_number: u64,
    gauges: GaugeReading,
    pub(crate) shutdown_deadline: Option<Instant>,
    pub(crate) counts: RequestCounts,
}

impl<S: Scheduler, ExecutorState, ReplyTo, FrontendTimer: Copy + Ord>
    Engine<S, ExecutorState, ReplyTo, FrontendTimer>
{
    /// An engine without a scheduler yet; retained results take so many bytes at most.
    pub fn new(max_result_bytes: usize) -> Self {
        Self {
            scheduler: None,
            ids: RequestIdTable::default(),
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

    /// From now on requests are accepted. A graceful shutdown that began before is reported to the scheduler first.
    pub fn start(&mut self, now: Instant, mut scheduler: S) {
        if let Some(shutdown_deadline) = self.shutdown_deadline {
            scheduler.handle(now, Event::Drain(shutdown_deadline));
        }
        self.scheduler = Some(scheduler);
    }

    /// Whether there is a scheduler yet.
    pub fn is_started(&self) -> bool {
        self.scheduler.is_some()
    }

    /// The scheduler, for reading its state.
    pub fn scheduler_mut(&mut self) -> Option<&mut S> {
        self.scheduler.as_mut()
    }

    /// The requests received so far, and how they ended.
    pub fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// The period of the scheduler's timer; zero before it was first set.
    pub fn timer_period(&self) -> Span {
        self.timers.period()
    }

    /// When a graceful shutdown ends, once it began.
    pub fn shutdown_deadline(&self) -> Option<Instant> {
        self.shutdown_deadline
    }

    /// The id of an open request by its name.
    pub fn find(&self, name: &str) -> Option<RequestId> {
        self.ids.find(name).filter(|request| self.open.get(*request).is_some())
    }

    /// The name of a request, where it has one.
    pub fn name(&self, request: RequestId) -> Option<&str> {
        self.ids.name(request)
    }

    /// What the executor keeps of a request.
    pub fn executor_state(&mut self, request: RequestId) -> Option<&mut ExecutorState> {
        self.open.get_mut(request).map(|open| &mut open.executor_state)
    }

    /// What the executor keeps of all open requests, in the order of their ids.
    pub fn executor_states_mut(&mut self) -> impl Iterator<Item = &mut ExecutorState> {
        self.open.values_mut().map(|open| &mut open.executor_state)
    }

    /// The requests whose responses are awaited where `is_own` says.
    pub fn awaiting_reply(&self, is_own: impl Fn(&ReplyTo) -> bool) -> Vec<RequestId> {
        let awaited = self.open.iter().filter(|(_, open)| open.reply_to.as_ref().is_some_and(&is_own));
        awaited.map(|(request, _)| request).collect()
    }

    /// Where a request's response is awaited, while it is.
    pub fn reply_to(&self, request: RequestId) -> Option<&ReplyTo> {
        self.open.get(request)?.reply_to.as_ref()
    }

    /// Requests may wait so long at most before they are read, which is how late a duplicate may be read.
    pub fn set_max_receive_delay(&mut self, max_receive_delay: Span) {
        self.deduplication.set_max_receive_delay(max_receive_delay);
    }

    /// Submits a request. One that is not accepted comes back with the reason, and the frontend responds to it.
    ///
    /// # Errors
    /// See [`RejectionReason`].
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
        } else if name.is_some_and(|name| self.ids.find(name).is_some()) {
            Some(RejectionReason::NameInUse)
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
        let Ok(duplicate) = self.register_idempotency_key(now, request, &incoming) else {
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
            idempotency_key: incoming.idempotency_key,
            call_number: None,
            price_hold: price.hold(),
            executor_state,
        };
        self.open.insert(request, open);
        self.notify_scheduler(now, Event::Arrived(arrival));
        Ok(request)
    }

    /// What a request duplicates. That goes by when it arrived at the machine, not by when it is read: else a duplicate
    /// that lay unread while the key's time ran out would be executed again.
    fn register_idempotency_key(
        &mut self,
        now: Instant,
        request: RequestId,
        incoming: &IncomingRequest,
    ) -> Result<Duplicate, KeyConflict> {
        let Some(key) = &incoming.idempotency_key else { return Ok(Duplicate::No) };
        let arrived_at = now - incoming.receive_delay;
        self.deduplication.register(arrived_at, key, incoming.fingerprint, request)
    }

    /// The caller waits no more, if it is the one that `is_own` knows; tells whether it was.
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
            // No response is owed, so none is paid for.
            self.settle_price(request, false);
            self.notify_scheduler(now, Event::CallerGone(request));
        }
        gone
    }

    /// A running request is ready to make its downstream call.
    pub fn call_requested(&mut self, now: Instant, request: RequestId) {
        self.notify_scheduler(now, Event::CallRequested(request));
    }

    /// A call ended; false where that call is not awaited any more.
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

    /// A run ended. Its request is responded to, and so are the duplicates that waited for it.
    pub fn run_ended(
        &mut self,
        now: Instant,
        request: RequestId,
        end: RunEnd,
        executor: &mut impl Executor<ExecutorState>,
        responder: &mut impl Responder<ReplyTo>,
    ) {
        let Some(open) = self.open.get_mut(request) else { return };
        // A run that ends during its call cancels the call.
        if let Some(number) = open.call_number.take() {
            executor.cancel_call(&mut open.executor_state, number);
        }
        // A scheduler may resume a stopped run, so its duplicates wait on; lynxtally's policy never does, and they get their
        // own deadline's response.
        if let Some(key) = open.idempotency_key.clone().filter(|_| end != RunEnd::Stopped) {
            let result = if let RunEnd::Completed(result) = &end { Some(&result[..]) } else { None };
            let settled = self.deduplication.run_ended(&key, request, result);
            self.settle_duplicates(settled, responder);
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
            RunEnd::NotStarted => {
                // Nothing was executed: whoever comes under its key next is the first.
                self.release_key(request, responder);
                RunOutcome::NotStarted
            }
            RunEnd::Unavailable(retry_after) => {
                // Nothing was executed: whoever comes under its key next is the first.
                self.release_key(request, responder);
                self.respond(request, FinalResponse::Rejected { retry_after, no_retry: false }, responder);
                RunOutcome::NotStarted
            }
        };
        self.notify_scheduler(now, Event::RunEnded(request, outcome));
    }

    /// Reports the backend's own gauges.
    pub fn update_gauges(&mut self, now: Instant, gauges: Gauges) {
        self.gauges = GaugeReading { reported_at: now, gauges };
    }

    /// Begins a graceful shutdown: the process ends after `time_left`. False where it began before.
    pub fn begin_drain(&mut self, now: Instant, time_left: Span) -> bool {
        if self.shutdown_deadline.is_some() {
            return false;
        }
        let shutdown_deadline = now + time_left;
        self.shutdown_deadline = Some(shutdown_deadline);
        self.notify_scheduler(now, Event::Drain(shutdown_deadline));
        true
    }

    /// The quotas leased to this backend have changed.
    pub fn set_quotas(&mut self, now: Instant, quotas: LeasedQuotas) {
        self.notify_scheduler(now, Event::QuotasChanged(quotas));
    }

    /// A tenant's wallet reservation, as it is from now on.
    pub fn set_reservation(&mut self, tenant: usize, reservation: WalletReservation) {
        self.wallets.set(tenant, reservation);
    }

    /// What was used of a tenant's wallet reservation so far.
    pub fn reservation_usage(&self, tenant: usize) -> ReservationUsage {
        self.wallets.usage(tenant)
    }

    /// Sets a timer of the frontend's own.
    pub fn set_timer(&mut self, at: Instant, timer: FrontendTimer) {
        self.timers.set(at, Timer::Frontend(timer));
    }

    /// When the next timer expires.
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Takes expired timers: the engine's own are acted on, the first that is the frontend's comes back.
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

    /// Has the scheduler decide on everything reported since the last call, and executes its actions.
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

    /// After a failure of our own: where each open request's response is awaited. The frontend responds that it failed.
    pub fn fail_all(&mut self) -> Vec<ReplyTo> {
        let awaited: Vec<ReplyTo> = self.open.values_mut().filter_map(|open| open.reply_to.take()).collect();
        self.counts.failed += awaited.len() as u64;
        self.counts.in_flight -= awaited.len() as u64;
        awaited
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
