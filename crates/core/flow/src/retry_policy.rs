//! Decides whether a request whose upstream failed may be sent to another upstream. It may if the first upstream
//! cannot have acted on any of it, or if the request is idempotent and a copy of everything sent is still held. In both
//! cases the retry budget, which successful requests refill, has to allow it.

use lynxtally::Effect;
use lynxtally_retry::RetryBudget;

/// How far an attempt had come when its upstream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptState {
    /// Bytes of the request body that were sent to the upstream, or may have been.
    pub sent_bytes: u64,
    /// Whether the head of the request was sent.
    pub is_head_sent: bool,
    /// Whether a copy of everything sent is still held.
    pub has_copy: bool,
    /// Whether any of the response went to the client.
    pub has_response_begun: bool,
}

/// The retry budget that all requests share.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy(RetryBudget);

impl RetryPolicy {
    /// Creates a budget in which `successes_per_retry` successes pay for one retry. It holds at most
    /// `max_retries`, and starts full.
    pub fn new(successes_per_retry: u32, max_retries: u32) -> Self {
        Self(RetryBudget::new(successes_per_retry, max_retries))
    }

    /// Records a request that succeeded.
    pub fn record_success(&mut self) {
        self.0.record_success();
    }

    /// Returns whether the attempt may be retried; if so, the retry is taken out of the budget.
    pub fn try_retry(&mut self, effect: Effect, attempt: AttemptState) -> bool {
        let is_untouched = !attempt.is_head_sent && attempt.sent_bytes == 0;
        let is_repeatable = effect == Effect::Idempotent && attempt.has_copy;
        !attempt.has_response_begun && (is_untouched || is_repeatable) && self.0.try_spend()
    }
}
