//! The program round the module: sockets on one side, decisions on the other.

pub mod config;
pub mod counters;
pub mod downstream;
pub mod event_loop;
pub mod executor_link;
pub mod health_reports;
pub mod http;
pub mod idempotency;
pub mod listener;
pub mod messages;
pub mod node;
pub mod response;
pub mod shares;
