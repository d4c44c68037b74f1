//! What a request and its duplicates have in common, and no other request.
//!
//! An identity can be built in three ways only. Each says whose requests may be duplicates of one another and what their
//! content is: neither the owner of an idempotency key nor the content can be left out by mistake. If one were, a client
//! that copies or guesses a key would get the result of another client's request.

/// A digest of a request's content.
pub type Fingerprint = [u8; 32];

/// Distinguishes requests with the same idempotency key by their content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentFingerprint {
    /// All of the content has been received.
    Known(Fingerprint),
    /// The content is still being received. [`crate::Engine::content_received`] reports its fingerprint.
    Pending,
    /// The content can't be compared, so the request gets no result of another one.
    Unavailable,
}

impl ContentFingerprint {
    /// Whether the contents are known to be different.
    pub(crate) fn differs_from(self, other: Self) -> bool {
        matches!((self, other), (Self::Known(own), Self::Known(other)) if own != other)
    }
}

/// Whose requests may be duplicates of one another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum KeyScope {
    /// The requests of the tenant with this name.
    Tenant(Vec<u8>),
    /// The requests that name no tenant.
    NoTenant,
    /// The requests of all tenants.
    AllTenants,
    /// The requests that address this stored upload.
    Upload(u64),
}

/// The key by which duplicates are recognized.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// The index of the request class.
    class: usize,
    scope: KeyScope,
    /// The client's key or, for a shared read, what is read.
    value: String,
}

impl IdempotencyKey {
    /// The length of the texts in the key, in bytes.
    pub(crate) fn text_bytes(&self) -> usize {
        let tenant_bytes = if let KeyScope::Tenant(name) = &self.scope { name.len() } else { 0 };
        tenant_bytes + self.value.len()
    }
}

/// The identity that a request shares with its duplicates only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    key: IdempotencyKey,
    content: ContentFingerprint,
}

impl RequestIdentity {
    /// The identity of a request with an idempotency key that its client has chosen. `tenant` is the name of the tenant
    /// as the request gives it; requests of different tenants are never duplicates.
    pub fn of_client_key(
        class: usize,
        tenant: Option<&[u8]>,
        client_key: &str,
        content: ContentFingerprint,
    ) -> Self {
        let scope = tenant.map_or(KeyScope::NoTenant, |name| KeyScope::Tenant(name.to_vec()));
        Self { key: IdempotencyKey { class, scope, value: client_key.to_owned() }, content }
    }

    /// The identity of a read whose result is the same for every client, so that one result serves the requests of all
    /// tenants. `subject` is what is read.
    pub fn of_shared_read(class: usize, subject: &str) -> Self {
        let key = IdempotencyKey { class, scope: KeyScope::AllTenants, value: subject.to_owned() };
        Self { key, content: ContentFingerprint::Known(Fingerprint::default()) }
    }

    /// The identity of the requests that execute a stored upload. Its content does not change any more, so it is the same
    /// for all of them.
    pub fn of_upload(class: usize, upload: u64) -> Self {
        let key = IdempotencyKey { class, scope: KeyScope::Upload(upload), value: String::new() };
        Self { key, content: ContentFingerprint::Known(Fingerprint::default()) }
    }

    /// The key by which duplicates are recognized.
    pub fn key(&self) -> &IdempotencyKey {
        &self.key
    }

    /// Whether the key was chosen by a client.
    pub fn is_client_key(&self) -> bool {
        matches!(self.key.scope, KeyScope::Tenant(_) | KeyScope::NoTenant)
    }

    /// The content as far as it is known.
    pub fn content(&self) -> ContentFingerprint {
        self.content
    }

    /// Records that the content has been received.
    pub(crate) fn set_content(&mut self, fingerprint: Fingerprint) {
        self.content = ContentFingerprint::Known(fingerprint);
    }
}
