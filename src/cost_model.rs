//! Estimates of what a run of each class costs: moving averages, proportional to the request's expected work.

/// What is known of a class's runs, as means.
pub(crate) struct ClassEstimate {
    /// Core time, in seconds.
    cost_secs: f64,
    /// The work, in the unit of `Request::work`, that had this cost.
    work: f64,
    /// Time in the run off the cores, in seconds: waits for calls and for a core.
    wait_secs: f64,
    observed: bool,
}

impl ClassEstimate {
    /// An estimate before the first run: a run with a work of 1 costs so many seconds and never waits.
    pub fn unobserved(cost_secs: f64) -> Self {
        Self { cost_secs, work: 1.0, wait_secs: 0.0, observed: false }
    }
}

/// A run that ended.
pub(crate) struct ObservedRun {
    pub class: usize,
    /// In the unit of `Request::work`.
    pub work: f64,
    /// Core time, in seconds.
    pub core_secs: f64,
    /// Time off the cores, in seconds.
    pub wait_secs: f64,
}

/// The estimates of all classes, by index.
pub(crate) struct CostModel(Vec<ClassEstimate>);

impl CostModel {
    /// The model of classes in the order of their indices.
    pub fn new(classes: impl IntoIterator<Item = ClassEstimate>) -> Self {
        Self(classes.into_iter().collect())
    }

    /// The expected core time of a run, in seconds.
    pub fn cost_secs(&self, class: usize, work: f64) -> f64 {
        work * self.0[class].cost_secs / self.0[class].work
    }

    /// The expected time of a run off the cores, in seconds.
    pub fn wait_secs(&self, class: usize) -> f64 {
        self.0[class].wait_secs
    }

    /// Whether a run of the class was observed.
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

    /// Takes in a run, which moves its class's estimate by the fraction `gain`.
    pub fn observe(&mut self, run: &ObservedRun, gain: f64) {
        let estimate = &mut self.0[run.class];
        estimate.cost_secs += (run.core_secs - estimate.cost_secs) * gain;
        estimate.work += (run.work - estimate.work) * gain;
        estimate.wait_secs += (run.wait_secs - estimate.wait_secs) * gain;
        estimate.observed = true;
    }
}
