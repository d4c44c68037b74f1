//! Retry decisions, without I/O.
//!
//! - [`RetryBudget`] decides whether a retry is allowed.
//! - [`Backoff`] computes the delay before a retry.
//! - [`OutlierDetector`] ejects servers for some time after consecutive failures.

#![forbid(unsafe_code)]

mod backoff;
mod budget;
mod outliers;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use outliers::{OutlierDetector, OutlierLimits};
