//! Manages all requests of a server: runs the scheduling engine, and applies the policies of `lynxtally-flow` for
//! memory, progress, the link to clients, upstreams and retries.
//!
//! The proxy's coroutines report events to the [`RequestManager`] under a lock and ask it what they may do. It never
//! blocks: it performs no I/O, and wakes the coroutine of a request's client when there is something for it.

use crate::settings::{ClassSettings, StreamSettings};
use lynxtally::{CallOutcome, Effect, Gauges, Instant, RequestId, Span};
use lynxtally_engine::{
    Engine, Executor, FinalResponse, Fingerprint, IncomingRequest, RequestCounts, RequestIdentity, Responder,
    RunEnd, Scheduler,
};
use lynxtally_flow::{
    AttemptState, CopyBudget, LinkScheduler, MemoryPool, ProgressMonitor, RetryPolicy, SizeEstimator,
    StreamId, UpstreamSelector,
};
use lynxtally_net::memory_account::MemoryAccount;
use lynxtally_net::sync::lock;
use may::io::WaitIoWaker;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use tracing::{info, warn};

/// How often memory is rebalanced and stalled or late streams are looked for.
const TICK: Span = Span::from_millis(50);
/// The gauges are updated every this many ticks.
const GAUGE_TICKS: u32 = 8;

/// Expected transfer rate of one request in bytes per second where the link is not scarce: about that of a fast disk.
/// Only the ratios between requests matter.
const UNLIMITED_LINK_RATE: f64 = 1e8;

/// About what the coroutine of a request's upstream side takes of memory.
const COROUTINE_BYTES: usize = 12 * 1024;

/// Messages from the manager to the coroutines of a request.
#[derive(Default)]
pub struct ManagerMessages {
    /// The request was admitted.
    pub admitted: bool,
    /// The request is not run. Its body is received to compare the request with an earlier one.
    pub is_compared: bool,
    /// The final response, if it is not the upstream's.
    pub response: Option<FinalResponse>,
}

/// A request, as shared by the manager and the request's coroutines.
pub struct RequestHandle {
    messages: Mutex<ManagerMessages>,
    client_waker: WaitIoWaker,
    id: AtomicU32,
    /// The run has ended, so the engine may have given the request's id to another request.
    ended: AtomicBool,
    /// The index of the request class.
    pub class: usize,
}

impl RequestHandle {
    /// Creates the handle of a request that is not submitted yet; `client_waker` wakes the client's coroutine.
    pub fn new(class: usize, client_waker: WaitIoWaker) -> Self {
        Self {
            messages: Mutex::default(),
            client_waker,
            id: AtomicU32::new(u32::MAX),
            ended: AtomicBool::new(false),
            class,
        }
    }

    fn id(&self) -> RequestId {
        RequestId(self.id.load(Ordering::Relaxed))
    }

    /// The request's id, while the request is admitted and its run has not ended.
    fn running_id(&self) -> Option<RequestId> {
        (!self.ended.load(Ordering::Relaxed) && self.is_admitted()).then(|| self.id())
    }

    /// Whether the request was admitted.
    pub fn is_admitted(&self) -> bool {
        lock(&self.messages).admitted
    }

    /// Whether the request's body is received only to compare the request with an earlier one.
    pub fn is_compared(&self) -> bool {
        lock(&self.messages).is_compared
    }

    /// Takes the final response, if there is one that is not the upstream's.
    pub fn take_response(&self) -> Option<FinalResponse> {
        lock(&self.messages).response.take()
    }

    /// Whether a final response waits to be taken.
    pub fn has_response(&self) -> bool {
        lock(&self.messages).response.is_some()
    }

    /// Wakes the coroutine of the request's client.
    pub fn wake_client(&self) {
        self.client_waker.wakeup();
    }
}

/// Whether a request waits for its client or its upstream. The scheduler sees such a wait as a downstream call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerWait {
    NotWaiting,
    /// The wait was reported to the scheduler, which has not started a call for it yet.
    Requested,
    /// The scheduler has started the call with this number.
    InCall(u64),
}

/// An admitted request whose run has not ended.
struct RunningRequest {
    handle: Arc<RequestHandle>,
    /// Whether any bytes were transferred since the last tick.
    has_moved: bool,
    peer_wait: PeerWait,
    upstream: Option<usize>,
    /// Bytes that count as outstanding at the upstream.
    expected_bytes: u64,
    attempt_start: Instant,
    /// Bytes that both receivers took since the upstream was chosen.
    attempt_bytes: u64,
    /// The client has to send more of the body before the request can go on.
    awaits_client_body: bool,
    /// One of the request's streams has made too little progress for too long.
    is_late: bool,
}

