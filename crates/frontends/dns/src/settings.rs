//! The settings of a DNS server: decoding, defaults and checks.

use crate::connection::{ALLOWANCE_BYTES, CONNECTION_BYTES};
use crate::tsig::Key;
use lynxtally::{CapacityFormat, Downstream, Effect, RequestClass, Settings, Span};
use lynxtally_net::memory_account::AccountLimits;
use lynxtally_zones::rate_limit::{CountMinSketch, RequestRateLimit};
use lynxtally_zones::secondary::RetryTimes;
use lynxtally_zones::update::{Grant, Scope};
use lynxtally_zones::zone_file;
use lynxtally_zones::zone_store;
use lynxtally_zones::{Name, RecordType};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// An invalid setting. It is displayed as `key` and the problem, for example "`listen` is empty".
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The path of the setting, such as `zones[0].apex`.
    pub key: String,
    /// What is wrong with it, as the predicate of a sentence.
    pub problem: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "`{}` {}", self.key, self.problem)
    }
}

impl std::error::Error for SettingsError {}

fn error<T>(key: impl Into<String>, problem: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError { key: key.into(), problem: problem.into() })
}

/// The settings file as decoded, before the checks.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "File", deny_unknown_fields)]
pub struct RawSettings {
    /// The addresses to listen on, over UDP and TCP.
    pub listen: Vec<SocketAddr>,
    /// The folder for logs, snapshots and base files. It must survive restarts.
    pub state: PathBuf,
    /// The zones.
    pub zones: Vec<RawZoneSettings>,
    /// Files with TSIG keys, one key a line.
    #[serde(default)]
    pub keys: Vec<PathBuf>,
    /// A file with the cookie secret, 32 hex digits, shared by all servers of a fleet. Without it the secret is random, and
    /// cookies are valid until a restart.
    pub cookie_secret: Option<PathBuf>,
    /// The settings of the request classes.
    #[serde(default)]
    pub stages: ClassesSettings,
    /// The server's limits.
    #[serde(default)]
    pub limits: Limits,
    /// The time from the signal to stop until the server is killed, in milliseconds. The server stops by itself shortly
    /// before.
    #[serde(default = "stop_ms")]
    pub stop_ms: u64,
    /// The time from the signal to stop until arriving requests are no longer run, in milliseconds.
    #[serde(default = "grace_ms")]
    pub grace_ms: u64,
}

fn stop_ms() -> u64 {
    5000
}

fn grace_ms() -> u64 {
    2500
}

/// A zone as written in the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "ZoneFile", deny_unknown_fields)]
pub struct RawZoneSettings {
    /// The name of the zone.
    pub apex: String,
    /// The zone file; a secondary zone has none.
    pub file: Option<PathBuf>,
    /// The primaries, if the zone is a secondary.
    #[serde(default)]
    pub primaries: Vec<SocketAddr>,
    /// The name of the key that signs requests to the primaries.
    pub key: Option<String>,
    /// Secondaries that get a NOTIFY for each new version.
    #[serde(default)]
    pub notify: Vec<SocketAddr>,
    /// Who may transfer the zone.
    #[serde(default)]
    pub transfer: TransferAccess,
    /// Who may update which records.
    #[serde(default)]
    pub updates: Vec<RawGrant>,
    /// The most refused records in a zone file; a file with more is not used.
    #[serde(default = "refused_most")]
    pub refused_most: usize,
}

fn refused_most() -> usize {
    100
}

/// Who may transfer a zone.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename = "Transfer", deny_unknown_fields)]
pub struct TransferAccess {
    /// Clients that sign with one of these keys.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Any client.
    #[serde(default)]
    pub anyone: bool,
}

/// Permission to update records, for one key. Exactly one of `name`, `tree` and `below` is given.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "GrantFile", deny_unknown_fields)]
pub struct RawGrant {
    /// The name of the key.
    pub key: String,
    /// Only this name.
    pub name: Option<String>,
    /// This name and all names below it.
    pub tree: Option<String>,
    /// All names below this one.
    pub below: Option<String>,
    /// The permitted record types; an empty list permits all but SOA and NS.
    #[serde(default)]
    pub kinds: Vec<String>,
}

/// The scheduling settings of a request class.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename = "Stage", deny_unknown_fields)]
pub struct ClassSettings {
    /// The utility of a response within the latency objective.
    pub utility: f64,
    /// The latency objective in milliseconds.
    pub due_ms: u64,
    /// The deadline, when the client gives up, in milliseconds.
    pub limit_ms: u64,
}

