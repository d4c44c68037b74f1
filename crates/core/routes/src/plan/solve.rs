//! The linear program whose solution is the plan.

use super::{Plan, PlanError, Problem};
use good_lp::{microlp, variable, Expression, ProblemVariables, Solution, SolverModel, Variable};

/// Requests per second by class and pool, as variables of the linear program.
type Rates = Vec<Vec<Variable>>;

impl Problem {
    /// Returns the plan with the highest total utility.
    ///
    /// # Errors
    /// A value is invalid, the capacity does not suffice for the reserved rates, or the solver fails.
    pub fn solve(&self) -> Result<Plan, PlanError> {
        self.check()?;
        let mut variables = ProblemVariables::new();
        let rates: Rates = self
            .classes
            .iter()
            .map(|class| {
                (0..self.pool_cores.len())
                    .map(|_| variables.add(variable().min(0.0).max(class.demand)))
                    .collect()
            })
            .collect();
        let model = variables.maximise(self.total_utility(&rates)).using(microlp);
        let model = self.limit_classes(model, &rates);
        let model = self.limit_pools(model, &rates);
        let model = self.limit_dependencies(model, &rates);
        let solution = model.solve().map_err(|error| match error {
            good_lp::ResolutionError::Infeasible => PlanError::Infeasible,
            other => PlanError::Solver(other.to_string()),
        })?;
        let value = |rate: &Variable| solution.value(*rate).max(0.0);
        let rates: Vec<Vec<f64>> =
            rates.iter().map(|class_rates| class_rates.iter().map(value).collect()).collect();
        let utility = self.utility_of_rates(&rates);
        Ok(Plan { rates, utility })
    }

    fn total_utility(&self, rates: &Rates) -> Expression {
        let classes = self.classes.iter().zip(rates);
        classes.flat_map(|(class, class_rates)| class_rates.iter().map(|rate| class.utility * *rate)).sum()
    }

    /// Constrains the rate of each class to at most its demand and at least its reserved rate.
    fn limit_classes<M: SolverModel>(&self, mut model: M, rates: &Rates) -> M {
        for (class, class_rates) in self.classes.iter().zip(rates) {
            let served = || -> Expression { class_rates.iter().map(|rate| 1.0 * *rate).sum() };
            model = model.with(served().leq(class.demand));
            if class.reserved > 0.0 {
                model = model.with(served().geq(class.reserved.min(class.demand)));
            }
        }
        model
    }

    /// Constrains the core time used on each pool to its cores.
    fn limit_pools<M: SolverModel>(&self, mut model: M, rates: &Rates) -> M {
        for (pool, cores) in self.pool_cores.iter().enumerate() {
            let classes = self.classes.iter().zip(rates);
            let used: Expression =
                classes.map(|(class, class_rates)| class.core_seconds[pool] * class_rates[pool]).sum();
            model = model.with(used.leq(*cores));
        }
        model
    }

    /// Constrains the call rate to each dependency to its capacity.
    fn limit_dependencies<M: SolverModel>(&self, mut model: M, rates: &Rates) -> M {
        for (dependency, calls) in self.dependency_rates.iter().enumerate() {
            let classes = self.classes.iter().zip(rates);
            let used: Expression = classes
                .flat_map(|(class, class_rates)| {
                    class_rates.iter().map(move |rate| class.calls[dependency] * *rate)
                })
                .sum();
            model = model.with(used.leq(*calls));
        }
        model
    }
}
