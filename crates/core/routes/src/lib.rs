//! Who gets what share of which tasks, without I/O: the members that a proxy uses ([`subset`]), how tasks spill over from
//! place to place ([`spill`]), and the plan that earns most ([`plan`]).

#![forbid(unsafe_code)]

pub mod plan;
pub mod spill;
pub mod subset;
