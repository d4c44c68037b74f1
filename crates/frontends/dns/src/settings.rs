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
pub struct Fault {
    /// The key's path.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "`{}` {}", self.key, self.what)
    }
}

impl std::error::Error for Fault {}

fn fault<T>(key: impl Into<String>, what: impl Into<String>) -> Result<T, Fault> {
    Err(Fault { key: key.into(), what: what.into() })
}

/// The settings as they stand.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Where questions come, over UDP and TCP.
    pub listen: Vec<SocketAddr>,
    /// The folder for logs and bases; it must last.
    pub state: PathBuf,
    /// The zones.
    pub zones: Vec<ZoneFile>,
    /// Files with keys, one a line.
    #[serde(default)]
    pub keys: Vec<PathBuf>,
    /// A file with 32 hex digits that all servers of a fleet share; without one, cookies last until a restart.
    pub cookie_secret: Option<PathBuf>,
    /// The stages.
    #[serde(default)]
    pub stages: Stages,
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
#[serde(deny_unknown_fields)]
pub struct ZoneFile {
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
    pub transfer: Transfer,
    /// Who may change what.
    #[serde(default)]
    pub updates: Vec<GrantFile>,
    /// With more refused records than this a file is of no use.
    #[serde(default = "refused_most")]
    pub refused_most: usize,
}

fn refused_most() -> usize {
    100
}

/// Who may have a zone whole.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transfer {
    /// Holders of these keys.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Anyone.
    #[serde(default)]
    pub anyone: bool,
}

/// Who may change what.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantFile {
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
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// What an answer in time earns.
    pub utility: f64,
    /// When it is wanted, in milliseconds.
    pub due_ms: u64,
    /// When the client gives up, in milliseconds.
    pub limit_ms: u64,
}

/// The stages of the front, in the order of their indices.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stages {
    /// Questions.
    pub query: Stage,
    /// Questions beyond their prefix's share.
    pub beyond: Stage,
    /// Updates.
    pub update: Stage,
    /// Transfers.
    pub transfer: Stage,
    /// Notices.
    pub notify: Stage,
}

impl Default for Stages {
    fn default() -> Self {
        let stage = |utility, due_ms, limit_ms| Stage { utility, due_ms, limit_ms };
        Self {
            query: stage(1.0, 200, 2000),
            beyond: stage(0.02, 200, 2000),
            update: stage(50.0, 1000, 5000),
            transfer: stage(20.0, 60_000, 120_000),
            notify: stage(20.0, 1000, 5000),
        }
    }
}

/// The stages' indices.
pub mod stage {
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
pub struct Zone {
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
pub struct Checked {
    /// Where questions come.
    pub listen: Vec<SocketAddr>,
    /// The folder that lasts.
    pub state: PathBuf,
    /// The zones.
    pub zones: Vec<Zone>,
    /// The keys.
    pub keys: Vec<Arc<Key>>,
    /// The cookies' secret.
    pub cookie_secret: Option<[u8; 16]>,
    /// What the module is told.
    pub policy: Settings,
    /// Bounds.
    pub limits: Limits,
    /// How long after the notice to leave the program is killed.
    pub stop: Duration,
}

/// Tasks that the executor has under way at once: a batch is run and then settled. One core is seen as so many
/// slower ones, so that the module decides once a batch and not once a question.
pub const BATCH: u32 = 32;
/// A task that runs takes this many times the memory of one that is held.
const RUN_MEMORY: f64 = 2.0;

impl File {
    /// Checks all; reads the files of keys.
    pub fn check(self) -> Result<Checked, Fault> {
        let mut keys = Vec::new();
        for (n, path) in self.keys.iter().enumerate() {
            keys.extend(read_keys(path).map_err(|what| Fault { key: format!("keys[{n}]"), what })?);
        }
        if self.listen.is_empty() {
            return fault("listen", "is empty; an address such as 127.0.0.1:53 is expected");
        }
        let mut zones: Vec<Zone> = Vec::new();
        for (n, zone) in self.zones.iter().enumerate() {
            let zone = zone.check(&format!("zones[{n}]"), &keys)?;
            if zones.iter().any(|other| other.apex == zone.apex) {
                return fault(
                    format!("zones[{n}].apex"),
                    format!("is {}, which stands above too", zone.apex),
                );
            }
            zones.push(zone);
        }
        if zones.is_empty() {
            return fault("zones", "is empty");
        }
        for (name, stage) in stage::NAMES.into_iter().zip(self.stages.all()) {
            if !(stage.utility > 0.0 && stage.utility.is_finite()) {
                return fault(
                    format!("stages.{name}.utility"),
                    format!("is {}; above 0 is expected", stage.utility),
                );
            }
            if stage.due_ms == 0 || stage.limit_ms < stage.due_ms {
                let what = format!("is {}; at least due_ms, and that above 0, is expected", stage.limit_ms);
                return fault(format!("stages.{name}.limit_ms"), what);
            }
        }
        self.limits.check()?;
        if self.grace_ms >= self.stop_ms {
            return fault("grace_ms", format!("is {}; less than stop_ms is expected", self.grace_ms));
        }
        let cookie_secret = match &self.cookie_secret {
            None => None,
            Some(path) => {
                Some(read_secret(path).map_err(|what| Fault { key: "cookie_secret".to_owned(), what })?)
            }
        };
        Ok(Checked {
            policy: self.policy(),
            listen: self.listen,
            state: self.state,
            zones,
            keys,
            cookie_secret,
            limits: self.limits,
            stop: Duration::from_millis(self.stop_ms),
        })
    }

