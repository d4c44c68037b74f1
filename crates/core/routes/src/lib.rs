//! Routing decisions, without I/O: which fraction of which requests goes where.
//!
//! - [`subset`] selects the members that a proxy sends to.
//! - [`spillover`] distributes the requests of each zone over all zones.
//! - [`plan`] computes the rates of request classes to pools that maximize utility.

#![forbid(unsafe_code)]

pub mod plan;
pub mod spillover;
pub mod subset;
