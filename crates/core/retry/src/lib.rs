//! Retries, without I/O: whether there is a budget for one ([`RetryBudget`]), how long to wait before it ([`Backoff`]),
//! and which servers get no requests for a while after failures in a row ([`OutlierDetector`]).

#![forbid(unsafe_code)]

mod backoff;
mod budget;
mod outliers;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use outliers::{OutlierDetector, OutlierLimits};
