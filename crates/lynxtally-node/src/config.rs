//! The configuration of a node: read, checked and given defaults here and nowhere else.

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
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the executor is.
    pub executor: SocketAddr,
    /// Where the control plane is.
    pub control_plane: SocketAddr,
    /// Where the downstream dependency is. Nodes whose request classes call nothing may have none.
    pub downstream: Option<SocketAddr>,
    /// The seed of the random generator.
    pub seed: u64,
    /// How long after SIGTERM the process is killed.
    pub shutdown_timeout: Duration,
    /// How many descriptors it may hold.
    pub max_sockets: usize,
    /// How much memory it may use, in bytes.
    pub memory_bytes: usize,
    /// The settings of the decisions, and the names in them.
    pub backend: BackendSettings,
    /// Its part in what the fleet has together; none where no coordinators are named.
    pub coordination: Option<coordination::Settings>,
}

/// The limits of the node's own sockets and memory: one place for all such limits, as fractions of the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// How many connections from clients may be open.
    pub max_connections: usize,
    /// How long a message may take until it is complete, and a response until it is taken.
    pub message_timeout: Duration,
    /// How long a connection is read on after our last byte.
    pub linger_timeout: Duration,
    /// How many bytes are read then.
    pub linger_bytes: usize,
    /// After how long an idle connection is one that its client has forgotten; none where clients keep them for good.
    pub idle_timeout: Option<Duration>,
    /// How many bytes retained results take.
    pub retained_result_bytes: usize,
}

/// Clients get this fraction of the descriptors; the rest is for the executor, the downstream dependency, the control
/// plane and files.
const CLIENT_SOCKETS_FRACTION: f64 = 0.75;
/// No message gets longer than this, however long the deadline of a request class is.
const MAX_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection lingers for the message timeout divided by this.
const LINGER_DIVISOR: u32 = 2;
/// Clients close what is idle after the time that the settings name; after this many times that, they have forgotten it.
const CLIENT_IDLE_TIMEOUT_FACTOR: u32 = 2;
/// Retained results take this fraction of the memory.
const RETAINED_RESULTS_FRACTION: f64 = 0.25;

impl Config {
    /// The limits that follow from it.
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
            // All connections together read no more than there is memory.
            linger_bytes: self.memory_bytes / max_connections,
            idle_timeout: Some(idle_timeout).filter(|timeout| !timeout.is_zero()),
            retained_result_bytes: (self.memory_bytes as f64 * RETAINED_RESULTS_FRACTION) as usize,
        }
    }

    /// The keys whose values differ in a newer configuration and can't take effect in a running program. The seed is not
    /// among them: it serves only the start, and a new one is drawn for each configuration.
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

/// The configuration file with its own keys. Unknown keys are ignored.
#[derive(Deserialize)]
#[serde(rename = "File")]
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

/// Fewer descriptors leave no room for the executor, the downstream dependency, the control plane and files.
const MIN_SOCKETS: usize = 64;
/// Overrides `name` of the file.
const NAME_VARIABLE: &str = "RELAY_NAME";
/// Overrides `listen` of the file.
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";

/// Why a configuration can't be used.
#[derive(Debug)]
pub enum LoadError {
    /// Its file can't be read.
    Read {
        /// The path of the file.
        path: String,
        /// Why not.
        error: io::Error,
    },
    /// What is in the file can't be used.
    Invalid {
        /// The path of the file.
        path: String,
        /// The key, and what is wrong with it.
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

/// Reads the configuration from a file. The process's environment overrides name and listening address.
///
/// # Errors
/// The file can't be read, or a key in it can't be used.
pub fn load(path: &str) -> Result<Config, LoadError> {
    let path = path.to_owned();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return Err(LoadError::Read { path, error }),
    };
    parse(&text, |name| std::env::var(name).ok()).map_err(|error| LoadError::Invalid { path, error })
}

/// Reads the configuration from a text. `environment` overrides name and listening address.
///
/// # Errors
/// The key that can't be used, and what is wrong with it.
pub fn parse(text: &str, environment: impl Fn(&str) -> Option<String>) -> Result<Config, SettingError> {
    let json: serde_json::Value =
        serde_json::from_str(text).map_err(|error| SettingError::new("", format!("no JSON: {error}")))?;
    let file: ConfigFile = decode(json)?;
    let missing = |key: &str| SettingError::new(key, "is missing; a text is expected");
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
        let what = format!("is {}; at least {MIN_SOCKETS} are expected", file.limits.sockets);
        return Err(SettingError::new("limits.sockets", what));
    }
    let mut backend = parse_settings(file.settings)?;
    let downstream = file.downstream.map(|text| parse_address("ledger", &text)).transpose()?;
    if downstream.is_none() {
        check_no_class_calls_downstream(&backend)?;
    }
    // The executor has no command to degrade a request, so degrading one earns nothing here.
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
    let what = || format!("is {text:?}; an address such as 127.0.0.1:8443 is expected");
    text.parse().map_err(|_| SettingError::new(key, what()))
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

/// A node without a downstream dependency may have no request class that calls it.
fn check_no_class_calls_downstream(backend: &BackendSettings) -> Result<(), SettingError> {
    let Some(calling) = backend.settings.classes.iter().position(|class| class.calls_downstream) else {
        return Ok(());
    };
    let what =
        format!("is missing; an address is expected, as stage `{}` calls", backend.class_names[calling]);
    Err(SettingError::new("ledger", what))
}
