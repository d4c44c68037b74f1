//! The records of the write-ahead log.

use crate::Types;
use openraft::{Entry, LogId, Vote};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change of the Raft log. The variant names, and the field names of [`LogContent`], are part of the stored format.
#[derive(Serialize, Deserialize)]
pub(crate) enum LogRecord {
    /// Saves this replica's vote.
    Vote(Vote<u64>),
    /// Inserts an entry at its index.
    Entry(Entry<Types>),
    /// Removes the entries from this index on, which conflict with the leader's log.
    Truncate(u64),
    /// Removes the entries up to and including this one, which a snapshot covers.
    Purge(LogId<u64>),
}

/// The result of applying all records. It is also the content of the write-ahead log's snapshots.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct LogContent {
    pub vote: Option<Vote<u64>>,
    pub purged: Option<LogId<u64>>,
    pub entries: BTreeMap<u64, Entry<Types>>,
}

impl LogContent {
    pub fn apply(&mut self, record: LogRecord) {
        match record {
            LogRecord::Vote(vote) => self.vote = Some(vote),
            LogRecord::Entry(entry) => {
                self.entries.insert(entry.log_id.index, entry);
            }
            LogRecord::Truncate(from) => {
                self.entries.split_off(&from);
            }
            LogRecord::Purge(up_to) => {
                self.entries = self.entries.split_off(&(up_to.index + 1));
                self.purged = Some(up_to);
            }
        }
    }

    /// The ID of the last entry, or of the last purged entry if the log is empty.
    pub fn last_log_id(&self) -> Option<LogId<u64>> {
        self.entries.last_key_value().map(|(_, entry)| entry.log_id).or(self.purged)
    }
}
