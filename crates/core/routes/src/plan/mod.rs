//! Planning of routes: how many requests of each class go to each pool, so that total utility is maximal within the
//! capacity of pools and dependencies.
//!
//! The plan is the solution of a linear program. If the program can't be solved, the last good plan stays in force; without
//! one, requests are distributed in proportion to capacity.

mod problem;
mod solve;

pub use problem::{ClassDemand, PlanError, Problem};

/// A rate below this, in requests per second, counts as zero.
const MIN_RATE: f64 = 1e-9;

/// The rates at which requests of each class are sent to each pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Requests per second, by class and pool.
    pub rates: Vec<Vec<f64>>,
    /// The total utility per second.
    pub utility: f64,
}

impl Plan {
    /// The fractions of a class's requests that go to each pool; none if the class is not served.
    pub fn pool_fractions(&self, class: usize) -> Option<Vec<f64>> {
        let rates = &self.rates[class];
        let sum: f64 = rates.iter().sum();
        (sum > MIN_RATE).then(|| rates.iter().map(|rate| rate / sum).collect())
    }

    /// The fraction of a class's demand that is admitted.
    pub fn admitted_fraction(&self, problem: &Problem, class: usize) -> f64 {
        let demand = problem.classes[class].demand;
        if demand <= 0.0 {
            return 1.0;
        }
        (self.rates[class].iter().sum::<f64>() / demand).min(1.0)
    }

    /// Whether the plan has as many classes and pools as the problem.
    fn matches_dimensions(&self, problem: &Problem) -> bool {
        let pools = problem.pool_cores.len();
        self.rates.len() == problem.classes.len()
            && self.rates.iter().all(|class_rates| class_rates.len() == pools)
    }
}

impl Problem {
    /// A plan by capacity alone: each class is distributed over all pools in proportion to their cores, and all rates are
    /// reduced by the same factor if they exceed a capacity. It is the plan in force before a problem has been solved, and
    /// the baseline that tests compare plans with.
    pub fn proportional(&self) -> Plan {
        let cores: f64 = self.pool_cores.iter().sum();
        let fraction = |pool_cores: &f64| if cores > 0.0 { pool_cores / cores } else { 0.0 };
        let fractions: Vec<f64> = self.pool_cores.iter().map(fraction).collect();
        let split = |demand: f64| fractions.iter().map(|fraction| demand * fraction).collect();
        let rates: Vec<Vec<f64>> = self.classes.iter().map(|class| split(class.demand)).collect();
        let scale = self.common_scale_factor(&rates);
        let scale_all = |class_rates: Vec<f64>| class_rates.into_iter().map(|rate| rate * scale).collect();
        let rates: Vec<Vec<f64>> = rates.into_iter().map(scale_all).collect();
        let utility = self.utility_of_rates(&rates);
        Plan { rates, utility }
    }

    /// The largest factor, at most 1, by which the rates can be multiplied without exceeding the capacity of a pool or
    /// dependency.
    fn common_scale_factor(&self, rates: &[Vec<f64>]) -> f64 {
        let factor = |available: f64, used: f64| if used > 0.0 { available / used } else { 1.0 };
        let mut scale = 1.0_f64;
        for (pool, cores) in self.pool_cores.iter().enumerate() {
            let classes = self.classes.iter().zip(rates);
            let used: f64 =
                classes.map(|(class, class_rates)| class.core_seconds[pool] * class_rates[pool]).sum();
            scale = scale.min(factor(*cores, used));
        }
        for (dependency, calls) in self.dependency_rates.iter().enumerate() {
            let used: f64 = self.classes.iter().map(|class| class.calls[dependency] * class.demand).sum();
            scale = scale.min(factor(*calls, used));
        }
        scale.min(1.0)
    }

    fn utility_of_rates(&self, rates: &[Vec<f64>]) -> f64 {
        let classes = self.classes.iter().zip(rates);
        classes.map(|(class, class_rates)| class.utility * class_rates.iter().sum::<f64>()).sum()
    }
}

/// Holds the plan in force and updates it.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    current: Option<Plan>,
    /// Why the last update could not solve the problem; none if it could.
    pub last_error: Option<PlanError>,
}

impl Planner {
    /// Solves the problem and returns the plan in force. If it can't be solved, the last plan stays in force, provided that it
    /// has the same numbers of classes and pools; otherwise the plan is [`Problem::proportional`].
    pub fn update(&mut self, problem: &Problem) -> &Plan {
        let solved = problem.solve();
        self.last_error = solved.as_ref().err().cloned();
        let plan =
            solved.ok().or_else(|| self.current.take().filter(|plan| plan.matches_dimensions(problem)));
        self.current.insert(plan.unwrap_or_else(|| problem.proportional()))
    }
}
