//! When a stream may be repeated to another upstream: only if nothing of it can have been acted on, or its stage is
//! restartable and all that was sent is still at hand; and only while the budget, paid by successes, allows it.

use lynxtally::Effect;
use lynxtally_retry::RetryBudget;

/// How far a stream had come when its upstream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Octets of its body that were sent on, or may have been.
    pub octets: u64,
    /// Whether its head was sent.
    pub head: bool,
    /// Whether all that was sent is still held.
    pub held: bool,
    /// Whether any of the answer went to the client.
    pub answered: bool,
}

/// The budget of all streams.
#[derive(Clone, Copy, Debug)]
pub struct Repeats(RetryBudget);

impl Repeats {
    /// So many successes pay for a repeat; no more than `most` repeats are saved up, and so many there are at first.
    pub fn new(price: u32, most: u32) -> Self {
        Self(RetryBudget::new(price, most))
    }

    /// A stream ended well.
    pub fn succeeded(&mut self) {
        self.0.record_success();
    }

    /// Whether a stream may be repeated; it is paid for then.
    pub fn may(&mut self, effect: Effect, sent: Sent) -> bool {
        let untouched = !sent.head && sent.octets == 0;
        let again = effect == Effect::Idempotent && sent.held;
        !sent.answered && (untouched || again) && self.0.try_spend()
    }
}
