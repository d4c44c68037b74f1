//! By which idempotency key duplicates of a request are recognized.

use crate::http::ReceivedRequest;
use lynxtally::{Effect, Span};
use lynxtally_engine::{Fingerprint, IdempotencyKey};
use sha2::{Digest, Sha256};

/// What identifies a request among its duplicates. Without a key it is nobody's duplicate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestIdentity {
    /// The key under which its result is retained.
    pub key: Option<IdempotencyKey>,
    /// What another request under that key must have in common with it to be its duplicate.
    pub fingerprint: Fingerprint,
}

/// The identity of a request whose class has this effect.
///
/// A deduplicated request is known by its tenant, the idempotency key that its caller chose, and its body: without the
/// tenant and the body, whoever copies a key would be given what another's run made. An idempotent read is known by
/// its subject alone, for all tenants and bodies, and only where responses are coalesced at all.
pub fn request_identity(
    request: &ReceivedRequest,
    effect: Effect,
    coalescing_window: Span,
) -> RequestIdentity {
    match effect {
        Effect::Idempotent if coalescing_window > Span::ZERO => {
            let subject = request.subject.clone();
            let key = subject.map(|value| IdempotencyKey { class: request.class, value });
            RequestIdentity { key, ..RequestIdentity::default() }
        }
        Effect::Deduplicated => {
            let tenant = request.tenant.map_or_else(String::new, |tenant| tenant.to_string());
            let scoped_key = |key| IdempotencyKey { class: request.class, value: format!("{tenant}/{key}") };
            RequestIdentity {
                key: request.idempotency_key.as_ref().map(scoped_key),
                fingerprint: Sha256::digest(&request.body).into(),
            }
        }
        Effect::Idempotent | Effect::NonIdempotent => RequestIdentity::default(),
    }
}
