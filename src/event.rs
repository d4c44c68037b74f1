//! What happened: the input of the decisions, plain data.

use crate::request_id::RequestId;
use crate::time::{Instant, Span};

/// The earlier request that an arriving one duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duplicate {
    /// None that is known of.
    No,
    /// One that still has an index.
    Of(RequestId),
    /// One whose index was released before.
    OfReleased,
}

/// A request that was read and is now queued.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its index.
    pub request: RequestId,
    /// Its class's index.
    pub class: usize,
    /// Its tenant's index.
    pub tenant: Option<usize>,
    /// The caller's number.
    pub caller: u64,
    /// The expected work on a standard core.
    pub expected_work: Option<Span>,
    /// How long it waited on this machine before it was read.
    pub receive_delay: Span,
    /// When the caller gives this attempt up, where told.
    pub deadline: Option<Instant>,
    /// Whether it is marked as a retry.
    pub is_retry: bool,
    /// What it duplicates.
    pub duplicate: Duplicate,
    /// Whether it reads something named, so that its response may serve other requests.
    pub coalescable: bool,
    /// Its memory while queued, in kilobytes.
    pub memory_kb: f64,
    /// Whether it is paid for, or nothing is to be paid.
    pub prepaid: bool,
}

/// How a downstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call succeeded.
    Succeeded,
    /// It failed and is known never to have been executed.
    NotExecuted,
    /// It failed and may have been executed.
    MaybeExecuted,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The response went out by itself, unless one was given before.
    Responded,
    /// It was stopped, or ended because nobody waits.
    Cancelled,
    /// Nothing was started: the request was over, the executor refused it, or nobody was available to execute it.
    NotStarted,
}

/// The backend's own measurements at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// The fraction of the cores that was busy over the last half second.
    pub cpu_utilization: Option<f64>,
    /// Connections now open.
    pub open_connections: Option<f64>,
}

/// What a lease allows of concurrent downstream calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLease {
    /// Calls in flight downstream at one moment, those counted that were cancelled and still run there.
    pub max_in_flight: u64,
    /// For how long a call that is started may go on, its cancellation lag included.
    pub max_duration: Span,
}

/// Quotas that are leased for a while, in place of the settings' static shares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeasedQuotas {
    /// Downstream calls; none where the settings' share holds.
    pub calls: Option<CallLease>,
    /// Each tenant's requests a second on this backend, by its index; none, or no entry, where the settings' quota
    /// holds.
    pub tenants: Vec<Option<f64>>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was read and is queued.
    Arrived(Arrival),
    /// A caller stopped waiting; no response is owed.
    CallerGone(RequestId),
    /// A running request waits to make a downstream call.
    CallRequested(RequestId),
    /// A downstream call ended.
    CallEnded(RequestId, CallOutcome),
    /// A run ended.
    RunEnded(RequestId, RunOutcome),
    /// The timer fired.
    TimerFired(Gauges),
    /// A graceful shutdown begins; the process is killed at the given point.
    Drain(Instant),
    /// What this backend may use of the shared quotas has changed.
    QuotasChanged(LeasedQuotas),
}
