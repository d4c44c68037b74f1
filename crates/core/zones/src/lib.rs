//! The fleet's names, without I/O: zones as immutable versions, zone files, updates, leases, transfers, and the
//! choices about them. Octets and sockets are a front's business.

#![forbid(unsafe_code)]

pub mod change;
pub mod lease;
pub mod lookup;
pub mod name;
pub mod name_tree;
pub mod rate_limit;
pub mod record;
pub mod record_type;
pub mod secondary;
pub mod serial;
pub mod soa;
pub mod update;
pub mod zone;
pub mod zone_file;
pub mod zone_store;

pub use name::Name;
pub use record::{Record, RecordSet};
pub use record_type::RecordType;
pub use serial::Serial;
pub use soa::Soa;
pub use zone::Zone;
