//! Settings of a stream server: the form of the settings file, its defaults, and its checks.
//! [`SettingsFile::check`] turns the file into [`StreamSettings`], which the rest of the crate uses.
//!
//! No other module reads the settings file or defines defaults. The types that the file is deserialized into have
//! the keys of the file as their fields.

use crate::http::{MessageError, RequestHead};
use crate::proxied_request::ForwardingSettings;
use crate::proxy::{ALLOWANCE_BYTES, CONNECTION_BYTES};
use lynxtally::{CapacityFormat, Downstream, Effect, RequestClass, Settings, Span};
use lynxtally_flow::coding::{Coding, GrowthLimit};
use lynxtally_flow::uploads::UploadLimits;
use lynxtally_net::memory_account::AccountLimits;

use lynxtally_flow::{MemoryLimits, ProgressLimits, UpstreamLimits};
use lynxtally_settings::SettingError;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

fn invalid<T>(key: impl Into<String>, problem: impl Into<String>) -> Result<T, SettingError> {
    Err(SettingError::new(key, problem))
}

/// The settings file as it is decoded, not checked yet.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "File", deny_unknown_fields)]
pub struct SettingsFile {
    /// The addresses to listen on for clients.
    pub listen: Vec<SocketAddr>,
    /// The addresses of the upstreams.
    pub upstreams: Vec<SocketAddr>,
    /// The directory of the upload archive. Without one, no upload is resumable.
    pub state: Option<PathBuf>,
    /// The request classes; the first one that matches a request applies to it.
    pub stages: Vec<ClassFile>,
    /// The name of the header field that names the tenant of a request.
    pub customer_field: Option<String>,
    /// The tenants that have a quota.
    #[serde(default)]
    pub customers: Vec<TenantFile>,
    /// Limits of the server.
    #[serde(default)]
    pub limits: Limits,
    /// The progress that a stream has to make.
    #[serde(default)]
    pub progress: ProgressFile,
    /// The limits by which failing upstreams are ejected.
    #[serde(default)]
    pub leave_out: OutlierFile,
    /// The retry budget.
    #[serde(default)]
    pub repeats: RetryFile,
    /// Content codings.
    #[serde(default)]
    pub coding: CodingFile,
    /// The shutdown timeout: how long after the shutdown signal the process is killed, in milliseconds.
    #[serde(default = "stop_ms")]
    pub stop_ms: u64,
    /// Requests that arrive later than this after the shutdown signal are rejected, in milliseconds.
    #[serde(default = "grace_ms")]
    pub grace_ms: u64,
}

fn stop_ms() -> u64 {
    20_000
}

fn grace_ms() -> u64 {
    2500
}

/// The effect of executing a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectFile {
    /// Executing the request again is harmless.
    Restartable,
    /// The request carries an idempotency key, by which a duplicate is recognized.
    Fingerprinted,
    /// The request must not be executed twice.
    SideEffecting,
}

/// A request class as given in the settings file, not checked yet.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "StageFile", deny_unknown_fields)]
pub struct ClassFile {
    /// The name of the class; unique among the classes.
    pub name: String,
    /// The methods that the class matches; every method if the list is empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Prefixes of the paths that the class matches; every path if the list is empty.
    #[serde(default)]
    pub paths: Vec<String>,
    /// The utility of a response within the latency objective.
    pub utility: f64,
    /// The fraction of the utility that a response after the latency objective still has.
    #[serde(default = "late_part")]
    pub late_part: f64,
    /// The latency objective for the complete response, in milliseconds.
    pub due_ms: u64,
    /// The deadline, at which the client gives up, in milliseconds.
    pub limit_ms: u64,
    /// The effect of executing a request of the class twice.
    pub effect: EffectFile,
    /// How long duplicates of a request with an idempotency key are recognized, in milliseconds.
    #[serde(default = "repeat_ms")]
    pub repeat_ms: u64,
    /// The largest request body, in MB.
    #[serde(default = "body_mb")]
    pub body_mb: u64,
    /// Whether uploads of the class are resumable; requires `state`.
    #[serde(default)]
    pub resumable: bool,
}

