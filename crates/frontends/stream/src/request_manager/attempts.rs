//! Attempts of requests at upstreams: which upstream is chosen, and whether another one may be tried.

use super::{RequestHandle, RequestManager};
use lynxtally::{Effect, Instant};
use lynxtally_engine::Scheduler;
use lynxtally_flow::AttemptState;
use tracing::warn;

/// An attempt of a request at an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamAttempt {
    /// The index of the upstream.
    upstream: usize,
    /// Bytes that count as outstanding at the upstream.
    expected_bytes: u64,
    start: Instant,
}

impl<P: Scheduler> RequestManager<P> {
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
        request.attempt = Some(UpstreamAttempt { upstream, expected_bytes, start: now });
        request.attempt_bytes = 0;
        Some(upstream)
    }

    /// Ends a request's attempt at its upstream. `succeeded` is `None` if the end says nothing about the upstream.
    pub fn release_upstream(&mut self, now: Instant, handle: &RequestHandle, succeeded: Option<bool>) {
        let Some(request) = handle.running_id().and_then(|id| self.resources.running_mut(id)) else { return };
        let transferred = request.attempt_bytes;
        if let Some(attempt) = request.attempt.take() {
            self.end_attempt(now, attempt, transferred, succeeded);
        }
    }

    /// Ends an attempt in which `transferred` bytes were taken by the upstream and the client.
    pub(super) fn end_attempt(
        &mut self,
        now: Instant,
        attempt: UpstreamAttempt,
        transferred: u64,
        succeeded: Option<bool>,
    ) {
        let UpstreamAttempt { upstream, expected_bytes, start } = attempt;
        self.resources.upstreams.adjust_outstanding(upstream, 0, expected_bytes);
        match succeeded {
            Some(true) => self.resources.upstreams.record_success(upstream, transferred, now - start),
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
}
