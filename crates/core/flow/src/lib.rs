//! Policies for long HTTP streams, without I/O: the caller reports events and asks for decisions.
//!
//! A stream is one direction of a proxied request, from the client to the upstream or back. The policies decide
//! how much memory each stream may hold ([`MemoryPool`]), which stream sends next on a scarce link
//! ([`LinkScheduler`], [`DeficitRoundRobin`]), which streams make too little progress ([`ProgressMonitor`]), which
//! upstream takes the next request ([`UpstreamSelector`]), when a request may be retried ([`RetryPolicy`],
//! [`CopyBudget`]) or a download resumed ([`resume`]), which content coding a body is sent in ([`coding`]), how many
//! bytes a request is expected to transfer ([`SizeEstimator`]), and how far each resumable upload is ([`uploads`]).

#![forbid(unsafe_code)]

pub mod coding;
mod copy_budget;
mod deficit_round_robin;
mod link_scheduler;
mod memory_pool;
mod progress_monitor;
pub mod resume;
mod retry_policy;
mod size_estimator;
pub mod uploads;
mod upstream_selector;

pub use copy_budget::CopyBudget;
pub use deficit_round_robin::DeficitRoundRobin;
pub use link_scheduler::LinkScheduler;
pub use lynxtally_retry::OutlierLimits as UpstreamLimits;
pub use memory_pool::{MemoryLimits, MemoryPool};
pub use progress_monitor::{ProgressLimits, ProgressMonitor};
pub use retry_policy::{AttemptState, RetryPolicy};
pub use size_estimator::SizeEstimator;
pub use upstream_selector::UpstreamSelector;

/// The index of a stream. Indices are small and are reused once a stream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u32);
