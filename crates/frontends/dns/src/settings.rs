//! What a names server is told: decoded, checked and given defaults here and nowhere else.

use crate::tsig::Key;
use lynxtally::{CapacityFormat, Downstream, Effect, RequestClass, Settings, Span};
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

/// A key of the settings, and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The key's path.
    pub key: String,
    /// What is wrong.
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

/// The settings as they stand.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "File", deny_unknown_fields)]
pub struct RawSettings {
    /// Where questions come, over UDP and TCP.
    pub listen: Vec<SocketAddr>,
    /// The folder for logs and bases; it must last.
    pub state: PathBuf,
    /// The zones.
    pub zones: Vec<RawZoneSettings>,
    /// Files with keys, one a line.
    #[serde(default)]
    pub keys: Vec<PathBuf>,
    /// A file with 32 hex digits that all servers of a fleet share; without one, cookies last until a restart.
    pub cookie_secret: Option<PathBuf>,
    /// The stages.
    #[serde(default)]
    pub stages: ClassesSettings,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
    /// How long after the notice to leave the program is killed, in milliseconds.
    #[serde(default = "stop_ms")]
    pub stop_ms: u64,
    /// What arrives later than this after the notice is not run, in milliseconds.
    #[serde(default = "grace_ms")]
    pub grace_ms: u64,
}

fn stop_ms() -> u64 {
    5000
}

fn grace_ms() -> u64 {
    2500
}

/// A zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "ZoneFile", deny_unknown_fields)]
pub struct RawZoneSettings {
    /// Its topmost name.
    pub apex: String,
    /// Its file; a zone that follows primaries has none.
    pub file: Option<PathBuf>,
    /// Primaries that it follows.
    #[serde(default)]
    pub primaries: Vec<SocketAddr>,
    /// The key for questions to primaries.
    pub key: Option<String>,
    /// Secondaries that are told of new versions.
    #[serde(default)]
    pub notify: Vec<SocketAddr>,
    /// Who may have the zone whole.
    #[serde(default)]
    pub transfer: TransferAccess,
    /// Who may change what.
    #[serde(default)]
    pub updates: Vec<RawGrant>,
    /// With more refused records than this a file is of no use.
    #[serde(default = "refused_most")]
    pub refused_most: usize,
}

fn refused_most() -> usize {
    100
}

/// Who may have a zone whole.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename = "Transfer", deny_unknown_fields)]
pub struct TransferAccess {
    /// Holders of these keys.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Anyone.
    #[serde(default)]
    pub anyone: bool,
}

/// Who may change what.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "GrantFile", deny_unknown_fields)]
pub struct RawGrant {
    /// The holder of this key.
    pub key: String,
    /// This name only.
    pub name: Option<String>,
    /// This name and all below.
    pub tree: Option<String>,
    /// All below this name.
    pub below: Option<String>,
    /// These kinds; none named means all but SOA and NS.
    #[serde(default)]
    pub kinds: Vec<String>,
}

/// One stage.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename = "Stage", deny_unknown_fields)]
pub struct ClassSettings {
    /// What an answer in time earns.
    pub utility: f64,
    /// When it is wanted, in milliseconds.
    pub due_ms: u64,
    /// When the client gives up, in milliseconds.
    pub limit_ms: u64,
}

/// The stages of the front, in the order of their indices.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename = "Stages", deny_unknown_fields, default)]
pub struct ClassesSettings {
    /// Questions.
    pub query: ClassSettings,
    /// Questions beyond their prefix's share.
    pub beyond: ClassSettings,
    /// Updates.
    pub update: ClassSettings,
    /// Transfers.
    pub transfer: ClassSettings,
    /// Notices.
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

/// The stages' indices.
pub mod class {
    /// Questions.
    pub const QUERY: usize = 0;
    /// Questions beyond their prefix's share.
    pub const BEYOND: usize = 1;
    /// Updates.
    pub const UPDATE: usize = 2;
    /// Transfers.
    pub const TRANSFER: usize = 3;
    /// Notices.
    pub const NOTIFY: usize = 4;
    /// Their names.
    pub const NAMES: [&str; 5] = ["query", "beyond", "update", "transfer", "notify"];
}

/// Bounds of the program.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory for tasks that are held or run, in MB.
    pub memory_mb: u64,
    /// TCP connections.
    pub connections: usize,
    /// The longest answer over UDP, in octets.
    pub payload: u16,
    /// A prefix may have this share of what is asked.
    pub prefix_share: f64,
    /// And so many questions a second in any case.
    pub prefix_least: f64,
    /// Whether a source that has not proven its address gets no answer longer than its question.
    pub proof: bool,
    /// Records that a zone's log of changes names.
    pub history: usize,
    /// For how long a repeated update is known, in seconds.
    pub repeats_s: u64,
    /// When the log is this long, in MB, a snapshot shortens it.
    pub log_mb: u64,
    /// Records in a zone.
    pub records: usize,
    /// The shortest lease that is granted, in seconds.
    pub lease_least_s: u64,
    /// Of a name's addresses no more than this share lapses within a lease's length.
    pub lease_share: f64,
    /// Where more than this share of leases is not renewed, the path is suspect.
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
            lease_least_s: 30,
            lease_share: 1.0 / 3.0,
            lease_suspect: 0.5,
        }
    }
}

