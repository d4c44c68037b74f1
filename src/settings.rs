//! The settings of a backend: its machine, request classes, tenants' quotas and dependency.

use crate::time::Span;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// The request may be executed again.
    #[default]
    Idempotent,
    /// The request carries an idempotency key, by which duplicates are recognized. A backend executes it once.
    Deduplicated,
    /// The request must never be executed twice.
    NonIdempotent,
}

/// The settings of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The utility (the paper's term) of a response within the latency objective: the priority weight of the class.
    pub utility: f64,
    /// The fraction of the utility that a response after the latency objective, but before the deadline, still earns.
    pub late_utility_fraction: f64,
    /// How long after a request's first attempt its response is wanted.
    pub latency_objective: Span,
    /// How long after a request's first attempt the client waits, over all attempts.
    pub deadline: Span,
    /// Whether a request may be executed more than once.
    pub effect: Effect,
    /// How long after a deduplicated request's arrival a duplicate of it may arrive.
    pub deduplication_window: Span,
    /// Whether requests of the class may make downstream calls.
    pub calls_downstream: bool,
    /// The fraction of the utility that a response without the downstream call earns; 0 if the call can't be skipped.
    pub degraded_utility_fraction: f64,
}

/// The target of this backend's downstream calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Downstream {
    /// There are no downstream calls.
    None,
    /// A dependency that all backends share.
    Shared {
        /// This backend's share of the mean number of concurrent calls that the dependency can take.
        concurrent_calls: f64,
        /// The window of that mean.
        averaging_window: Span,
        /// How long a call that this backend cancelled keeps running at the dependency.
        cancellation_lag: Span,
    },
    /// Another tier of backends.
    Tier,
    /// A peer of its own for each call. The calls of other requests can't overload it, and waiting for it uses no
    /// core.
    Peers,
}

/// How callers interpret the advertised capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityFormat {
    /// No capacity is advertised.
    None,
    /// A threshold from 0 to 1. Callers give each request a placement in this range, and send no request here whose
    /// placement is below the threshold.
    Threshold,
    /// The number of requests that each caller may have in flight here.
    Credits,
    /// The probability, from 0 to 1, that a caller which considers this backend sends its request here.
    Weight,
}

/// The settings of a backend. [`Policy`](crate::Policy) doesn't check them; the crate `lynxtally-settings` does when
/// it reads them from JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of cores. All have the same speed, which is unknown.
    pub cores: u32,
    /// Memory, in kilobytes.
    pub memory_kb: f64,
    /// The memory of a running request divided by its memory while queued.
    pub running_memory_factor: f64,
    /// The memory of a retained idempotency key, in kilobytes.
    pub idempotency_key_kb: f64,
    /// Whether this backend starts cold, that is, slower than at its full speed.
    pub cold_start: bool,
    /// The smallest fraction of its full speed at which a cold backend starts.
    pub cold_capacity_fraction: f64,
    /// How long after its start a cold backend is warm at the latest.
    pub warmup_time: Span,
    /// The number of running requests per core that a warm backend can take.
    pub max_running_per_core: f64,
    /// How long after the start of a graceful shutdown arriving requests may still be started.
    pub drain_grace: Span,
    /// The request classes. A request refers to its class by index.
    pub classes: Vec<RequestClass>,
    /// Each tenant's quota over all backends, in requests a second.
    pub tenant_quotas: Vec<f64>,
    /// The fraction of its utility that a request beyond its tenant's quota keeps.
    pub over_quota_utility_fraction: f64,
    /// Whether the utility of a request is multiplied by its expected work.
    pub utility_per_work: bool,
    /// Number of backends in this tier when this one starts.
    pub backends: u32,
    /// Number of callers of this tier when this backend starts.
    pub callers: u32,
    /// Number of tiers of backends between the clients and this tier.
    pub tier_depth: u32,
    /// The target of downstream calls.
    pub downstream: Downstream,
    /// Whether the host can stop runs.
    pub stoppable: bool,
    /// How callers interpret the advertised capacity.
    pub capacity_format: CapacityFormat,
    /// How long callers remember the advertised capacity.
    pub capacity_ttl: Span,
    /// The idle time after which callers close connections; zero if unknown.
    pub client_idle_timeout: Span,
    /// How long the response of a read may serve other requests; zero if never.
    pub coalescing_window: Span,
    /// The longest Retry-After that callers follow; zero if responses must not have one.
    pub max_retry_after: Span,
}
