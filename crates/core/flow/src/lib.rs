//! The choices about long streams, without I/O: how much memory each may hold ([`Pool`]), whose octets go next on a
//! scarce link ([`Order`]), what progress is owed ([`Progress`]), which upstream takes the next stream
//! ([`Upstreams`]), and when a stream may be repeated ([`Repeats`]).

#![forbid(unsafe_code)]

mod order;
mod pool;
mod progress;
mod repeats;
mod upstreams;

pub use order::Order;
pub use pool::{Pool, PoolLimits};
pub use progress::{Progress, ProgressLimits};
pub use repeats::{Repeats, Sent};
pub use upstreams::{UpstreamLimits, Upstreams};

/// A stream's small index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u32);
