//! The thread that owns the folder.

use super::record::{Kept, Record};
use super::StoreFault;
use lynxtally_wal::{seal, unseal, Recovered, SealedFile, Storage, WriteAheadLog};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

/// The journal's name in the folder.
const NAME: &str = "log";
/// The state's file.
pub(crate) const STATE: &str = "state";
/// The journal is written anew once it has grown by so many octets.
const GROWN: u64 = 8 << 20;

/// Who is told that something is durable, or why it is not.
pub(crate) type Done = Box<dyn FnOnce(Result<(), String>) + Send>;

/// What the thread does.
pub(crate) enum Job {
    /// Records to be added, and made durable.
    Add(Vec<Record>, Done),
    /// The state, to be replaced.
    State(u64, Vec<u8>, Done),
}

/// What was found in a folder.
pub struct Opened {
    pub(crate) kept: Kept,
    /// The state, as it was last sealed.
    pub(crate) state: Option<Vec<u8>>,
    pub(crate) jobs: Sender<Job>,
    /// What was cut off at the end of the log: it was never acknowledged.
    pub cut: Option<String>,
}

/// Opens a folder and starts its thread.
///
/// # Errors
/// The folder fails, or holds something that can't be trusted: nothing is changed then.
pub fn open(mut folder: impl Storage + Send + 'static) -> Result<Opened, StoreFault> {
    let (journal, Recovered { snapshot, entries, torn_tail: cut, damage }) =
        WriteAheadLog::open(&mut folder, NAME).map_err(StoreFault::Storage)?;
    if let Some(damaged) = damage.into_iter().next() {
        return Err(StoreFault::Damaged(damaged));
    }
    let first = journal.next_number() - entries.len() as u64;
    let record = |number, fault: serde_json::Error| StoreFault::Record { number, why: fault.to_string() };
    let mut kept: Kept = match snapshot {
        Some(octets) => serde_json::from_slice(&octets).map_err(|fault| record(first, fault))?,
        None => Kept::default(),
    };
    for (n, octets) in (first..).zip(&entries) {
        kept.take(serde_json::from_slice(octets).map_err(|fault| record(n, fault))?);
    }
    let state = match folder.read(STATE).map_err(|why| StoreFault::State(why.to_string()))? {
        None => None,
        Some(sealed) => {
            let SealedFile { content, .. } =
                unseal(&sealed).ok_or_else(|| StoreFault::State("it is not whole".to_owned()))?;
            Some(content.to_vec())
        }
    };
    let (jobs, to_do) = channel();
    let copy = kept.clone();
    thread::Builder::new()
        .name("folder".to_owned())
        .spawn(move || work(folder, journal, copy, &to_do))
        .map_err(|why| StoreFault::Failed(why.to_string()))?;
    let cut = cut.map(|cut| format!("{}: {} octets from {} on", cut.file, cut.length, cut.offset));
    Ok(Opened { kept, state, jobs, cut })
}

fn work(mut folder: impl Storage, mut journal: WriteAheadLog, mut kept: Kept, jobs: &Receiver<Job>) {
    // After a failed write or sync nobody knows what is on the disk: nothing more is acknowledged.
    let mut failed: Option<String> = None;
    while let Ok(first) = jobs.recv() {
        let mut waiting = vec![first];
        waiting.extend(jobs.try_iter());
        let mut told = Vec::new();
        let mut states = Vec::new();
        for job in waiting {
            match job {
                Job::Add(records, done) => {
                    for record in records {
                        match serde_json::to_vec(&record) {
                            Ok(octets) => drop(journal.append(&octets)),
                            Err(why) => failed = failed.or(Some(why.to_string())),
                        }
                        kept.take(record);
                    }
                    told.push(done);
                }
                Job::State(number, octets, done) => states.push((number, octets, done)),
            }
        }
        if failed.is_none() {
            failed = journal.commit(&mut folder).err().map(|fault| fault.to_string());
        }
        let outcome = failed.clone().map_or(Ok(()), Err);
        told.into_iter().for_each(|done| done(outcome.clone()));
        for (number, octets, done) in states {
            if failed.is_none() {
                failed =
                    folder.replace(STATE, &seal(number, &octets)).err().map(|why| format!("{STATE}: {why}"));
            }
            done(failed.clone().map_or(Ok(()), Err));
        }
        if failed.is_none() && journal.bytes_since_snapshot() > GROWN {
            let rotation = journal.rotate();
            let octets = serde_json::to_vec(&kept).map_err(|why| why.to_string());
            let written = octets.and_then(|octets| {
                WriteAheadLog::write_snapshot(&mut folder, NAME, rotation, &octets)
                    .map_err(|fault| fault.to_string())
            });
            failed = written.err();
        }
    }
}
