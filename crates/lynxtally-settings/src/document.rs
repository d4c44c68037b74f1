//! The settings object as it is in the JSON. Only this module uses its key names and values.
//!
//! Operators search logs for the serde error texts. The `expecting` attributes therefore keep the struct names that these
//! texts had before the structs were renamed.

use crate::millis::Millis;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Profile")]
pub(crate) struct Document {
    #[serde(rename = "lanes")]
    pub classes: Vec<Class>,
    #[serde(rename = "orgs", default)]
    pub tenants: Vec<Tenant>,
    #[serde(rename = "specifics")]
    pub backend: Backend,
    #[serde(rename = "rules")]
    pub limits: Limits,
    #[serde(rename = "allowed")]
    pub responses: Option<Responses>,
    #[serde(rename = "over-share-worth", default = "one")]
    pub over_quota_utility_fraction: f64,
    #[serde(rename = "servers")]
    pub backends: Option<u32>,
    #[serde(rename = "tier", default)]
    pub tier_depth: u32,
    #[serde(rename = "worth-by")]
    pub utility_unit: Option<UtilityUnit>,
}

fn one() -> f64 {
    1.0
}

/// Whether a class earns its utility per request, or per unit of a request's expected work.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub(crate) enum UtilityUnit {
    #[serde(rename = "request")]
    Request,
    #[serde(rename = "work")]
    Work,
}

/// The target of downstream calls.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub(crate) enum CallTarget {
    #[serde(rename = "silent")]
    None,
    #[serde(rename = "shared")]
    Shared,
    #[serde(rename = "tier")]
    Tier,
}

/// How callers interpret the advertised capacity.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub(crate) enum Advertised {
    #[serde(rename = "silent")]
    None,
    #[serde(rename = "level")]
    Threshold,
    #[serde(rename = "credit")]
    Credits,
    #[serde(rename = "weight")]
    Weight,
}

/// What happens to a run that is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub(crate) enum StopMode {
    /// Runs can't be stopped.
    #[serde(rename = "silent")]
    None,
    /// The run loses its progress.
    #[serde(rename = "drop")]
    Discard,
    /// The run keeps its progress.
    #[serde(rename = "pause")]
    Pause,
}

#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Lane")]
pub(crate) struct Class {
    pub name: String,
    #[serde(rename = "importance")]
    pub utility: f64,
    #[serde(rename = "late-worth", default)]
    pub late_utility_fraction: f64,
    #[serde(rename = "promise-ms")]
    pub latency_objective: Millis,
    #[serde(rename = "deadline-ms")]
    pub deadline: Millis,
    #[serde(rename = "idempotency")]
    pub idempotency: Idempotency,
    #[serde(rename = "dedup-window-ms", default)]
    pub deduplication_window: Millis,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub(crate) enum Idempotency {
    #[serde(rename = "pure")]
    Idempotent,
    #[serde(rename = "token")]
    Deduplicated,
    #[serde(rename = "side_effect")]
    NonIdempotent,
}

#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Org")]
pub(crate) struct Tenant {
    pub name: String,
    #[serde(rename = "quota-per-s")]
    pub quota_per_second: f64,
}

/// What responses may ask of callers.
#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Allowed")]
pub(crate) struct Responses {
    #[serde(rename = "max-retry-after-ms", default)]
    pub max_retry_after: Millis,
    #[serde(rename = "retry-after", default)]
    pub retry_after_allowed: bool,
}

/// The limits of a backend that is starting, overloaded or shutting down.
#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Rules")]
pub(crate) struct Limits {
    #[serde(rename = "cold-share")]
    pub cold_capacity_fraction: f64,
    #[serde(rename = "drain-grace-ms")]
    pub drain_grace: Millis,
    #[serde(rename = "fall-multiple")]
    pub max_running_per_core: f64,
    #[serde(rename = "warm-after-ms")]
    pub warmup_time: Millis,
}

/// The resources of this backend, its callers and its dependency.
#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Specifics")]
pub(crate) struct Backend {
    #[serde(rename = "below")]
    pub call_target: Option<CallTarget>,
    #[serde(rename = "blowup")]
    pub running_memory_factor: f64,
    #[serde(rename = "calls-out", default)]
    pub concurrent_calls: f64,
    #[serde(rename = "calls-over-ms", default)]
    pub averaging_window: Millis,
    #[serde(rename = "class-calls", default)]
    pub class_calls_downstream: Vec<bool>,
    #[serde(rename = "class-skip-worth", default)]
    pub class_degraded_utility_fraction: Vec<f64>,
    #[serde(rename = "cold", default)]
    pub cold_start: bool,
    pub cores: u32,
    #[serde(default)]
    pub gauges: Vec<String>,
    #[serde(rename = "heeded-ms", default)]
    pub capacity_ttl: Millis,
    #[serde(rename = "idle-ms", default)]
    pub client_idle_timeout: Millis,
    #[serde(rename = "kb-per-key", default)]
    pub idempotency_key_kb: f64,
    #[serde(rename = "linger-ms", default)]
    pub cancellation_lag: Millis,
    #[serde(rename = "ram-kb")]
    pub memory_kb: f64,
    #[serde(rename = "say")]
    pub advertised: Option<Advertised>,
    #[serde(rename = "share-for-ms", default)]
    pub coalescing_window: Millis,
    #[serde(rename = "stop-mode")]
    pub stop_mode: Option<StopMode>,
    #[serde(rename = "upstreams")]
    pub callers: Option<u32>,
}
