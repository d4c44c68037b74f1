//! One request that the policy knows of: what it asks for, its state, and what is owed to it.

use crate::action::Action;
use crate::settings::Effect;
use crate::time::Instant;

/// Where a request is, or where the policy wants it to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// In the run queue, not started.
    Queued,
    /// On the cores.
    Running,
    /// Started; waits in the call queue until its downstream call may go.
    AwaitingCall,
    /// Its downstream call is in flight.
    Calling,
    /// Waits for the response of the request that it duplicates.
    Coalesced,
    /// Answered, or without a caller, and off the cores, but holding a run's memory until the host reports that the run
    /// ended.
    Finishing,
    /// Over. It keeps its index while its idempotency key is retained.
    #[default]
    Done,
}

/// A downstream call: the one in flight, or the last one.
#[derive(Clone, Copy, Default)]
pub(crate) struct CallProgress {
    pub started_at: Instant,
    /// The latest moment at which it ends downstream, also if it is cancelled.
    pub ends_by: Instant,
    /// Attempts of the present call that may have been executed.
    pub attempts: u32,
}

/// When a request's deadlines are checked next, and whether the table's timers have that.
#[derive(Clone, Copy, Default)]
pub(crate) struct RequestTimer {
    pub at: Instant,
    /// It is among the armed timers, at `at`.
    pub armed: bool,
    /// It is to be armed at the next decision, if the request is still there.
    pub pending: bool,
}

/// What a request's run had of the machine so far.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunProgress {
    /// It was started, or duplicates one that was, and so may have had its effect.
    pub started: bool,
    pub started_at: Instant,
    /// Core time in seconds; while the request is on the cores, less the core clock at which it came there.
    pub core_secs: f64,
}

/// An idempotency key, or a response that may serve other requests, and whether the host knows.
#[derive(Clone, Copy, Default)]
pub(crate) struct RetainedKey {
    pub until: Option<Instant>,
    pub notified: bool,
}

/// A request from its arrival until its index is released.
#[derive(Default)]
pub(crate) struct Request {
    /// The index of its class.
    pub class: usize,
    pub effect: Effect,
    /// Its tenant's index, while it counts in that tenant's rate.
    pub tenant: Option<usize>,
    pub is_retry: bool,
    /// Its memory while queued, in kilobytes.
    pub memory_kb: f64,
    /// What its cost is proportional to: the expected work in seconds where known, else 1.
    pub work: f64,
    /// Expected core time over the latency objective, in cores.
    pub demand: f64,
    /// Utility over demand, the rate of the SLICE paper (docs/design.md): a priority, no events a second. Queues are served
    /// in its order.
    pub rate: f64,
    /// Its rate was halved because it has been queued for long.
    pub stale: bool,
    /// Until when a response earns what the rate says.
    pub respond_by: Instant,
    /// Until when a response is owed.
    pub deadline: Instant,
    pub state: RequestState,
    /// The state that the host knows.
    pub notified_state: RequestState,
    /// The final response that the policy itself gives.
    pub response: Option<Action>,
    /// Whether a final response is still owed.
    pub response_owed: bool,
    pub run: RunProgress,
    pub call: CallProgress,
    pub timer: RequestTimer,
    pub key: RetainedKey,
}