    /// What the module is told: the front's stages, on one core in so many parts.
    fn policy(&self) -> Settings {
        let stages = self.stages.all().map(|stage| RequestClass {
            utility: stage.utility,
            late_utility_fraction: 0.0,
            latency_objective: Span::from_millis(stage.due_ms),
            deadline: Span::from_millis(stage.limit_ms),
            effect: Effect::Idempotent,
            deduplication_window: Span::ZERO,
            calls_downstream: false,
            degraded_utility_fraction: 0.0,
        });
        let mut stages = stages.to_vec();
        for at in [stage::UPDATE, stage::TRANSFER] {
            // They wait for the disk or a peer, what they began can't be begun again, and a late answer is
            // better than none.
            (stages[at].calls_downstream, stages[at].effect, stages[at].late_utility_fraction) =
                (true, Effect::NonIdempotent, 0.5);
        }
        Settings {
            cores: BATCH,
            memory_kb: (self.limits.memory_mb * 1024) as f64,
            running_memory_factor: RUN_MEMORY,
            idempotency_key_kb: 0.1,
            cold_start: false,
            cold_capacity_fraction: 1.0,
            warmup_time: Span::from_millis(1),
            // Waits hold no core here; memory bounds how many there are.
            max_running_per_core: 4096.0,
            drain_grace: Span::from_millis(self.grace_ms),
            classes: stages,
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

impl Stages {
    fn all(&self) -> [Stage; 5] {
        [self.query, self.beyond, self.update, self.transfer, self.notify]
    }
}

impl Limits {
    fn check(&self) -> Result<(), Fault> {
        let part = |key: &str, value: f64| match value > 0.0 && value <= 1.0 {
            true => Ok(()),
            false => fault(format!("limits.{key}"), format!("is {value}; above 0 and at most 1 is expected")),
        };
        part("prefix_share", self.prefix_share)?;
        part("lease_share", self.lease_share)?;
        part("lease_suspect", self.lease_suspect)?;
        if !(512..=4096).contains(&self.payload) {
            return fault("limits.payload", format!("is {}; 512 to 4096 is expected", self.payload));
        }
        for (key, value) in [
            ("memory_mb", self.memory_mb),
            ("connections", self.connections as u64),
            ("log_mb", self.log_mb),
            ("repeats_s", self.repeats_s),
            ("lease_least_s", self.lease_least_s),
        ] {
            if value == 0 {
                return fault(format!("limits.{key}"), "is 0; at least 1 is expected");
            }
        }
        Ok(())
    }

    /// The limits of a zone's store.
    pub fn zone_store_limits(&self) -> zone_store::ZoneStoreLimits {
        let mut limits = zone_store::ZoneStoreLimits {
            max_history_records: self.history,
            deduplication_window: Span::from_secs(self.repeats_s as f64),
            max_records: self.records,
            ..zone_store::ZoneStoreLimits::default()
        };
        limits.leases.min_duration = Span::from_secs(self.lease_least_s as f64);
        limits.leases.max_duration = limits.leases.max_duration.max(limits.leases.min_duration);
        limits.leases.max_removed_fraction = self.lease_share;
        limits.leases.suspect_fraction = self.lease_suspect;
        limits
    }

    /// Who asks how much, by prefix.
    pub fn shares(&self, key: u64, now: lynxtally::Instant) -> RequestRateLimit {
        // A count stands for about two turns of half a second, so for about a second.
        let sketch = CountMinSketch::new(1 << 12, Span::from_millis(500), key, now);
        RequestRateLimit::new(sketch, self.prefix_share, self.prefix_least)
    }

    /// How a secondary paces itself where its zone is not known yet.
    pub fn times(&self) -> RetryTimes {
        RetryTimes::default()
    }
}

fn name(key: String, text: &str) -> Result<Name, Fault> {
    text.parse().map_err(|bad| Fault { key, what: format!("is {text:?}: {bad}") })
}

impl ZoneFile {
    fn check(&self, at: &str, keys: &[Arc<Key>]) -> Result<Zone, Fault> {
        let known = |key: String, text: &str| {
            let parsed = name(key.clone(), text)?;
            match keys.iter().find(|known| known.name == parsed) {
                Some(known) => Ok(known.clone()),
                None => fault(key, format!("is {text:?}, and no file of `keys` has that key")),
            }
        };
        match (&self.file, self.primaries.is_empty()) {
            (None, true) => return fault(format!("{at}.file"), "is missing, and there are no primaries"),
            (Some(_), false) => {
                return fault(format!("{at}.primaries"), "is given beside a file; a zone has one source");
            }
            _ => {}
        }
        if !self.primaries.is_empty() && !self.updates.is_empty() {
            return fault(
                format!("{at}.updates"),
                "is given for a zone that follows primaries; it takes none",
            );
        }
        let mut grants = Vec::new();
        for (n, grant) in self.updates.iter().enumerate() {
            let at = format!("{at}.updates[{n}]");
            let scope = match (&grant.name, &grant.tree, &grant.below) {
                (Some(text), None, None) => Scope::Exact(name(format!("{at}.name"), text)?),
                (None, Some(text), None) => Scope::Tree(name(format!("{at}.tree"), text)?),
                (None, None, Some(text)) => Scope::Below(name(format!("{at}.below"), text)?),
                _ => return fault(at, "has to have one of name, tree and below"),
            };
            let mut kinds = Vec::new();
            for (k, text) in grant.kinds.iter().enumerate() {
                match RecordType::parse(text).filter(|kind| !kind.is_meta()) {
                    Some(kind) => kinds.push(kind),
                    None => {
                        return fault(format!("{at}.kinds[{k}]"), format!("is {text:?}; no kind of record"))
                    }
                }
            }
            grants.push(Grant { key: known(format!("{at}.key"), &grant.key)?.name.clone(), scope, kinds });
        }
        let mut transfer_keys = Vec::new();
        for (n, key) in self.transfer.keys.iter().enumerate() {
            transfer_keys.push(known(format!("{at}.transfer.keys[{n}]"), key)?.name.clone());
        }
        let key = self.key.as_ref().map(|key| known(format!("{at}.key"), key)).transpose()?;
        Ok(Zone {
            apex: name(format!("{at}.apex"), &self.apex)?,
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

/// A file that only its owner may read.
fn private(path: &Path) -> Result<String, String> {
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
    for (n, line) in private(path)?.lines().enumerate() {
        if !line.trim().is_empty() && !line.trim_start().starts_with('#') {
            let key =
                Key::parse(line).map_err(|what| format!("is {}: line {}: {what}", path.display(), n + 1))?;
            keys.push(Arc::new(key));
        }
    }
    if keys.is_empty() {
        return Err(format!("is {}, which has no key", path.display()));
    }
    Ok(keys)
}

fn read_secret(path: &Path) -> Result<[u8; 16], String> {
    let text = private(path)?.trim().to_ascii_lowercase();
    let octets = data_encoding::HEXLOWER.decode(text.as_bytes()).ok();
    octets
        .and_then(|octets| octets.try_into().ok())
        .ok_or_else(|| format!("is {}; 32 hex digits are expected in it", path.display()))
}
