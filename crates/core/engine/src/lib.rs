//! The request engine that every frontend stands on: the scheduler, the request id table, the open requests, timers
//! in one ordered structure, and the count that every request read got one final response. It reads no clock and does
//! no I/O: a driver tells it what happened and when, an [`Executor`] runs requests, a [`Responder`] gives their final
//! responses. The same code serves on sockets and in simulated time.
//!
//! A turn of a driver: report what happened ([`Engine::submit`], [`Engine::run_ended`], ...), take expired timers with
//! [`Engine::expire_timers`] until there are none, then [`Engine::decide`] once for the whole batch, and wait no
//! longer than [`Engine::next_timer`].

#![forbid(unsafe_code)]

mod repeats;
mod wallets;

pub use repeats::{Conflict, Fingerprint, Key, Repeats, Settled};
pub use wallets::{ReservationUsage, WalletReservation};

use wallets::{PriceHold, Wallets};

use lynxtally::{
    Action, Arrival, CallOutcome, Duplicate, Event, Gauges, Instant, LeasedQuotas, Policy, RequestId,
    RequestIdTable, RunOutcome, Span,
};
use std::collections::BTreeSet;

/// What decides: lynxtally's policy, or in comparisons a baseline.
pub trait Scheduler {
    /// Takes in one event.
    fn handle(&mut self, now: Instant, event: Event);
    /// Decides, and adds what the engine is to do.
    fn decide(&mut self, now: Instant, actions: &mut Vec<Action>);
}

impl Scheduler for Policy {
    fn handle(&mut self, now: Instant, event: Event) {
        Policy::handle(self, now, event);
    }

    fn decide(&mut self, now: Instant, actions: &mut Vec<Action>) {
        Policy::decide(self, now, actions);
    }
}

impl<D: Scheduler + ?Sized> Scheduler for Box<D> {
    fn handle(&mut self, now: Instant, event: Event) {
        (**self).handle(now, event);
    }

    fn decide(&mut self, now: Instant, actions: &mut Vec<Action>) {
        (**self).decide(now, actions);
    }
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The result that its run made, unchanged.
    Completed(Vec<u8>),
    /// It was never executed.
    Rejected {
        /// How long the caller should stay away.
        retry_after: Span,
        /// Asks that it not be retried elsewhere.
        no_retry: bool,
    },
    /// Failed, with no promise that it had no effect.
    Failed,
}

/// Gives a request's final response, and tells callers the state of this backend. `F` is where a response is awaited.
pub trait Responder<F> {
    /// Gives the one final response; false where nobody takes it any more.
    fn respond(&mut self, reply_to: F, response: FinalResponse) -> bool;
    /// What health checks report from now on.
    fn set_health(&mut self, _healthy: bool) {}
    /// The capacity that responses advertise from now on.
    fn advertise_capacity(&mut self, _capacity: f64) {}
    /// Connections that have been idle for so long are to be closed.
    fn close_idle_connections(&mut self, _idle_for: Span) {}
    /// A line for the log.
    fn log(&mut self, _text: &str) {}
}

/// Starts, stops and resumes runs. Their ends come back by [`Engine::run_ended`]. `W` is what the executor keeps of a
/// request.
pub trait Executor<W> {
    /// Starts a request, or resumes it where it was stopped and kept its progress.
    fn start(&mut self, request: RequestId, work: &mut W);
    /// Takes a running request off the cores.
    fn stop(&mut self, request: RequestId, work: &mut W);
    /// Starts a request's downstream call; false where none can be made, so that it is not executed.
    fn start_call(&mut self, request: RequestId, work: &mut W, number: u64, timeout: Span) -> bool;
    /// Cancels the call with this number; its end is still reported.
    fn cancel_call(&mut self, work: &mut W, number: u64);
    /// Has a request finish without its call.
    fn degrade(&mut self, _task: RequestId, _work: &mut W) {}
    /// Asks for the gauges, to be reported by [`Engine::update_gauges`].
    fn request_gauges(&mut self) {}
    /// The scheduler's timer fired.
    fn on_timer(&mut self) {}
    /// Nothing more comes of a request.
    fn release(&mut self, _task: RequestId, _work: W) {}
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// Successfully, with this result.
    Completed(Vec<u8>),
    /// With an error.
    Failed,
    /// It was stopped, or ended because nobody waits.
    Stopped,
    /// Nothing was started.
    NotStarted,
    /// Nobody was available to execute it, and nothing of it was done: it may be retried after so long.
    Unavailable(Span),
}

