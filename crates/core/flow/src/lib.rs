//! The choices about long streams, without I/O: how much memory each may hold ([`Pool`]), whose octets go next on a
//! scarce link ([`Link`], [`Order`]), what progress is owed ([`Progress`]), which upstream takes the next stream
//! ([`Upstreams`]), when a stream may be repeated ([`Repeats`], [`Spools`]) or gone on with ([`resume`]), how its body is
//! coded ([`coding`]), how much it is expected to move ([`Sizes`]), and how uploads are gone on with ([`uploads`]).

#![forbid(unsafe_code)]

pub mod coding;
mod link;
mod order;
mod pool;
mod progress;
mod repeats;
pub mod resume;
mod sizes;
mod spools;
pub mod uploads;
mod upstreams;

pub use link::Link;
pub use lynxtally_retry::OutlierLimits as UpstreamLimits;
pub use order::Order;
pub use pool::{Pool, PoolLimits};
pub use progress::{Progress, ProgressLimits};
pub use repeats::{Repeats, Sent};
pub use sizes::Sizes;
pub use spools::Spools;
pub use upstreams::Upstreams;

/// A stream's small index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u32);
