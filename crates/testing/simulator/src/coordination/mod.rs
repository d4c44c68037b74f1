//! Coordination in simulated time: the real state machine and the real lease clients, hundreds of them, with clocks that
//! drift apart, messages that are lost, repeated and late, coordinators that change their leader or are gone, and nodes
//! that are paused, cut off, killed and started again. A dependency counts what is in flight there, and the sum is
//! checked at every event.

mod clock;
mod coordinators;
mod faults;
mod node;
mod scenario;
mod simulation;

pub use scenario::{DemandPattern, FaultKind, Scenario, ScheduledFault};
pub use simulation::{run, AllocationRule, CapacityExceeded, RunStatistics};
