//! The records of the write-ahead log.

use crate::Types;
use openraft::{Entry, LogId, Vote};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One change of the Raft log. The names of the variants and of the fields below are those of the stored records.
#[derive(Serialize, Deserialize)]
pub(crate) enum LogRecord {
    /// What this replica voted for.
    Vote(Vote<u64>),
    /// An entry at its own index.
    Entry(Entry<Types>),
    /// Entries from this index on are gone: a leader had others.
    Truncate(u64),
    /// Entries up to this one are gone: a snapshot has them.
    Purge(LogId<u64>),
}

/// What the records add up to. It is also what the log is rewritten as.
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

    /// The last entry, or the last one that a snapshot has.
    pub fn last_log_id(&self) -> Option<LogId<u64>> {
        self.entries.last_key_value().map(|(_, entry)| entry.log_id).or(self.purged)
    }
}