/// The settings of each request class, in the order of the indices in [`class`].
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename = "Stages", deny_unknown_fields, default)]
pub struct ClassesSettings {
    /// Queries.
    pub query: ClassSettings,
    /// Queries from an address prefix that exceeds its share of the load.
    pub beyond: ClassSettings,
    /// Updates.
    pub update: ClassSettings,
    /// Transfers.
    pub transfer: ClassSettings,
    /// NOTIFY messages.
    pub notify: ClassSettings,
}

impl Default for ClassesSettings {
    fn default() -> Self {
        let class = |utility, due_ms, limit_ms| ClassSettings { utility, due_ms, limit_ms };
        Self {
            query: class(1.0, 200, 2000),
            beyond: class(0.02, 200, 2000),
            update: class(50.0, 1000, 5000),
            transfer: class(20.0, 60_000, 120_000),
            notify: class(20.0, 1000, 5000),
        }
    }
}

/// The indices of the request classes.
pub mod class {
    /// Queries.
    pub const QUERY: usize = 0;
    /// Queries from an address prefix that exceeds its share of the load.
    pub const BEYOND: usize = 1;
    /// Updates.
    pub const UPDATE: usize = 2;
    /// Transfers.
    pub const TRANSFER: usize = 3;
    /// NOTIFY messages.
    pub const NOTIFY: usize = 4;
    /// The names of the classes in settings and counters.
    pub const NAMES: [&str; 5] = ["query", "beyond", "update", "transfer", "notify"];
}

/// The server's limits.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory for queued and running requests, in MB.
    pub memory_mb: u64,
    /// The greatest number of TCP connections.
    pub connections: usize,
    /// The longest UDP response in bytes.
    pub payload: u16,
    /// The share of all queries that one address prefix may send before its queries go to the class `beyond`.
    pub prefix_share: f64,
    /// Queries a second that a prefix may send whatever its share.
    pub prefix_least: f64,
    /// Whether a UDP client without a valid cookie or signature gets no response longer than its request.
    pub proof: bool,
    /// The number of records in a zone's change history, from which incremental transfers are answered. The histories of all
    /// zones take an eighth of the memory at most.
    pub history: usize,
    /// For how long a repeated update is recognized, in seconds.
    pub repeats_s: u64,
    /// The length of a zone's log, in MB, at which it is replaced by a snapshot.
    pub log_mb: u64,
    /// The greatest number of records in a zone.
    pub records: usize,
    /// About how much memory a zone's records may take, in MB: an update that would make them take more is refused. 0 is no
    /// limit.
    pub zone_mb: u64,
    /// The shortest lease that is granted, in seconds.
    pub lease_least_s: u64,
    /// The greatest share of a name's addresses that may expire within the length of one lease.
    pub lease_share: f64,
    /// If more than this share of the leases is not renewed, the network path to their holders is taken to be down, and no
    /// record expires.
    pub lease_suspect: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: 64,
            connections: 500,
            payload: 1232,
            prefix_share: 0.25,
            prefix_least: 1000.0,
            proof: true,
            history: 100_000,
            repeats_s: 300,
            log_mb: 64,
            records: 10_000_000,
            zone_mb: 0,
            lease_least_s: 30,
            lease_share: 1.0 / 3.0,
            lease_suspect: 0.5,
        }
    }
}

/// The checked settings of a zone.
#[derive(Clone, Debug)]
pub struct ZoneSettings {
    /// The name of the zone.
    pub apex: Name,
    /// The zone file; `None` for a secondary.
    pub file: Option<PathBuf>,
    /// The primaries, if the zone is a secondary.
    pub primaries: Vec<SocketAddr>,
    /// The key that signs requests to the primaries.
    pub key: Option<Arc<Key>>,
    /// Secondaries that get a NOTIFY for each new version.
    pub notify: Vec<SocketAddr>,
    /// The names of the keys that may transfer the zone.
    pub transfer_keys: Vec<Name>,
    /// Whether any client may transfer the zone.
    pub transfer_anyone: bool,
    /// Who may update which records.
    pub grants: Vec<Grant>,
    /// The limits on the zone file.
    pub file_limits: zone_file::ZoneFileLimits,
}