/// Why a request was not accepted. It was never executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// There is no scheduler yet. The frontend responds that it was rejected.
    NotStarted,
    /// Its name is in use by another request. The same.
    NameInUse,
    /// It came under the idempotency key of another request and is not the same. The frontend responds that it failed:
    /// whoever takes them for one must not be told that neither was executed.
    KeyConflict,
}

/// A request that was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection<F> {
    /// Where its response is awaited.
    pub reply_to: F,
    /// Why it was not accepted.
    pub reason: RejectionReason,
}

/// What a frontend tells of a request that it read.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// Its class's index.
    pub class: usize,
    /// Its tenant's index.
    pub tenant: Option<usize>,
    /// The caller's number.
    pub caller: u64,
    /// The expected work on a standard core.
    pub expected_work: Option<Span>,
    /// How long it waited on this machine before it was read.
    pub receive_delay: Span,
    /// When the caller gives this attempt up, where told.
    pub deadline: Option<Instant>,
    /// Whether it is marked as a retry.
    pub is_retry: bool,
    /// The idempotency key by which its duplicates are recognized.
    pub key: Option<Key>,
    /// What else its duplicates have in common with it.
    pub fingerprint: Fingerprint,
    /// Whether it reads something named, so that its response may serve other requests.
    pub coalescable: bool,
    /// Its memory while queued, in kilobytes.
    pub memory_kb: f64,
}

/// Requests received, and how they ended. Each request received is in one of the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests received.
    pub received: u64,
    /// Responded to with a result.
    pub completed: u64,
    /// Responded to that they were never executed.
    pub rejected: u64,
    /// Responded to that they failed.
    pub failed: u64,
    /// Their callers were gone before the response.
    pub caller_gone: u64,
    /// Responses that nobody took any more.
    pub undelivered: u64,
    /// Still owed a response.
    pub in_flight: u64,
}

impl RequestCounts {
    /// Whether each request received got one response, is still in flight, or its caller is gone.
    pub fn is_consistent(&self) -> bool {
        self.received == self.completed + self.rejected + self.failed + self.caller_gone + self.in_flight
    }
}

/// What falls due; `D` is a front's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due<D> {
    Front(D),
    Ask,
    Timer,
    Call(RequestId, u64),
}

struct Open<W, F> {
    reply_to: Option<F>,
    key: Option<Key>,
    /// The number of the call under way.
    call: Option<u64>,
    /// What is reserved for it of its tenant's purse.
    held: Option<PriceHold>,
    work: W,
}

/// The gauges are asked for this part of the timer's period ahead.
const ASK_AHEAD: f64 = 0.25;
/// Gauges older than this many periods are none.
const GAUGES_KEPT: f64 = 2.0;

/// One instance: the scheduler, and all that it decides on. `P` is the scheduler, `W` what the executor keeps of a
/// request, `F` where a response is awaited, `D` what the frontend's own timers are for.
pub struct Engine<P, W, F, D> {
    scheduler: Option<P>,
    ids: RequestIdTable,
    open: Vec<Option<Open<W, F>>>,
    due: BTreeSet<(Instant, Due<D>)>,
    actions: Vec<Action>,
    /// What carrying out actions brought about at once; heard of before anything else.
    brought: Vec<Event>,
    repeats: Repeats,
    wallets: Wallets,
    calls: u64,
    gauges: (Instant, Gauges),
    period: Span,
    shutdown_deadline: Option<Instant>,
    counts: RequestCounts,
}

