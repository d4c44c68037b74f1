//! A request as a client sent it, and the names that it is checked against.

use lynxtally_settings::BackendSettings;

/// What a request is checked against.
#[derive(Clone, Debug, Default)]
pub struct RequestSchema {
    /// The names of the request classes.
    pub classes: Vec<String>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The longest deadline of any class, in milliseconds: nobody waits for a request that arrived longer ago.
    pub max_deadline_ms: u64,
}

impl RequestSchema {
    /// As the settings declare it.
    pub fn new(backend: &BackendSettings) -> Self {
        let longest = backend.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        Self {
            classes: backend.class_names.clone(),
            tenants: backend.tenant_names.clone(),
            max_deadline_ms: longest.micros() / 1000,
        }
    }
}

/// A request as a client sent it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReceivedRequest {
    /// The id of this attempt: 16 hex digits.
    pub id: String,
    /// When it arrived at this machine, in Unix milliseconds.
    pub arrived_ms: u64,
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant.
    pub tenant: Option<usize>,
    /// The client's number.
    pub client: u64,
    /// When the client gives this attempt up, in Unix milliseconds, where it says so.
    pub deadline_ms: Option<u64>,
    /// The expected work on a standard core, in milliseconds, where the client says so.
    pub expected_work_ms: Option<f64>,
    /// Whether it is marked as a retry.
    pub is_retry: bool,
    /// Its memory while queued, in kilobytes.
    pub memory_kb: f64,
    /// Its place among all requests, from 0 to under 1.
    pub criticality: f64,
    /// What a read is about.
    pub subject: Option<String>,
    /// The key by which the duplicates of a deduplicated request are recognized.
    pub idempotency_key: Option<String>,
    /// What the executor gets, as it came.
    pub body: Vec<u8>,
}
