//! An authoritative DNS server for the fleet's zones, with dynamic updates and zone transfers: message codec, TSIG,
//! cookies, the server and its settings, and a client for secondaries and operators.

pub mod base_files;
pub mod client;
pub mod codec;
pub mod connection;
pub mod control;
pub mod cookie;
pub mod datagram_queue;
pub mod executor;
pub mod log_writer;
pub mod server;
pub mod settings;
pub mod tsig;
pub mod udp;