impl<P: Scheduler, W, F, D: Copy + Ord> Engine<P, W, F, D> {
    /// An engine without a scheduler yet; retained results take so many bytes at most.
    pub fn new(results: usize) -> Self {
        Self {
            scheduler: None,
            ids: RequestIdTable::default(),
            open: Vec::new(),
            due: BTreeSet::new(),
            actions: Vec::new(),
            brought: Vec::new(),
            repeats: Repeats::new(results),
            wallets: Wallets::default(),
            calls: 0,
            gauges: Default::default(),
            period: Span::ZERO,
            shutdown_deadline: None,
            counts: RequestCounts::default(),
        }
    }

    /// From now on requests can be taken. What decides hears of a notice to leave that came before.
    pub fn start(&mut self, now: Instant, mut scheduler: P) {
        if let Some(kill) = self.shutdown_deadline {
            scheduler.handle(now, Event::Drain(kill));
        }
        self.scheduler = Some(scheduler);
    }

    /// Whether anything decides yet.
    pub fn is_started(&self) -> bool {
        self.scheduler.is_some()
    }

    /// What was read and answered so far.
    pub fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// The period of the module's timer; zero before it was first set.
    pub fn timer_period(&self) -> Span {
        self.period
    }

    /// When the kill comes, once the notice to leave was given.
    pub fn shutdown_deadline(&self) -> Option<Instant> {
        self.shutdown_deadline
    }

    /// The index of a request by its name.
    pub fn find(&self, name: &str) -> Option<RequestId> {
        self.ids.find(name).filter(|request| self.inside(*request).is_some())
    }

    /// The name of a request, where it has one.
    pub fn name(&self, request: RequestId) -> Option<&str> {
        self.ids.name(request)
    }

    /// What a request brought to the executor.
    pub fn work(&mut self, request: RequestId) -> Option<&mut W> {
        Some(&mut self.open.get_mut(request.0 as usize)?.as_mut()?.work)
    }

    /// All of that, in the order of the indices.
    pub fn works_mut(&mut self) -> impl Iterator<Item = &mut W> {
        self.open.iter_mut().flatten().map(|open| &mut open.work)
    }

    /// The requests whose answers are awaited where `is_own` knows.
    pub fn awaiting_reply(&self, is_own: impl Fn(&F) -> bool) -> Vec<RequestId> {
        let own = |open: &Open<W, F>| open.reply_to.as_ref().is_some_and(&is_own);
        let all = self.open.iter().enumerate();
        all.filter(|(_, open)| open.as_ref().is_some_and(own)).map(|(at, _)| RequestId(at as u32)).collect()
    }

    /// Where a request's answer is awaited, while it is.
    pub fn reply_to(&self, request: RequestId) -> Option<&F> {
        self.inside(request)?.reply_to.as_ref()
    }

    fn inside(&self, request: RequestId) -> Option<&Open<W, F>> {
        self.open.get(request.0 as usize)?.as_ref()
    }

    /// Requests may lie unread for so long at most, which is how late a repeat may be read.
    pub fn set_max_receive_delay(&mut self, unread: Span) {
        self.repeats.set_unread(unread);
    }

    /// Takes a request in. One that can't be comes back with the reason, and the front answers it.
    pub fn submit(
        &mut self,
        now: Instant,
        name: Option<&str>,
        incoming: IncomingRequest,
        work: W,
        reply_to: F,
    ) -> Result<RequestId, Rejection<F>> {
        self.counts.received += 1;
        if self.scheduler.is_none() || name.is_some_and(|name| self.ids.find(name).is_some()) {
            self.counts.rejected += 1;
            let reason = if self.scheduler.is_none() {
                RejectionReason::NotStarted
            } else {
                RejectionReason::NameInUse
            };
            return Err(Rejection { reply_to, reason });
        }
        let request = match name {
            Some(name) => self.ids.assign(name),
            None => self.ids.assign_unnamed(),
        };
        // A repeat is one by when it came, not by when it is read.
        let (came, fingerprint) = (now - incoming.receive_delay, incoming.fingerprint);
        let arrive = |key| self.repeats.arrive(came, key, fingerprint, request);
        let Ok(duplicate) = incoming.key.as_ref().map_or(Ok(Duplicate::No), arrive) else {
            self.ids.release(request);
            self.counts.failed += 1;
            return Err(Rejection { reply_to, reason: RejectionReason::KeyConflict });
        };
        self.counts.in_flight += 1;
        let cover = self.wallets.cover(incoming.tenant, incoming.class);
        let at = request.0 as usize;
        if self.open.len() <= at {
            self.open.resize_with(at + 1, || None);
        }
        self.open[at] = Some(Open {
            reply_to: Some(reply_to),
            key: incoming.key,
            call: None,
            held: cover.flatten(),
            work,
        });
        let IncomingRequest {
            class,
            tenant,
            caller,
            expected_work,
            receive_delay,
            deadline,
            is_retry,
            coalescable,
            memory_kb,
            ..
        } = incoming;
        self.tell(
            now,
            Event::Arrived(Arrival {
                request,
                class,
                tenant,
                caller,
                expected_work,
                receive_delay,
                deadline,
                is_retry,
                duplicate,
                coalescable,
                memory_kb,
                prepaid: cover.is_some(),
            }),
        );
        Ok(request)
    }

