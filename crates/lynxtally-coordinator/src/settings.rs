//! The settings of a coordinator: a Jsonnet template, read and checked here and nowhere else.

use lynxtally_template::TemplateError;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The settings of a coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Which of the coordinators it is, counted from 1.
    pub id: u64,
    /// Where all of them listen, in the order of their numbers.
    pub coordinators: Vec<SocketAddr>,
    /// Where its log and snapshots are.
    pub folder: PathBuf,
    /// A leader that is silent for longer is replaced. Heartbeats and other timeouts are ratios to it.
    pub election_timeout: Duration,
    /// How often the leader has budgets divided anew.
    pub tick_interval: Duration,
    /// After as many entries a snapshot is made and the log is shortened.
    pub entries_per_snapshot: u64,
}

impl Settings {
    /// Where this coordinator listens.
    pub fn own_address(&self) -> SocketAddr {
        // `read` has checked that the number is one of the list's.
        self.coordinators[self.id as usize - 1]
    }
}

/// Why settings can't be used. Its text is one line, with the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The template can't be evaluated, or has not the expected form.
    Template(TemplateError),
    /// A value is not allowed.
    Invalid {
        /// The file.
        file: PathBuf,
        /// The key.
        key: &'static str,
        /// What is wrong with its value.
        problem: Problem,
    },
}

/// What is wrong with a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// There are not 1, 3 or 5 addresses.
    AddressCount(usize),
    /// An address stands twice.
    DuplicateAddress(SocketAddr),
    /// A number is out of its range.
    OutOfRange {
        /// The number.
        value: u64,
        /// The smallest that is allowed.
        min: u64,
        /// The largest that is allowed.
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

/// The template's form. Its keys are older than the names here.
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

/// Reads and checks a template.
///
/// # Errors
/// The file, the key and what is wrong with it.
pub fn read(path: &Path) -> Result<Settings, SettingsError> {
    let file: File = lynxtally_template::read(path).map_err(SettingsError::Template)?;
    if let Err((key, problem)) = check(&file) {
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

fn check(file: &File) -> Result<(), (&'static str, Problem)> {
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