/// The checked settings of a server.
#[derive(Clone, Debug)]
pub struct CheckedSettings {
    /// The addresses to listen on, over UDP and TCP.
    pub listen: Vec<SocketAddr>,
    /// The folder for logs, snapshots and base files.
    pub state: PathBuf,
    /// The zones.
    pub zones: Vec<ZoneSettings>,
    /// The TSIG keys.
    pub keys: Vec<Arc<Key>>,
    /// The cookie secret; `None` for a random one.
    pub cookie_secret: Option<[u8; 16]>,
    /// The settings of the scheduler.
    pub policy: Settings,
    /// The server's limits.
    pub limits: Limits,
    /// The time from the signal to stop until the server is killed. The server stops by itself shortly before.
    pub stop_timeout: Duration,
}

/// The number of cores reported to the scheduler, and so of requests that run at once. The one real core is reported as
/// this many slower ones, so that the scheduler decides once for a batch of requests and not once for each.
pub const VIRTUAL_CORES: u32 = 32;
/// The part of the memory for requests that wait or run is one over this.
const REQUESTS_MEMORY_DIVISOR: u64 = 4;
/// The part of the memory for the change histories of all zones is one over this.
const HISTORY_MEMORY_DIVISOR: u64 = 8;
/// The part of the memory for connections, in eighths. The rest is for the program itself.
const CONNECTIONS_MEMORY_EIGHTHS: u64 = 3;
/// The memory of a running request, as a multiple of that of a queued one.
const RUNNING_MEMORY_FACTOR: f64 = 2.0;

impl RawSettings {
    /// Checks all settings, and reads the keys and the cookie secret from their files.
    ///
    /// # Errors
    /// The first setting that is invalid.
    pub fn check(self) -> Result<CheckedSettings, SettingsError> {
        let mut keys = Vec::new();
        for (n, path) in self.keys.iter().enumerate() {
            keys.extend(
                read_keys(path).map_err(|problem| SettingsError { key: format!("keys[{n}]"), problem })?,
            );
        }
        if self.listen.is_empty() {
            return error("listen", "is empty; an address such as 127.0.0.1:53 is expected");
        }
        let mut zones: Vec<ZoneSettings> = Vec::new();
        for (n, zone) in self.zones.iter().enumerate() {
            let zone = zone.check(&format!("zones[{n}]"), &keys)?;
            if zones.iter().any(|other| other.apex == zone.apex) {
                return error(
                    format!("zones[{n}].apex"),
                    format!("is {}, which stands above too", zone.apex),
                );
            }
            zones.push(zone);
        }
        if zones.is_empty() {
            return error("zones", "is empty");
        }
        for (name, class) in class::NAMES.into_iter().zip(self.stages.all()) {
            if !(class.utility > 0.0 && class.utility.is_finite()) {
                return error(
                    format!("stages.{name}.utility"),
                    format!("is {}; above 0 is expected", class.utility),
                );
            }
            if class.due_ms == 0 || class.limit_ms < class.due_ms {
                let problem =
                    format!("is {}; at least due_ms, and that above 0, is expected", class.limit_ms);
                return error(format!("stages.{name}.limit_ms"), problem);
            }
        }
        self.limits.check()?;
        if self.grace_ms >= self.stop_ms {
            return error("grace_ms", format!("is {}; less than stop_ms is expected", self.grace_ms));
        }
        let cookie_secret = match &self.cookie_secret {
            None => None,
            Some(path) => Some(
                read_secret(path)
                    .map_err(|problem| SettingsError { key: "cookie_secret".to_owned(), problem })?,
            ),
        };
        Ok(CheckedSettings {
            policy: self.policy(),
            listen: self.listen,
            state: self.state,
            zones,
            keys,
            cookie_secret,
            limits: self.limits,
            stop_timeout: Duration::from_millis(self.stop_ms),
        })
    }

