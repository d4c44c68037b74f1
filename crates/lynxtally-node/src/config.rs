//! Reads and validates the configuration of a node, and applies the defaults. The section for coordinators is validated
//! in [`crate::coordination`], and the section for the scheduler in `lynxtally_settings`.

use crate::coordination;
use lynxtally_settings::{decode, BackendSettings, SettingError};
use serde::Deserialize;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The configuration of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The name of the node, which must stay the same across restarts.
    pub name: String,
    /// The address on which the node accepts clients.
    pub listen: SocketAddr,
    /// The address of the executor.
    pub executor: SocketAddr,
    /// The address of the control plane.
    pub control_plane: SocketAddr,
    /// The address of the downstream dependency. Optional if no request class makes calls.
    pub downstream: Option<SocketAddr>,
    /// The seed of the random generator.
    pub seed: u64,
    /// How long after SIGTERM the process is killed.
    pub shutdown_timeout: Duration,
    /// The maximum number of open descriptors.
    pub max_sockets: usize,
    /// The maximum memory use, in bytes.
    pub memory_bytes: usize,
    /// The settings of the scheduler, and the names of classes, tenants and gauges in them.
    pub backend: BackendSettings,
    /// The settings for shared budgets and wallets; `None` if there are no coordinators.
    pub coordination: Option<coordination::Settings>,
}

/// The node's limits for sockets, memory and connection times, all derived from the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// The maximum number of open client connections.
    pub max_connections: usize,
    /// The maximum time for a client to complete a message, and to read a response.
    pub message_timeout: Duration,
    /// The maximum time for which a connection lingers after the last response.
    pub linger_timeout: Duration,
    /// The maximum number of bytes that a lingering connection reads and discards.
    pub linger_bytes: usize,
    /// The time after which the client of an idle connection is assumed to have forgotten it; `None` if clients never
    /// close idle connections.
    pub idle_timeout: Option<Duration>,
    /// The maximum size of all retained results together.
    pub retained_result_bytes: usize,
    /// The maximum memory for idempotency keys.
    pub idempotency_key_bytes: usize,
}

/// The fraction of the descriptors for client connections. The rest is for the executor, the downstream dependency,
/// the control plane and files.
const CLIENT_SOCKETS_FRACTION: f64 = 0.75;
/// The upper limit of the message timeout, which is the longest deadline of a request class otherwise.
const MAX_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The linger timeout is the message timeout divided by this.
const LINGER_DIVISOR: u32 = 2;
/// The node's idle timeout is this multiple of the clients' idle timeout in the settings. A connection that stays
/// idle for longer has been forgotten by its client, as the client would have closed it.
const CLIENT_IDLE_TIMEOUT_FACTOR: u32 = 2;
/// The fraction of the memory for retained results.
const RETAINED_RESULTS_FRACTION: f64 = 0.25;
/// The fraction of the memory for idempotency keys.
const IDEMPOTENCY_KEYS_FRACTION: f64 = 0.25;

impl Config {
    /// Derives the limits from the configuration.
    pub fn resource_limits(&self) -> ResourceLimits {
        let settings = &self.backend.settings;
        let duration = |span: lynxtally::Span| Duration::from_micros(span.micros());
        let deadlines = settings.classes.iter().map(|class| duration(class.deadline));
        let longest_deadline = deadlines.max().unwrap_or(MAX_MESSAGE_TIMEOUT);
        let max_connections = (self.max_sockets as f64 * CLIENT_SOCKETS_FRACTION) as usize;
        let message_timeout = longest_deadline.min(MAX_MESSAGE_TIMEOUT);
        let idle_timeout = duration(settings.client_idle_timeout) * CLIENT_IDLE_TIMEOUT_FACTOR;
        ResourceLimits {
            max_connections,
            message_timeout,
            linger_timeout: message_timeout / LINGER_DIVISOR,
            // All lingering connections together read no more bytes than the memory limit.
            linger_bytes: self.memory_bytes / max_connections,
            idle_timeout: Some(idle_timeout).filter(|timeout| !timeout.is_zero()),
            retained_result_bytes: (self.memory_bytes as f64 * RETAINED_RESULTS_FRACTION) as usize,
            idempotency_key_bytes: (self.memory_bytes as f64 * IDEMPOTENCY_KEYS_FRACTION) as usize,
        }
    }

    /// Returns the keys that differ in a newer configuration but take effect only after a restart. The seed is
    /// excluded, because it is used only at the start and every configuration file gets a new one.
    pub fn changed_fixed_keys(&self, newer: &Self) -> Vec<&'static str> {
        [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("limits.sockets", self.max_sockets != newer.max_sockets),
            ("limits.memory_mb", self.memory_bytes != newer.memory_bytes),
            ("settings", self.backend != newer.backend),
            ("shares", self.coordination != newer.coordination),
        ]
        .into_iter()
        .filter_map(|(key, differs)| differs.then_some(key))
        .collect()
    }
}

/// The configuration file. Some keys have other names than the fields. Unknown keys are ignored.
#[derive(Deserialize)]
#[serde(rename = "File")] // The name in serde's error messages.
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    #[serde(rename = "kernel")]
    executor: String,
    #[serde(rename = "control")]
    control_plane: String,
    #[serde(rename = "ledger")]
    downstream: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(rename = "stop_ms", default = "default_shutdown_ms")]
    shutdown_ms: u64,
    #[serde(default)]
    limits: Limits,
    settings: serde_json::Value,
    #[serde(rename = "shares")]
    coordination: Option<coordination::CoordinationSection>,
}

