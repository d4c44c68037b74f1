//! A retry budget, which limits retries to a fraction of successful requests.

/// A retry budget. Each success adds to its balance and each retry takes from it. While most requests succeed the budget
/// is full. When many fail, retries are limited to a fraction of the successes, so that they can't sustain an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The saved successes.
    balance: u32,
    successes_per_retry: u32,
    max_balance: u32,
}

impl RetryBudget {
    /// Creates a budget in which `successes_per_retry` successes allow one retry. At most `max_saved_retries` retries are
    /// saved, and this many are available at first.
    pub fn new(successes_per_retry: u32, max_saved_retries: u32) -> Self {
        let max_balance = successes_per_retry.saturating_mul(max_saved_retries);
        Self { balance: max_balance, successes_per_retry, max_balance }
    }

    /// Adds a successful request to the balance.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + 1).min(self.max_balance);
    }

    /// Whether the balance allows a retry.
    pub fn allows_retry(&self) -> bool {
        self.balance >= self.successes_per_retry
    }

    /// Takes one retry from the balance. Returns false, and leaves the balance unchanged, if it allows no retry.
    pub fn try_spend(&mut self) -> bool {
        if !self.allows_retry() {
            return false;
        }
        self.balance -= self.successes_per_retry;
        true
    }
}
