//! A node: the program that serves requests on real sockets as lynxtally decides.
//!
//! The parts run side by side and send each other [`messages`]. The [`event_loop`] alone decides: it holds the
//! scheduler and the open requests. The [`listener`] reads requests from clients and writes their responses, the
//! [`executor_link`] has them run, [`downstream`] makes their calls, [`health_reports`] tells the control plane that
//! this node may be used, and [`coordination`] has its part in what all nodes share. [`node`] starts all of them.

pub mod advertised_state;
pub mod config;
pub mod coordination;
pub mod counters;
pub mod downstream;
pub mod error;
pub mod event_loop;
pub mod executor_link;
pub mod health_reports;
pub mod http;
pub mod idempotency;
pub mod listener;
pub mod messages;
pub mod node;
pub mod response;
