//! A request that the policy keeps: its properties, state, deadlines and final response.

use crate::action::Action;
use crate::settings::Effect;
use crate::time::Instant;

/// The state of a request: the current one, or the one that the policy wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// In the run queue, not started.
    Queued,
    /// On the cores.
    Running,
    /// Started; waits in the call queue until its downstream call may start.
    AwaitingCall,
    /// Its downstream call is in flight.
    Calling,
    /// Waits for the response of the request that it duplicates.
    Coalesced,
    /// Answered or without a caller, and off the cores. Its run still holds memory until the host reports its end.
    Finishing,
    /// Ended. The request keeps its index while its idempotency key is retained.
    #[default]
    Done,
}

/// The downstream call in flight, or the last one.
#[derive(Clone, Copy, Default)]
pub(crate) struct CallProgress {
    pub started_at: Instant,
    /// The latest end of the call downstream, even if it is cancelled.
    pub ends_by: Instant,
    /// Attempts of this call that may have been executed.
    pub attempts: u32,
}

/// When a request's deadlines are checked next.
#[derive(Clone, Copy, Default)]
pub(crate) struct RequestTimer {
    pub at: Instant,
    /// Whether the request table's armed timers contain this timer, at `at`.
    pub armed: bool,
    /// Whether the timer is to be armed at the next decision, if the request still exists.
    pub pending: bool,
}

/// The progress of a request's run.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunProgress {
    /// Whether the request was started, or duplicates one that was. If so, its effect may have happened.
    pub started: bool,
    pub started_at: Instant,
    /// Core time, in seconds. The core clock is subtracted when the request gets on the cores and added when it leaves
    /// them, so the value is valid only off the cores.
    pub core_secs: f64,
}

/// Until when the request's idempotency key, or its response for coalescable requests, is retained, and whether the
/// host was told.
#[derive(Clone, Copy, Default)]
pub(crate) struct RetainedKey {
    pub until: Option<Instant>,
    pub notified: bool,
}

/// A request from its arrival until its index is released.
#[derive(Default)]
pub(crate) struct Request {
    /// The index of the request's class.
    pub class: usize,
    pub effect: Effect,
    /// The index of the request's tenant, while the request counts in that tenant's rate.
    pub tenant: Option<usize>,
    pub is_retry: bool,
    /// The request's memory while queued, in kilobytes.
    pub memory_kb: f64,
    /// The cost of the request is proportional to this: the expected work in seconds, or 1 if unknown.
    pub work: f64,
    /// Expected core time over the latency objective, in cores.
    pub demand: f64,
    /// Utility over demand, the rate of the SLICE paper (docs/design.md): a priority, not a number of events a second.
    /// Queues are served in its order.
    pub rate: f64,
    /// Whether the rate was lowered because the request has been queued for long.
    pub stale: bool,
    /// Until when a response earns the utility in `rate`.
    pub respond_by: Instant,
    /// Until when a response has to be given.
    pub deadline: Instant,
    pub state: RequestState,
    /// The state that the host knows.
    pub notified_state: RequestState,
    /// The final response that the policy gives; `None` if the run responds.
    pub response: Option<Action>,
    /// Whether the request still needs a final response.
    pub response_owed: bool,
    pub run: RunProgress,
    pub call: CallProgress,
    pub timer: RequestTimer,
    pub key: RetainedKey,
}