fn default_shutdown_ms() -> u64 {
    3000
}

#[derive(Deserialize)]
struct Limits {
    #[serde(default = "default_sockets")]
    sockets: usize,
    #[serde(default = "default_memory_mb")]
    memory_mb: usize,
}

fn default_memory_mb() -> usize {
    192
}

fn default_sockets() -> usize {
    1024
}

impl Default for Limits {
    fn default() -> Self {
        Self { sockets: default_sockets(), memory_mb: default_memory_mb() }
    }
}

/// The minimum number of descriptors. With fewer, the descriptors that clients don't get are not enough for the
/// executor, the downstream dependency, the control plane and files.
const MIN_SOCKETS: usize = 64;
/// The environment variable that overrides `name` of the file.
const NAME_VARIABLE: &str = "RELAY_NAME";
/// The environment variable that overrides `listen` of the file.
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";

/// The reason why a configuration can't be used.
#[derive(Debug)]
pub enum LoadError {
    /// The file can't be read.
    Read {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The content of the file is invalid.
    Invalid {
        /// The path of the file.
        path: String,
        /// The invalid key and the reason.
        error: SettingError,
    },
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Read { path, error } => write!(f, "{path}: {error}"),
            Self::Invalid { path, error } => write!(f, "{path}: {error}"),
        }
    }
}

impl std::error::Error for LoadError {}

/// Reads the configuration from a file. Environment variables override the name and the listening address.
///
/// # Errors
/// Returns an error if the file can't be read or has an invalid key.
pub fn load(path: &str) -> Result<Config, LoadError> {
    let path = path.to_owned();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return Err(LoadError::Read { path, error }),
    };
    parse(&text, |name| std::env::var(name).ok()).map_err(|error| LoadError::Invalid { path, error })
}

/// Parses a configuration. `environment` looks up the environment variables that override the name and the listening
/// address.
///
/// # Errors
/// Returns the first invalid key and the reason.
pub fn parse(text: &str, environment: impl Fn(&str) -> Option<String>) -> Result<Config, SettingError> {
    let json: serde_json::Value = serde_json::from_str(text)
        .map_err(|error| SettingError::new("", format!("invalid JSON: {error}")))?;
    let file: ConfigFile = decode(json)?;
    let missing = |key: &str| SettingError::new(key, "is missing; a string is expected");
    let name = environment(NAME_VARIABLE).or(file.name).ok_or_else(|| missing("name"))?;
    if name.is_empty() || name.contains(char::is_whitespace) {
        return Err(SettingError::new("name", format!("is {name:?}; one word is expected")));
    }
    let listen = environment(LISTEN_VARIABLE).or(file.listen).ok_or_else(|| missing("listen"))?;
    let seed = parse_seed(&file.seed)?;
    if file.shutdown_ms == 0 {
        return Err(SettingError::new("stop_ms", "is 0; a time above 0 is expected"));
    }
    if file.limits.sockets < MIN_SOCKETS {
        let problem = format!("is {}; at least {MIN_SOCKETS} are expected", file.limits.sockets);
        return Err(SettingError::new("limits.sockets", problem));
    }
    let mut backend = parse_settings(file.settings)?;
    let downstream = file.downstream.map(|text| parse_address("ledger", &text)).transpose()?;
    if downstream.is_none() {
        check_no_class_calls_downstream(&backend)?;
    }
    // The executor has no command for degraded responses, so they get no utility and the scheduler never chooses
    // them.
    backend.settings.classes.iter_mut().for_each(|class| class.degraded_utility_fraction = 0.0);
    Ok(Config {
        name,
        listen: parse_address("listen", &listen)?,
        executor: parse_address("kernel", &file.executor)?,
        control_plane: parse_address("control", &file.control_plane)?,
        downstream,
        seed,
        shutdown_timeout: Duration::from_millis(file.shutdown_ms),
        max_sockets: file.limits.sockets,
        memory_bytes: file.limits.memory_mb << 20,
        coordination: file
            .coordination
            .map(|section| coordination::validate(section, &backend))
            .transpose()?,
        backend,
    })
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, SettingError> {
    let problem = || format!("is {text:?}; an address such as 127.0.0.1:8443 is expected");
    text.parse().map_err(|_| SettingError::new(key, problem()))
}

fn parse_seed(text: &str) -> Result<u64, SettingError> {
    let digits = text.trim_start_matches("0x");
    if digits.is_empty() {
        return Ok(0);
    }
    u64::from_str_radix(digits, 16)
        .map_err(|_| SettingError::new("seed", format!("is {text:?}; up to 16 hex digits are expected")))
}

fn parse_settings(json: serde_json::Value) -> Result<BackendSettings, SettingError> {
    lynxtally_settings::read(json).map_err(|error| match error.path.as_str() {
        "" | "." => SettingError::new("settings", error.problem),
        path => SettingError::new(format!("settings.{path}"), error.problem),
    })
}

/// Returns an error if a request class makes downstream calls, as the configuration has no address for them.
fn check_no_class_calls_downstream(backend: &BackendSettings) -> Result<(), SettingError> {
    let Some(calling) = backend.settings.classes.iter().position(|class| class.calls_downstream) else {
        return Ok(());
    };
    let class = &backend.class_names[calling];
    let problem =
        format!("is missing; an address is expected, as request class `{class}` makes downstream calls");
    Err(SettingError::new("ledger", problem))
}
