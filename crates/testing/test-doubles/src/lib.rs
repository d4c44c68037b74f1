//! Test doubles for what lynxtally's servers talk to: DNS resolvers and updaters, HTTP upstreams and clients, and the disk.
//! The DNS and HTTP doubles follow the formats of the RFCs.
//! The HTTP side of [`stream`] shares no code with the stream server, so that a mistake in one can't hide in the other.

#![forbid(unsafe_code)]

pub mod dns;
pub mod storage;
pub mod stream;
