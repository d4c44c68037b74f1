//! What a stream server is told: decoded, checked and given defaults here and nowhere else.

use crate::http::{MessageError, RequestHead};
use crate::proxied_request::ForwardingSettings;
use lynxtally::{CapacityFormat, Downstream, Effect, RequestClass, Settings, Span};
use lynxtally_flow::coding::{Coding, Growth};
use lynxtally_flow::uploads::UploadLimits;
use lynxtally_flow::{PoolLimits, ProgressLimits, UpstreamLimits};
use lynxtally_settings::SettingError;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

fn fault<T>(key: impl Into<String>, what: impl Into<String>) -> Result<T, SettingError> {
    Err(SettingError::new(key, what))
}

/// The settings as they stand.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Where clients come.
    pub listen: Vec<SocketAddr>,
    /// Where their streams are passed on to.
    pub upstreams: Vec<SocketAddr>,
    /// A folder that lasts, for uploads that are gone on with; without one there are none.
    pub state: Option<PathBuf>,
    /// The stages; the first that fits takes a stream.
    pub stages: Vec<StageFile>,
    /// The field that names a customer.
    pub customer_field: Option<String>,
    /// The customers.
    #[serde(default)]
    pub customers: Vec<Customer>,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
    /// What progress is owed.
    #[serde(default)]
    pub progress: Progress,
    /// When an upstream is left out.
    #[serde(default)]
    pub leave_out: LeaveOut,
    /// What repeats cost.
    #[serde(default)]
    pub repeats: Repeats,
    /// How bodies are coded.
    #[serde(default)]
    pub coding: CodingFile,
    /// How long after the notice to leave the program is killed, in milliseconds.
    #[serde(default = "stop_ms")]
    pub stop_ms: u64,
    /// What arrives later than this after the notice is not run, in milliseconds.
    #[serde(default = "grace_ms")]
    pub grace_ms: u64,
}

fn stop_ms() -> u64 {
    20_000
}

fn grace_ms() -> u64 {
    2500
}

/// What may happen when something is done twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectFile {
    /// It may be done again.
    Restartable,
    /// It carries a mark by which a repeat is known.
    Fingerprinted,
    /// It must not be done twice.
    SideEffecting,
}

/// A stage.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StageFile {
    /// Its name.
    pub name: String,
    /// The methods that it takes; all where none is named.
    #[serde(default)]
    pub methods: Vec<String>,
    /// How the paths that it takes begin; all where none is named.
    #[serde(default)]
    pub paths: Vec<String>,
    /// What an answer in time earns.
    pub utility: f64,
    /// The part of that which a later one earns.
    #[serde(default = "late_part")]
    pub late_part: f64,
    /// When the whole answer is wanted, in milliseconds.
    pub due_ms: u64,
    /// When the client gives up, in milliseconds.
    pub limit_ms: u64,
    /// What may happen when it is done twice.
    pub effect: EffectFile,
    /// How long a fingerprinted one may come again, in milliseconds.
    #[serde(default = "repeat_ms")]
    pub repeat_ms: u64,
    /// The largest body, in MB.
    #[serde(default = "body_mb")]
    pub body_mb: u64,
    /// Whether uploads that broke off can be gone on with; needs `state`.
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

/// A customer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Its name in the field.
    pub name: String,
    /// Its quota, in streams a second.
    pub quota: f64,
}

