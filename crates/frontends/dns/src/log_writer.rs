//! The thread that makes logs durable: all that waits is written, and then made durable once for all of it.

use lynxtally_wal::{Batch, Storage};
use std::collections::BTreeMap;
use std::sync::mpsc::Receiver;

pub use lynxtally_net::directory::DirectoryStorage;

/// What the log's thread is to make durable.
pub struct AppendJob {
    /// Whose it is.
    pub zone: usize,
    /// What.
    pub batch: Batch,
}

/// Works until nobody sends any more; `done` hears of each zone up to which number its entries are durable, or
/// that the log failed.
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
            // After a failed sync nobody knows what is on the disk: trying again could call lost octets durable.
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
