//! The linear program.

use super::{Plan, PlanError, Problem};
use good_lp::{microlp, variable, Expression, ProblemVariables, Solution, SolverModel, Variable};

/// Requests a second by class and pool, as variables of the program.
type Rates = Vec<Vec<Variable>>;

impl Problem {
    /// The plan that earns most.
    ///
    /// # Errors
    /// Where a figure is wrong, the reserves can't be served, or the solver gives up.
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
        let rates: Vec<Vec<f64>> = rates.iter().map(|own| own.iter().map(value).collect()).collect();
        let utility = self.utility_of_rates(&rates);
        Ok(Plan { rates, utility })
    }

    fn total_utility(&self, rates: &Rates) -> Expression {
        let classes = self.classes.iter().zip(rates);
        classes.flat_map(|(class, own)| own.iter().map(|rate| class.utility * *rate)).sum()
    }

    /// No class is served more than it demands, nor less than it has reserved.
    fn limit_classes<M: SolverModel>(&self, mut model: M, rates: &Rates) -> M {
        for (class, own) in self.classes.iter().zip(rates) {
            let served = || -> Expression { own.iter().map(|rate| 1.0 * *rate).sum() };
            model = model.with(served().leq(class.demand));
            if class.reserved > 0.0 {
                model = model.with(served().geq(class.reserved.min(class.demand)));
            }
        }
        model
    }

    /// No pool gets more work than its cores do.
    fn limit_pools<M: SolverModel>(&self, mut model: M, rates: &Rates) -> M {
        for (pool, cores) in self.pool_cores.iter().enumerate() {
            let classes = self.classes.iter().zip(rates);
            let used: Expression = classes.map(|(class, own)| class.core_seconds[pool] * own[pool]).sum();
            model = model.with(used.leq(*cores));
        }
        model
    }

    /// No dependency gets more calls than it can take.
    fn limit_dependencies<M: SolverModel>(&self, mut model: M, rates: &Rates) -> M {
        for (dependency, calls) in self.dependency_rates.iter().enumerate() {
            let classes = self.classes.iter().zip(rates);
            let used: Expression = classes
                .flat_map(|(class, own)| own.iter().map(move |rate| class.calls[dependency] * *rate))
                .sum();
            model = model.with(used.leq(*calls));
        }
        model
    }
}