/// What a request has transferred since its last report, and what it holds, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransferReport {
    /// Held for the upstream.
    pub held_for_upstream: u64,
    /// Written to the upstream since the last report.
    pub written_to_upstream: u64,
    /// Held for the client.
    pub held_for_client: u64,
    /// Written to the client since the last report.
    pub written_to_client: u64,
    /// Received from the client since the last report.
    pub received_from_client: u64,
    /// Whether the client has to send more of the body and there is room for it.
    pub awaits_client_body: bool,
    /// Whether bytes for the client wait for a turn on the scarce link.
    pub needs_link_turn: bool,
}

/// What a request may hold and send now, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransferAllowance {
    /// The most that may be held for the upstream.
    pub upstream_window: u64,
    /// The most that may be held for the client.
    pub client_window: u64,
    /// The most that may be sent to the client; `None` if the link is not scarce.
    pub link_credit: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Tick,
    /// Grant turns on the scarce link.
    GrantLink,
}

/// Counters of a stream server, beside those of the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamCounts {
    /// Requests sent again to another upstream.
    pub retried: u64,
    /// Downloads resumed from another upstream.
    pub resumed: u64,
    /// Ejections of upstreams.
    pub ejected_upstreams: u64,
    /// Requests ended because they made too little progress while memory was scarce.
    pub late: u64,
    /// Bytes written to upstreams.
    pub bytes_to_upstreams: u64,
    /// Bytes written to clients.
    pub bytes_to_clients: u64,
    /// Responses cut off after they had begun.
    pub cut_responses: u64,
    /// Messages from clients that were refused as invalid.
    pub invalid_messages: u64,
    /// Duplicates that got the response to an earlier request.
    pub replayed: u64,
    /// Requests that were refused because their idempotency key belongs to another request.
    pub key_conflicts: u64,
    /// The most bytes that all streams have held at one time.
    pub max_held_bytes: u64,
}

/// The resources that all requests share, the policies that divide them, and the state of each running request.
pub struct StreamResources {
    memory: MemoryPool,
    progress: ProgressMonitor,
    upstreams: UpstreamSelector,
    retries: RetryPolicy,
    copies: CopyBudget,
    /// The link to clients, if it is scarce.
    link: Option<LinkScheduler>,
    sizes: SizeEstimator,
    /// The transfer rate, in bytes per second, by which expected bytes are converted to expected work.
    rate: f64,
    /// The running requests, by their ids.
    running: Vec<Option<RunningRequest>>,
    /// Calls that the scheduler has cancelled and whose ends are not reported to it yet.
    cancelled_calls: Vec<(RequestId, u64)>,
    gauges_requested: bool,
    /// Whether the timer that grants turns on the link is set.
    grant_timer_set: bool,
    classes: Vec<ClassSettings>,
    now: Instant,
    /// Counters.
    pub counts: StreamCounts,
}

/// The stream from a request's client to its upstream.
fn upstream_stream(id: RequestId) -> StreamId {
    StreamId(id.0 * 2)
}

/// The stream from a request's upstream to its client.
fn client_stream(id: RequestId) -> StreamId {
    StreamId(id.0 * 2 + 1)
}

impl StreamResources {
    fn admit(&mut self, id: RequestId, handle: &Arc<RequestHandle>) -> bool {
        let weight = self.classes.get(handle.class).map_or(1.0, |class| class.utility);
        if !self.memory.admit(upstream_stream(id), weight) {
            return false;
        }
        if !self.memory.admit(client_stream(id), weight) {
            self.memory.remove(upstream_stream(id));
            return false;
        }
        if let Some(link) = &mut self.link {
            link.add(client_stream(id), weight);
        }
        self.progress.add(self.now, upstream_stream(id));
        self.progress.add(self.now, client_stream(id));
        let index = id.0 as usize;
        if self.running.len() <= index {
            self.running.resize_with(index + 1, || None);
        }
        self.running[index] = Some(RunningRequest {
            handle: handle.clone(),
            has_moved: true,
            peer_wait: PeerWait::NotWaiting,
            upstream: None,
            expected_bytes: 0,
            attempt_start: self.now,
            attempt_bytes: 0,
            awaits_client_body: false,
            is_late: false,
        });
        lock(&handle.messages).admitted = true;
        handle.wake_client();
        true
    }

