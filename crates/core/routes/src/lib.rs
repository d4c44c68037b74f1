//! Who gets what fraction of which requests, without I/O: the members that a proxy uses ([`subset`]), how requests spill
//! over from zone to zone ([`spillover`]), and the plan that earns most ([`plan`]).

#![forbid(unsafe_code)]

pub mod plan;
pub mod spillover;
pub mod subset;
