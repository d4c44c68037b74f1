//! The settings object that a backend is given when it starts, the same JSON on the simulator's wire and in
//! the configuration of a node. It is read, checked and given its defaults here and nowhere else.
//!
//! ```
//! let text = r#"{
//!     "lanes":[{"name":"a","importance":1,"promise-ms":900,"deadline-ms":2000,"idempotency":"pure"}],
//!     "rules":{"cold-share":0.2,"drain-grace-ms":1000,"fall-multiple":6,"warm-after-ms":9000},
//!     "specifics":{"cores":0,"blowup":4,"ram-kb":9000}
//! }"#;
//! let fault = lynxtally_settings::read(serde_json::from_str(text).unwrap()).unwrap_err();
//! assert_eq!(fault.to_string(), "`specifics.cores` is 0; at least 1 is expected");
//! ```

#![forbid(unsafe_code)]

use lynxtally::{CapacityFormat, Downstream, Effect, Instant, RequestClass, Settings, Span};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A time as it stands in messages and settings, in milliseconds with fractions.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Millis(pub f64);

impl Millis {
    /// As a point on the clock.
    pub fn instant(self) -> Instant {
        Instant::from_micros((self.0 * 1000.0).round().max(0.0) as u64)
    }

    /// As a length of time.
    pub fn span(self) -> Span {
        Span::from_micros((self.0 * 1000.0).round().max(0.0) as u64)
    }
}

impl From<Span> for Millis {
    fn from(span: Span) -> Self {
        Self(span.micros() as f64 / 1000.0)
    }
}

/// What is wrong with a settings object: the key by its path, and what was expected there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key's path, empty where the object as a whole is meant.
    pub path: String,
    /// What is wrong with it.
    pub what: String,
}

impl Fault {
    /// A fault of one key.
    pub fn new(path: impl Into<String>, what: impl Into<String>) -> Self {
        Self { path: path.into(), what: what.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.path.as_str() {
            "" | "." => f.write_str(&self.what),
            path => write!(f, "`{path}` {}", self.what),
        }
    }
}

impl std::error::Error for Fault {}

/// The settings in the project's words, and the names behind its indices.
#[derive(Clone, Debug, PartialEq)]
pub struct Declared {
    /// What the module is given.
    pub settings: Settings,
    /// The stages' names, in the order of their indices.
    pub stages: Vec<String>,
    /// The customers' names, in the order of their indices.
    pub customers: Vec<String>,
    /// The names of the gauges, in the order in which they are told.
    pub gauges: Vec<String>,
    /// Whether a run that is stopped keeps what it did.
    pub pauses: bool,
}

/// Reads JSON into a value; a fault names the key by its path.
pub fn decode<'de, T: Deserialize<'de>>(
    json: impl serde::Deserializer<'de, Error = serde_json::Error>,
) -> Result<T, Fault> {
    serde_path_to_error::deserialize(json).map_err(|fault| {
        let path = fault.path().to_string();
        Fault::new(path, format!("cannot be read: {}", plain(fault.inner())))
    })
}

/// What serde has against a text, without its own count of lines.
pub fn plain(fault: &serde_json::Error) -> String {
    let text = fault.to_string();
    match text.rsplit_once(" at line ") {
        Some((what, _)) => what.to_owned(),
        None => text,
    }
}

/// Reads and checks a settings object. Unknown keys are ignored.
pub fn read(json: serde_json::Value) -> Result<Declared, Fault> {
    let profile: Profile = decode(json)?;
    profile.check()?;
    Ok(profile.declare())
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Profile {
    lanes: Vec<Lane>,
    #[serde(default)]
    orgs: Vec<Org>,
    specifics: Specifics,
    rules: Rules,
    allowed: Option<Allowed>,
    #[serde(default = "one")]
    over_share_worth: f64,
    servers: Option<u32>,
    #[serde(default)]
    tier: u32,
    worth_by: Option<WorthBy>,
}

/// What worth is counted by.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WorthBy {
    Request,
    Work,
}

/// What calls go to. `silent`, as in the enums below: nothing.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CallsTo {
    Silent,
    Shared,
    Tier,
}

/// How callers take the free value.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Says {
    Silent,
    Level,
    Credit,
    Weight,
}

/// What becomes of a run that is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StopMode {
    Silent,
    Drop,
    Pause,
}

