//! Delays between attempts of secondaries and of NOTIFY senders.

use lynxtally::Span;

/// The retry delays of a zone whose SOA is not known yet, and the timeout of queries and transfers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTimes {
    /// The delay after the first failure.
    pub retry: Span,
    /// The longest delay between two attempts.
    pub max_retry: Span,
    /// The time after which an unanswered query or transfer counts as failed.
    pub timeout: Span,
}

impl Default for RetryTimes {
    fn default() -> Self {
        Self {
            retry: Span::from_millis(1000),
            max_retry: Span::from_millis(600_000),
            timeout: Span::from_millis(30_000),
        }
    }
}

/// Factor by which consecutive failures lengthen the delay. Each delay also varies at random by up to half.
pub(crate) const BACKOFF_FACTOR: f64 = 2.0;
