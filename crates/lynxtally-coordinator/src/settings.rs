//! The settings of a coordinator. They are read from a Jsonnet template and validated only here.

use lynxtally_template::TemplateError;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The settings of a coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of this coordinator, counted from 1.
    pub id: u64,
    /// The addresses of all coordinators, in the order of their numbers.
    pub coordinators: Vec<SocketAddr>,
    /// The folder for the log and the snapshots.
    pub folder: PathBuf,
    /// Followers elect a new leader when they have received no heartbeat for this long. The heartbeat interval and other
    /// timeouts are multiples or fractions of it.
    pub election_timeout: Duration,
    /// How often the leader divides the budgets among the nodes again.
    pub tick_interval: Duration,
    /// After this many log entries a snapshot is built and the log is purged.
    pub entries_per_snapshot: u64,
}

impl Settings {
    /// The address that this coordinator listens on.
    pub fn own_address(&self) -> SocketAddr {
        // `read` has checked that `id` is between 1 and the length of the list.
        self.coordinators[self.id as usize - 1]
    }
}

/// Why settings can't be used. Displayed as one line that names the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The template can't be evaluated, or its result does not have the expected structure.
    Template(TemplateError),
    /// A value is not allowed.
    Invalid {
        /// The path of the template.
        file: PathBuf,
        /// The settings key.
        key: &'static str,
        /// Why the value is not allowed.
        problem: Problem,
    },
}

/// Why a value in the settings is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The number of addresses is not 1, 3 or 5.
    AddressCount(usize),
    /// The list has the same address twice.
    DuplicateAddress(SocketAddr),
    /// A number is outside its range.
    OutOfRange {
        /// The number in the settings.
        value: u64,
        /// The smallest allowed number.
        min: u64,
        /// The largest allowed number.
        max: u64,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Template(error) => error.fmt(f),
            Self::Invalid { file, key, problem } => write!(f, "{}: `{key}` {problem}", file.display()),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::AddressCount(count) => write!(f, "has {count} addresses; 1, 3 or 5 are expected"),
            Self::DuplicateAddress(address) => write!(f, "names {address} twice"),
            Self::OutOfRange { value, min, max } => write!(f, "is {value}; {min} to {max} is expected"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// The keys of the template. They are part of the public interface; `rename` maps them to the names in the code.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    id: u64,
    #[serde(rename = "keepers")]
    coordinators: Vec<SocketAddr>,
    folder: PathBuf,
    #[serde(default = "default_election_ms")]
    election_ms: u64,
    #[serde(default = "default_tick_ms")]
    tick_ms: u64,
    #[serde(default = "default_entries")]
    entries: u64,
}

fn default_election_ms() -> u64 {
    1000
}

fn default_tick_ms() -> u64 {
    250
}

fn default_entries() -> u64 {
    20_000
}

/// Reads and validates a template.
///
/// # Errors
/// The template can't be read or evaluated, or a value is not allowed.
pub fn read(path: &Path) -> Result<Settings, SettingsError> {
    let file: File = lynxtally_template::read(path).map_err(SettingsError::Template)?;
    if let Err((key, problem)) = validate(&file) {
        return Err(SettingsError::Invalid { file: path.to_owned(), key, problem });
    }
    Ok(Settings {
        id: file.id,
        coordinators: file.coordinators,
        folder: file.folder,
        election_timeout: Duration::from_millis(file.election_ms),
        tick_interval: Duration::from_millis(file.tick_ms),
        entries_per_snapshot: file.entries,
    })
}

fn validate(file: &File) -> Result<(), (&'static str, Problem)> {
    let count = file.coordinators.len();
    if !matches!(count, 1 | 3 | 5) {
        return Err(("keepers", Problem::AddressCount(count)));
    }
    let mut sorted = file.coordinators.clone();
    sorted.sort_unstable();
    if let Some(pair) = sorted.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(("keepers", Problem::DuplicateAddress(pair[0])));
    }
    for (key, value, min, max) in [
        ("id", file.id, 1, count as u64),
        ("election_ms", file.election_ms, 50, 60_000),
        ("tick_ms", file.tick_ms, 10, 60_000),
        ("entries", file.entries, 100, 10_000_000),
    ] {
        if !(min..=max).contains(&value) {
            return Err((key, Problem::OutOfRange { value, min, max }));
        }
    }
    Ok(())
}
