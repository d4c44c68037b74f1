//! A fleet in simulated time. Nodes are the real [`lynxtally_engine::Engine`] with lynxtally's policy, or a baseline,
//! inside; round them are models, each with its source named: cores ([`cores`]), work ([`work_distribution`]), sidecars
//! ([`sidecar`]), the dependency ([`dependency`]), links and faults ([`world`]). A run is described by a [`scenario`] and
//! ends in an [`outcome`]. Invariants are checked on every run ([`violations`]); the same seed gives the same run.

#![forbid(unsafe_code)]

pub mod coordination;
pub mod cores;
pub mod dependency;
pub mod event_queue;
pub mod outcome;
pub mod scenario;
pub mod sidecar;
pub mod violations;
pub mod work_distribution;
pub mod world;
