//! Identities of requests that were already started.
//!
//! Some requests receive their content in parts, and only the last part makes the content executable. Such a request is
//! submitted without an identity, and gets one once its content is known, right before its effect begins.

use crate::engine::Engine;
use crate::identity::RequestIdentity;
use crate::response::Responder;
use crate::scheduler::Scheduler;
use lynxtally::{Duplicate, Instant, RequestId, Span};
use std::fmt;

/// What a request that has got its identity does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identified {
    /// It is the first request with its key: its effect may begin.
    FirstRun,
    /// It duplicates an earlier request. Its effect must not begin: it gets the response to the earlier request as soon as
    /// there is one.
    Duplicate,
}

/// Why a request can't have the given identity. Its effect must not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityRefusal {
    /// The request is not open, or has an identity already.
    NotOpen,
    /// As many idempotency keys are remembered as may be.
    TooManyKeys,
    /// The key belongs to a request with other content.
    KeyConflict,
}

impl fmt::Display for IdentityRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotOpen => "the request is not open, or has an identity already",
            Self::TooManyKeys => "as many idempotency keys are remembered as may be",
            Self::KeyConflict => "the idempotency key belongs to another request",
        })
    }
}

impl std::error::Error for IdentityRefusal {}

impl<S: Scheduler, ExecutorState, ReplyTo, FrontendTimer: Copy + Ord>
    Engine<S, ExecutorState, ReplyTo, FrontendTimer>
{
    /// Gives a started request its identity. If it is the first with its key, the key is remembered while the request is
    /// open, and for `retained_for` from now in any case.
    ///
    /// # Errors
    /// The identity is refused; the request has none.
    pub fn identify(
        &mut self,
        now: Instant,
        request: RequestId,
        identity: RequestIdentity,
        retained_for: Span,
        responder: &mut impl Responder<ReplyTo>,
    ) -> Result<Identified, IdentityRefusal> {
        let Some(open) = self.open.get_mut(request).filter(|open| open.identity.is_none()) else {
            return Err(IdentityRefusal::NotOpen);
        };
        if !self.deduplication.has_room_for(&identity) {
            return Err(IdentityRefusal::TooManyKeys);
        }
        let duplicate =
            self.deduplication.register(now, &identity, request).map_err(|_| IdentityRefusal::KeyConflict)?;
        open.identity = Some(identity.clone());
        if duplicate == Duplicate::No {
            self.deduplication.retain_key(now, &identity, request, retained_for);
            return Ok(Identified::FirstRun);
        }
        let settled = self.deduplication.coalesce(&identity, request);
        self.settle_duplicates(settled, responder);
        Ok(Identified::Duplicate)
    }

    /// Remembers the key of a request with an identity for `retained_for` from now, whatever its class. Does nothing for a
    /// duplicate.
    pub fn retain_result(&mut self, now: Instant, request: RequestId, retained_for: Span) {
        let identity = self.open.get(request).and_then(|open| open.identity.as_ref());
        if let Some(identity) =
            identity.filter(|identity| self.deduplication.is_first(identity.key(), request))
        {
            self.deduplication.retain_key(now, identity, request, retained_for);
        }
    }

    /// Whether a request with this identity that arrives now would duplicate an earlier one, or conflict with it.
    pub fn is_identity_known(&self, now: Instant, identity: &RequestIdentity) -> bool {
        self.deduplication.is_known(now, identity)
    }

    /// Forgets a result that is retained, so that the next request with this identity is executed. Does nothing if the
    /// run has not ended.
    pub fn forget_result(&mut self, identity: &RequestIdentity) {
        self.deduplication.forget_result(identity.key());
    }
}