    /// The scheduler's settings: the request classes, on [`VIRTUAL_CORES`].
    fn policy(&self) -> Settings {
        let classes = self.stages.all().map(|class| RequestClass {
            utility: class.utility,
            late_utility_fraction: 0.0,
            latency_objective: Span::from_millis(class.due_ms),
            deadline: Span::from_millis(class.limit_ms),
            effect: Effect::Idempotent,
            deduplication_window: Span::ZERO,
            calls_downstream: false,
            degraded_utility_fraction: 0.0,
        });
        let mut classes = classes.to_vec();
        for at in [class::UPDATE, class::TRANSFER] {
            // Updates and transfers wait for the disk or the client, can't be executed twice, and are still useful after
            // their latency objective.
            (classes[at].calls_downstream, classes[at].effect, classes[at].late_utility_fraction) =
                (true, Effect::NonIdempotent, 0.5);
        }
        Settings {
            cores: VIRTUAL_CORES,
            memory_kb: (self.limits.memory_mb * 1024 / REQUESTS_MEMORY_DIVISOR) as f64,
            running_memory_factor: RUNNING_MEMORY_FACTOR,
            idempotency_key_kb: 0.1,
            cold_start: false,
            cold_capacity_fraction: 1.0,
            warmup_time: Span::from_millis(1),
            // Practically no limit: a request that waits for the disk or a client occupies no core, and memory limits the
            // number of such requests.
            max_running_per_core: 4096.0,
            drain_grace: Span::from_millis(self.grace_ms),
            classes,
            tenant_quotas: Vec::new(),
            over_quota_utility_fraction: 1.0,
            utility_per_work: false,
            backends: 1,
            callers: 1,
            tier_depth: 0,
            downstream: Downstream::None,
            stoppable: false,
            capacity_format: CapacityFormat::None,
            capacity_ttl: Span::from_millis(1000),
            client_idle_timeout: Span::ZERO,
            coalescing_window: Span::ZERO,
            max_retry_after: Span::from_millis(1000),
        }
    }
}

impl ClassesSettings {
    fn all(&self) -> [ClassSettings; 5] {
        [self.query, self.beyond, self.update, self.transfer, self.notify]
    }
}

impl Limits {
    fn check(&self) -> Result<(), SettingsError> {
        let check_fraction = |key: &str, value: f64| match value > 0.0 && value <= 1.0 {
            true => Ok(()),
            false => error(format!("limits.{key}"), format!("is {value}; above 0 and at most 1 is expected")),
        };
        check_fraction("prefix_share", self.prefix_share)?;
        check_fraction("lease_share", self.lease_share)?;
        check_fraction("lease_suspect", self.lease_suspect)?;
        if !(512..=4096).contains(&self.payload) {
            return error("limits.payload", format!("is {}; 512 to 4096 is expected", self.payload));
        }
        for (key, value) in [
            ("memory_mb", self.memory_mb),
            ("connections", self.connections as u64),
            ("log_mb", self.log_mb),
            ("repeats_s", self.repeats_s),
            ("lease_least_s", self.lease_least_s),
        ] {
            if value == 0 {
                return error(format!("limits.{key}"), "is 0; at least 1 is expected");
            }
        }
        Ok(())
    }

    /// The limits of the store of one of `zones` zones.
    pub fn zone_store_limits(&self, zones: usize) -> zone_store::ZoneStoreLimits {
        let history_bytes = (self.memory_mb << 20) / HISTORY_MEMORY_DIVISOR;
        let mut limits = zone_store::ZoneStoreLimits {
            max_history_records: self.history,
            max_history_bytes: history_bytes as usize / zones.max(1),
            deduplication_window: Span::from_secs(self.repeats_s as f64),
            max_records: self.records,
            max_zone_bytes: if self.zone_mb == 0 { usize::MAX } else { (self.zone_mb << 20) as usize },
            ..zone_store::ZoneStoreLimits::default()
        };
        limits.leases.min_duration = Span::from_secs(self.lease_least_s as f64);
        limits.leases.max_duration = limits.leases.max_duration.max(limits.leases.min_duration);
        limits.leases.max_removed_fraction = self.lease_share;
        limits.leases.suspect_fraction = self.lease_suspect;
        limits
    }

    /// The memory that connections share.
    pub fn connection_memory(&self) -> AccountLimits {
        AccountLimits {
            total: ((self.memory_mb << 20) * CONNECTIONS_MEMORY_EIGHTHS / 8) as usize,
            max_connections: self.connections,
            per_connection: CONNECTION_BYTES,
            allowance: ALLOWANCE_BYTES,
        }
    }

    /// The rate limit of queries by address prefix.
    pub fn rate_limit(&self, key: u64, now: lynxtally::Instant) -> RequestRateLimit {
        // Counts halve every half second, so a count covers about the last second.
        let sketch = CountMinSketch::new(1 << 12, Span::from_millis(500), key, now);
        RequestRateLimit::new(sketch, self.prefix_share, self.prefix_least)
    }

    /// The retry intervals of a secondary that does not know its zone's SOA yet.
    pub fn retry_times(&self) -> RetryTimes {
        RetryTimes::default()
    }
}

fn parse_name(key: String, text: &str) -> Result<Name, SettingsError> {
    text.parse().map_err(|bad| SettingsError { key, problem: format!("is {text:?}: {bad}") })
}