    fn running_mut(&mut self, id: RequestId) -> Option<&mut RunningRequest> {
        self.running.get_mut(id.0 as usize)?.as_mut()
    }

    /// Releases all resources that a request holds.
    fn release_all(&mut self, id: RequestId) -> Option<RunningRequest> {
        let request = self.running.get_mut(id.0 as usize)?.take()?;
        for stream in [upstream_stream(id), client_stream(id)] {
            self.memory.remove(stream);
            self.progress.remove(stream);
            self.copies.release(stream);
        }
        if let Some(link) = &mut self.link {
            link.remove(client_stream(id));
        }
        Some(request)
    }

    fn expected_work(&self, bytes: u64) -> Span {
        Span::from_secs((bytes as f64 / self.rate).max(1e-6))
    }
}

impl Executor<Arc<RequestHandle>> for StreamResources {
    fn start(&mut self, id: RequestId, handle: &mut Arc<RequestHandle>) {
        // The scheduler's memory limit is the part of the pool reserved for floors, so the pool has room for every
        // request that the scheduler starts.
        let admitted = self.admit(id, handle);
        debug_assert!(admitted, "the scheduler started more requests than the memory pool has floors for");
    }

    fn stop(&mut self, _: RequestId, _: &mut Arc<RequestHandle>) {}

    fn start_call(&mut self, id: RequestId, _: &mut Arc<RequestHandle>, number: u64, _: Span) -> bool {
        match self.running_mut(id) {
            Some(request) => {
                request.peer_wait = PeerWait::InCall(number);
                true
            }
            None => false,
        }
    }

    fn cancel_call(&mut self, handle: &mut Arc<RequestHandle>, number: u64) {
        self.cancelled_calls.push((handle.id(), number));
    }

    fn receive_content(&mut self, _: RequestId, handle: &mut Arc<RequestHandle>) {
        lock(&handle.messages).is_compared = true;
        handle.wake_client();
    }

    fn request_gauges(&mut self) {
        self.gauges_requested = true;
    }

    fn release(&mut self, id: RequestId, _: Arc<RequestHandle>) {
        self.release_all(id);
    }
}

/// Hands final responses to the coroutines of their requests.
pub struct ResponseDelivery;

impl Responder<Arc<RequestHandle>> for ResponseDelivery {
    fn respond(&mut self, handle: Arc<RequestHandle>, response: FinalResponse) -> bool {
        let mut messages = lock(&handle.messages);
        // For an admitted request that completed, the upstream's response has already gone to the client.
        if !(messages.admitted && matches!(response, FinalResponse::Completed(_))) {
            messages.response = Some(response);
            drop(messages);
            handle.wake_client();
        }
        true
    }

    fn log(&mut self, text: &str) {
        info!("{text}");
    }
}

/// Manages all requests of a server.
pub struct RequestManager<P> {
    engine: Engine<P, Arc<RequestHandle>, Arc<RequestHandle>, TimerKind>,
    /// The shared resources and their policies.
    pub resources: StreamResources,
    responses: ResponseDelivery,
    /// When the timer that the caller of `run` set last fires.
    armed_timer: Option<Instant>,
    ticks: u32,
    gauges: Gauges,
    /// When the CPU time was last read, and the CPU time read then, in seconds.
    last_cpu_time: (Instant, f64),
    open_connections: f64,
    is_link_scarce: bool,
    /// The memory of connections. What they hold is not available for windows above their floors.
    account: Arc<MemoryAccount>,
}

/// CPU time that this process has used, in seconds.
fn cpu_seconds() -> f64 {
    use nix::sys::resource::{getrusage, UsageWho};
    use nix::sys::time::TimeValLike;
    let usage = getrusage(UsageWho::RUSAGE_SELF);
    usage.map_or(0.0, |usage| (usage.user_time() + usage.system_time()).num_microseconds() as f64 / 1e6)
}

/// What the manager needs to know of a new request.
pub struct RequestInfo {
    /// The index of the tenant.
    pub tenant: Option<usize>,
    /// The identity by which duplicates of the request are recognized; none if it has no duplicates.
    pub identity: Option<RequestIdentity>,
    /// The length of the body that the head announces, in bytes.
    pub announced_bytes: Option<u64>,
    /// A number for the client's machine.
    pub caller: u64,
}

