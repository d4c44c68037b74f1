//! Derives the identity by which the engine recognizes duplicate requests.

use crate::http::ReceivedRequest;
use lynxtally::{Effect, Span};
use lynxtally_engine::{ContentFingerprint, RequestIdentity};
use sha2::{Digest, Sha256};

/// Returns the identity of a request whose class has this effect. A request without one has no duplicates.
///
/// A deduplicated request is identified by its tenant, its client's idempotency key and its body. Without the tenant
/// and the body, a client that copies the key of another client would get the result of the other client's request.
/// An idempotent read is identified by its subject alone, across tenants and bodies, and only if the settings enable
/// response coalescing.
pub fn request_identity(
    request: &ReceivedRequest,
    effect: Effect,
    coalescing_window: Span,
) -> Option<RequestIdentity> {
    match effect {
        Effect::Idempotent if coalescing_window > Span::ZERO => {
            Some(RequestIdentity::of_shared_read(request.class, request.subject.as_ref()?))
        }
        Effect::Deduplicated => {
            let client_key = request.idempotency_key.as_ref()?;
            let tenant = request.tenant.map(|tenant| tenant.to_string());
            let content = ContentFingerprint::Known(Sha256::digest(&request.body).into());
            let tenant = tenant.as_ref().map(String::as_bytes);
            Some(RequestIdentity::of_client_key(request.class, tenant, client_key, content))
        }
        Effect::Idempotent | Effect::NonIdempotent => None,
    }
}
