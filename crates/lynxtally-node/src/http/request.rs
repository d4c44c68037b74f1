//! The request that a client sends, and the schema that it is validated against.

use lynxtally_settings::BackendSettings;

/// The names and limits that requests are validated against.
#[derive(Clone, Debug, Default)]
pub struct RequestSchema {
    /// The names of the request classes.
    pub classes: Vec<String>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The longest deadline of any class, in milliseconds. No client waits for a request that arrived longer ago.
    pub max_deadline_ms: u64,
}

impl RequestSchema {
    /// Creates the schema from the settings.
    pub fn new(backend: &BackendSettings) -> Self {
        let longest = backend.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        Self {
            classes: backend.class_names.clone(),
            tenants: backend.tenant_names.clone(),
            max_deadline_ms: longest.micros() / 1000,
        }
    }
}

/// A validated request from a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReceivedRequest {
    /// The id of this attempt: 16 hex digits.
    pub id: String,
    /// The arrival time at this machine, in Unix milliseconds.
    pub arrived_ms: u64,
    /// The index of the request class.
    pub class: usize,
    /// The index of the tenant; `None` if the settings have no tenants.
    pub tenant: Option<usize>,
    /// The number that identifies the client.
    pub client: u64,
    /// When the client abandons this attempt, in Unix milliseconds, if the client declares it.
    pub deadline_ms: Option<u64>,
    /// The expected work on a standard core, in milliseconds, if the client declares it.
    pub expected_work_ms: Option<f64>,
    /// Whether the client marked the attempt as a retry.
    pub is_retry: bool,
    /// The memory that the request takes while queued, in kilobytes.
    pub memory_kb: f64,
    /// The rank of the request among all requests, from 0 up to but excluding 1.
    pub criticality: f64,
    /// The subject of a read. Reads with the same subject can share a response.
    pub subject: Option<String>,
    /// The key that identifies the duplicates of a deduplicated request.
    pub idempotency_key: Option<String>,
    /// The body, which the executor gets unchanged.
    pub body: Vec<u8>,
}
