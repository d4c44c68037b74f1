//! A fleet in simulated time. Nodes are the real [`lynxtally_engine::Engine`] with the module, or a baseline, inside; round
//! them are models, each with its source named: cores ([`cores`]), work ([`work`]), sidecars ([`sidecar`]), links and
//! faults ([`world`]). Rules are checked on every run ([`rules`]); the same seed gives the same run.

#![forbid(unsafe_code)]

pub mod below;
pub mod cores;
pub mod queue;
pub mod rules;
pub mod shares;
pub mod sidecar;
pub mod work;
pub mod world;
