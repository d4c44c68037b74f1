//! The resources that all requests share, and the executor that the engine starts requests with.

use super::attempts::UpstreamAttempt;
use super::{RequestHandle, StreamCounts};
use crate::settings::ClassSettings;
use lynxtally::{Instant, RequestId, Span};
use lynxtally_engine::Executor;
use lynxtally_flow::{
    CopyBudget, LinkScheduler, MemoryPool, ProgressMonitor, RetryPolicy, SizeEstimator, StreamId,
    UpstreamSelector,
};
use lynxtally_net::sync::lock;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Whether a request waits for its client or its upstream. The scheduler sees such a wait as a downstream call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerWait {
    NotWaiting,
    /// The wait was reported to the scheduler, which has not started a call for it yet.
    Requested,
    /// The scheduler has started the call with this number.
    InCall(u64),
}

/// An admitted request whose run has not ended.
pub(super) struct RunningRequest {
    pub(super) handle: Arc<RequestHandle>,
    /// Whether any bytes were transferred since the last tick.
    pub(super) has_moved: bool,
    pub(super) peer_wait: PeerWait,
    pub(super) attempt: Option<UpstreamAttempt>,
    /// Bytes that both receivers took since the upstream was chosen.
    pub(super) attempt_bytes: u64,
    /// The client has to send more of the body before the request can go on.
    pub(super) awaits_client_body: bool,
    /// One of the request's streams has made too little progress for too long.
    pub(super) is_late: bool,
}

/// The resources that all requests share, the policies that divide them, and the state of each running request.
pub struct StreamResources {
    pub(super) memory: MemoryPool,
    pub(super) progress: ProgressMonitor,
    pub(super) upstreams: UpstreamSelector,
    pub(super) retries: RetryPolicy,
    pub(super) copies: CopyBudget,
    /// The link to clients, if it is scarce.
    pub(super) link: Option<LinkScheduler>,
    pub(super) sizes: SizeEstimator,
    /// The transfer rate, in bytes per second, by which expected bytes are converted to expected work.
    pub(super) rate: f64,
    /// The running requests, by their ids.
    pub(super) running: Vec<Option<RunningRequest>>,
    /// Calls that the scheduler has cancelled and whose ends are not reported to it yet.
    pub(super) cancelled_calls: Vec<(RequestId, u64)>,
    pub(super) gauges_requested: bool,
    /// Whether the timer that grants turns on the link is set.
    pub(super) grant_timer_set: bool,
    pub(super) classes: Vec<ClassSettings>,
    pub(super) now: Instant,
    /// Counters.
    pub counts: StreamCounts,
}

/// The stream from a request's client to its upstream.
pub(super) fn upstream_stream(id: RequestId) -> StreamId {
    StreamId(id.0 * 2)
}

/// The stream from a request's upstream to its client.
pub(super) fn client_stream(id: RequestId) -> StreamId {
    StreamId(id.0 * 2 + 1)
}

/// The request that a stream belongs to.
pub(super) fn request_of(stream: StreamId) -> RequestId {
    RequestId(stream.0 / 2)
}

impl StreamResources {
    pub(super) fn admit(&mut self, id: RequestId, handle: &Arc<RequestHandle>) -> bool {
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
            attempt: None,
            attempt_bytes: 0,
            awaits_client_body: false,
            is_late: false,
        });
        lock(&handle.messages).admitted = true;
        handle.wake_client();
        true
    }

    pub(super) fn running_mut(&mut self, id: RequestId) -> Option<&mut RunningRequest> {
        self.running.get_mut(id.0 as usize)?.as_mut()
    }

    /// Releases all resources that a request holds.
    pub(super) fn release_all(&mut self, id: RequestId) -> Option<RunningRequest> {
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

    pub(super) fn expected_work(&self, bytes: u64) -> Span {
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

    fn release(&mut self, id: RequestId, handle: Arc<RequestHandle>) {
        // The engine ends a duplicate by itself. From now on its id may belong to another request.
        handle.ended.store(true, Ordering::Relaxed);
        self.release_all(id);
    }
}

impl StreamResources {
    pub(super) fn floor_bytes(&self) -> u64 {
        self.memory.floor_bytes()
    }
}
