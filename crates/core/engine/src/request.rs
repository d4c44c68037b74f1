//! Requests as a frontend submits them, the reasons why one is not accepted, and the table of open requests.

use crate::identity::RequestIdentity;
use crate::wallets::PriceHold;
use lynxtally::{Instant, RequestId, Span};

/// What a frontend knows about a request that it has read.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// The index of its request class.
    pub class: usize,
    /// The index of its tenant; none if it belongs to no tenant.
    pub tenant: Option<usize>,
    /// A number that is the same for all requests of one caller.
    pub caller: u64,
    /// The expected time of the run on one standard core.
    pub expected_work: Option<Span>,
    /// How long the request waited on this machine before it was read.
    pub receive_delay: Span,
    /// When the caller stops waiting for this attempt, if known.
    pub deadline: Option<Instant>,
    /// Whether the request is marked as a retry.
    pub is_retry: bool,
    /// The identity by which duplicates of the request are recognized; none if it has no duplicates.
    pub identity: Option<RequestIdentity>,
    /// Whether the request only reads a named resource, so that its result may be shared with other requests for it.
    pub coalescable: bool,
    /// The memory that the request takes while queued, in kilobytes.
    pub memory_kb: f64,
}

/// Why a request was not accepted. In all cases it was never executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// There is no scheduler yet. The frontend responds that the request was rejected.
    NotReady,
    /// Another request has the same name. It is open, or it ended a short time ago and may have been executed. The frontend
    /// responds that the request was rejected if it is idempotent, and otherwise that it failed: the caller may confuse it
    /// with the other request.
    NameInUse,
    /// As many idempotency keys are remembered as may be. The frontend responds that the request was rejected.
    TooManyKeys,
    /// Another request of the tenant with the same idempotency key has other content. The frontend responds that the request
    /// failed: a caller that confuses the two must not be told that neither was executed.
    KeyConflict,
}

/// A request that was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection<ReplyTo> {
    /// Where the response is awaited.
    pub reply_to: ReplyTo,
    /// Why the request was not accepted.
    pub reason: RejectionReason,
}

/// A request between its submission and the release of its id by the scheduler.
pub(crate) struct OpenRequest<ExecutorState, ReplyTo> {
    /// Where the response is awaited; none once it has been sent or the caller is gone.
    pub reply_to: Option<ReplyTo>,
    pub identity: Option<RequestIdentity>,
    /// The number of the downstream call in flight.
    pub call_number: Option<u64>,
    /// The price reserved in the tenant's wallet, until the request is settled.
    pub price_hold: Option<PriceHold>,
    /// Whether the request was started, so that it may have had an effect.
    pub has_started: bool,
    pub executor_state: ExecutorState,
}

/// The open requests by id. A vector is enough, because ids are dense.
pub(crate) struct OpenRequests<ExecutorState, ReplyTo>(Vec<Option<OpenRequest<ExecutorState, ReplyTo>>>);

impl<ExecutorState, ReplyTo> OpenRequests<ExecutorState, ReplyTo> {
    pub fn new() -> Self {
        Self(Vec::new())
    }

    pub fn get(&self, request: RequestId) -> Option<&OpenRequest<ExecutorState, ReplyTo>> {
        self.0.get(request.0 as usize)?.as_ref()
    }

    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut OpenRequest<ExecutorState, ReplyTo>> {
        self.0.get_mut(request.0 as usize)?.as_mut()
    }

    pub fn insert(&mut self, request: RequestId, open: OpenRequest<ExecutorState, ReplyTo>) {
        let index = request.0 as usize;
        if self.0.len() <= index {
            self.0.resize_with(index + 1, || None);
        }
        self.0[index] = Some(open);
    }

    pub fn remove(&mut self, request: RequestId) -> Option<OpenRequest<ExecutorState, ReplyTo>> {
        self.0.get_mut(request.0 as usize)?.take()
    }

    /// All open requests, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &OpenRequest<ExecutorState, ReplyTo>)> {
        let slots = self.0.iter().enumerate();
        slots.filter_map(|(index, open)| Some((RequestId(index as u32), open.as_ref()?)))
    }

    /// All open requests, in the order of their ids.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut OpenRequest<ExecutorState, ReplyTo>> {
        self.0.iter_mut().flatten()
    }
}
