//! Implements openraft's log storage.

use super::error::StorageFailure;
use super::log_record::{LogContent, LogRecord};
use super::storage_thread::{Job, OpenedStore, StorageHandle};
use crate::Types;
use openraft::storage::{LogFlushed, LogState, RaftLogStorage};
use openraft::{Entry, LogId, OptionalSend, RaftLogReader, StorageError, StorageIOError, Vote};
use std::fmt::Debug;
use std::io;
use std::ops::RangeBounds;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The Raft log. Reads are served from memory; the storage thread makes changes durable.
#[derive(Clone)]
pub struct RaftLog {
    content: Arc<Mutex<LogContent>>,
    storage: StorageHandle,
}

impl RaftLog {
    /// Creates the log from an opened folder.
    pub fn new(opened: &OpenedStore) -> Self {
        Self { content: Arc::new(Mutex::new(opened.log.clone())), storage: opened.storage.clone() }
    }

    /// The index of the last entry, or 0 if there is none.
    pub fn last_index(&self) -> u64 {
        self.content().last_log_id().map_or(0, |last| last.index)
    }

    /// Whether the folder has neither a vote nor entries: the replica never took part in the replication.
    pub fn is_new(&self) -> bool {
        let content = self.content();
        content.vote.is_none() && content.last_log_id().is_none()
    }

    fn content(&self) -> MutexGuard<'_, LogContent> {
        // A panic can't leave a change half applied, so a poisoned lock is usable.
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a record and waits until it is durable.
    async fn append_record(&self, record: LogRecord) -> Result<(), StorageError<u64>> {
        self.storage.append_records(vec![record]).await.map_err(write_error)
    }
}

fn write_error(failure: StorageFailure) -> StorageError<u64> {
    StorageIOError::write_logs(&io::Error::other(failure)).into()
}

impl RaftLogReader<Types> for RaftLog {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: R,
    ) -> Result<Vec<Entry<Types>>, StorageError<u64>> {
        Ok(self.content().entries.range(range).map(|(_, entry)| entry.clone()).collect())
    }
}

impl RaftLogStorage<Types> for RaftLog {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError<u64>> {
        let content = self.content();
        Ok(LogState { last_purged_log_id: content.purged, last_log_id: content.last_log_id() })
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StorageError<u64>> {
        self.append_record(LogRecord::Vote(*vote)).await?;
        self.content().vote = Some(*vote);
        Ok(())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StorageError<u64>> {
        Ok(self.content().vote)
    }

    /// Returns when the entries can be read. `flushed` tells openraft later that they are durable.
    async fn append<I>(&mut self, entries: I, flushed: LogFlushed<Types>) -> Result<(), StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut records = Vec::new();
        {
            let mut content = self.content();
            for entry in entries {
                content.apply(LogRecord::Entry(entry.clone()));
                records.push(LogRecord::Entry(entry));
            }
        }
        let on_durable = Box::new(move |outcome: Result<(), StorageFailure>| {
            flushed.log_io_completed(outcome.map_err(io::Error::other));
        });
        self.storage.send(Job::AppendRecords { records, on_durable }).map_err(write_error)
    }

    async fn truncate(&mut self, from: LogId<u64>) -> Result<(), StorageError<u64>> {
        self.content().apply(LogRecord::Truncate(from.index));
        self.append_record(LogRecord::Truncate(from.index)).await
    }

    async fn purge(&mut self, up_to: LogId<u64>) -> Result<(), StorageError<u64>> {
        self.content().apply(LogRecord::Purge(up_to));
        self.append_record(LogRecord::Purge(up_to)).await
    }
}
