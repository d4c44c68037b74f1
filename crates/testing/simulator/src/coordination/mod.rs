//! Simulation of leases in a fleet of up to hundreds of nodes: the real coordination state machine and the real lease clients
//! in simulated time. Clocks drift apart; messages are lost, duplicated and delayed; coordinators change their leader or
//! stop; nodes are paused, partitioned, killed and restarted. The simulated dependency counts the calls in flight from all
//! nodes. If leases limit the calls, that sum is checked against the capacity at every event.

mod clock;
mod coordinators;
mod faults;
mod node;
mod scenario;
mod simulation;

pub use scenario::{DemandPattern, FaultKind, Scenario, ScheduledFault};
pub use simulation::{run, AllocationRule, CapacityExceeded, RunStatistics};
