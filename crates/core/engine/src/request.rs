//! Requests as a frontend submits them, why one is not accepted, and the table of those that are open.

use crate::deduplication::{Fingerprint, IdempotencyKey};
use crate::wallets::PriceHold;
use lynxtally::{Instant, RequestId, Span};

/// What a frontend knows of a request that it read.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
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
    /// When the caller gives this attempt up, where known.
    pub deadline: Option<Instant>,
    /// Whether it is marked as a retry.
    pub is_retry: bool,
    /// The idempotency key by which its duplicates are recognized.
    pub idempotency_key: Option<IdempotencyKey>,
    /// What else its duplicates have in common with it.
    pub fingerprint: Fingerprint,
    /// Whether it reads something named, so that its response may serve other requests.
    pub coalescable: bool,
    /// Its memory while queued, in kilobytes.
    pub memory_kb: f64,
}

/// Why a request was not accepted. It was never executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// There is no scheduler yet. The frontend responds that it was rejected.
    NotReady,
    /// Its name is in use by another request. The frontend responds that it was rejected where the request is idempotent;
    /// else that it failed, as its caller may take it for the other one, which may be executed.
    NameInUse,
    /// It came under the idempotency key of another request and is not the same. The frontend responds that it failed:
    /// a caller that takes the two for one must not be told that neither was executed.
    KeyConflict,
}

/// A request that was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection<ReplyTo> {
    /// Where its response is awaited.
    pub reply_to: ReplyTo,
    /// Why it was not accepted.
    pub reason: RejectionReason,
}

/// A request from its submission until the scheduler releases its id.
pub(crate) struct OpenRequest<ExecutorState, ReplyTo> {
    /// Where its response is awaited; none once it was responded to or its caller is gone.
    pub reply_to: Option<ReplyTo>,
    pub idempotency_key: Option<IdempotencyKey>,
    /// The number of the downstream call under way.
    pub call_number: Option<u64>,
    /// What is reserved for it of its tenant's wallet, until it is settled.
    pub price_hold: Option<PriceHold>,
    pub executor_state: ExecutorState,
}

/// The open requests by id. Ids are dense, so that a vector serves.
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

    /// All, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &OpenRequest<ExecutorState, ReplyTo>)> {
        let slots = self.0.iter().enumerate();
        slots.filter_map(|(index, open)| Some((RequestId(index as u32), open.as_ref()?)))
    }

    /// All, in the order of their ids.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut OpenRequest<ExecutorState, ReplyTo>> {
        self.0.iter_mut().flatten()
    }
}