    /// The caller waits no more, if it is the one that `is_own` knows; tells whether it was.
    pub fn caller_gone(&mut self, now: Instant, request: RequestId, is_own: impl FnOnce(&F) -> bool) -> bool {
        let open = self.open.get_mut(request.0 as usize).and_then(Option::as_mut);
        let gone = open.is_some_and(|open| open.reply_to.take_if(|reply_to| is_own(reply_to)).is_some());
        if gone {
            self.counts.caller_gone += 1;
            self.counts.in_flight -= 1;
            // No answer is owed, so none is paid for.
            self.settle_price(request, false);
            self.tell(now, Event::CallerGone(request));
        }
        gone
    }

    /// A running request stands at a call.
    pub fn call_requested(&mut self, now: Instant, request: RequestId) {
        self.tell(now, Event::CallRequested(request));
    }

    /// A call ended; false where that call is not waited for any more.
    pub fn call_ended(
        &mut self,
        now: Instant,
        request: RequestId,
        number: u64,
        outcome: CallOutcome,
    ) -> bool {
        let open = self.open.get_mut(request.0 as usize).and_then(Option::as_mut);
        let own = open.is_some_and(|open| open.call.take_if(|own| *own == number).is_some());
        if own {
            self.tell(now, Event::CallEnded(request, outcome));
        }
        own
    }

