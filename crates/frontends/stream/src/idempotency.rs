//! Derives the identity by which the engine recognizes duplicate requests.

use crate::http::RequestHead;
use crate::settings::StreamSettings;
use lynxtally::Effect;
use lynxtally_engine::{ContentFingerprint, Fingerprint, RequestIdentity};
use sha2::{Digest, Sha256};

/// Returns the identity of a request of this class. A request without one has no duplicates.
///
/// A deduplicated request is identified by its tenant, its client's idempotency key and its content. The tenant is the
/// value of the tenant's field, whether or not the settings list it: two unknown tenants are not the same one.
pub(crate) fn request_identity(
    settings: &StreamSettings,
    class: usize,
    request: &RequestHead,
    content: ContentFingerprint,
) -> Option<RequestIdentity> {
    let effect = settings.classes.get(class)?.effect;
    let client_key = request.known.idempotency_key.as_deref().filter(|_| effect == Effect::Deduplicated)?;
    Some(RequestIdentity::of_client_key(class, settings.tenant_name(request), client_key, content))
}

/// Calculates the fingerprint of a request's content while its body arrives. The content is the method, the target and
/// the body without its framing.
pub struct ContentDigest(Sha256);

impl ContentDigest {
    /// Starts the fingerprint of a request of which no body has arrived yet.
    pub fn new(request: &RequestHead) -> Self {
        let head = format!("{} {}\n", request.method, request.target);
        Self(Sha256::new().chain_update(head))
    }

    /// Adds bytes of the body.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// The fingerprint, once the whole body has arrived.
    pub fn finish(self) -> Fingerprint {
        self.0.finalize().into()
    }
}
