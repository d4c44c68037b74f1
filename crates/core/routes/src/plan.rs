//! A plan: how many tasks of each stage go to each pool so that most utility is earned, within what pools and dependencies
//! can do. A linear program on a library; where it can't be solved the last good plan stays, and before there is one,
//! parts by capacity.

use good_lp::{microlp, variable, Expression, ProblemVariables, Solution, SolverModel, Variable};
use std::fmt;

/// A stage.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// What a task earns.
    pub utility: f64,
    /// Tasks a second that come.
    pub demand: f64,
    /// Core time of a task on each pool, in seconds; learned.
    pub cost: Vec<f64>,
    /// Calls of a task to each dependency.
    pub calls: Vec<f64>,
    /// So much of its demand is served whatever it earns, as long as there is room: a reserve.
    pub reserve: f64,
}

/// What is planned for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Problem {
    /// The stages.
    pub stages: Vec<Stage>,
    /// What each pool can do, in cores.
    pub pools: Vec<f64>,
    /// Calls a second that each dependency survives.
    pub dependencies: Vec<f64>,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unplanned {
    /// A figure is missing, negative or endless.
    Figure(String),
    /// What is reserved can't all be served.
    Infeasible,
    /// The library gave up.
    Solver(String),
}

impl fmt::Display for Unplanned {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Figure(what) => write!(f, "{what}"),
            Self::Infeasible => f.write_str("what is reserved can't all be served"),
            Self::Solver(what) => write!(f, "no plan was found: {what}"),
        }
    }
}

impl std::error::Error for Unplanned {}

/// A plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Tasks a second by stage and pool.
    pub rates: Vec<Vec<f64>>,
    /// What it earns a second.
    pub utility: f64,
}

impl Plan {
    /// The parts of a stage's tasks that go to each pool; none where it gets nothing.
    pub fn weights(&self, stage: usize) -> Option<Vec<f64>> {
        let rates = &self.rates[stage];
        let sum: f64 = rates.iter().sum();
        (sum > 1e-9).then(|| rates.iter().map(|rate| rate / sum).collect())
    }

    /// The part of a stage's demand that is let in.
    pub fn admitted(&self, problem: &Problem, stage: usize) -> f64 {
        let demand = problem.stages[stage].demand;
        if demand <= 0.0 {
            return 1.0;
        }
        (self.rates[stage].iter().sum::<f64>() / demand).min(1.0)
    }
}

impl Problem {
    fn check(&self) -> Result<(), Unplanned> {
        let well = |value: f64| value.is_finite() && value >= 0.0;
        for (n, stage) in self.stages.iter().enumerate() {
            if stage.cost.len() != self.pools.len() || stage.calls.len() != self.dependencies.len() {
                return Err(Unplanned::Figure(format!(
                    "stage {n} has not one cost a pool and one figure a dependency"
                )));
            }
            let all =
                stage.cost.iter().chain(&stage.calls).chain([&stage.utility, &stage.demand, &stage.reserve]);
            if !all.copied().all(well) {
                return Err(Unplanned::Figure(format!("stage {n} has a figure that is negative or endless")));
            }
        }
        if !self.pools.iter().chain(&self.dependencies).copied().all(well) {
            return Err(Unplanned::Figure(
                "a pool or a dependency has a figure that is negative or endless".to_owned(),
            ));
        }
        Ok(())
    }