impl<P: Scheduler> RequestManager<P> {
    /// Creates the manager of a server without requests.
    pub fn new(settings: &StreamSettings, now: Instant, scheduler: P, seed: u64) -> Self {
        let rate = if settings.limits.link_mbit > 0.0 {
            settings.limits.link_mbit * 1e6 / 8.0
        } else {
            UNLIMITED_LINK_RATE
        };
        let link = (settings.limits.link_mbit > 0.0).then(|| LinkScheduler::new(rate, now));
        let mut engine = Engine::new((settings.limits.results_kb << 10) as usize);
        engine.set_max_key_bytes(settings.idempotency_key_bytes);
        engine.start(now, scheduler);
        engine.set_timer(now + TICK, TimerKind::Tick);
        let copies = CopyBudget::new(settings.limits.spool_kb << 10, settings.limits.spool_each_kb << 10);
        let is_link_scarce = link.is_some();
        Self {
            engine,
            resources: StreamResources {
                memory: MemoryPool::new(settings.memory, now),
                progress: ProgressMonitor::new(settings.progress),
                upstreams: UpstreamSelector::new(settings.upstreams.len(), settings.outlier_limits, seed),
                retries: RetryPolicy::new(settings.retries.price, settings.retries.most),
                copies,
                link,
                sizes: SizeEstimator::new(settings.classes.len() + 1),
                rate,
                running: Vec::new(),
                cancelled_calls: Vec::new(),
                gauges_requested: false,
                grant_timer_set: false,
                classes: settings.classes.clone(),
                now,
                counts: StreamCounts::default(),
            },
            responses: ResponseDelivery,
            armed_timer: None,
            ticks: 0,
            gauges: Gauges::default(),
            last_cpu_time: (now, cpu_seconds()),
            open_connections: 0.0,
            is_link_scarce,
            account: MemoryAccount::new(settings.connection_memory),
        }
    }

    /// The account of the memory that connections hold.
    pub fn account(&self) -> &Arc<MemoryAccount> {
        &self.account
    }

    /// The engine's counts of requests received and of how they ended.
    pub fn request_counts(&self) -> RequestCounts {
        self.engine.counts()
    }

    /// When the server has to end, once a shutdown has begun.
    pub fn shutdown_deadline(&self) -> Option<Instant> {
        self.engine.shutdown_deadline()
    }

    /// Sets the number of open connections of clients.
    pub fn set_open_connections(&mut self, open: usize) {
        self.open_connections = open as f64;
    }

    /// Handles expired timers and carries out the scheduler's decisions. Returns how long to wait before
    /// calling this again, or `None` if a timer that the caller has already set fires early enough.
    pub fn run(&mut self, now: Instant) -> Option<Span> {
        self.resources.now = now;
        if self.armed_timer.is_some_and(|at| at <= now) {
            self.armed_timer = None;
        }
        loop {
            let expired = self.engine.expire_timers(now, &mut self.resources);
            for (id, number) in std::mem::take(&mut self.resources.cancelled_calls) {
                self.engine.call_ended(now, id, number, CallOutcome::MaybeExecuted);
            }
            match expired {
                Some(TimerKind::Tick) => self.tick(now),
                Some(TimerKind::GrantLink) => self.grant_link(now),
                None => break,
            }
        }
        if std::mem::take(&mut self.resources.gauges_requested) {
            self.engine.update_gauges(now, self.gauges);
        }
        self.engine.decide(now, &mut self.resources, &mut self.responses);
        self.resources.cancelled_calls.clear();
        let next = self.engine.next_timer()?;
        if self.armed_timer.is_some_and(|armed| armed <= next) {
            return None;
        }
        self.armed_timer = Some(next);
        Some((next - now).max(Span::from_millis(1)))
    }

