//! A retry budget: retries are paid for by successes.

/// A retry budget. While all is well it is full; when much fails, retries are no more than a part of what succeeds, so
/// that they can't keep an overload alive by themselves.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Successes saved up.
    balance: u32,
    successes_per_retry: u32,
    max_balance: u32,
}

impl RetryBudget {
    /// So many successes pay for a retry; no more than `max_saved_retries` are saved up, and so many there are at first.
    pub fn new(successes_per_retry: u32, max_saved_retries: u32) -> Self {
        let max_balance = successes_per_retry.saturating_mul(max_saved_retries);
        Self { balance: max_balance, successes_per_retry, max_balance }
    }

    /// A request succeeded.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + 1).min(self.max_balance);
    }

    /// Whether there is enough for a retry.
    pub fn allows_retry(&self) -> bool {
        self.balance >= self.successes_per_retry
    }

    /// Pays for a retry; false, and nothing is paid, where there is not enough.
    pub fn try_spend(&mut self) -> bool {
        if !self.allows_retry() {
            return false;
        }
        self.balance -= self.successes_per_retry;
        true
    }
}