/// A zone's settings, checked.
#[derive(Clone, Debug)]
pub struct ZoneSettings {
    /// Its topmost name.
    pub apex: Name,
    /// Its file.
    pub file: Option<PathBuf>,
    /// Primaries that it follows.
    pub primaries: Vec<SocketAddr>,
    /// The key for questions to them.
    pub key: Option<Arc<Key>>,
    /// Secondaries to be told.
    pub notify: Vec<SocketAddr>,
    /// Whose keys open transfers.
    pub transfer_keys: Vec<Name>,
    /// Whether anyone may have the zone whole.
    pub transfer_anyone: bool,
    /// Who may change what.
    pub grants: Vec<Grant>,
    /// What its file is held to.
    pub file_limits: zone_file::ZoneFileLimits,
}

/// All settings, checked.
#[derive(Clone, Debug)]
pub struct CheckedSettings {
    /// Where questions come.
    pub listen: Vec<SocketAddr>,
    /// The folder that lasts.
    pub state: PathBuf,
    /// The zones.
    pub zones: Vec<ZoneSettings>,
    /// The keys.
    pub keys: Vec<Arc<Key>>,
    /// The cookies' secret.
    pub cookie_secret: Option<[u8; 16]>,
    /// What the module is told.
    pub policy: Settings,
    /// Bounds.
    pub limits: Limits,
    /// How long after the notice to leave the program is killed.
    pub stop_timeout: Duration,
}

/// Tasks that the executor has under way at once: a batch is run and then settled. One core is seen as so many
/// slower ones, so that the module decides once a batch and not once a question.
pub const VIRTUAL_CORES: u32 = 32;
/// A task that runs takes this many times the memory of one that is held.
const RUNNING_MEMORY_FACTOR: f64 = 2.0;

impl RawSettings {
    /// Checks all; reads the files of keys.
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

    /// What the module is told: the front's stages, on one core in so many parts.
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
            // They wait for the disk or a peer, what they began can't be begun again, and a late answer is
            // better than none.
            (classes[at].calls_downstream, classes[at].effect, classes[at].late_utility_fraction) =
                (true, Effect::NonIdempotent, 0.5);
        }
        Settings {
            cores: VIRTUAL_CORES,
            memory_kb: (self.limits.memory_mb * 1024) as f64,
            running_memory_factor: RUNNING_MEMORY_FACTOR,
            idempotency_key_kb: 0.1,
            cold_start: false,
            cold_capacity_fraction: 1.0,
            warmup_time: Span::from_millis(1),
            // Waits hold no core here; memory bounds how many there are.
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

    /// The limits of a zone's store.
    pub fn zone_store_limits(&self) -> zone_store::ZoneStoreLimits {
        let mut limits = zone_store::ZoneStoreLimits {
            history: self.history,
            deduplication_window: Span::from_secs(self.repeats_s as f64),
            records: self.records,
            ..zone_store::ZoneStoreLimits::default()
        };
        limits.leases.least = Span::from_secs(self.lease_least_s as f64);
        limits.leases.most = limits.leases.most.max(limits.leases.least);
        limits.leases.share = self.lease_share;
        limits.leases.suspect = self.lease_suspect;
        limits
    }

    /// Who asks how much, by prefix.
    pub fn rate_limit(&self, key: u64, now: lynxtally::Instant) -> RequestRateLimit {
        // A count stands for about two turns of half a second, so for about a second.
        let sketch = CountMinSketch::new(1 << 12, Span::from_millis(500), key, now);
        RequestRateLimit::new(sketch, self.prefix_share, self.prefix_least)
    }

    /// How a secondary paces itself where its zone is not known yet.
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
                return error(format!("{at}.primaries"), "is given beside a file; a zone has one source");
            }
            _ => {}
        }
        if !self.primaries.is_empty() && !self.updates.is_empty() {
            return error(
                format!("{at}.updates"),
                "is given for a zone that follows primaries; it takes none",
            );
        }
        let mut grants = Vec::new();
        for (n, grant) in self.updates.iter().enumerate() {
            let at = format!("{at}.updates[{n}]");
            let scope = match (&grant.name, &grant.tree, &grant.below) {
                (Some(text), None, None) => Scope::Exact(parse_name(format!("{at}.name"), text)?),
                (None, Some(text), None) => Scope::Tree(parse_name(format!("{at}.tree"), text)?),
                (None, None, Some(text)) => Scope::Below(parse_name(format!("{at}.below"), text)?),
                _ => return error(at, "has to have one of name, tree and below"),
            };
            let mut kinds = Vec::new();
            for (k, text) in grant.kinds.iter().enumerate() {
                match RecordType::parse(text).filter(|kind| !kind.is_meta()) {
                    Some(kind) => kinds.push(kind),
                    None => {
                        return error(format!("{at}.kinds[{k}]"), format!("is {text:?}; no kind of record"))
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
                refused: self.refused_most,
                ..zone_file::ZoneFileLimits::default()
            },
        })
    }
}

/// A file that only its owner may read.
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

/// Reads a file of keys, one a line; two may have one name while one takes the other's place.
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
