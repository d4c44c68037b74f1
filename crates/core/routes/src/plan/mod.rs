//! A plan: how many requests of each class go to each pool so that most utility is earned, within the capacity of pools
//! and dependencies. A linear program on a library; where it can't be solved the last good plan stays, and before there
//! is one, fractions by capacity.

mod problem;
mod solve;

pub use problem::{ClassDemand, PlanError, Problem};

/// A class that is served less than this, in requests a second, is not served.
const MIN_RATE: f64 = 1e-9;

/// A plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Requests a second by class and pool.
    pub rates: Vec<Vec<f64>>,
    /// What it earns a second.
    pub utility: f64,
}

impl Plan {
    /// The fractions of a class's requests that go to each pool; none where it gets nothing.
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

    /// Whether it is a plan for as many classes and pools as the problem has.
    fn matches_dimensions(&self, problem: &Problem) -> bool {
        let pools = problem.pool_cores.len();
        self.rates.len() == problem.classes.len() && self.rates.iter().all(|own| own.len() == pools)
    }
}

impl Problem {
    /// What goes by capacity alone: every class to every pool by its cores, all cut alike where that is too much. What a
    /// plan is compared with, and what stands before there is one.
    pub fn proportional(&self) -> Plan {
        let cores: f64 = self.pool_cores.iter().sum();
        let fraction = |own: &f64| if cores > 0.0 { own / cores } else { 0.0 };
        let fractions: Vec<f64> = self.pool_cores.iter().map(fraction).collect();
        let split = |demand: f64| fractions.iter().map(|fraction| demand * fraction).collect();
        let rates: Vec<Vec<f64>> = self.classes.iter().map(|class| split(class.demand)).collect();
        let cut = self.common_scale_factor(&rates);
        let cut_all = |own: Vec<f64>| own.into_iter().map(|rate| rate * cut).collect();
        let rates: Vec<Vec<f64>> = rates.into_iter().map(cut_all).collect();
        let utility = self.utility_of_rates(&rates);
        Plan { rates, utility }
    }

    /// The factor, at most 1, that brings these rates within the capacity of every pool and dependency.
    fn common_scale_factor(&self, rates: &[Vec<f64>]) -> f64 {
        let factor = |available: f64, used: f64| if used > 0.0 { available / used } else { 1.0 };
        let mut cut = 1.0_f64;
        for (pool, cores) in self.pool_cores.iter().enumerate() {
            let classes = self.classes.iter().zip(rates);
            let used: f64 = classes.map(|(class, own)| class.core_seconds[pool] * own[pool]).sum();
            cut = cut.min(factor(*cores, used));
        }
        for (dependency, calls) in self.dependency_rates.iter().enumerate() {
            let used: f64 = self.classes.iter().map(|class| class.calls[dependency] * class.demand).sum();
            cut = cut.min(factor(*calls, used));
        }
        cut.min(1.0)
    }

    fn utility_of_rates(&self, rates: &[Vec<f64>]) -> f64 {
        let classes = self.classes.iter().zip(rates);
        classes.map(|(class, own)| class.utility * own.iter().sum::<f64>()).sum()
    }
}

/// Keeps the plan in force.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    current: Option<Plan>,
    /// Why the last attempt brought none.
    pub last_error: Option<PlanError>,
}

impl Planner {
    /// Plans anew. Where that can't be done the last good plan stays, as long as it is of the same shape; else fractions
    /// by capacity.
    pub fn update(&mut self, problem: &Problem) -> &Plan {
        let solved = problem.solve();
        self.last_error = solved.as_ref().err().cloned();
        let plan =
            solved.ok().or_else(|| self.current.take().filter(|plan| plan.matches_dimensions(problem)));
        self.current.insert(plan.unwrap_or_else(|| problem.proportional()))
    }
}
