//! What goes into the decisions and what comes out: plain data, no choice.

use crate::time::{Instant, Span};

/// A task's small index, given at the [`Door`](crate::Door).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u32);

/// What may happen when a stage's task runs twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// It may run again.
    #[default]
    Restartable,
    /// It carries a mark by which a repeat is known; it runs once on a backend.
    Fingerprinted,
    /// It must never run twice.
    SideEffecting,
}

/// What the host tells of a stage.
#[derive(Clone, Debug, PartialEq)]
pub struct StageSettings {
    /// What an answer by the due time earns.
    pub utility: f64,
    /// The part of it that a later answer, before the time limit, still earns.
    pub late_part: f64,
    /// How long after a task's first try its answer is wanted.
    pub due: Span,
    /// How long a client waits, over all its tries.
    pub limit: Span,
    /// Whether it may run again.
    pub effect: Effect,
    /// How long after its arrival a fingerprinted task may come back.
    pub repeat_window: Span,
    /// Whether its tasks may call below.
    pub calls: bool,
    /// The part of the utility that is kept when a call is left out; 0 where it can't be.
    pub skip_part: f64,
}

/// What stands behind the calls of this backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Below {
    /// Nothing.
    Nothing,
    /// One dependency that all backends share.
    Shared {
        /// This backend's share of the calls in hand that the dependency survives.
        calls: f64,
        /// The span over which they are averaged.
        over: Span,
        /// How long a call that was given up stays in its hands.
        linger: Span,
    },
    /// A further tier of backends.
    Tier,
    /// Nothing that calls could crowd: each waits for its own task's peer, and waits hold no core.
    Peers,
}

/// What callers take the free value to mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreeValue {
    /// There is none.
    Silent,
    /// Nothing with a place below the value is sent here.
    Level,
    /// No caller has more than so many tasks out here.
    Credit,
    /// How likely, from 0 to 1, a caller coming across this backend does not skip it.
    Weight,
}

/// All that a backend is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The cores, all alike, of unknown speed.
    pub cores: u32,
    /// The memory, in kilobytes.
    pub memory_kb: f64,
    /// A running task's memory over a held one's.
    pub run_memory: f64,
    /// The memory of one kept key.
    pub key_kb: f64,
    /// Whether this backend has just been started cold.
    pub cold: bool,
    /// The least share of its speed at which a cold backend starts.
    pub cold_share: f64,
    /// When it is warm at the latest.
    pub warm_after: Span,
    /// How many running tasks a core a warm backend survives.
    pub crowd_limit: f64,
    /// What arrives later than this after the notice to leave must not be run.
    pub drain_grace: Span,
    /// The stages; a task names one by its index.
    pub stages: Vec<StageSettings>,
    /// Each customer's quota, in tasks a second over all backends.
    pub quotas: Vec<f64>,
    /// The part of its utility that a task beyond its customer's quota keeps.
    pub over_share: f64,
    /// Whether utility is counted for each unit of work.
    pub by_work: bool,
    /// Backends of this tier at this start.
    pub backends: u32,
    /// Callers of this tier at this start.
    pub callers: u32,
    /// How many tiers of backends stand between this one and the clients.
    pub depth: u32,
    /// What the tasks call.
    pub below: Below,
    /// Whether running work can be stopped.
    pub stoppable: bool,
    /// The meaning of the free value.
    pub free_value: FreeValue,
    /// How long callers remember it.
    pub heeded: Span,
    /// After how long callers close connections that carry nothing; zero where that is not known.
    pub idle_after: Span,
    /// How long a read's answer may serve other tasks; zero means never.
    pub share_for: Span,
    /// The longest advice to stay away that callers follow; zero where none is passed on.
    pub hold_off: Span,
}

/// The task that an arriving one repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// None that is known of.
    No,
    /// One that still has an index.
    Of(TaskId),
    /// One that was released before.
    OfReleased,
}

/// A task that was read and is now held.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its index.
    pub task: TaskId,
    /// Its stage's index.
    pub stage: usize,
    /// Its customer's index.
    pub customer: Option<usize>,
    /// The caller's number.
    pub caller: u64,
    /// The expected work on a standard core.
    pub hint: Option<Span>,
    /// How long it lay unread on this machine.
    pub unread: Span,
    /// When the caller gives this try up, where told.
    pub limit: Option<Instant>,
    /// Whether it is marked as a further try.
    pub further: bool,
    /// What it repeats.
    pub repeat: Repeat,
    /// Whether it concerns something named that other tasks may share.
    pub shareable: bool,
    /// Its memory in the hold.
    pub kb: f64,
    /// Its place among all tasks, from 0 to under 1, as callers see it.
    pub place: f64,
    /// Whether it is paid for, or nothing is to be paid.
    pub covered: bool,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call succeeded.
    Ok,
    /// It failed and is known never to have run.
    NeverRan,
    /// It failed and may have run.
    MayHaveRun,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The answer went out by itself, unless one was given before.
    Answered,
    /// It was stopped, or ended because nobody waits.
    Cancelled,
    /// Nothing was started: the task was over.
    Moot,
}

/// The backend's own measures at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// The share of the cores that was busy over the last half second.
    pub cores_busy: Option<f64>,
    /// Connections now open.
    pub connections: Option<f64>,
}

/// Parts of what all backends share that are granted for a while, in place of the settings' parts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// The calls in hand below at one moment, those counted that were given up and linger; and for how long a call
    /// that is begun may go on with its lingering. None where the settings' share holds.
    pub calls: Option<(u64, Span)>,
    /// Each customer's tasks a second on this backend, by its index; none, or no entry, where the settings' quota
    /// holds.
    pub quotas: Vec<Option<f64>>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A task was read and is held.
    Arrived(Arrival),
    /// A caller stopped waiting; no answer is owed.
    CallerGone(TaskId),
    /// A running task stands at a call.
    AtCall(TaskId),
    /// A call ended.
    CallEnded(TaskId, CallOutcome),
    /// A run ended.
    RunEnded(TaskId, RunOutcome),
    /// The timer fired.
    Timer(Gauges),
    /// This backend leaves and is stopped at the given point.
    Drain(Instant),
    /// What this backend may use of what all share has changed.
    Shares(Shares),
}

/// What the host shall do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a held task.
    Run(TaskId),
    /// Take a running task off the cores.
    Stop(TaskId),
    /// Final answer: rejected, never run.
    Reject {
        /// The task.
        task: TaskId,
        /// How long the caller should keep away from this backend.
        hold_off: Span,
        /// Ask that it not be tried elsewhere.
        terminal: bool,
    },
    /// Final answer: failed, without a promise.
    Abandon(TaskId),
    /// Let a task make its call.
    Call {
        /// The task.
        task: TaskId,
        /// The call's time-out.
        time_out: Span,
    },
    /// Leave the call out and finish with a poorer answer.
    Skip(TaskId),
    /// Answer a held task with the result of the one it repeats.
    Reuse(TaskId),
    /// Keep the task's key for so long.
    Keep(TaskId, Span),
    /// Drop the task's key.
    Forget(TaskId),
    /// What health checks hear from now on, answered cheaply.
    Health(bool),
    /// Set the free value.
    Say(f64),
    /// Close the connections that have carried nothing for so long.
    CloseIdle(Span),
    /// Set the one timer.
    Timer(Span),
    /// A line for the log.
    Log(String),
    /// The task's index is free again. For the host's door; nothing goes out.
    Release(TaskId),
}