    /// A run ended. Its request is answered, and the repeats that waited for it.
    pub fn run_ended(
        &mut self,
        now: Instant,
        request: RequestId,
        end: RunEnd,
        executor: &mut impl Executor<W>,
        responder: &mut impl Responder<F>,
    ) {
        let Some(open) = self.open.get_mut(request.0 as usize).and_then(Option::as_mut) else { return };
        // A run that ends during its call gives the call up.
        if let Some(number) = open.call.take() {
            executor.cancel_call(&mut open.work, number);
        }
        // A stopped run may go on later: its repeats wait on.
        if let Some(key) = open.key.clone().filter(|_| end != RunEnd::Stopped) {
            let result = if let RunEnd::Completed(result) = &end { Some(&result[..]) } else { None };
            let settled = self.repeats.ended(&key, request, result);
            self.settle_repeats(settled, responder);
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
                // Nothing was started: whoever comes under its key next is the first.
                self.forget(request, responder);
                RunOutcome::NotStarted
            }
            RunEnd::Unavailable(retry_after) => {
                // A repeat of it is the first that can be done.
                self.forget(request, responder);
                self.respond(request, FinalResponse::Rejected { retry_after, no_retry: false }, responder);
                RunOutcome::NotStarted
            }
        };
        self.tell(now, Event::RunEnded(request, outcome));
    }

    /// The backend's own measures.
    pub fn update_gauges(&mut self, now: Instant, gauges: Gauges) {
        self.gauges = (now, gauges);
    }

    /// The notice to leave: the kill comes after `stop`. False where it was given before.
    pub fn begin_drain(&mut self, now: Instant, stop: Span) -> bool {
        if self.shutdown_deadline.is_some() {
            return false;
        }
        let kill = *self.shutdown_deadline.insert(now + stop);
        self.tell(now, Event::Drain(kill));
        true
    }

    /// What this backend may use of what all share has changed.
    pub fn set_quotas(&mut self, now: Instant, quotas: LeasedQuotas) {
        self.tell(now, Event::QuotasChanged(quotas));
    }

    /// A tenant's purse, as it is from now on.
    pub fn set_reservation(&mut self, tenant: usize, purse: WalletReservation) {
        self.wallets.set(tenant, purse);
    }

    /// What became of a tenant's purse so far.
    pub fn reservation_usage(&self, tenant: usize) -> ReservationUsage {
        self.wallets.spent(tenant)
    }

    /// What decides, to be asked what it sees.
    pub fn scheduler_mut(&mut self) -> Option<&mut P> {
        self.scheduler.as_mut()
    }

    /// Something of the front's own falls due then.
    pub fn set_timer(&mut self, at: Instant, due: D) {
        self.due.insert((at, Due::Front(due)));
    }

    /// When the next thing falls due.
    pub fn next_timer(&self) -> Option<Instant> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Takes what is due: the host's own is carried out, the first that is the front's comes back.
    pub fn expire_timers(&mut self, now: Instant, executor: &mut impl Executor<W>) -> Option<D> {
        self.bring(now);
        while let Some(&(at, due)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, due));
            match due {
                Due::Front(due) => return Some(due),
                Due::Ask => executor.request_gauges(),
                Due::Timer => {
                    let (told, gauges) = self.gauges;
                    let fresh = now - told <= self.period * GAUGES_KEPT;
                    self.tell(now, Event::TimerFired(if fresh { gauges } else { Gauges::default() }));
                    executor.on_timer();
                    self.repeats.sweep(now);
                }
                Due::Call(request, number) => {
                    let open = self.open.get_mut(request.0 as usize).and_then(Option::as_mut);
                    if let Some(open) = open.filter(|open| open.call == Some(number)) {
                        executor.cancel_call(&mut open.work, number);
                    }
                }
            }
        }
        None
    }

    /// Has the batch decided on, once, and carries out what comes of it.
    pub fn decide(
        &mut self,
        now: Instant,
        executor: &mut impl Executor<W>,
        responder: &mut impl Responder<F>,
    ) {
        while let Some(scheduler) = &mut self.scheduler {
            scheduler.decide(now, &mut self.actions);
            self.carry_out(now, executor, responder);
            if self.brought.is_empty() {
                break;
            }
            self.bring(now);
        }
    }

    /// After a failure of our own: where each open request is awaited. The front answers that it failed.
    pub fn fail_all(&mut self) -> Vec<F> {
        let left: Vec<F> = self.open.iter_mut().flatten().filter_map(|open| open.reply_to.take()).collect();
        self.counts.failed += left.len() as u64;
        self.counts.in_flight -= left.len() as u64;
        left
    }

    fn tell(&mut self, now: Instant, event: Event) {
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.handle(now, event);
        }
    }

    fn bring(&mut self, now: Instant) {
        for event in std::mem::take(&mut self.brought) {
            self.tell(now, event);
        }
    }

    fn respond(&mut self, request: RequestId, response: FinalResponse, responder: &mut impl Responder<F>) {
        let open = self.open.get_mut(request.0 as usize).and_then(Option::as_mut);
        let Some(reply_to) = open.and_then(|open| open.reply_to.take()) else { return };
        self.counts.in_flight -= 1;
        match &response {
            FinalResponse::Completed(_) => self.counts.completed += 1,
            FinalResponse::Rejected { .. } => self.counts.rejected += 1,
            FinalResponse::Failed => self.counts.failed += 1,
        }
        let finished = matches!(response, FinalResponse::Completed(_));
        let taken = responder.respond(reply_to, response);
        self.counts.undelivered += u64::from(!taken);
        // Finished costs, and only what somebody took; rejected and abandoned cost nothing.
        self.settle_price(request, finished && taken);
    }

    /// What is reserved for a request is settled, once. The same under one key is charged once.
    fn settle_price(&mut self, request: RequestId, charged: bool) {
        let Some(open) = self.open.get_mut(request.0 as usize).and_then(Option::as_mut) else { return };
        let Some(held) = open.held.take() else { return };
        let once = charged && open.key.as_ref().is_none_or(|key| self.repeats.pay(key));
        self.wallets.settle(held, once);
    }

    fn carry_out(
        &mut self,
        now: Instant,
        executor: &mut impl Executor<W>,
        responder: &mut impl Responder<F>,
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Start(request) => {
                    if let Some(open) = self.open[request.0 as usize].as_mut() {
                        executor.start(request, &mut open.work);
                    }
                }
                Action::Stop(request) => {
                    if let Some(open) = self.open[request.0 as usize].as_mut() {
                        executor.stop(request, &mut open.work);
                    }
                }
                Action::Degrade(request) => {
                    if let Some(open) = self.open[request.0 as usize].as_mut() {
                        executor.degrade(request, &mut open.work);
                    }
                }
                Action::Call { request, timeout } => self.call(now, request, timeout, executor),
                Action::Reject { request, retry_after, no_retry } => {
                    self.respond(request, FinalResponse::Rejected { retry_after, no_retry }, responder);
                }
                Action::Fail(request) => self.respond(request, FinalResponse::Failed, responder),
                Action::SetHealth(well) => responder.set_health(well && self.shutdown_deadline.is_none()),
                Action::AdvertiseCapacity(free) => responder.advertise_capacity(free),
                Action::CloseIdleConnections(since) => responder.close_idle_connections(since),
                Action::SetTimer(span) => {
                    self.period = span;
                    self.due.insert((now + span, Due::Timer));
                    self.due.insert((now + span * (1.0 - ASK_AHEAD), Due::Ask));
                }
                Action::Log(text) => responder.log(&text),
                Action::ReleaseId(request) => self.release(now, request, executor, responder),
                Action::Coalesce(request) => {
                    if let Some(key) = self.key(request) {
                        let settled = self.repeats.reuse(&key, request);
                        self.settle_repeats(settled, responder);
                    }
                }
                Action::RetainKey(request, span) => {
                    if let Some(key) = self.key(request) {
                        self.repeats.keep(now, &key, request, span);
                    }
                }
                Action::ReleaseKey(request) => self.forget(request, responder),
            }
        }
        self.actions = actions;
    }

    fn call(&mut self, now: Instant, request: RequestId, timeout: Span, executor: &mut impl Executor<W>) {
        let Some(open) = self.open[request.0 as usize].as_mut() else { return };
        self.calls += 1;
        let number = self.calls;
        if executor.start_call(request, &mut open.work, number, timeout) {
            open.call = Some(number);
            self.due.insert((now + timeout, Due::Call(request, number)));
        } else {
            self.brought.push(Event::CallEnded(request, CallOutcome::NotExecuted));
        }
    }

    fn release(
        &mut self,
        now: Instant,
        request: RequestId,
        executor: &mut impl Executor<W>,
        responder: &mut impl Responder<F>,
    ) {
        self.ids.release(request);
        let Some(mut open) = self.open[request.0 as usize].take() else { return };
        if let Some(key) = open.key {
            let settled = self.repeats.release(now, &key, request);
            self.settle_repeats(settled, responder);
        }
        if let Some(number) = open.call {
            executor.cancel_call(&mut open.work, number);
        }
        executor.release(request, open.work);
    }

    /// Drops a request's key.
    fn forget(&mut self, request: RequestId, responder: &mut impl Responder<F>) {
        if let Some(key) = self.key(request) {
            let settled = self.repeats.forget(&key, request);
            self.settle_repeats(settled, responder);
        }
    }

    fn key(&self, request: RequestId) -> Option<Key> {
        self.inside(request)?.key.clone()
    }

    /// Answers repeats with the result of what they repeat; what decides hears that their runs ended.
    fn settle_repeats(
        &mut self,
        settled: impl IntoIterator<Item = Settled>,
        responder: &mut impl Responder<F>,
    ) {
        for (request, result) in settled {
            self.respond(request, result.map_or(FinalResponse::Failed, FinalResponse::Completed), responder);
            self.brought.push(Event::RunEnded(request, RunOutcome::Responded));
        }
    }
}
