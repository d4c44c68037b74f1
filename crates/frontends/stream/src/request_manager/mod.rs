//! Manages all requests of a server: runs the scheduling engine, and applies the policies of `lynxtally-flow` for
//! memory, progress, the link to clients, upstreams and retries.
//!
//! The proxy's coroutines report events to the [`RequestManager`] under a lock and ask it what they may do. It never
//! blocks: it performs no I/O, and wakes the coroutine of a request's client when there is something for it.

mod counts;
mod handle;
mod resources;
mod responder;
mod transfer;

pub use counts::StreamCounts;
pub use handle::{ManagerMessages, RequestHandle};
pub use resources::StreamResources;
pub use responder::ResponseDelivery;
pub use transfer::{TransferAllowance, TransferReport};

use crate::settings::StreamSettings;
use lynxtally::{CallOutcome, Effect, Gauges, Instant, RequestId, Span};
use lynxtally_engine::{
    Engine, Fingerprint, Identified, IdentityRefusal, IncomingRequest, RequestCounts, RequestIdentity,
    RunEnd, Scheduler,
};
use lynxtally_flow::{
    AttemptState, CopyBudget, LinkScheduler, MemoryPool, ProgressMonitor, RetryPolicy, SizeEstimator,
    UpstreamSelector,
};
use lynxtally_net::memory_account::MemoryAccount;
use lynxtally_net::sync::lock;
use resources::{client_stream, upstream_stream, PeerWait};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tracing::warn;

/// How often memory is rebalanced and stalled or late streams are looked for.
const TICK: Span = Span::from_millis(50);
/// The gauges are updated every this many ticks.
const GAUGE_TICKS: u32 = 8;

/// Expected transfer rate of one request in bytes per second where the link is not scarce: about that of a fast disk.
/// Only the ratios between requests matter.
const UNLIMITED_LINK_RATE: f64 = 1e8;

/// About what the coroutine of a request's upstream side takes of memory.
const COROUTINE_BYTES: usize = 12 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Tick,
    /// Grant turns on the scarce link.
    GrantLink,
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
    /// What the records of uploads hold, in bytes. It is not available for windows above their floors.
    upload_record_bytes: usize,
    is_link_scarce: bool,
    /// The memory of connections. What they hold is not available for windows above their floors.
    account: Arc<MemoryAccount>,
    /// How long a result is kept for duplicates of a request, by class.
    result_retention: Vec<Span>,
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
        let classes = &settings.scheduling.classes;
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
            upload_record_bytes: 0,
            is_link_scarce,
            account: MemoryAccount::new(settings.connection_memory),
            result_retention: classes.iter().map(|class| class.deduplication_window).collect(),
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

    /// Sets what the records of uploads hold, in bytes.
    pub fn set_upload_record_bytes(&mut self, bytes: u64) {
        self.upload_record_bytes = bytes as usize;
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
        let unavailable = self.account.used() + self.upload_record_bytes + running * COROUTINE_BYTES;
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

    /// Gives an admitted request its identity, right before its effect may begin. A duplicate gets the response to the
    /// earlier request as its final response.
    ///
    /// # Errors
    /// The identity is refused; the effect must not begin.
    pub fn identify(
        &mut self,
        now: Instant,
        handle: &Arc<RequestHandle>,
        identity: RequestIdentity,
    ) -> Result<Identified, IdentityRefusal> {
        let id = handle.running_id().ok_or(IdentityRefusal::NotOpen)?;
        let retained_for = self.result_retention(handle.class);
        // Set before the engine may respond to the duplicate.
        lock(&handle.messages).is_duplicate = true;
        let identified = self.engine.identify(now, id, identity, retained_for, &mut self.responses);
        lock(&handle.messages).is_duplicate = identified == Ok(Identified::Duplicate);
        identified
    }

    /// Keeps the result of an admitted request for its duplicates, whatever its class. Its identity was submitted with it.
    pub fn retain_result(&mut self, now: Instant, handle: &RequestHandle) {
        if let Some(id) = handle.running_id() {
            self.engine.retain_result(now, id, self.result_retention(handle.class));
        }
    }

    /// Whether a request with this identity that arrives now would duplicate an earlier one, or conflict with it.
    pub fn is_identity_known(&self, now: Instant, identity: &RequestIdentity) -> bool {
        self.engine.is_identity_known(now, identity)
    }

    /// Forgets the result of a run that has ended, so that the next request with this identity is executed.
    pub fn forget_result(&mut self, identity: &RequestIdentity) {
        self.engine.forget_result(identity);
    }

    /// How long the result of a request of this class is kept for its duplicates.
    pub fn result_retention(&self, class: usize) -> Span {
        self.result_retention.get(class).copied().unwrap_or(Span::ZERO)
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

    /// Records that the client of a request no longer waits for the response. The run goes on.
    pub fn caller_gone(&mut self, now: Instant, handle: &Arc<RequestHandle>) {
        self.engine.caller_gone(now, handle.id(), |other| Arc::ptr_eq(other, handle));
    }

    /// Records that the client of a request no longer waits for the response, and ends the run: as `end` if it was
    /// admitted.
    pub fn client_gone(&mut self, now: Instant, handle: &Arc<RequestHandle>, end: RunEnd) {
        self.caller_gone(now, handle);
        if handle.is_admitted() {
            self.end_request(now, handle, end);
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
            "uploads_joined": streams.uploads_joined, "uploads_refused": streams.uploads_refused,
            "octets_up": streams.bytes_to_upstreams, "octets_down": streams.bytes_to_clients,
            "held": self.resources.memory.held_bytes(), "held_most": streams.max_held_bytes,
            "scarce_link": self.is_link_scarce,
        })
    }
}
