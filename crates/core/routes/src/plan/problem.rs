//! What is planned for, and what is wrong with it.

use std::fmt;

/// The demand of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassDemand {
    /// What a request earns.
    pub utility: f64,
    /// Requests a second that arrive.
    pub demand: f64,
    /// Core time of a request on each pool, in seconds; learned.
    pub core_seconds: Vec<f64>,
    /// Calls of a request to each dependency.
    pub calls: Vec<f64>,
    /// Requests a second that are served whatever they earn, as long as there is capacity.
    pub reserved: f64,
}

/// What is planned for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Problem {
    /// The request classes.
    pub classes: Vec<ClassDemand>,
    /// The capacity of each pool, in cores.
    pub pool_cores: Vec<f64>,
    /// Calls a second that each dependency can take.
    pub dependency_rates: Vec<f64>,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// This class has not one cost a pool and one figure a dependency.
    DimensionMismatch {
        /// The class's index.
        class: usize,
    },
    /// This class has a figure that is negative or endless.
    InvalidClass {
        /// The class's index.
        class: usize,
    },
    /// A pool or a dependency has a figure that is negative or endless.
    InvalidCapacity,
    /// What is reserved can't all be served.
    Infeasible,
    /// The solver gave up, with this message.
    Solver(String),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DimensionMismatch { class } => {
                write!(f, "class {class} has not one cost a pool and one figure a dependency")
            }
            Self::InvalidClass { class } => {
                write!(f, "class {class} has a figure that is negative or endless")
            }
            Self::InvalidCapacity => {
                f.write_str("a pool or a dependency has a figure that is negative or endless")
            }
            Self::Infeasible => f.write_str("what is reserved can't all be served"),
            Self::Solver(message) => write!(f, "no plan was found: {message}"),
        }
    }
}

impl std::error::Error for PlanError {}

impl Problem {
    /// Whether all figures are there, finite and not negative.
    pub(crate) fn check(&self) -> Result<(), PlanError> {
        for (index, class) in self.classes.iter().enumerate() {
            class.check(index, self.pool_cores.len(), self.dependency_rates.len())?;
        }
        if !self.pool_cores.iter().chain(&self.dependency_rates).all(is_finite_and_non_negative) {
            return Err(PlanError::InvalidCapacity);
        }
        Ok(())
    }
}

impl ClassDemand {
    fn check(&self, class: usize, pools: usize, dependencies: usize) -> Result<(), PlanError> {
        if self.core_seconds.len() != pools || self.calls.len() != dependencies {
            return Err(PlanError::DimensionMismatch { class });
        }
        let scalars = [self.utility, self.demand, self.reserved];
        let mut figures = self.core_seconds.iter().chain(&self.calls).chain(&scalars);
        if figures.all(is_finite_and_non_negative) {
            Ok(())
        } else {
            Err(PlanError::InvalidClass { class })
        }
    }
}

fn is_finite_and_non_negative(figure: &f64) -> bool {
    figure.is_finite() && *figure >= 0.0
}
