//! The fleet's names, without I/O: zones as immutable versions, zone files, updates, leases, transfers, and the
//! choices about them. Octets and sockets are a front's business.

#![forbid(unsafe_code)]

pub mod change;
pub mod file;
pub mod flood;
pub mod follow;
pub mod keeper;
pub mod kind;
pub mod lease;
pub mod lookup;
pub mod name;
pub mod record;
pub mod serial;
pub mod soa;
pub mod tree;
pub mod update;
pub mod zone;

pub use kind::Kind;
pub use name::Name;
pub use record::{Record, Set};
pub use serial::Serial;
pub use soa::Soa;
pub use zone::Zone;
