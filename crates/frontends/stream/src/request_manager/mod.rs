//! Manages all requests of a server: runs the scheduling engine, and applies the policies of `lynxtally-flow` for
//! memory, progress, the link to clients, upstreams and retries.
//!
//! The proxy's coroutines report events to the [`RequestManager`] under a lock and ask it what they may do. It never
//! blocks: it performs no I/O, and wakes the coroutine of a request's client when there is something for it.

mod attempts;
mod counts;
mod handle;
mod lifecycle;
mod resources;
mod responder;
mod tick;
mod transfer;

pub use counts::StreamCounts;
pub use handle::{ManagerMessages, RequestHandle};
pub use lifecycle::RequestInfo;
pub use resources::StreamResources;
pub use responder::ResponseDelivery;
pub use transfer::{TransferAllowance, TransferReport};

use crate::settings::StreamSettings;
use lynxtally::{CallOutcome, Gauges, Instant, Span};
use lynxtally_engine::{Engine, RequestCounts, Scheduler};
use lynxtally_flow::{
    CopyBudget, LinkScheduler, MemoryPool, ProgressMonitor, RetryPolicy, SizeEstimator, UpstreamSelector,
};
use lynxtally_net::memory_account::MemoryAccount;
use resources::{client_stream, request_of, upstream_stream};
use std::sync::Arc;
use tick::{cpu_seconds, TICK};

/// Expected transfer rate of one request in bytes per second where the link is not scarce: about that of a fast disk.
/// Only the ratios between requests matter.
const UNLIMITED_LINK_RATE: f64 = 1e8;

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

    fn grant_link(&mut self, now: Instant) {
        let Some(link) = &mut self.resources.link else { return };
        let (granted, interval) = (link.grant_turns(now), link.grant_interval());
        self.resources.grant_timer_set = !granted.is_empty();
        if self.resources.grant_timer_set {
            self.engine.set_timer(now + interval, TimerKind::GrantLink);
        }
        for stream in granted {
            if let Some(request) = self.resources.running_mut(request_of(stream)) {
                request.handle.wake_client();
            }
        }
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
