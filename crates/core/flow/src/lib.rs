//! The choices about long streams, without I/O: how much memory each may hold ([`Pool`]), whose octets go next on a
//! scarce link ([`Link`], [`Order`]), what progress is owed ([`Progress`]), which upstream takes the next stream
//! ([`Upstreams`]), when a stream may be repeated ([`Repeats`], [`Spools`]) or gone on with ([`resume`]), how its body is
//! coded ([`coding`]), how much it is expected to move ([`Sizes`]), and how uploads are gone on with ([`uploads`]).

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

pub use copy_budget::Spools;
pub use deficit_round_robin::Order;
pub use link_scheduler::Link;
pub use lynxtally_retry::OutlierLimits as UpstreamLimits;
pub use memory_pool::{Pool, PoolLimits};
pub use progress_monitor::{Progress, ProgressLimits};
pub use retry_policy::{Repeats, Sent};
pub use size_estimator::Sizes;
pub use upstream_selector::Upstreams;

/// A stream's small index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u32);