    fn tick(&mut self, now: Instant) {
        self.engine.set_timer(now + TICK, TimerKind::Tick);
        let running = self.resources.running.iter().flatten().count();
        let unavailable = self.account.used() + running * COROUTINE_BYTES;
        self.resources.memory.set_unavailable(unavailable as u64);
        self.resources.memory.rebalance(now);
        self.resources.counts.max_held_bytes =
            self.resources.counts.max_held_bytes.max(self.resources.memory.held_bytes());
        self.ticks += 1;
        if self.ticks.is_multiple_of(GAUGE_TICKS) {
            let used = cpu_seconds();
            let utilization = (used - self.last_cpu_time.1) / (now - self.last_cpu_time.0).secs().max(1e-6);
            self.last_cpu_time = (now, used);
            // The scheduler's cores stand for the scarce resource: the link if it is limited, otherwise the one core
            // that carries all streams.
            let utilization =
                self.resources.link.as_mut().map_or(utilization.min(1.0), |link| link.take_utilization(now));
            self.gauges =
                Gauges { cpu_utilization: Some(utilization), open_connections: Some(self.open_connections) };
        }
        // A request that has transferred nothing since the last tick waits for a peer. It is reported to the scheduler as
        // being in a call, so that it occupies no core while it waits.
        for index in 0..self.resources.running.len() {
            let id = RequestId(index as u32);
            let Some(request) = self.resources.running_mut(id) else { continue };
            match (std::mem::take(&mut request.has_moved), request.peer_wait) {
                (false, PeerWait::NotWaiting) => {
                    request.peer_wait = PeerWait::Requested;
                    self.engine.call_requested(now, id);
                }
                (true, PeerWait::InCall(number)) => {
                    request.peer_wait = PeerWait::NotWaiting;
                    self.engine.call_ended(now, id, number, CallOutcome::Succeeded);
                }
                _ => {}
            }
            let Some(request) =
                self.resources.running_mut(id).filter(|request| request.peer_wait != PeerWait::NotWaiting)
            else {
                continue;
            };
            // No progress is recorded for a stream that could transfer bytes and does not, whichever peer stalls: the
            // receiver of the bytes that the stream holds, or the client that has to send its body.
            let awaits_client_body = request.awaits_client_body;
            for stream in [upstream_stream(id), client_stream(id)] {
                let holds_bytes = self.resources.memory.room(stream) < self.resources.memory.window(stream);
                if holds_bytes || (awaits_client_body && stream == upstream_stream(id)) {
                    self.resources.progress.record(stream, 0);
                }
            }
        }
        for late in self.resources.progress.newly_late(now) {
            if let Some(request) = self.resources.running_mut(RequestId(late.0 / 2)) {
                request.is_late = true;
            }
        }
        if self.resources.memory.is_scarce() {
            let late = self
                .resources
                .running
                .iter()
                .position(|request| request.as_ref().is_some_and(|request| request.is_late));
            if let Some(index) = late {
                // One late request is ended per tick, since its memory may already be enough for the others.
                self.resources.counts.late += 1;
                if let Some(request) = &self.resources.running[index] {
                    let handle = request.handle.clone();
                    self.end_request(now, &handle, RunEnd::Failed);
                }
            }
        }
    }

    fn grant_link(&mut self, now: Instant) {
        let Some(link) = &mut self.resources.link else { return };
        let (granted, interval) = (link.grant_turns(now), link.grant_interval());
        self.resources.grant_timer_set = !granted.is_empty();
        if self.resources.grant_timer_set {
            self.engine.set_timer(now + interval, TimerKind::GrantLink);
        }
        for stream in granted {
            if let Some(request) = self.resources.running_mut(RequestId(stream.0 / 2)) {
                request.handle.wake_client();
            }
        }
    }

    /// Submits a request to the scheduler. Returns false if the engine does not accept it.
    pub fn submit(&mut self, now: Instant, handle: &Arc<RequestHandle>, info: RequestInfo) -> bool {
        let expected_bytes = self.resources.sizes.expected_bytes(handle.class, info.announced_bytes);
        let floors_kb = 2.0 * self.resources.floor_bytes() as f64 / 1024.0;
        let request = IncomingRequest {
            class: handle.class,
            tenant: info.tenant,
            caller: info.caller,
            expected_work: Some(self.resources.expected_work(expected_bytes)),
            identity: info.identity,
            memory_kb: floors_kb,
            ..IncomingRequest::default()
        };
        match self.engine.submit(now, None, request, handle.clone(), handle.clone()) {
            Ok(id) => {
                handle.id.store(id.0, Ordering::Relaxed);
                true
            }
            Err(_) => false,
        }
    }

    /// Records that the whole content of a request was received.
    pub fn content_received(&mut self, handle: &Arc<RequestHandle>, fingerprint: Fingerprint) {
        let is_own = |other: &Arc<RequestHandle>| Arc::ptr_eq(other, handle);
        self.engine.content_received(handle.id(), fingerprint, is_own, &mut self.responses);
    }

