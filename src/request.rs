//! What is known of a task that is inside, and of a stage: plain data, no choice.

use crate::action::Action;
use crate::settings::Effect;
use crate::time::Instant;

/// Where a task is, or is wanted to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Place {
    Held,
    OnCores,
    /// At a call that was not let go yet.
    Standing,
    Calling,
    /// Waiting for the result of the task that it repeats.
    Reusing,
    /// Answered and off the cores, but using running memory until the run's end is heard of.
    Ending,
    #[default]
    Over,
}

#[derive(Default)]
pub(crate) struct Task {
    pub stage: usize,
    pub effect: Effect,
    pub customer: Option<usize>,
    pub further: bool,
    pub doubtful: bool,
    /// Until when an answer earns what the rate says, and until when one is owed.
    pub wanted: Instant,
    pub limit: Instant,
    pub kb: f64,
    /// What its cost is measured by: the hint, or 1.
    pub basis: f64,
    pub rate: f64,
    pub demand: f64,
    pub place: Place,
    pub told: Place,
    /// The final answer that the module gives itself, and whether one is owed yet.
    pub answer: Option<Action>,
    pub owed: bool,
    pub ran: bool,
    /// Core time had so far, in seconds; while it is on the cores, less the clock of its landing there.
    pub worked: f64,
    pub began: Instant,
    pub called: Instant,
    /// When the call is over below at the latest, also if it is given up.
    pub call_over: Instant,
    pub call_tries: u32,
    pub look: Instant,
    /// Whether it stands among the timed, or is about to.
    pub listed: bool,
    pub fresh: bool,
    pub kept_until: Option<Instant>,
    pub key_told: bool,
}

/// What is learned of a stage: core time and waits of a run, in seconds, and the basis of that cost.
pub(crate) struct Row {
    pub cost: f64,
    pub basis: f64,
    pub waits: f64,
    pub seen: bool,
}