fn one() -> f64 {
    1.0
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Lane {
    name: String,
    importance: f64,
    #[serde(default)]
    late_worth: f64,
    promise_ms: Millis,
    deadline_ms: Millis,
    idempotency: Idempotency,
    #[serde(default)]
    dedup_window_ms: Millis,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Idempotency {
    Pure,
    Token,
    SideEffect,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Org {
    name: String,
    quota_per_s: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Allowed {
    #[serde(default)]
    max_retry_after_ms: Millis,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    cold_share: f64,
    drain_grace_ms: Millis,
    fall_multiple: f64,
    warm_after_ms: Millis,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Specifics {
    below: Option<CallsTo>,
    blowup: f64,
    #[serde(default)]
    calls_out: f64,
    #[serde(default)]
    calls_over_ms: Millis,
    #[serde(default)]
    class_calls: Vec<bool>,
    #[serde(default)]
    class_skip_worth: Vec<f64>,
    #[serde(default)]
    cold: bool,
    cores: u32,
    #[serde(default)]
    gauges: Vec<String>,
    #[serde(default)]
    heeded_ms: Millis,
    #[serde(default)]
    idle_ms: Millis,
    #[serde(default)]
    kb_per_key: f64,
    #[serde(default)]
    linger_ms: Millis,
    ram_kb: f64,
    say: Option<Says>,
    #[serde(default)]
    share_for_ms: Millis,
    stop_mode: Option<StopMode>,
    upstreams: Option<u32>,
}

impl Profile {
    fn check(&self) -> Result<(), Fault> {
        let own = &self.specifics;
        let at_least_one = |path: &str| Fault::new(path, "is 0; at least 1 is expected");
        if own.cores == 0 {
            return Err(at_least_one("specifics.cores"));
        }
        for (path, value) in [("specifics.ram-kb", own.ram_kb), ("specifics.blowup", own.blowup)] {
            if value <= 0.0 {
                return Err(Fault::new(path, format!("is {value}; a number above 0 is expected")));
            }
        }
        if self.lanes.is_empty() {
            return Err(Fault::new("lanes", "is empty; at least one is expected"));
        }
        for (at, lane) in self.lanes.iter().enumerate() {
            if lane.name.is_empty() || lane.name.contains(|c: char| c.is_whitespace() || c == '/') {
                let what = format!("is {:?}; one word without slashes is expected", lane.name);
                return Err(Fault::new(format!("lanes[{at}].name"), what));
            }
            for (key, value) in [("promise-ms", lane.promise_ms), ("deadline-ms", lane.deadline_ms)] {
                if value.span() == Span::ZERO {
                    let what = format!("is {}; a time above 0 is expected", value.0);
                    return Err(Fault::new(format!("lanes[{at}].{key}"), what));
                }
            }
            // Without it each repeat would look new, and its effect would come twice.
            if matches!(lane.idempotency, Idempotency::Token) && lane.dedup_window_ms.span() == Span::ZERO {
                let what = "is missing or 0; a time above 0 is expected where `idempotency` is \"token\"";
                return Err(Fault::new(format!("lanes[{at}].dedup-window-ms"), what));
            }
        }
        if own.below == Some(CallsTo::Shared) {
            let over = own.calls_over_ms.0;
            for (path, value) in [("specifics.calls-out", own.calls_out), ("specifics.calls-over-ms", over)] {
                if value <= 0.0 {
                    let what =
                        "is missing or 0; a number above 0 is expected where `specifics.below` is \"shared\"";
                    return Err(Fault::new(path, what));
                }
            }
        }
        for (path, given) in [
            ("specifics.class-calls", own.class_calls.len()),
            ("specifics.class-skip-worth", own.class_skip_worth.len()),
        ] {
            if given != 0 && given != self.lanes.len() {
                let what =
                    format!("has {given} entries; one for each of {} `lanes` is expected", self.lanes.len());
                return Err(Fault::new(path, what));
            }
        }
        Ok(())
    }

    fn declare(self) -> Declared {
        let Self { lanes, orgs, specifics: own, rules, allowed, over_share_worth, servers, tier, worth_by } =
            self;
        let stage = |(at, lane): (usize, &Lane)| RequestClass {
            utility: lane.importance,
            late_utility_fraction: lane.late_worth,
            latency_objective: lane.promise_ms.span(),
            deadline: lane.deadline_ms.span(),
            effect: match lane.idempotency {
                Idempotency::Pure => Effect::Idempotent,
                Idempotency::Token => Effect::Deduplicated,
                Idempotency::SideEffect => Effect::NonIdempotent,
            },
            deduplication_window: lane.dedup_window_ms.span(),
            calls_downstream: own.class_calls.get(at).copied().unwrap_or(false),
            degraded_utility_fraction: own.class_skip_worth.get(at).copied().unwrap_or(0.0),
        };
        let settings = Settings {
            cores: own.cores,
            memory_kb: own.ram_kb,
            running_memory_factor: own.blowup,
            idempotency_key_kb: own.kb_per_key,
            cold_start: own.cold,
            cold_capacity_fraction: rules.cold_share,
            warmup_time: rules.warm_after_ms.span(),
            max_running_per_core: rules.fall_multiple,
            drain_grace: rules.drain_grace_ms.span(),
            classes: lanes.iter().enumerate().map(stage).collect(),
            tenant_quotas: orgs.iter().map(|org| org.quota_per_s).collect(),
            over_quota_utility_fraction: over_share_worth,
            utility_per_work: worth_by == Some(WorthBy::Work),
            backends: servers.unwrap_or(1),
            callers: own.upstreams.unwrap_or(1),
            tier_depth: tier,
            downstream: match own.below {
                Some(CallsTo::Shared) => Downstream::Shared {
                    concurrent_calls: own.calls_out,
                    averaging_window: own.calls_over_ms.span(),
                    cancellation_lag: own.linger_ms.span(),
                },
                Some(CallsTo::Tier) => Downstream::Tier,
                Some(CallsTo::Silent) | None => Downstream::None,
            },
            stoppable: matches!(own.stop_mode, Some(StopMode::Drop | StopMode::Pause)),
            capacity_format: match own.say {
                Some(Says::Level) => CapacityFormat::Threshold,
                Some(Says::Credit) => CapacityFormat::Credits,
                Some(Says::Weight) => CapacityFormat::Weight,
                Some(Says::Silent) | None => CapacityFormat::None,
            },
            capacity_ttl: own.heeded_ms.span(),
            client_idle_timeout: own.idle_ms.span(),
            coalescing_window: own.share_for_ms.span(),
            max_retry_after: allowed
                .filter(|a| a.retry_after)
                .map_or(Span::ZERO, |a| a.max_retry_after_ms.span()),
        };
        Declared {
            settings,
            stages: lanes.into_iter().map(|lane| lane.name).collect(),
            customers: orgs.into_iter().map(|org| org.name).collect(),
            gauges: own.gauges,
            pauses: own.stop_mode == Some(StopMode::Pause),
        }
    }
}