    /// The effect of executing a request twice, as its class says.
    pub fn effect(&self, handle: &RequestHandle) -> Effect {
        self.resources.classes.get(handle.class).map_or(Effect::Idempotent, |class| class.effect)
    }

    /// What a request may hold and send now; nothing if it does not run.
    pub fn allowance(&self, handle: &RequestHandle) -> TransferAllowance {
        let Some(id) = handle.running_id() else { return TransferAllowance::default() };
        TransferAllowance {
            upstream_window: self.resources.memory.window(upstream_stream(id)),
            client_window: self.resources.memory.window(client_stream(id)),
            link_credit: self.resources.link.as_ref().map(|link| link.granted_bytes(client_stream(id))),
        }
    }

    /// Records what a request has transferred since its last report, and what it holds.
    pub fn record_transfer(&mut self, now: Instant, handle: &RequestHandle, report: TransferReport) {
        let Some(id) = handle.running_id() else { return };
        let resources = &mut self.resources;
        let transferred = report.written_to_upstream + report.written_to_client + report.received_from_client;
        let Some(request) = resources.running.get_mut(id.0 as usize).and_then(Option::as_mut) else { return };
        request.has_moved |= transferred > 0;
        request.attempt_bytes += report.written_to_upstream + report.written_to_client;
        request.awaits_client_body = report.awaits_client_body;
        resources.counts.bytes_to_upstreams += report.written_to_upstream;
        resources.counts.bytes_to_clients += report.written_to_client;
        resources.memory.record_held(
            upstream_stream(id),
            report.held_for_upstream,
            report.written_to_upstream,
        );
        resources.memory.record_held(client_stream(id), report.held_for_client, report.written_to_client);
        if report.awaits_client_body || report.received_from_client > 0 {
            resources.progress.record(upstream_stream(id), report.received_from_client);
        }
        if report.held_for_client > 0 || report.written_to_client > 0 {
            resources.progress.record(client_stream(id), report.written_to_client);
        }
        if let Some(link) = &mut resources.link {
            link.record_sent(client_stream(id), report.written_to_client, report.needs_link_turn);
            if report.needs_link_turn && !std::mem::replace(&mut resources.grant_timer_set, true) {
                self.engine.set_timer(now, TimerKind::GrantLink);
            }
        }
    }

    /// Reserves room for `bytes` more of a request body's copy. If there is none, the request's reservation is released
    /// and false is returned: the caller has to drop the copy.
    pub fn reserve_copy(&mut self, handle: &RequestHandle, bytes: u64) -> bool {
        let Some(id) = handle.running_id() else { return false };
        let reserved = self.resources.copies.try_reserve(upstream_stream(id), bytes);
        if !reserved {
            self.resources.copies.release(upstream_stream(id));
        }
        reserved
    }

    /// Chooses an upstream that is not in `excluded`, and starts an attempt there.
    pub fn choose_upstream(
        &mut self,
        now: Instant,
        handle: &RequestHandle,
        excluded: &[usize],
        announced_bytes: Option<u64>,
    ) -> Option<usize> {
        let id = handle.running_id()?;
        let upstream = self.resources.upstreams.choose(now, excluded)?;
        let expected_bytes = self.resources.sizes.expected_bytes(handle.class, announced_bytes);
        self.resources.upstreams.adjust_outstanding(upstream, expected_bytes, 0);
        let request = self.resources.running_mut(id)?;
        (request.upstream, request.expected_bytes, request.attempt_start, request.attempt_bytes) =
            (Some(upstream), expected_bytes, now, 0);
        Some(upstream)
    }

    /// Ends a request's attempt at its upstream. `succeeded` is `None` if the end says nothing about the upstream.
    pub fn release_upstream(&mut self, now: Instant, handle: &RequestHandle, succeeded: Option<bool>) {
        let request = handle.running_id().and_then(|id| self.resources.running_mut(id));
        let attempt = request.and_then(|request| {
            Some((
                request.upstream.take()?,
                request.expected_bytes,
                request.attempt_bytes,
                request.attempt_start,
            ))
        });
        if let Some(attempt) = attempt {
            self.end_attempt(now, attempt, succeeded);
        }
    }

