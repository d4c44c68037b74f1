//! The fleet's names over DNS: the codec, TSIG and cookies; the server, a thin driver round the host; and a
//! client for secondaries and operators.

pub mod client;
pub mod codec;
pub mod connection;
pub mod control;
pub mod cookie;
pub mod executor;
pub mod log_writer;
pub mod server;
pub mod settings;
pub mod tsig;
pub mod udp;