impl RawZoneSettings {
    fn check(&self, at: &str, keys: &[Arc<Key>]) -> Result<ZoneSettings, SettingsError> {
        let find_key = |key: String, text: &str| {
            let parsed = parse_name(key.clone(), text)?;
            match keys.iter().find(|find_key| find_key.name == parsed) {
                Some(find_key) => Ok(find_key.clone()),
                None => error(key, format!("is {text:?}, and no file of `keys` has that key")),
            }
        };
        match (&self.file, self.primaries.is_empty()) {
            (None, true) => return error(format!("{at}.file"), "is missing, and there are no primaries"),
            (Some(_), false) => {
                return error(
                    format!("{at}.primaries"),
                    "is given together with `file`; a zone has only one source",
                );
            }
            _ => {}
        }
        if !self.primaries.is_empty() && !self.updates.is_empty() {
            return error(format!("{at}.updates"), "is given for a secondary zone, which accepts no updates");
        }
        let mut grants = Vec::new();
        for (n, grant) in self.updates.iter().enumerate() {
            let at = format!("{at}.updates[{n}]");
            let scope = match (&grant.name, &grant.tree, &grant.below) {
                (Some(text), None, None) => Scope::Exact(parse_name(format!("{at}.name"), text)?),
                (None, Some(text), None) => Scope::Tree(parse_name(format!("{at}.tree"), text)?),
                (None, None, Some(text)) => Scope::Below(parse_name(format!("{at}.below"), text)?),
                _ => return error(at, "must have exactly one of name, tree and below"),
            };
            let mut kinds = Vec::new();
            for (k, text) in grant.kinds.iter().enumerate() {
                match RecordType::parse(text).filter(|kind| !kind.is_meta()) {
                    Some(kind) => kinds.push(kind),
                    None => {
                        return error(
                            format!("{at}.kinds[{k}]"),
                            format!("is {text:?}, which is not a record type"),
                        )
                    }
                }
            }
            grants.push(Grant { key: find_key(format!("{at}.key"), &grant.key)?.name.clone(), scope, kinds });
        }
        let mut transfer_keys = Vec::new();
        for (n, key) in self.transfer.keys.iter().enumerate() {
            transfer_keys.push(find_key(format!("{at}.transfer.keys[{n}]"), key)?.name.clone());
        }
        let key = self.key.as_ref().map(|key| find_key(format!("{at}.key"), key)).transpose()?;
        Ok(ZoneSettings {
            apex: parse_name(format!("{at}.apex"), &self.apex)?,
            file: self.file.clone(),
            primaries: self.primaries.clone(),
            key,
            notify: self.notify.clone(),
            transfer_keys,
            transfer_anyone: self.transfer.anyone,
            grants,
            file_limits: zone_file::ZoneFileLimits {
                max_refused: self.refused_most,
                ..zone_file::ZoneFileLimits::default()
            },
        })
    }
}

/// Reads a file that only its owner may have access to.
fn read_private_file(path: &Path) -> Result<String, String> {
    let shown = path.display();
    let mode = std::fs::metadata(path).map_err(|why| format!("is {shown}: {why}"))?.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(format!(
            "is {shown}, which others may read (mode {:03o}); 600 is expected",
            mode & 0o777
        ));
    }
    std::fs::read_to_string(path).map_err(|why| format!("is {shown}: {why}"))
}

/// Reads a file of TSIG keys, one a line. While a key is being replaced, two keys may have the same name.
pub fn read_keys(path: &Path) -> Result<Vec<Arc<Key>>, String> {
    let mut keys = Vec::new();
    for (n, line) in read_private_file(path)?.lines().enumerate() {
        if !line.trim().is_empty() && !line.trim_start().starts_with('#') {
            let key = Key::parse(line)
                .map_err(|problem| format!("is {}: line {}: {problem}", path.display(), n + 1))?;
            keys.push(Arc::new(key));
        }
    }
    if keys.is_empty() {
        return Err(format!("is {}, which has no key", path.display()));
    }
    Ok(keys)
}

fn read_secret(path: &Path) -> Result<[u8; 16], String> {
    let text = read_private_file(path)?.trim().to_ascii_lowercase();
    let octets = data_encoding::HEXLOWER.decode(text.as_bytes()).ok();
    octets
        .and_then(|octets| octets.try_into().ok())
        .ok_or_else(|| format!("is {}; 32 hex digits are expected in it", path.display()))
}
