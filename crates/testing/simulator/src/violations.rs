//! The invariants that every simulation checks. The simulation checks them outside of the scheduler, from the requests that
//! were sent, the responses that came back, and the starts of runs.

use std::fmt;

/// A kind of invariant violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A request that was received got no response by its deadline, or more than one.
    ResponseLost,
    /// A request that is not idempotent was executed twice.
    ExecutedTwice,
    /// A node started a request that arrived after the drain grace period of its graceful shutdown.
    StartedAfterGrace,
    /// More requests ran on a node at once than `max_running_per_core` allows.
    NodeOverloaded,
    /// The mean number of calls in flight at the dependency, from all nodes together, exceeded its limit.
    DependencyOverloaded,
}

/// The texts must not change: results of experiments store them.
impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ResponseLost => "a task read got no answer, or more than one",
            Self::ExecutedTwice => "an effect happened twice",
            Self::StartedAfterGrace => "a task that came past the grace was run",
            Self::NodeOverloaded => "more ran on a node than it survives",
            Self::DependencyOverloaded => "what all nodes call held more calls than it survives",
        })
    }
}

/// How often an invariant was violated, and where it was violated first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViolationRecord {
    /// The violated invariant.
    pub violation: Violation,
    /// Number of violations.
    pub count: u64,
    /// Time of the first violation, in microseconds from the start.
    pub first_at_micros: u64,
    /// Node of the first violation; 0 if the violation is one of the dependency.
    pub first_node: u16,
    /// Index of the client request of the first violation; `u32::MAX` if it belongs to no request.
    pub first_request: u32,
}

/// The violations of one simulation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// One record for each violated invariant, ordered by the time of its first violation.
    pub records: Vec<ViolationRecord>,
}

impl Violations {
    /// Counts a violation, and remembers where it happened if it is the first of its kind.
    pub fn record(&mut self, violation: Violation, at_micros: u64, node: u16, request: u32) {
        match self.records.iter_mut().find(|record| record.violation == violation) {
            Some(record) => record.count += 1,
            None => self.records.push(ViolationRecord {
                violation,
                count: 1,
                first_at_micros: at_micros,
                first_node: node,
                first_request: request,
            }),
        }
    }

    /// Whether this invariant was violated.
    pub fn has(&self, violation: Violation) -> bool {
        self.records.iter().any(|record| record.violation == violation)
    }
}
