//! Base files: full versions of zones that snapshots and logs refer to. Finds those that nothing refers to any more.

use lynxtally_wal::Storage;
use lynxtally_zones::zone_store::{decode, Snapshot};
use memchr::memmem;
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use std::time::Duration;

/// The minimum age at which an unreferenced base file is deleted. The log entry that references a new base file is
/// written within seconds.
const MIN_BASE_AGE: Duration = Duration::from_secs(600);
/// How much of a log is in memory at a time. Logs may be longer than the memory of the server.
const CHUNK_BYTES: usize = 64 * 1024;

/// Deletes the base files of a log that are referenced by no remaining snapshot or log. The last two snapshots and the logs
/// after them remain.
///
/// # Errors
/// A file can't be read or decoded; nothing is deleted.
pub fn remove_unreferenced_bases(state: &Path, storage: &mut impl Storage, name: &str) -> io::Result<()> {
    let mut files = storage.list()?;
    files.retain(|file| file.starts_with(&format!("{name}.")));
    let is_candidate = |file: &String| file.ends_with(".base") && !is_recent(&state.join(file));
    let mut unreferenced: Vec<String> = files.iter().filter(|file| is_candidate(file)).cloned().collect();
    for file in files.iter().filter(|file| file.ends_with(".snap")) {
        let base = base_of_snapshot(storage, file)?;
        unreferenced.retain(|candidate| *candidate != base);
    }
    for file in files.iter().filter(|file| file.ends_with(".log")) {
        if unreferenced.is_empty() {
            break;
        }
        remove_mentioned(File::open(state.join(file))?, &mut unreferenced)?;
    }
    for file in &unreferenced {
        storage.remove(file)?;
    }
    Ok(())
}

/// Whether a file is so new that the entry that references it may not be in the log yet.
fn is_recent(path: &Path) -> bool {
    let modified = std::fs::metadata(path).and_then(|found| found.modified());
    modified.is_ok_and(|modified| modified.elapsed().unwrap_or_default() < MIN_BASE_AGE)
}

fn base_of_snapshot(storage: &mut impl Storage, file: &str) -> io::Result<String> {
    let octets = storage.read(file)?.unwrap_or_default();
    let damaged = || io::Error::new(io::ErrorKind::InvalidData, format!("{file} is damaged"));
    let sealed = lynxtally_wal::decode_checksummed_file(&octets).ok_or_else(damaged)?;
    let snapshot: Snapshot = decode(sealed.content).map_err(|_| damaged())?;
    Ok(snapshot.base)
}

/// Removes the names that occur in a log from `names`. An entry holds the name of its base file as plain text.
///
/// # Errors
/// The log can't be read.
pub fn remove_mentioned(mut log: impl Read, names: &mut Vec<String>) -> io::Result<()> {
    // A name may lie across the border of two chunks.
    let overlap = names.iter().map(String::len).max().unwrap_or(0);
    let mut buffer = vec![0; CHUNK_BYTES + overlap];
    let mut kept = 0;
    loop {
        let read = match log.read(&mut buffer[kept..]) {
            Ok(0) => return Ok(()),
            Ok(read) => read,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) => return Err(error),
        };
        let filled = kept + read;
        names.retain(|name| memmem::find(&buffer[..filled], name.as_bytes()).is_none());
        kept = overlap.min(filled);
        buffer.copy_within(filled - kept..filled, 0);
    }
}
