//! What stands in the journal.

use crate::Types;
use openraft::{Entry, LogId, Vote};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One step of the log.
#[derive(Serialize, Deserialize)]
pub(crate) enum Record {
    /// Whom this keeper voted for.
    Vote(Vote<u64>),
    /// An entry at its own number.
    Entry(Entry<Types>),
    /// Entries from this number on are gone: a leader had others.
    Truncate(u64),
    /// Entries up to this one are gone: a snapshot has them.
    Purge(LogId<u64>),
}

/// What the records add up to; also the journal's snapshot.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Kept {
    pub vote: Option<Vote<u64>>,
    pub purged: Option<LogId<u64>>,
    pub entries: BTreeMap<u64, Entry<Types>>,
}

impl Kept {
    pub fn take(&mut self, record: Record) {
        match record {
            Record::Vote(vote) => self.vote = Some(vote),
            Record::Entry(entry) => {
                self.entries.insert(entry.log_id.index, entry);
            }
            Record::Truncate(from) => {
                self.entries.split_off(&from);
            }
            Record::Purge(up_to) => {
                self.entries = self.entries.split_off(&(up_to.index + 1));
                self.purged = Some(up_to);
            }
        }
    }

    /// The last entry's place, or that of the last one that a snapshot has.
    pub fn last(&self) -> Option<LogId<u64>> {
        self.entries.last_key_value().map(|(_, entry)| entry.log_id).or(self.purged)
    }
}
