//! The implementation of `lynxtally-node`, a server process that admits, schedules and answers requests over TCP.
//!
//! The components run concurrently, as coroutines or threads, and communicate through [`messages`]. Only the
//! [`event_loop`] makes decisions: it owns the scheduler and the open requests. The [`listener`] reads requests from
//! clients and writes the responses, the [`executor_link`] sends the requests to the executor, [`downstream`] makes
//! calls to the dependency on their behalf, [`health_reports`] reports the health of this node to the control plane,
//! and [`coordination`] leases budgets that several nodes share. [`node`] starts all components.

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
