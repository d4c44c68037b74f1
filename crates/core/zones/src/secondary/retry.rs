//! How long a secondary or a sender of NOTIFY waits before it tries again.

use lynxtally::Span;

/// The pauses between attempts for a zone whose SOA is not known yet, and how long an answer is waited for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTimes {
    /// The pause after the first failure.
    pub retry: Span,
    /// The longest pause between two attempts.
    pub max_retry: Span,
    /// A query or transfer that is not answered within this time has failed.
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

/// Each failure in a row makes the pause so many times as long; pauses are stretched or cut by up to half.
pub(crate) const BACKOFF_FACTOR: f64 = 2.0;
