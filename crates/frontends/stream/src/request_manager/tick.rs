//! What is looked at every tick: memory, gauges, requests that wait for a peer, and those that make too little progress.

use super::resources::{client_stream, request_of, upstream_stream, PeerWait};
use super::{RequestManager, TimerKind};
use lynxtally::{CallOutcome, Gauges, Instant, RequestId, Span};
use lynxtally_engine::{RunEnd, Scheduler};

/// How often memory is rebalanced and stalled or late streams are looked for.
pub(super) const TICK: Span = Span::from_millis(50);
/// The gauges are updated every this many ticks.
const GAUGE_TICKS: u32 = 8;
/// About what the coroutine of a request's upstream side takes of memory.
const COROUTINE_BYTES: usize = 12 * 1024;

/// CPU time that this process has used, in seconds.
pub(super) fn cpu_seconds() -> f64 {
    use nix::sys::resource::{getrusage, UsageWho};
    use nix::sys::time::TimeValLike;
    let usage = getrusage(UsageWho::RUSAGE_SELF);
    usage.map_or(0.0, |usage| (usage.user_time() + usage.system_time()).num_microseconds() as f64 / 1e6)
}

impl<P: Scheduler> RequestManager<P> {
    /// Handles the timer of the ticks, and sets it again.
    pub(super) fn tick(&mut self, now: Instant) {
        self.engine.set_timer(now + TICK, TimerKind::Tick);
        self.rebalance_memory(now);
        self.ticks += 1;
        if self.ticks.is_multiple_of(GAUGE_TICKS) {
            self.measure_gauges(now);
        }
        for index in 0..self.resources.running.len() {
            let id = RequestId(index as u32);
            if self.update_peer_wait(now, id) {
                self.record_missing_progress(id);
            }
        }
        for late in self.resources.progress.newly_late(now) {
            if let Some(request) = self.resources.running_mut(request_of(late)) {
                request.is_late = true;
            }
        }
        if self.resources.memory.is_scarce() {
            self.end_late_request(now);
        }
    }

    fn rebalance_memory(&mut self, now: Instant) {
        let running = self.resources.running.iter().flatten().count();
        let unavailable = self.account.used() + self.upload_record_bytes + running * COROUTINE_BYTES;
        self.resources.memory.set_unavailable(unavailable as u64);
        self.resources.memory.rebalance(now);
        let held = self.resources.memory.held_bytes();
        self.resources.counts.max_held_bytes = self.resources.counts.max_held_bytes.max(held);
    }

    /// Measures the gauges. The scheduler's cores stand for the scarce resource: the link if it is limited, otherwise the one
    /// core that carries all streams.
    fn measure_gauges(&mut self, now: Instant) {
        let used = cpu_seconds();
        let utilization = (used - self.last_cpu_time.1) / (now - self.last_cpu_time.0).secs().max(1e-6);
        self.last_cpu_time = (now, used);
        let utilization =
            self.resources.link.as_mut().map_or(utilization.min(1.0), |link| link.take_utilization(now));
        self.gauges =
            Gauges { cpu_utilization: Some(utilization), open_connections: Some(self.open_connections) };
    }

    /// Returns whether a request waits for a peer: it has transferred nothing since the last tick. It is reported to the
    /// scheduler as being in a call, so that it occupies no core while it waits.
    fn update_peer_wait(&mut self, now: Instant, id: RequestId) -> bool {
        let Some(request) = self.resources.running_mut(id) else { return false };
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
        self.resources.running_mut(id).is_some_and(|request| request.peer_wait != PeerWait::NotWaiting)
    }

    /// Records that a stream of a waiting request made no progress if it could transfer bytes, whichever peer stalls: the
    /// receiver of the bytes that the stream holds, or the client that has to send its body.
    fn record_missing_progress(&mut self, id: RequestId) {
        let Some(request) = self.resources.running_mut(id) else { return };
        let awaits_client_body = request.awaits_client_body;
        for stream in [upstream_stream(id), client_stream(id)] {
            let holds_bytes = self.resources.memory.room(stream) < self.resources.memory.window(stream);
            if holds_bytes || (awaits_client_body && stream == upstream_stream(id)) {
                self.resources.progress.record(stream, 0);
            }
        }
    }

    /// Ends one late request. Its memory may already be enough for the others.
    fn end_late_request(&mut self, now: Instant) {
        let mut running = self.resources.running.iter().flatten();
        let Some(late) = running.find(|request| request.is_late) else { return };
        let handle = late.handle.clone();
        self.resources.counts.late += 1;
        self.end_request(now, &handle, RunEnd::Failed);
    }
}
