//! What a keeper is told: a Jsonnet template, read and checked here and nowhere else.

use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// All that a keeper is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Which of the keepers it is, counted from 1.
    pub id: u64,
    /// Where all of them listen, in the order of their numbers.
    pub keepers: Vec<SocketAddr>,
    /// Where its log and snapshots are.
    pub folder: PathBuf,
    /// Silent for so long, a leader is replaced; heartbeats and time-outs are ratios to it.
    pub election: Duration,
    /// What is shared is divided anew this often.
    pub tick: Duration,
    /// After so many entries the log is shortened.
    pub entries: u64,
}

/// Why settings can't be used: file, key and reason on one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unusable(String);

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Unusable {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    id: u64,
    keepers: Vec<SocketAddr>,
    folder: PathBuf,
    #[serde(default = "election_ms")]
    election_ms: u64,
    #[serde(default = "tick_ms")]
    tick_ms: u64,
    #[serde(default = "entries")]
    entries: u64,
}

fn election_ms() -> u64 {
    1000
}

fn tick_ms() -> u64 {
    250
}

fn entries() -> u64 {
    20_000
}

/// Reads and checks a template.
///
/// # Errors
/// One line with file, key and reason.
pub fn read(path: &Path) -> Result<Settings, Unusable> {
    let file: File = lynxtally_template::read(path).map_err(Unusable)?;
    let wrong = |key: &str, what: String| Err(Unusable(format!("{}: `{key}` {what}", path.display())));
    if !matches!(file.keepers.len(), 1 | 3 | 5) {
        return wrong("keepers", format!("has {} addresses; 1, 3 or 5 are expected", file.keepers.len()));
    }
    let mut sorted = file.keepers.clone();
    sorted.sort_unstable();
    if let Some(pair) = sorted.windows(2).find(|pair| pair[0] == pair[1]) {
        return wrong("keepers", format!("names {} twice", pair[0]));
    }
    if !(1..=file.keepers.len() as u64).contains(&file.id) {
        return wrong("id", format!("is {}; 1 to {} is expected", file.id, file.keepers.len()));
    }
    for (key, value, least, most) in [
        ("election_ms", file.election_ms, 50, 60_000),
        ("tick_ms", file.tick_ms, 10, 60_000),
        ("entries", file.entries, 100, 10_000_000),
    ] {
        if !(least..=most).contains(&value) {
            return wrong(key, format!("is {value}; {least} to {most} is expected"));
        }
    }
    Ok(Settings {
        id: file.id,
        keepers: file.keepers,
        folder: file.folder,
        election: Duration::from_millis(file.election_ms),
        tick: Duration::from_millis(file.tick_ms),
        entries: file.entries,
    })
}