    fn end_attempt(&mut self, now: Instant, attempt: (usize, u64, u64, Instant), succeeded: Option<bool>) {
        let (upstream, expected_bytes, bytes, start) = attempt;
        let elapsed = now - start;
        self.resources.upstreams.adjust_outstanding(upstream, 0, expected_bytes);
        match succeeded {
            Some(true) => self.resources.upstreams.record_success(upstream, bytes, elapsed),
            Some(false) => {
                if self.resources.upstreams.record_failure(now, upstream) {
                    self.resources.counts.ejected_upstreams += 1;
                    warn!(upstream, "upstream ejected after consecutive failures");
                }
            }
            None => self.resources.upstreams.record_neutral_end(upstream),
        }
    }

    /// Returns whether a request may be sent to an upstream that is not in `excluded`; if so, the retry is counted.
    pub fn try_retry(
        &mut self,
        now: Instant,
        handle: &RequestHandle,
        excluded: &[usize],
        attempt: AttemptState,
    ) -> bool {
        let effect = self.effect(handle);
        let allowed = self.resources.upstreams.has_eligible(now, excluded)
            && self.resources.retries.try_retry(effect, attempt);
        self.resources.counts.retried += u64::from(allowed);
        allowed
    }

    /// Returns whether a download may be resumed from an upstream that is not in `excluded`; if so, the resumption is
    /// counted. Asking for the rest of a download executes nothing twice, so only the retry budget limits it.
    pub fn try_resume(&mut self, now: Instant, excluded: &[usize]) -> bool {
        let untouched =
            AttemptState { sent_bytes: 0, is_head_sent: false, has_copy: true, has_response_begun: false };
        let allowed = self.resources.upstreams.has_eligible(now, excluded)
            && self.resources.retries.try_retry(Effect::Idempotent, untouched);
        self.resources.counts.resumed += u64::from(allowed);
        allowed
    }

    /// Ends the run of a request. Calls after the first are ignored.
    pub fn end_request(&mut self, now: Instant, handle: &RequestHandle, end: RunEnd) {
        if handle.ended.swap(true, Ordering::Relaxed) {
            return;
        }
        let id = handle.id();
        if let RunEnd::Completed(_) = end {
            self.resources.retries.record_success();
            if let Some(bytes) = self.resources.running_mut(id).map(|request| request.attempt_bytes) {
                self.resources.sizes.record_completed(handle.class, bytes);
            }
        }
        let released = self.resources.release_all(id);
        let attempt = released.and_then(|request| {
            Some((request.upstream?, request.expected_bytes, request.attempt_bytes, request.attempt_start))
        });
        if let Some(attempt) = attempt {
            self.end_attempt(now, attempt, None);
        }
        self.engine.run_ended(now, id, end, &mut self.resources, &mut self.responses);
    }

    /// Records that the client of a request no longer waits for the response.
    pub fn client_gone(&mut self, now: Instant, handle: &Arc<RequestHandle>) {
        self.engine.caller_gone(now, handle.id(), |other| Arc::ptr_eq(other, handle));
        if handle.is_admitted() {
            self.end_request(now, handle, RunEnd::Stopped);
        }
    }

    /// Begins a graceful shutdown that has to end after `timeout`. Returns false if one had begun before.
    pub fn begin_shutdown(&mut self, now: Instant, timeout: Span) -> bool {
        self.engine.begin_drain(now, timeout)
    }

    /// Fails all requests after an internal error. Returns the handles of the requests that still have to get a response.
    pub fn fail_all(&mut self) -> Vec<Arc<RequestHandle>> {
        self.engine.fail_all()
    }

    /// All counters, as a JSON object.
    pub fn counters(&self) -> serde_json::Value {
        let (requests, streams) = (self.engine.counts(), self.resources.counts);
        serde_json::json!({
            "read": requests.received, "finished": requests.completed, "rejected": requests.rejected,
            "abandoned": requests.failed, "gone": requests.caller_gone, "open": requests.in_flight,
            "adds_up": requests.is_consistent(),
            "repeated": streams.retried, "resumed": streams.resumed, "left_out": streams.ejected_upstreams,
            "late": streams.late, "cut": streams.cut_responses, "bad": streams.invalid_messages,
            "replayed": streams.replayed, "key_conflicts": streams.key_conflicts,
            "octets_up": streams.bytes_to_upstreams, "octets_down": streams.bytes_to_clients,
            "held": self.resources.memory.held_bytes(), "held_most": streams.max_held_bytes,
            "scarce_link": self.is_link_scarce,
        })
    }
}

impl StreamResources {
    fn floor_bytes(&self) -> u64 {
        self.memory.floor_bytes()
    }
}
