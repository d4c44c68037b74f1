//! Estimates the cost of a run by request class, as moving averages. The cost is taken to be proportional to the
//! expected work of the request.

/// Moving averages over the runs of a class.
pub(crate) struct ClassEstimate {
    /// Core time of a run, in seconds.
    cost_secs: f64,
    /// Work of a run, in the unit of `Request::work`.
    work: f64,
    /// Time that a run waits for calls or a core, in seconds.
    wait_secs: f64,
    observed: bool,
}

impl ClassEstimate {
    /// The estimate before the first run: `cost_secs` for a run with a work of 1, and no wait.
    pub fn unobserved(cost_secs: f64) -> Self {
        Self { cost_secs, work: 1.0, wait_secs: 0.0, observed: false }
    }
}

/// The measurements of a run that ended.
pub(crate) struct ObservedRun {
    pub class: usize,
    /// In the unit of `Request::work`.
    pub work: f64,
    /// Core time, in seconds.
    pub core_secs: f64,
    /// Time waiting for calls or a core, in seconds.
    pub wait_secs: f64,
}

/// The estimates of all classes, by class index.
pub(crate) struct CostModel(Vec<ClassEstimate>);

impl CostModel {
    /// A model with these initial estimates, by class index.
    pub fn new(classes: impl IntoIterator<Item = ClassEstimate>) -> Self {
        Self(classes.into_iter().collect())
    }

    /// The expected core time of a run, in seconds.
    pub fn cost_secs(&self, class: usize, work: f64) -> f64 {
        work * self.0[class].cost_secs / self.0[class].work
    }

    /// The expected time that a run waits for calls or a core, in seconds.
    pub fn wait_secs(&self, class: usize) -> f64 {
        self.0[class].wait_secs
    }

    pub fn is_observed(&self, class: usize) -> bool {
        self.0[class].observed
    }

    /// The mean cost of all classes, in seconds; never zero.
    pub fn mean_cost_secs(&self) -> f64 {
        self.mean(|class| class.cost_secs).max(1e-6)
    }

    /// The mean wait of all classes, in seconds.
    pub fn mean_wait_secs(&self) -> f64 {
        self.mean(|class| class.wait_secs)
    }

    fn mean(&self, value: fn(&ClassEstimate) -> f64) -> f64 {
        self.0.iter().map(value).sum::<f64>() / self.0.len() as f64
    }

    /// Updates the estimates of the run's class; `gain` is the weight of the new sample.
    pub fn observe(&mut self, run: &ObservedRun, gain: f64) {
        let estimate = &mut self.0[run.class];
        estimate.cost_secs += (run.core_secs - estimate.cost_secs) * gain;
        estimate.work += (run.work - estimate.work) * gain;
        estimate.wait_secs += (run.wait_secs - estimate.wait_secs) * gain;
        estimate.observed = true;
    }
}
