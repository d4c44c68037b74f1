//! Discrete-event simulation of a fleet of nodes. Each node runs the real [`lynxtally_engine::Engine`] with lynxtally's
//! policy or a baseline scheduler. Everything else is a model: cores ([`cores`]), work ([`work_distribution`]), sidecars
//! ([`sidecar`]), the dependency ([`dependency`]), links and faults ([`world`]). A [`scenario`] describes a simulation, and
//! an [`outcome`] holds its results. Every simulation checks the invariants ([`violations`]). The same scenario and seed
//! always give the same events. [`coordination`] simulates leases and coordinators separately.

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
