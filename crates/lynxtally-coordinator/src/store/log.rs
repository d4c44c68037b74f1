//! The log, as the library wants it.

use super::disk::{Job, Opened};
use super::record::{Kept, Record};
use crate::Types;
use openraft::storage::{LogFlushed, LogState, RaftLogStorage};
use openraft::{Entry, LogId, OptionalSend, RaftLogReader, StorageError, StorageIOError, Vote};
use std::fmt::Debug;
use std::io;
use std::ops::RangeBounds;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// The log: in memory, and durable by the folder's thread.
#[derive(Clone)]
pub struct Log {
    kept: Arc<Mutex<Kept>>,
    jobs: Sender<Job>,
}

impl Log {
    /// The log of an opened folder.
    pub fn new(opened: &Opened) -> Self {
        Self { kept: Arc::new(Mutex::new(opened.kept.clone())), jobs: opened.jobs.clone() }
    }

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of the last entry; 0 where there is none.
    pub fn last(&self) -> u64 {
        self.kept().last().map_or(0, |last| last.index)
    }

    /// Whether nothing was ever written here.
    pub fn is_new(&self) -> bool {
        let kept = self.kept();
        kept.vote.is_none() && kept.last().is_none()
    }

    /// Adds records and waits until they are durable.
    async fn add(&self, records: Vec<Record>) -> Result<(), StorageError<u64>> {
        let (told, outcome) = oneshot::channel();
        let done = Box::new(move |outcome| drop(told.send(outcome)));
        let sent = self.jobs.send(Job::Add(records, done));
        let outcome = match sent {
            Ok(()) => outcome.await.unwrap_or_else(|_| Err("the folder's thread is gone".to_owned())),
            Err(_) => Err("the folder's thread is gone".to_owned()),
        };
        outcome.map_err(|why| StorageIOError::write_logs(&io::Error::other(why)).into())
    }
}

impl RaftLogReader<Types> for Log {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: R,
    ) -> Result<Vec<Entry<Types>>, StorageError<u64>> {
        Ok(self.kept().entries.range(range).map(|(_, entry)| entry.clone()).collect())
    }
}

impl RaftLogStorage<Types> for Log {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError<u64>> {
        let kept = self.kept();
        Ok(LogState { last_purged_log_id: kept.purged, last_log_id: kept.last() })
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StorageError<u64>> {
        self.add(vec![Record::Vote(*vote)]).await?;
        self.kept().vote = Some(*vote);
        Ok(())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StorageError<u64>> {
        Ok(self.kept().vote)
    }

    async fn append<I>(&mut self, entries: I, flushed: LogFlushed<Types>) -> Result<(), StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut records = Vec::new();
        {
            let mut kept = self.kept();
            for entry in entries {
                kept.take(Record::Entry(entry.clone()));
                records.push(Record::Entry(entry));
            }
        }
        let done = Box::new(move |outcome: Result<(), String>| {
            flushed.log_io_completed(outcome.map_err(io::Error::other));
        });
        let gone = || StorageIOError::write_logs(&io::Error::other("the folder's thread is gone")).into();
        self.jobs.send(Job::Add(records, done)).map_err(|_| gone())
    }

    async fn truncate(&mut self, from: LogId<u64>) -> Result<(), StorageError<u64>> {
        self.kept().take(Record::Truncate(from.index));
        self.add(vec![Record::Truncate(from.index)]).await
    }

    async fn purge(&mut self, up_to: LogId<u64>) -> Result<(), StorageError<u64>> {
        self.kept().take(Record::Purge(up_to));
        self.add(vec![Record::Purge(up_to)]).await
    }
}