macro_rules! defaults {
    ($(#[$outer:meta])* $name:ident { $($(#[$inner:meta])* $key:ident: $kind:ty = $value:expr,)* }) => {
        $(#[$outer])*
        #[derive(Clone, Debug, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name { $($(#[$inner])* pub $key: $kind,)* }

        impl Default for $name {
            fn default() -> Self {
                Self { $($key: $value,)* }
            }
        }
    };
}

defaults! {
    /// Bounds of the program.
    Limits {
        /// Memory for all streams together, in MB.
        memory_mb: u64 = 64,
        /// What every stream has of it in any case, each way, in KB.
        floor_kb: u64 = 16,
        /// The most that one may have each way, in KB.
        window_kb: u64 = 1024,
        /// What the system holds for one connection, each way, in KB; 0 leaves it to the system.
        socket_kb: u64 = 256,
        /// A window holds what a receiver takes in this time, in milliseconds.
        ahead_ms: u64 = 200,
        /// So many streams that move are let in before it is learned how many do well.
        at_once: u32 = 64,
        /// Connections of clients.
        connections: usize = 2000,
        /// A connection that carries nothing is closed after so long, in milliseconds.
        idle_ms: u64 = 60_000,
        /// So long a head may take, in milliseconds.
        head_ms: u64 = 10_000,
        /// So long a connection to an upstream may take, in milliseconds.
        connect_ms: u64 = 2000,
        /// What the link to clients carries, in Mbit/s; 0 where it is not scarce.
        link_mbit: f64 = 0.0,
        /// What is kept of bodies that may have to be sent again: of all and of one, in KB.
        spool_kb: u64 = 16_384,
        /// Of one.
        spool_each_kb: u64 = 256,
        /// Of a body that was refused so much is read at most, so that its sender sees why, in KB.
        rest_kb: u64 = 1024,
        /// And for so long, in milliseconds.
        rest_ms: u64 = 2000,
        /// Answers of fingerprinted streams that are kept for repeats, in KB.
        results_kb: u64 = 4096,
        /// Uploads that can be gone on with: of one customer, in MB.
        uploads_mb: u64 = 1024,
        /// And of all.
        uploads_all_mb: u64 = 16_384,
        /// One that nobody goes on with is forgotten after so long, in seconds.
        uploads_s: u64 = 86_400,
    }
}

defaults! {
    /// What progress is owed while memory is scarce.
    Progress {
        /// Over this span, in milliseconds.
        span_ms: u64 = 5000,
        /// This part of what streams move in the middle.
        part: f64 = 0.02,
        /// And so many octets in any case.
        least: u64 = 1024,
        /// So many spans in a row may fall short.
        patience: u32 = 3,
    }
}

defaults! {
    /// When an upstream is left out.
    LeaveOut {
        /// After so many failures in a row.
        failures: u32 = 3,
        /// For so long the first time, in milliseconds.
        out_ms: u64 = 1000,
        /// And never for longer than this.
        out_most_ms: u64 = 60_000,
        /// Never more than this share of them at once.
        share: f64 = 0.5,
        /// Back for good after so many good streams, one at a time.
        proven: u32 = 3,
    }
}

defaults! {
    /// What repeats cost.
    Repeats {
        /// Good streams that pay for one.
        price: u32 = 5,
        /// So many are saved up at most.
        most: u32 = 20,
    }
}

defaults! {
    /// How bodies are coded.
    CodingFile {
        /// The codings that upstreams take for what goes up, beside none.
        takes: Vec<String> = Vec::new(),
        /// Answers from this length on are coded for clients that like it, in KB; 0 means never.
        code_from_kb: u64 = 0,
        /// A coded body may become so many times as long.
        ratio: f64 = 100.0,
        /// Or so long in any case, in KB.
        slack_kb: u64 = 1024,
    }
}

/// A stage, checked.
#[derive(Clone, Debug)]
pub struct Stage {
    /// Its name.
    pub name: String,
    methods: Vec<String>,
    paths: Vec<String>,
    /// What may happen when it is done twice.
    pub effect: Effect,
    /// What an answer in time earns.
    pub utility: f64,
    /// Whether uploads can be gone on with.
    pub resumable: bool,
    /// What its streams are given.
    pub plan: ForwardingSettings,
}

/// All settings, checked.
#[derive(Clone, Debug)]
pub struct Checked {
    /// Where clients come.
    pub listen: Vec<SocketAddr>,
    /// The upstreams.
    pub upstreams: Vec<SocketAddr>,
    /// The folder that lasts.
    pub state: Option<PathBuf>,
    /// The stages.
    pub stages: Vec<Stage>,
    /// The field that names a customer, and their names.
    pub customer_field: Option<String>,
    /// The customers' names.
    pub customers: Vec<String>,
    /// What the module is told.
    pub policy: Settings,
    /// Bounds.
    pub limits: Limits,
    /// Memory for streams.
    pub pool: PoolLimits,
    /// What progress is owed.
    pub progress: ProgressLimits,
    /// When an upstream is left out.
    pub leave_out: UpstreamLimits,
    /// What repeats cost.
    pub repeats: Repeats,
    /// What uploads that can be gone on with are held to.
    pub uploads: UploadLimits,
    /// How long after the notice to leave the program is killed.
    pub stop: Duration,
}

fn ms(value: u64) -> Span {
    Span::from_millis(value)
}

impl File {
    /// Checks all.
    pub fn check(self) -> Result<Checked, SettingError> {
        for (key, empty) in [
            ("listen", self.listen.is_empty()),
            ("upstreams", self.upstreams.is_empty()),
            ("stages", self.stages.is_empty()),
        ] {
            if empty {
                return fault(key, "is empty; at least one is expected");
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
                return fault(format!("limits.{key}"), "is 0; at least 1 is expected");
            }
        }
        if limits.window_kb < limits.floor_kb {
            return fault(
                "limits.window_kb",
                format!("is {}; at least floor_kb is expected", limits.window_kb),
            );
        }
        if limits.memory_mb * 512 < limits.floor_kb * 4 {
            return fault("limits.memory_mb", "has no room for one stream's two floors");
        }
        if !(limits.link_mbit >= 0.0 && limits.link_mbit.is_finite()) {
            return fault("limits.link_mbit", format!("is {}; 0 or more is expected", limits.link_mbit));
        }
        let part = |key: &str, value: f64| match value > 0.0 && value <= 1.0 {
            true => Ok(()),
            false => fault(key, format!("is {value}; above 0 and at most 1 is expected")),
        };
        part("progress.part", self.progress.part)?;
        part("leave_out.share", self.leave_out.share)?;
        if self.progress.span_ms == 0 || self.progress.patience == 0 {
            return fault("progress", "has a span or a patience of 0; at least 1 is expected");
        }
        if self.repeats.price == 0 {
            return fault("repeats.price", "is 0; at least 1 is expected");
        }
        if self.coding.ratio.is_nan() || self.coding.ratio < 1.0 {
            return fault("coding.ratio", format!("is {}; at least 1 is expected", self.coding.ratio));
        }
        if self.grace_ms >= self.stop_ms {
            return fault("grace_ms", format!("is {}; less than stop_ms is expected", self.grace_ms));
        }
        let mut takes = vec![Coding::Identity];
        for (n, name) in self.coding.takes.iter().enumerate() {
            let coding = Coding::parse(name).filter(|coding| *coding != Coding::Identity);
            match coding {
                Some(coding) => takes.push(coding),
                None => {
                    return fault(
                        format!("coding.takes[{n}]"),
                        format!("is {name:?}; gzip or zstd is expected"),
                    )
                }
            }
        }
        let mut stages: Vec<Stage> = Vec::new();
        for (n, stage) in self.stages.iter().enumerate() {
            let stage = stage.check(&format!("stages[{n}]"), &self, &takes)?;
            if stages.iter().any(|other| other.name == stage.name) {
                return fault(
                    format!("stages[{n}].name"),
                    format!("is {:?}, which stands above too", stage.name),
                );
            }
            stages.push(stage);
        }
        for (n, customer) in self.customers.iter().enumerate() {
            if !(customer.quota > 0.0 && customer.quota.is_finite()) {
                let what = format!("is {}; above 0 is expected", customer.quota);
                return fault(format!("customers[{n}].quota"), what);
            }
        }
        if self.customer_field.is_none() && !self.customers.is_empty() {
            return fault("customer_field", "is missing, and there are customers");
        }
        Ok(Checked {
            policy: self.policy(),
            pool: PoolLimits {
                total: limits.memory_mb << 20,
                reserved: (limits.memory_mb << 20) / 2,
                floor: limits.floor_kb << 10,
                most: limits.window_kb << 10,
                ahead: ms(limits.ahead_ms),
            },
            progress: ProgressLimits {
                span: ms(self.progress.span_ms),
                part: self.progress.part,
                least: self.progress.least,
                patience: self.progress.patience,
            },
            leave_out: UpstreamLimits {
                consecutive_failures: self.leave_out.failures.max(1),
                base_ejection_time: ms(self.leave_out.out_ms),
                max_ejection_time: ms(self.leave_out.out_most_ms),
                max_ejected_fraction: self.leave_out.share,
                probation_successes: self.leave_out.proven,
            },
            uploads: UploadLimits {
                each: limits.uploads_mb << 20,
                all: limits.uploads_all_mb << 20,
                keep: limits.uploads_s,
            },
            listen: self.listen,
            upstreams: self.upstreams,
            state: self.state,
            stages,
            customer_field: self.customer_field,
            customers: self.customers.into_iter().map(|customer| customer.name).collect(),
            limits: self.limits,
            repeats: self.repeats,
            stop: Duration::from_millis(self.stop_ms),
        })
    }

    /// What the module is told. A core is a place for one stream that moves; one that waits for a peer holds none. A
    /// stream's memory is its two floors.
    fn policy(&self) -> Settings {
        let mut stages: Vec<RequestClass> = self.stages.iter().map(StageFile::told).collect();
        // What only asks about an upload takes no time; it also sets the pace of the module's timer.
        stages.push(RequestClass {
            utility: self.stages.iter().map(|stage| stage.utility).fold(0.0, f64::max),
            late_utility_fraction: 0.0,
            latency_objective: ms(1000),
            deadline: ms(5000),
            effect: Effect::Idempotent,
            deduplication_window: Span::ZERO,
            calls_downstream: false,
            degraded_utility_fraction: 0.0,
        });
        Settings {
            cores: self.limits.at_once,
            // Floors come from the half of the memory that is reserved for them.
            memory_kb: (self.limits.memory_mb * 512) as f64,
            running_memory_factor: 1.0,
            idempotency_key_kb: 0.1,
            cold_start: false,
            cold_capacity_fraction: 1.0,
            warmup_time: Span::from_millis(1),
            // Memory bounds how many there are: what waits holds nothing else.
            max_running_per_core: 65_536.0,
            drain_grace: ms(self.grace_ms),
            classes: stages,
            tenant_quotas: self.customers.iter().map(|customer| customer.quota).collect(),
            over_quota_utility_fraction: 0.1,
            utility_per_work: false,
            backends: 1,
            callers: 1,
            tier_depth: 0,
            downstream: Downstream::Peers,
            stoppable: false,
            capacity_format: CapacityFormat::None,
            capacity_ttl: ms(1000),
            client_idle_timeout: Span::ZERO,
            coalescing_window: Span::ZERO,
            max_retry_after: ms(30_000),
        }
    }
}

impl StageFile {
    fn effect(&self) -> Effect {
        match self.effect {
            EffectFile::Restartable => Effect::Idempotent,
            EffectFile::Fingerprinted => Effect::Deduplicated,
            EffectFile::SideEffecting => Effect::NonIdempotent,
        }
    }

    fn told(&self) -> RequestClass {
        RequestClass {
            utility: self.utility,
            late_utility_fraction: self.late_part,
            latency_objective: ms(self.due_ms),
            deadline: ms(self.limit_ms),
            // The module does not repeat a stream by itself: whether one may be repeated is judged by how far it came.
            effect: match self.effect() {
                Effect::Deduplicated => Effect::Deduplicated,
                _ => Effect::NonIdempotent,
            },
            deduplication_window: ms(self.repeat_ms),
            calls_downstream: true,
            degraded_utility_fraction: 0.0,
        }
    }

    fn check(&self, at: &str, file: &File, takes: &[Coding]) -> Result<Stage, SettingError> {
        if self.name.is_empty() {
            return fault(format!("{at}.name"), "is empty");
        }
        if !(self.utility > 0.0 && self.utility.is_finite()) {
            return fault(format!("{at}.utility"), format!("is {}; above 0 is expected", self.utility));
        }
        if !(0.0..=1.0).contains(&self.late_part) {
            return fault(format!("{at}.late_part"), format!("is {}; 0 to 1 is expected", self.late_part));
        }
        if self.due_ms == 0 || self.limit_ms < self.due_ms {
            let what = format!("is {}; at least due_ms, and that above 0, is expected", self.limit_ms);
            return fault(format!("{at}.limit_ms"), what);
        }
        if let Some(n) = self.paths.iter().position(|path| !path.starts_with('/')) {
            let what = format!("is {:?}; a path that begins with a slash is expected", self.paths[n]);
            return fault(format!("{at}.paths[{n}]"), what);
        }
        if self.resumable && file.state.is_none() {
            return fault(format!("{at}.resumable"), "is set, but there is no `state` folder");
        }
        let effect = self.effect();
        Ok(Stage {
            name: self.name.clone(),
            methods: self.methods.clone(),
            paths: self.paths.clone(),
            effect,
            utility: self.utility,
            resumable: self.resumable,
            plan: ForwardingSettings {
                max_body_bytes: self.body_mb << 20,
                upstream_codings: takes.to_vec(),
                min_encoded_bytes: Some(file.coding.code_from_kb << 10).filter(|from| *from > 0),
                growth_limit: Growth { ratio: file.coding.ratio, slack: file.coding.slack_kb << 10 },
                keeps_body_copy: effect == Effect::Idempotent && file.limits.spool_each_kb > 0,
                max_response_copy_bytes: if effect == Effect::Deduplicated { COPY_MOST } else { 0 },
            },
        })
    }
}

/// The longest answer that is kept for repeats, in octets.
const COPY_MOST: usize = 64 * 1024;

impl Stage {
    fn takes(&self, method: &str, path: &str) -> bool {
        let fits = self.methods.is_empty() || self.methods.iter().any(|own| own == method);
        fits && (self.paths.is_empty() || self.paths.iter().any(|own| path.starts_with(own.as_str())))
    }
}

impl Checked {
    /// The stage that takes a stream.
    pub fn stage(&self, asked: &RequestHead) -> Result<usize, MessageError> {
        self.stage_of(&asked.method, asked.path())
    }

    /// The stage that takes a stream of this method and path.
    pub fn stage_of(&self, method: &str, path: &str) -> Result<usize, MessageError> {
        self.stages.iter().position(|stage| stage.takes(method, path)).ok_or(MessageError::NoMatchingClass)
    }

    /// The stage of what only asks about an upload.
    pub fn asking(&self) -> usize {
        self.stages.len()
    }

    /// The customer that a stream is of. One that is not known has no share of its own, and is none.
    pub fn customer(&self, asked: &RequestHead) -> Option<usize> {
        let name = asked.field(self.customer_field.as_deref()?)?;
        self.customers.iter().position(|own| own.as_bytes() == name)
    }
}
