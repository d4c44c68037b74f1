//! The thread that writes the zones' logs. It writes all waiting batches, then syncs each file once for all of them.

use lynxtally_wal::{Batch, Storage};
use std::collections::BTreeMap;
use std::sync::mpsc::Receiver;

pub use lynxtally_net::directory::DirectoryStorage;

/// A batch of log entries to write and sync.
pub struct AppendJob {
    /// The index of its zone.
    pub zone: usize,
    /// The entries.
    pub batch: Batch,
}

/// Writes batches until the senders are gone. `on_durable` gets a zone and the number below which all its entries are
/// durable, or why its log failed. After a failure nothing more is written for that zone.
pub fn run(
    mut folder: impl Storage,
    jobs: &Receiver<AppendJob>,
    mut on_durable: impl FnMut(usize, Result<u64, String>),
) {
    let mut failed: BTreeMap<usize, String> = BTreeMap::new();
    while let Ok(first_job) = jobs.recv() {
        let mut waiting = vec![first_job];
        waiting.extend(jobs.try_iter());
        let (mut files, mut written): (BTreeMap<String, usize>, BTreeMap<usize, u64>) = Default::default();
        for AppendJob { zone, batch } in waiting {
            if failed.contains_key(&zone) {
                continue;
            }
            match folder.append(&batch.file, &batch.bytes) {
                Ok(()) => {
                    files.insert(batch.file, zone);
                    written.insert(zone, batch.durable_below);
                }
                Err(why) => {
                    failed.insert(zone, format!("{}: {why}", batch.file));
                }
            }
        }
        for (file, zone) in files {
            // After a failed sync the content of the disk is unknown: a second sync could succeed although data was lost.
            if let Err(why) = folder.sync(&file) {
                failed.insert(zone, format!("{file}: {why}"));
            }
        }
        for (zone, durable_below) in written {
            on_durable(zone, failed.get(&zone).map_or(Ok(durable_below), |why| Err(why.clone())));
        }
        for (zone, why) in &failed {
            on_durable(*zone, Err(why.clone()));
        }
    }
}
