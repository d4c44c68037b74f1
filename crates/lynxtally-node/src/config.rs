//! What a node is told when it starts: read, checked and given defaults here and nowhere else.

use crate::shares;
use lynxtally_settings::{decode, BackendSettings, SettingError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// All that a node is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where sidecars connect.
    pub listen: SocketAddr,
    /// Where the kernel is.
    pub kernel: SocketAddr,
    /// Where the control plane is.
    pub control: SocketAddr,
    /// Where the ledger is. Nodes whose stages call nothing may have none.
    pub ledger: Option<SocketAddr>,
    /// Where chance starts from.
    pub seed: u64,
    /// How long after the notice to leave it is killed.
    pub stop: Duration,
    /// How many descriptors it may hold.
    pub sockets: usize,
    /// How much memory it may use, in bytes.
    pub memory: usize,
    /// The settings of the decisions, and the names in them.
    pub declared: BackendSettings,
    /// Its shares of what the fleet has together; none where no keepers are named.
    pub shares: Option<shares::Settings>,
}

/// What the node's own sockets and memory are held to: one place for all such bounds, as ratios to `limits`
/// and settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Connections from sidecars at most.
    pub connections: usize,
    /// How long a message may take until it is whole, and an answer until it is taken.
    pub message: Duration,
    /// How long a connection is read on after our last byte.
    pub linger: Duration,
    /// How many bytes of it.
    pub linger_bytes: usize,
    /// After how long a connection that carries nothing is one that its sidecar has forgotten.
    pub idle: Option<Duration>,
    /// What kept results take at most, in bytes.
    pub results: usize,
}

/// Sidecars get this part of the descriptors; the rest stands for kernel, ledger, control plane and files.
const SIDECARS_PART: f64 = 0.75;
/// A message that takes longer is not waited for, however long a task may.
const MESSAGE_MOST: Duration = Duration::from_secs(2);
/// The part of that for which a connection is read on after our last byte.
const LINGER_PART: u32 = 2;
/// Sidecars close what carries nothing after the time that the settings name; this many times that is forgotten.
const FORGOTTEN: u32 = 2;
/// Kept results take this part of the memory at most.
const RESULTS_PART: f64 = 0.25;

impl Config {
    /// The bounds that follow from it.
    pub fn bounds(&self) -> Bounds {
        let settings = &self.declared.settings;
        let span = |span: lynxtally::Span| Duration::from_micros(span.micros());
        let longest = settings.classes.iter().map(|stage| span(stage.deadline)).max().unwrap_or(MESSAGE_MOST);
        let connections = (self.sockets as f64 * SIDECARS_PART) as usize;
        let message = longest.min(MESSAGE_MOST);
        Bounds {
            connections,
            message,
            linger: message / LINGER_PART,
            // All of them together take in no more than there is memory.
            linger_bytes: self.memory / connections,
            idle: Some(span(settings.client_idle_timeout) * FORGOTTEN).filter(|idle| !idle.is_zero()),
            results: (self.memory as f64 * RESULTS_PART) as usize,
        }
    }

    /// The keys whose values differ in a newer configuration and can't take effect in a running program.
    pub fn fixed(&self, newer: &Self) -> Vec<&'static str> {
        [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("limits.sockets", self.sockets != newer.sockets),
            ("limits.memory_mb", self.memory != newer.memory),
            ("settings", self.declared != newer.declared),
            ("shares", self.shares != newer.shares),
        ]
        .into_iter()
        .filter_map(|(key, differs)| differs.then_some(key))
        .collect()
    }
}

/// The file as it stands. Unknown keys are ignored.
#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    kernel: String,
    control: String,
    ledger: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default = "stop_ms")]
    stop_ms: u64,
    #[serde(default)]
    limits: Limits,
    settings: serde_json::Value,
    shares: Option<shares::File>,
}

fn stop_ms() -> u64 {
    3000
}

#[derive(Deserialize)]
struct Limits {
    #[serde(default = "sockets")]
    sockets: usize,
    #[serde(default = "memory_mb")]
    memory_mb: usize,
}

fn memory_mb() -> usize {
    192
}

fn sockets() -> usize {
    1024
}

impl Default for Limits {
    fn default() -> Self {
        Self { sockets: sockets(), memory_mb: memory_mb() }
    }
}

/// Fewer descriptors than this leave no room for kernel, ledger, control plane and files.
const SOCKETS_LEAST: usize = 64;

/// Reads a configuration. What `own` says of name and listening address (the environment's word) goes before
/// what the file says.
pub fn read(text: &str, own: impl Fn(&str) -> Option<String>) -> Result<Config, SettingError> {
    let json: serde_json::Value =
        serde_json::from_str(text).map_err(|fault| SettingError::new("", format!("no JSON: {fault}")))?;
    let file: File = decode(json)?;
    let missing = |key: &str| SettingError::new(key, "is missing; a text is expected");
    let name = own("RELAY_NAME").or(file.name).ok_or_else(|| missing("name"))?;
    if name.is_empty() || name.contains(char::is_whitespace) {
        return Err(SettingError::new("name", format!("is {name:?}; one word is expected")));
    }
    let listen = own("RELAY_LISTEN").or(file.listen).ok_or_else(|| missing("listen"))?;
    let address = |key: &str, text: &str| -> Result<SocketAddr, SettingError> {
        let what = format!("is {text:?}; an address such as 127.0.0.1:8443 is expected");
        text.parse().map_err(|_| SettingError::new(key, what))
    };
    let seed = file.seed.trim_start_matches("0x");
    let seed = if seed.is_empty() { Ok(0) } else { u64::from_str_radix(seed, 16) }.map_err(|_| {
        SettingError::new("seed", format!("is {:?}; up to 16 hex digits are expected", file.seed))
    })?;
    if file.stop_ms == 0 {
        return Err(SettingError::new("stop_ms", "is 0; a time above 0 is expected"));
    }
    if file.limits.sockets < SOCKETS_LEAST {
        let what = format!("is {}; at least {SOCKETS_LEAST} are expected", file.limits.sockets);
        return Err(SettingError::new("limits.sockets", what));
    }
    let mut declared =
        lynxtally_settings::read(file.settings).map_err(|fault| match fault.path.as_str() {
            "" | "." => SettingError::new("settings", fault.problem),
            path => SettingError::new(format!("settings.{path}"), fault.problem),
        })?;
    let ledger = file.ledger.map(|ledger| address("ledger", &ledger)).transpose()?;
    if ledger.is_none() {
        if let Some(at) = declared.settings.classes.iter().position(|stage| stage.calls_downstream) {
            let what =
                format!("is missing; an address is expected, as stage `{}` calls", declared.class_names[at]);
            return Err(SettingError::new("ledger", what));
        }
    }
    // The kernel knows no command for a call left out, so leaving one out earns nothing here.
    declared.settings.classes.iter_mut().for_each(|stage| stage.degraded_utility_fraction = 0.0);
    Ok(Config {
        name,
        listen: address("listen", &listen)?,
        kernel: address("kernel", &file.kernel)?,
        control: address("control", &file.control)?,
        ledger,
        seed,
        stop: Duration::from_millis(file.stop_ms),
        sockets: file.limits.sockets,
        memory: file.limits.memory_mb << 20,
        shares: file.shares.map(|file| shares::read(file, &declared)).transpose()?,
        declared,
    })
}