fn late_part() -> f64 {
    0.5
}

fn repeat_ms() -> u64 {
    60_000
}

fn body_mb() -> u64 {
    4096
}

/// A tenant as given in the settings file, not checked yet.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "Customer", deny_unknown_fields)]
pub struct TenantFile {
    /// The value of the header field that names the tenant.
    pub name: String,
    /// The quota, in requests per second.
    pub quota: f64,
}

/// Defines a section of the settings file, whose keys all have defaults. The literal is the name of the section's type in
/// serde's messages.
macro_rules! defaults {
    (
        $(#[$outer:meta])* $name:ident, $serde_name:literal {
            $($(#[$inner:meta])* $key:ident: $kind:ty = $value:expr,)*
        }
    ) => {
        $(#[$outer])*
        #[derive(Clone, Debug, Deserialize)]
        #[serde(rename = $serde_name, deny_unknown_fields, default)]
        pub struct $name { $($(#[$inner])* pub $key: $kind,)* }

        impl Default for $name {
            fn default() -> Self {
                Self { $($key: $value,)* }
            }
        }
    };
}

defaults! {
    /// Limits of the server.
    Limits, "Limits" {
        /// The memory that the buffers of all streams share, in MB.
        memory_mb: u64 = 64,
        /// The least window of a stream, in KB. A request has two streams, one in each direction.
        floor_kb: u64 = 16,
        /// The largest window of a stream, in KB.
        window_kb: u64 = 1024,
        /// The kernel's send and receive buffer of a connection, each in KB; 0 keeps the system's defaults.
        socket_kb: u64 = 256,
        /// A window holds what its receiver takes in this time, in milliseconds.
        ahead_ms: u64 = 200,
        /// How many requests may transfer at the same time at the start, before the scheduler has learned how
        /// many the server can sustain.
        at_once: u32 = 64,
        /// The most connections of clients.
        connections: usize = 2000,
        /// The time after which an idle connection is closed, in milliseconds.
        idle_ms: u64 = 60_000,
        /// The time within which a client has to send the head of a request, in milliseconds.
        head_ms: u64 = 10_000,
        /// The timeout for connecting to an upstream, in milliseconds.
        connect_ms: u64 = 2000,
        /// The rate of the link to clients, in Mbit/s; 0 if the link is not scarce.
        link_mbit: f64 = 0.0,
        /// The most memory for all copies of request bodies together, which are kept for retries, in KB.
        spool_kb: u64 = 16_384,
        /// The most memory for the copy of one request body, in KB.
        spool_each_kb: u64 = 256,
        /// The most that is read and discarded of a refused body, in KB. Closing the connection with unread
        /// input would reset it, and the client would lose the response.
        rest_kb: u64 = 1024,
        /// How long a refused body is read, in milliseconds.
        rest_ms: u64 = 2000,
        /// The most memory for responses that are kept to answer duplicates of requests with an idempotency
        /// key, in KB.
        results_kb: u64 = 4096,
        /// The most disk space for the resumable uploads of one tenant, in MB.
        uploads_mb: u64 = 1024,
        /// The most disk space for all resumable uploads together, in MB.
        uploads_all_mb: u64 = 16_384,
        /// The time without received bytes after which an upload expires, in seconds.
        uploads_s: u64 = 86_400,
    }
}

defaults! {
    /// The progress that a stream has to make while memory is scarce.
    ProgressFile, "Progress" {
        /// The interval over which progress is measured, in milliseconds.
        span_ms: u64 = 5000,
        /// The fraction of the median bytes per interval that a stream has to transfer.
        part: f64 = 0.02,
        /// The least bytes per interval that a stream has to transfer, whatever the median.
        least: u64 = 1024,
        /// The number of consecutive intervals with too few bytes after which a stream is late.
        patience: u32 = 3,
    }
}

defaults! {
    /// The limits by which failing upstreams are ejected.
    OutlierFile, "LeaveOut" {
        /// The number of consecutive failures after which an upstream is ejected.
        failures: u32 = 3,
        /// The duration of an upstream's first ejection, in milliseconds.
        out_ms: u64 = 1000,
        /// The longest duration of an ejection, in milliseconds.
        out_most_ms: u64 = 60_000,
        /// The largest fraction of the upstreams that may be ejected at once.
        share: f64 = 0.5,
        /// The number of successes after which an upstream gets more than one request at a time again.
        proven: u32 = 3,
    }
}

defaults! {
    /// The retry budget, which successful requests fill.
    RetryFile, "Repeats" {
        /// The number of successful requests that pay for one retry.
        price: u32 = 5,
        /// The most retries that the budget holds.
        most: u32 = 20,
    }
}

defaults! {
    /// Content codings of bodies.
    CodingFile, "CodingFile" {
        /// The content codings of request bodies that upstreams accept, in addition to bodies without a coding.
        takes: Vec<String> = Vec::new(),
        /// The least length of a response that is encoded for clients that accept it, in KB; 0 turns encoding
        /// off.
        code_from_kb: u64 = 0,
        /// The largest ratio of a decoded body to its encoded form.
        ratio: f64 = 100.0,
        /// The decoded length that is allowed whatever the ratio, in KB.
        slack_kb: u64 = 1024,
    }
}

/// A request class, checked.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// The name of the class.
    pub name: String,
    methods: Vec<String>,
    paths: Vec<String>,
    /// The effect of executing a request of the class twice.
    pub effect: Effect,
    /// The utility of a response within the latency objective.
    pub utility: f64,
    /// Whether uploads of the class are resumable.
    pub resumable: bool,
    /// How requests of the class are forwarded.
    pub forwarding: ForwardingSettings,
}

/// The checked settings of a stream server.
#[derive(Clone, Debug)]
pub struct StreamSettings {
    /// The addresses to listen on for clients.
    pub listen: Vec<SocketAddr>,
    /// The addresses of the upstreams.
    pub upstreams: Vec<SocketAddr>,
    /// The directory of the upload archive, if there is one.
    pub upload_directory: Option<PathBuf>,
    /// The request classes, in the order in which they are matched.
    pub classes: Vec<ClassSettings>,
    /// The name of the header field that names the tenant of a request.
    pub tenant_field: Option<String>,
    /// The names of the tenants, by index.
    pub tenants: Vec<String>,
    /// The settings of the scheduling policy.
    pub scheduling: Settings,
    /// Limits of the server.
    pub limits: Limits,
    /// Limits of the memory that streams share.
    pub memory: MemoryLimits,
    /// Limits of the memory that connections hold.
    pub connection_memory: AccountLimits,
    /// The most memory for idempotency keys, in bytes.
    pub idempotency_key_bytes: usize,
    /// The progress that a stream has to make.
    pub progress: ProgressLimits,
    /// The limits by which failing upstreams are ejected.
    pub outlier_limits: UpstreamLimits,
    /// The retry budget.
    pub retries: RetryFile,
    /// Limits of resumable uploads.
    pub upload_limits: UploadLimits,
    /// How long after the shutdown signal the process is killed.
    pub shutdown_timeout: Duration,
}

fn millis(value: u64) -> Span {
    Span::from_millis(value)
}

impl SettingsFile {
    /// Checks the settings.
    ///
    /// # Errors
    /// The first setting that is not valid, by its key.
    pub fn check(self) -> Result<StreamSettings, SettingError> {
        for (key, empty) in [
            ("listen", self.listen.is_empty()),
            ("upstreams", self.upstreams.is_empty()),
            ("stages", self.stages.is_empty()),
        ] {
            if empty {
                return invalid(key, "is empty; at least one is expected");
            }
        }
        let limits = &self.limits;
        for (key, value) in [
            ("memory_mb", limits.memory_mb),
            ("floor_kb", limits.floor_kb),
            ("ahead_ms", limits.ahead_ms),
            ("at_once", u64::from(limits.at_once)),
            ("connections", limits.connections as u64),
            ("idle_ms", limits.idle_ms),
            ("head_ms", limits.head_ms),
            ("connect_ms", limits.connect_ms),
            ("uploads_s", limits.uploads_s),
        ] {
            if value == 0 {
                return invalid(format!("limits.{key}"), "is 0; at least 1 is expected");
            }
        }
        if limits.window_kb < limits.floor_kb {
            return invalid(
                "limits.window_kb",
                format!("is {}; at least floor_kb is expected", limits.window_kb),
            );
        }
        if limits.memory_mb * 512 < limits.floor_kb * 4 {
            return invalid(
                "limits.memory_mb",
                "has no room for the two floors (floor_kb, each way) of one stream",
            );
        }
        if !(limits.link_mbit >= 0.0 && limits.link_mbit.is_finite()) {
            return invalid("limits.link_mbit", format!("is {}; 0 or more is expected", limits.link_mbit));
        }
        let check_fraction = |key: &str, value: f64| match value > 0.0 && value <= 1.0 {
            true => Ok(()),
            false => invalid(key, format!("is {value}; above 0 and at most 1 is expected")),
        };
        check_fraction("progress.part", self.progress.part)?;
        check_fraction("leave_out.share", self.leave_out.share)?;
        if self.progress.span_ms == 0 || self.progress.patience == 0 {
            return invalid("progress", "has a span_ms or a patience of 0; at least 1 is expected");
        }
        if self.repeats.price == 0 {
            return invalid("repeats.price", "is 0; at least 1 is expected");
        }
        if self.coding.ratio.is_nan() || self.coding.ratio < 1.0 {
            return invalid("coding.ratio", format!("is {}; at least 1 is expected", self.coding.ratio));
        }
        if self.grace_ms >= self.stop_ms {
            return invalid("grace_ms", format!("is {}; less than stop_ms is expected", self.grace_ms));
        }
        let mut upstream_codings = vec![Coding::Identity];
        for (n, name) in self.coding.takes.iter().enumerate() {
            let coding = Coding::parse(name).filter(|coding| *coding != Coding::Identity);
            match coding {
                Some(coding) => upstream_codings.push(coding),
                None => {
                    return invalid(
                        format!("coding.takes[{n}]"),
                        format!("is {name:?}; gzip or zstd is expected"),
                    )
                }
            }
        }
        let mut classes: Vec<ClassSettings> = Vec::new();
        for (n, stage) in self.stages.iter().enumerate() {
            let class = stage.check(&format!("stages[{n}]"), &self, &upstream_codings)?;
            if classes.iter().any(|earlier| earlier.name == class.name) {
                return invalid(
                    format!("stages[{n}].name"),
                    format!("is {:?}, which is the name of an earlier stage", class.name),
                );
            }
            classes.push(class);
        }
        for (n, tenant) in self.customers.iter().enumerate() {
            if !(tenant.quota > 0.0 && tenant.quota.is_finite()) {
                let problem = format!("is {}; above 0 is expected", tenant.quota);
                return invalid(format!("customers[{n}].quota"), problem);
            }
        }
        if self.customer_field.is_none() && !self.customers.is_empty() {
            return invalid("customer_field", "is missing, but `customers` is set");
        }
        Ok(StreamSettings {
            scheduling: self.scheduling(),
            idempotency_key_bytes: ((limits.memory_mb << 20) / IDEMPOTENCY_KEYS_DIVISOR) as usize,
            // The half of the memory that is not reserved for floors is shared by connections and windows.
            connection_memory: AccountLimits {
                total: ((limits.memory_mb << 20) / 2) as usize,
                max_connections: limits.connections,
                per_connection: CONNECTION_BYTES,
                allowance: ALLOWANCE_BYTES,
            },
            memory: MemoryLimits {
                total: limits.memory_mb << 20,
                reserved: (limits.memory_mb << 20) / 2,
                floor: limits.floor_kb << 10,
                max_window: limits.window_kb << 10,
                lookahead: millis(limits.ahead_ms),
            },
            progress: ProgressLimits {
                interval: millis(self.progress.span_ms),
                median_fraction: self.progress.part,
                min_bytes: self.progress.least,
                max_short_intervals: self.progress.patience,
            },
            outlier_limits: UpstreamLimits {
                consecutive_failures: self.leave_out.failures.max(1),
                base_ejection_time: millis(self.leave_out.out_ms),
                max_ejection_time: millis(self.leave_out.out_most_ms),
                max_ejected_fraction: self.leave_out.share,
                probation_successes: self.leave_out.proven,
            },
            upload_limits: UploadLimits {
                tenant_bytes: limits.uploads_mb << 20,
                total_bytes: limits.uploads_all_mb << 20,
                record_bytes: (limits.memory_mb << 20) / UPLOAD_RECORDS_DIVISOR,
                expiry_secs: limits.uploads_s,
            },
            listen: self.listen,
            upstreams: self.upstreams,
            upload_directory: self.state,
            classes,
            tenant_field: self.customer_field,
            tenants: self.customers.into_iter().map(|tenant| tenant.name).collect(),
            limits: self.limits,
            retries: self.repeats,
            shutdown_timeout: Duration::from_millis(self.stop_ms),
        })
    }

    /// The settings of the scheduling policy. A core stands for one request that transfers bytes; a request
    /// that waits for a peer occupies none. The memory of a request is its two floors.
    fn scheduling(&self) -> Settings {
        let mut classes: Vec<RequestClass> = self.stages.iter().map(ClassFile::request_class).collect();
        // The class of requests that only query the state of an upload, which take practically no time. Its latency
        // objective also bounds the interval of the scheduler's timer.
        classes.push(RequestClass {
            utility: self.stages.iter().map(|stage| stage.utility).fold(0.0, f64::max),
            late_utility_fraction: 0.0,
            latency_objective: millis(1000),
            deadline: millis(5000),
            effect: Effect::Idempotent,
            deduplication_window: Span::ZERO,
            calls_downstream: false,
            degraded_utility_fraction: 0.0,
        });
        Settings {
            cores: self.limits.at_once,
            // 512 KB per MB: floors come from the half of the memory that is reserved for them.
            memory_kb: (self.limits.memory_mb * 512) as f64,
            running_memory_factor: 1.0,
            idempotency_key_kb: 0.1,
            cold_start: false,
            cold_capacity_fraction: 1.0,
            warmup_time: Span::from_millis(1),
            // Practically no limit: memory limits the number of running requests, and a request that waits
            // for a peer holds nothing else.
            max_running_per_core: 65_536.0,
            drain_grace: millis(self.grace_ms),
            classes,
            tenant_quotas: self.customers.iter().map(|tenant| tenant.quota).collect(),
            over_quota_utility_fraction: 0.1,
            utility_per_work: false,
            backends: 1,
            callers: 1,
            tier_depth: 0,
            downstream: Downstream::Peers,
            stoppable: false,
            capacity_format: CapacityFormat::None,
            capacity_ttl: millis(1000),
            client_idle_timeout: Span::ZERO,
            coalescing_window: Span::ZERO,
            max_retry_after: millis(30_000),
        }
    }
}

impl ClassFile {
    fn effect(&self) -> Effect {
        match self.effect {
            EffectFile::Restartable => Effect::Idempotent,
            EffectFile::Fingerprinted => Effect::Deduplicated,
            EffectFile::SideEffecting => Effect::NonIdempotent,
        }
    }

    fn request_class(&self) -> RequestClass {
        RequestClass {
            utility: self.utility,
            late_utility_fraction: self.late_part,
            latency_objective: millis(self.due_ms),
            deadline: millis(self.limit_ms),
            // The scheduler does not retry requests by itself. The proxy decides on a retry by how much of
            // the request was sent.
            effect: match self.effect() {
                Effect::Deduplicated => Effect::Deduplicated,
                _ => Effect::NonIdempotent,
            },
            deduplication_window: millis(self.repeat_ms),
            calls_downstream: true,
            degraded_utility_fraction: 0.0,
        }
    }

    fn check(
        &self,
        key: &str,
        file: &SettingsFile,
        upstream_codings: &[Coding],
    ) -> Result<ClassSettings, SettingError> {
        if self.name.is_empty() {
            return invalid(format!("{key}.name"), "is empty");
        }
        if !(self.utility > 0.0 && self.utility.is_finite()) {
            return invalid(format!("{key}.utility"), format!("is {}; above 0 is expected", self.utility));
        }
        if !(0.0..=1.0).contains(&self.late_part) {
            return invalid(format!("{key}.late_part"), format!("is {}; 0 to 1 is expected", self.late_part));
        }
        if self.due_ms == 0 || self.limit_ms < self.due_ms {
            let problem =
                format!("is {}; due_ms above 0 and limit_ms of at least due_ms are expected", self.limit_ms);
            return invalid(format!("{key}.limit_ms"), problem);
        }
        if let Some(n) = self.paths.iter().position(|path| !path.starts_with('/')) {
            let problem = format!("is {:?}; a path that begins with a slash is expected", self.paths[n]);
            return invalid(format!("{key}.paths[{n}]"), problem);
        }
        if self.resumable && file.state.is_none() {
            return invalid(format!("{key}.resumable"), "is set, but `state` is missing");
        }
        let effect = self.effect();
        Ok(ClassSettings {
            name: self.name.clone(),
            methods: self.methods.clone(),
            paths: self.paths.clone(),
            effect,
            utility: self.utility,
            resumable: self.resumable,
            forwarding: ForwardingSettings {
                max_body_bytes: self.body_mb << 20,
                upstream_codings: upstream_codings.to_vec(),
                min_encoded_bytes: Some(file.coding.code_from_kb << 10).filter(|from| *from > 0),
                growth_limit: GrowthLimit {
                    max_ratio: file.coding.ratio,
                    always_allowed_bytes: file.coding.slack_kb << 10,
                },
                keeps_body_copy: effect == Effect::Idempotent && file.limits.spool_each_kb > 0,
                fingerprints_content: effect == Effect::Deduplicated,
                max_response_copy_bytes: if effect == Effect::Deduplicated {
                    MAX_RESPONSE_COPY_BYTES
                } else {
                    0
                },
            },
        })
    }
}

/// The part of the memory for idempotency keys is one over this.
const IDEMPOTENCY_KEYS_DIVISOR: u64 = 8;

/// The part of the memory for the records of uploads is one over this.
const UPLOAD_RECORDS_DIVISOR: u64 = 8;

/// The longest response, in bytes, that is kept to answer duplicates of a request with an idempotency key.
pub(crate) const MAX_RESPONSE_COPY_BYTES: usize = 64 * 1024;

impl ClassSettings {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|listed| listed == method);
        method_matches
            && (self.paths.is_empty() || self.paths.iter().any(|prefix| path.starts_with(prefix.as_str())))
    }
}

impl StreamSettings {
    /// The index of the class that matches a request.
    ///
    /// # Errors
    /// [`MessageError::NoMatchingClass`] if none does.
    pub fn class(&self, request: &RequestHead) -> Result<usize, MessageError> {
        self.class_for(&request.method, request.path())
    }

    /// The index of the class that matches this method and path.
    ///
    /// # Errors
    /// [`MessageError::NoMatchingClass`] if none does.
    pub fn class_for(&self, method: &str, path: &str) -> Result<usize, MessageError> {
        self.classes.iter().position(|class| class.matches(method, path)).ok_or(MessageError::NoMatchingClass)
    }

    /// The index of the class of requests that only query an upload.
    pub fn upload_query_class(&self) -> usize {
        self.classes.len()
    }

    /// The index of the tenant of a request. A tenant that is not in the settings has no quota of its own:
    /// its requests are treated as requests without a tenant.
    pub fn tenant(&self, request: &RequestHead) -> Option<usize> {
        let name = self.tenant_name(request)?;
        self.tenants.iter().position(|tenant| tenant.as_bytes() == name)
    }

    /// The name of the tenant as a request gives it, whether or not the settings list the tenant.
    pub fn tenant_name<'a>(&self, request: &'a RequestHead) -> Option<&'a [u8]> {
        request.field(self.tenant_field.as_deref()?)
    }
}
