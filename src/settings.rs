//! What a backend is told when it starts: its machine, the request classes, tenants' quotas and the dependency.

use crate::time::Span;

/// What may happen when a request is executed twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// It may be executed again.
    #[default]
    Idempotent,
    /// It carries an idempotency key by which a duplicate is recognized; it is executed once on a backend.
    Deduplicated,
    /// It must never be executed twice.
    NonIdempotent,
}

/// The settings of one request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// What a response within the latency objective earns: the class's priority weight, in the paper's term utility.
    pub utility: f64,
    /// The fraction of it that a later response, before the deadline, still earns.
    pub late_utility_fraction: f64,
    /// How long after a request's first attempt its response is wanted.
    pub latency_objective: Span,
    /// How long after its first attempt a client waits, over all attempts.
    pub deadline: Span,
    /// Whether it may be executed again.
    pub effect: Effect,
    /// How long after its arrival a duplicate of a deduplicated request may come.
    pub deduplication_window: Span,
    /// Whether its requests may call downstream.
    pub calls_downstream: bool,
    /// The fraction of the utility that is kept when a call is left out; 0 where it can't be.
    pub degraded_utility_fraction: f64,
}

/// What serves the downstream calls of this backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Downstream {
    /// There are none.
    None,
    /// One dependency that all backends share.
    Shared {
        /// This backend's share of the concurrent calls that the dependency survives, in the mean.
        concurrent_calls: f64,
        /// The window over which they are averaged.
        averaging_window: Span,
        /// How long the dependency goes on with a call that was cancelled here.
        cancellation_lag: Span,
    },
    /// A further tier of backends.
    Tier,
    /// Each call waits for its own request's peer: nothing that calls could overload, and waits hold no core.
    Peers,
}

/// What callers take the advertised capacity to mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityFormat {
    /// None is advertised.
    None,
    /// A threshold: requests whose placement lies below it are not sent here.
    Threshold,
    /// How many requests each caller may have in flight here.
    Credits,
    /// The probability, from 0 to 1, with which a caller that considers this backend does not skip it.
    Weight,
}

/// All that a backend is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The cores, all alike, of unknown speed.
    pub cores: u32,
    /// The memory, in kilobytes.
    pub memory_kb: f64,
    /// A running request's memory over a queued one's.
    pub running_memory_factor: f64,
    /// The memory of one retained idempotency key, in kilobytes.
    pub idempotency_key_kb: f64,
    /// Whether this backend has just been started cold.
    pub cold_start: bool,
    /// The least fraction of its speed at which a cold backend starts.
    pub cold_capacity_fraction: f64,
    /// When it is warm at the latest, after its start.
    pub warmup_time: Span,
    /// How many running requests a core a warm backend survives.
    pub max_running_per_core: f64,
    /// What arrives later than this after the shutdown notice must not be started.
    pub drain_grace: Span,
    /// The request classes; a request names one by its index.
    pub classes: Vec<RequestClass>,
    /// Each tenant's quota, in requests a second over all backends.
    pub tenant_quotas: Vec<f64>,
    /// The fraction of its utility that a request beyond its tenant's quota keeps.
    pub over_quota_utility_fraction: f64,
    /// Whether utility is counted for each unit of work.
    pub utility_per_work: bool,
    /// Backends of this tier at this start.
    pub backends: u32,
    /// Callers of this tier at this start.
    pub callers: u32,
    /// How many tiers of backends stand between this one and the clients.
    pub tier_depth: u32,
    /// What the requests call.
    pub downstream: Downstream,
    /// Whether running work can be stopped.
    pub stoppable: bool,
    /// The meaning of the advertised capacity.
    pub capacity_format: CapacityFormat,
    /// How long callers remember the advertised capacity.
    pub capacity_ttl: Span,
    /// After how long callers close idle connections; zero where that is not known.
    pub client_idle_timeout: Span,
    /// How long a read's response may serve other requests; zero means never.
    pub coalescing_window: Span,
    /// The longest Retry-After that callers follow; zero where none is passed on.
    pub max_retry_after: Span,
}
