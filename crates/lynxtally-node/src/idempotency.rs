//! Derives the idempotency key and the fingerprint by which the engine recognizes duplicate requests.

use crate::http::ReceivedRequest;
use lynxtally::{Effect, Span};
use lynxtally_engine::{Fingerprint, IdempotencyKey};
use sha2::{Digest, Sha256};

/// The identity that a request shares with its duplicates. A request without a key has no duplicates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestIdentity {
    /// The key under which the result is retained.
    pub key: Option<IdempotencyKey>,
    /// The fingerprint that another request with the same key must have to be a duplicate.
    pub fingerprint: Fingerprint,
}

/// Returns the identity of a request whose class has this effect.
///
/// A deduplicated request is identified by its tenant, its client's idempotency key and its body. Without the tenant
/// and the body, a client that copies the key of another client would get the result of the other client's request.
/// An idempotent read is identified by its subject alone, across tenants and bodies, and only if the settings enable
/// response coalescing.
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
