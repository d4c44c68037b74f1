//! The DNS zone store, without I/O: zones as immutable versions, zone files, dynamic updates (RFC 2136), leases of
//! records (RFC 9664), zone transfers (RFC 5936, RFC 1995) and the decisions about them. The wire format and sockets
//! belong to the DNS frontend.
//!
//! [`zone_store::ZoneStore`] holds one zone; [`lookup::lookup`] answers a query from one version of it;
//! [`secondary`] decides when a secondary zone queries its primaries and transfers the zone; [`rate_limit`] finds the prefixes of
//! client addresses that exceed their share of requests.

#![forbid(unsafe_code)]

pub mod change;
pub mod lease;
pub mod lookup;
pub mod name;
pub mod name_tree;
pub mod rate_limit;
pub mod record;
pub mod record_data;
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
