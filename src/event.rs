//! Events: what the host tells a [`Policy`](crate::Policy). They are plain data.
//!
//! A caller is whatever sends requests to this backend: a client, a sidecar or a backend of the tier above.

use crate::request_id::RequestId;
use crate::time::{Instant, Span};

/// Which earlier request an arriving one duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duplicate {
    /// No known request.
    No,
    /// A request whose index is still assigned.
    Of(RequestId),
    /// A request whose index was released before.
    OfReleased,
}

/// A request that was read and is to be queued.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's index.
    pub request: RequestId,
    /// The index of the request's class in [`Settings::classes`](crate::Settings::classes); the policy panics if there
    /// is no such class.
    pub class: usize,
    /// The index of the request's tenant in [`Settings::tenant_quotas`](crate::Settings::tenant_quotas), if it has a
    /// tenant; the policy panics if there is no such tenant.
    pub tenant: Option<usize>,
    /// The caller's number, which tells callers apart.
    pub caller: u64,
    /// The expected work, as the time on a core of standard speed; `None` if unknown.
    pub expected_work: Option<Span>,
    /// How long the request waited on this machine before it was read.
    pub receive_delay: Span,
    /// When the caller gives up on this attempt; `None` if the caller didn't say.
    pub deadline: Option<Instant>,
    /// Whether the caller marked the request as a retry.
    pub is_retry: bool,
    /// The request that this one duplicates.
    pub duplicate: Duplicate,
    /// Whether the request reads a named item, so that its response may serve other requests for the item.
    pub coalescable: bool,
    /// The request's memory while queued, in kilobytes.
    pub memory_kb: f64,
    /// Whether the request is paid for from a wallet, or needs no payment. If not, the policy rejects it, unless it
    /// duplicates an executed request with an effect.
    pub prepaid: bool,
}

/// How a downstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call succeeded.
    Succeeded,
    /// The call failed and certainly was not executed.
    NotExecuted,
    /// The call failed and may have been executed.
    MaybeExecuted,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run sent its own response, unless the request already had a final response.
    Responded,
    /// The run was stopped, or ended because no caller waits for its response.
    Cancelled,
    /// Nothing was executed: the request had already ended, the executor refused it, or there was no executor.
    NotStarted,
}

/// The host's measurements of its machine at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// The busy fraction of the cores over the last half second.
    pub cpu_utilization: Option<f64>,
    /// The number of open connections.
    pub open_connections: Option<f64>,
}

/// The bounds that a lease sets on downstream calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLease {
    /// Maximum number of calls in flight downstream at any moment, including cancelled calls that still run there.
    pub max_in_flight: u64,
    /// Maximum duration of a call that is started under the lease, including its cancellation lag.
    pub max_duration: Span,
}

/// Quotas leased for a limited time, which replace the static shares of the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeasedQuotas {
    /// The bounds on downstream calls; `None` if the settings' share applies.
    pub calls: Option<CallLease>,
    /// The quota of each tenant on this backend, in requests a second, by tenant index. The settings' quota applies to
    /// a tenant whose entry is `None` or missing.
    pub tenants: Vec<Option<f64>>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was read and is to be queued.
    Arrived(Arrival),
    /// A caller stopped waiting. Its request needs no response any more.
    CallerGone(RequestId),
    /// A running request is ready to make a downstream call and waits for permission.
    CallRequested(RequestId),
    /// A downstream call ended.
    CallEnded(RequestId, CallOutcome),
    /// A run ended.
    RunEnded(RequestId, RunOutcome),
    /// The timer fired.
    TimerFired(Gauges),
    /// A graceful shutdown begins. The process is killed at this time.
    Drain(Instant),
    /// This backend's leased quotas changed.
    QuotasChanged(LeasedQuotas),
}