    /// The plan that earns most.
    pub fn solve(&self) -> Result<Plan, Unplanned> {
        self.check()?;
        let mut variables = ProblemVariables::new();
        let rates: Vec<Vec<Variable>> = self
            .stages
            .iter()
            .map(|stage| {
                (0..self.pools.len()).map(|_| variables.add(variable().min(0.0).max(stage.demand))).collect()
            })
            .collect();
        let sum = |all: &mut dyn Iterator<Item = (f64, Variable)>| -> Expression {
            all.map(|(factor, variable)| factor * variable).sum()
        };
        let earned: Expression = self
            .stages
            .iter()
            .zip(&rates)
            .flat_map(|(stage, own)| own.iter().map(|rate| stage.utility * *rate))
            .sum();
        let mut model = variables.maximise(earned).using(microlp);
        for (stage, own) in self.stages.iter().zip(&rates) {
            let served = || sum(&mut own.iter().map(|rate| (1.0, *rate)));
            model = model.with(served().leq(stage.demand));
            if stage.reserve > 0.0 {
                model = model.with(served().geq(stage.reserve.min(stage.demand)));
            }
        }
        for (pool, cores) in self.pools.iter().enumerate() {
            let used =
                sum(&mut self.stages.iter().zip(&rates).map(|(stage, own)| (stage.cost[pool], own[pool])));
            model = model.with(used.leq(*cores));
        }
        for (dependency, calls) in self.dependencies.iter().enumerate() {
            let mut used = self
                .stages
                .iter()
                .zip(&rates)
                .flat_map(|(stage, own)| own.iter().map(move |rate| (stage.calls[dependency], *rate)));
            model = model.with(sum(&mut used).leq(*calls));
        }
        let solution = match model.solve() {
            Ok(solution) => solution,
            Err(good_lp::ResolutionError::Infeasible) => return Err(Unplanned::Infeasible),
            Err(fault) => return Err(Unplanned::Solver(fault.to_string())),
        };
        let value = |rate: &Variable| solution.value(*rate).max(0.0);
        let rates: Vec<Vec<f64>> = rates.iter().map(|own| own.iter().map(value).collect()).collect();
        let utility =
            self.stages.iter().zip(&rates).map(|(stage, own)| stage.utility * own.iter().sum::<f64>()).sum();
        Ok(Plan { rates, utility })
    }

    /// What goes by capacity alone: every stage to every pool by its cores, all cut alike where that is too much. What a
    /// plan is compared with, and what stands before there is one.
    pub fn proportional(&self) -> Plan {
        let cores: f64 = self.pools.iter().sum();
        let parts: Vec<f64> =
            self.pools.iter().map(|own| if cores > 0.0 { own / cores } else { 0.0 }).collect();
        let rates: Vec<Vec<f64>> =
            self.stages.iter().map(|stage| parts.iter().map(|part| stage.demand * part).collect()).collect();
        let mut cut = 1.0_f64;
        for (pool, cores) in self.pools.iter().enumerate() {
            let used: f64 =
                self.stages.iter().zip(&rates).map(|(stage, own)| stage.cost[pool] * own[pool]).sum();
            cut = cut.min(if used > 0.0 { cores / used } else { 1.0 });
        }
        for (dependency, calls) in self.dependencies.iter().enumerate() {
            let used: f64 = self.stages.iter().map(|stage| stage.calls[dependency] * stage.demand).sum();
            cut = cut.min(if used > 0.0 { calls / used } else { 1.0 });
        }
        let rates: Vec<Vec<f64>> =
            rates.into_iter().map(|own| own.into_iter().map(|rate| rate * cut.min(1.0)).collect()).collect();
        let utility =
            self.stages.iter().zip(&rates).map(|(stage, own)| stage.utility * own.iter().sum::<f64>()).sum();
        Plan { rates, utility }
    }
}

/// The plan in force.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    last: Option<Plan>,
    /// Why the last attempt brought none.
    pub fault: Option<Unplanned>,
}

impl Planner {
    /// Plans anew. Where that can't be done the last good plan stays, as long as it is of the same shape; else parts by
    /// capacity.
    pub fn plan(&mut self, problem: &Problem) -> &Plan {
        let solved = problem.solve();
        self.fault = solved.as_ref().err().cloned();
        let fits = |plan: &Plan| {
            plan.rates.len() == problem.stages.len()
                && plan.rates.iter().all(|own| own.len() == problem.pools.len())
        };
        let plan = solved.ok().or_else(|| self.last.take().filter(fits));
        self.last.insert(plan.unwrap_or_else(|| problem.proportional()))
    }
}
