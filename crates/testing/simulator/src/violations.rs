//! Invariants, checked on every run from outside: what was sent and responded to, what ran and when.

use std::fmt;

/// An invariant that was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A request that was received got no response by its deadline, or more than one.
    ResponseLost,
    /// A request that is not idempotent was executed twice.
    ExecutedTwice,
    /// A request was started that arrived past the grace of a graceful shutdown.
    StartedAfterGrace,
    /// More requests ran on a node than it survives.
    NodeOverloaded,
    /// All nodes together had more calls under way to the dependency than it survives.
    DependencyOverloaded,
}

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

/// How often an invariant was violated, and where first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViolationRecord {
    /// The invariant.
    pub violation: Violation,
    /// How often.
    pub count: u64,
    /// When first, in microseconds from the start.
    pub first_at_micros: u64,
    /// On which node first.
    pub first_node: u16,
    /// By which client request first.
    pub first_request: u32,
}

/// The violations of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// One record for each invariant that was violated, in the order of their first.
    pub records: Vec<ViolationRecord>,
}

impl Violations {
    /// An invariant was violated.
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

    /// Whether this one was violated.
    pub fn has(&self, violation: Violation) -> bool {
        self.records.iter().any(|record| record.violation == violation)
    }
}
