//! Converts the settings object to the policy's settings.

use crate::document::{Advertised, Backend, CallTarget, Class, Document, Idempotency, StopMode, UtilityUnit};
use lynxtally::{CapacityFormat, Downstream, Effect, RequestClass, Settings, Span};

/// The settings of a backend, with the names that stand behind the indices in them.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSettings {
    /// The settings of the policy.
    pub settings: Settings,
    /// The names of the request classes, by class index.
    pub class_names: Vec<String>,
    /// The names of the tenants, by tenant index.
    pub tenant_names: Vec<String>,
    /// The names of the gauges, in the order in which they are reported.
    pub gauges: Vec<String>,
    /// Whether a run that is stopped keeps its progress.
    pub stop_keeps_progress: bool,
}

impl From<Document> for BackendSettings {
    fn from(document: Document) -> Self {
        Self {
            settings: document.settings(),
            class_names: document.classes.into_iter().map(|class| class.name).collect(),
            tenant_names: document.tenants.into_iter().map(|tenant| tenant.name).collect(),
            stop_keeps_progress: document.backend.stop_mode == Some(StopMode::Pause),
            gauges: document.backend.gauges,
        }
    }
}

impl Document {
    fn settings(&self) -> Settings {
        let Self { backend, limits, .. } = self;
        Settings {
            cores: backend.cores,
            memory_kb: backend.memory_kb,
            running_memory_factor: backend.running_memory_factor,
            idempotency_key_kb: backend.idempotency_key_kb,
            cold_start: backend.cold_start,
            cold_capacity_fraction: limits.cold_capacity_fraction,
            warmup_time: limits.warmup_time.span(),
            max_running_per_core: limits.max_running_per_core,
            drain_grace: limits.drain_grace.span(),
            classes: self.request_classes(),
            tenant_quotas: self.tenants.iter().map(|tenant| tenant.quota_per_second).collect(),
            over_quota_utility_fraction: self.over_quota_utility_fraction,
            utility_per_work: self.utility_unit == Some(UtilityUnit::Work),
            backends: self.backends.unwrap_or(1),
            callers: backend.callers.unwrap_or(1),
            tier_depth: self.tier_depth,
            downstream: backend.downstream(),
            stoppable: matches!(backend.stop_mode, Some(StopMode::Discard | StopMode::Pause)),
            capacity_format: backend.capacity_format(),
            capacity_ttl: backend.capacity_ttl.span(),
            client_idle_timeout: backend.client_idle_timeout.span(),
            coalescing_window: backend.coalescing_window.span(),
            max_retry_after: self.max_retry_after(),
        }
    }

    fn request_classes(&self) -> Vec<RequestClass> {
        let indexed = self.classes.iter().enumerate();
        indexed.map(|(index, class)| class.request_class(index, &self.backend)).collect()
    }

    /// Zero if responses must not have a Retry-After.
    fn max_retry_after(&self) -> Span {
        match &self.responses {
            Some(responses) if responses.retry_after_allowed => responses.max_retry_after.span(),
            _ => Span::ZERO,
        }
    }
}

impl Class {
    fn request_class(&self, index: usize, backend: &Backend) -> RequestClass {
        let degraded = backend.class_degraded_utility_fraction.get(index);
        RequestClass {
            utility: self.utility,
            late_utility_fraction: self.late_utility_fraction,
            latency_objective: self.latency_objective.span(),
            deadline: self.deadline.span(),
            effect: match self.idempotency {
                Idempotency::Idempotent => Effect::Idempotent,
                Idempotency::Deduplicated => Effect::Deduplicated,
                Idempotency::NonIdempotent => Effect::NonIdempotent,
            },
            deduplication_window: self.deduplication_window.span(),
            calls_downstream: backend.class_calls_downstream.get(index).copied().unwrap_or(false),
            degraded_utility_fraction: degraded.copied().unwrap_or(0.0),
        }
    }
}

impl Backend {
    fn downstream(&self) -> Downstream {
        match self.call_target {
            Some(CallTarget::Shared) => Downstream::Shared {
                concurrent_calls: self.concurrent_calls,
                averaging_window: self.averaging_window.span(),
                cancellation_lag: self.cancellation_lag.span(),
            },
            Some(CallTarget::Tier) => Downstream::Tier,
            Some(CallTarget::None) | None => Downstream::None,
        }
    }

    fn capacity_format(&self) -> CapacityFormat {
        match self.advertised {
            Some(Advertised::Threshold) => CapacityFormat::Threshold,
            Some(Advertised::Credits) => CapacityFormat::Credits,
            Some(Advertised::Weight) => CapacityFormat::Weight,
            Some(Advertised::None) | None => CapacityFormat::None,
        }
    }
}
