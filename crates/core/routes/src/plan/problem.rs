//! The planning problem, and the reasons why it can't be solved.

use std::fmt;

/// The demand of a request class, and what one request of it costs and earns.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassDemand {
    /// The utility of one served request.
    pub utility: f64,
    /// The arrival rate, in requests per second.
    pub demand: f64,
    /// The learned core time of one request on each pool, in seconds.
    pub core_seconds: Vec<f64>,
    /// The number of calls that one request makes to each dependency.
    pub calls: Vec<f64>,
    /// The rate that is served whatever its utility is, in requests per second, limited by the demand.
    pub reserved: f64,
}

/// The input of a plan: demand, and capacity of pools and dependencies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Problem {
    /// The request classes.
    pub classes: Vec<ClassDemand>,
    /// The capacity of each pool, in cores.
    pub pool_cores: Vec<f64>,
    /// The capacity of each dependency, in calls per second.
    pub dependency_rates: Vec<f64>,
}

/// Why a problem has no plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// This class does not have exactly one core time for each pool and one number of calls for each dependency.
    DimensionMismatch {
        /// The class's index.
        class: usize,
    },
    /// This class has a value that is negative, infinite or not a number.
    InvalidClass {
        /// The class's index.
        class: usize,
    },
    /// A pool or dependency has a capacity that is negative, infinite or not a number.
    InvalidCapacity,
    /// The capacity does not suffice for the reserved rates of all classes.
    Infeasible,
    /// The solver failed with this message.
    Solver(String),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DimensionMismatch { class } => {
                write!(
                    f,
                    "class {class} does not have one core time per pool and one call count per dependency"
                )
            }
            Self::InvalidClass { class } => {
                write!(f, "class {class} has a value that is negative or not finite")
            }
            Self::InvalidCapacity => {
                f.write_str("the capacity of a pool or dependency is negative or not finite")
            }
            Self::Infeasible => f.write_str("the capacity does not suffice for the reserved rates"),
            Self::Solver(message) => write!(f, "the solver of the linear program failed: {message}"),
        }
    }
}

impl std::error::Error for PlanError {}

impl Problem {
    /// Checks that all values are present, finite and not negative.
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
        let mut values = self.core_seconds.iter().chain(&self.calls).chain(&scalars);
        if values.all(is_finite_and_non_negative) {
            Ok(())
        } else {
            Err(PlanError::InvalidClass { class })
        }
    }
}

fn is_finite_and_non_negative(value: &f64) -> bool {
    value.is_finite() && *value >= 0.0
}
