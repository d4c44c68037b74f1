//! The register, as the library wants it.

use super::disk::{Job, Opened};
use super::StoreFault;
use crate::Types;
use lynxtally_coordination::{CoordinationState, LogPosition, Output};
use openraft::storage::{RaftStateMachine, Snapshot};
use openraft::{
    BasicNode, Entry, EntryPayload, LogId, OptionalSend, RaftSnapshotBuilder, SnapshotMeta, StorageError,
    StorageIOError, StoredMembership,
};
use serde::{Deserialize, Serialize};
use std::io::{self, Cursor};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{oneshot, watch};
use tracing::error;

/// The state with what the library wants to know of it.
#[derive(Clone, Default)]
struct State {
    register: CoordinationState,
    applied: Option<LogId<u64>>,
    membership: StoredMembership<u64, BasicNode>,
}

/// The state as it is sealed and sent.
#[derive(Serialize, Deserialize)]
struct Sealed {
    meta: SnapshotMeta<u64, BasicNode>,
    octets: Vec<u8>,
}

/// The register as others see it.
#[derive(Clone)]
pub struct Shared {
    state: Arc<Mutex<State>>,
    differs: watch::Receiver<bool>,
}

impl Shared {
    /// Looks at the register as it is now.
    pub fn look<T>(&self, look: impl FnOnce(&CoordinationState) -> T) -> T {
        look(&lock(&self.state).register)
    }

    /// Waits until this keeper's state is found not to be the leader's.
    pub async fn differs(&mut self) {
        // The sender lives as long as the state machine; without it there is nothing to wait for.
        if self.differs.wait_for(|differs| *differs).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The last snapshot.
type Last = Arc<Mutex<Option<(SnapshotMeta<u64, BasicNode>, Vec<u8>)>>>;

/// The state machine.
pub struct Machine {
    state: Arc<Mutex<State>>,
    sealed: Last,
    jobs: Sender<Job>,
    differs: watch::Sender<bool>,
}

impl Machine {
    /// The state of an opened folder.
    ///
    /// # Errors
    /// The sealed state can't be read or is not what its digest says.
    pub fn new(opened: &Opened) -> Result<Self, StoreFault> {
        let mut state = State::default();
        let mut sealed = None;
        if let Some(octets) = &opened.state {
            let read: Sealed =
                serde_json::from_slice(octets).map_err(|why| StoreFault::State(why.to_string()))?;
            state.register =
                CoordinationState::restore(&read.octets).map_err(|why| StoreFault::State(why.to_string()))?;
            state.applied = read.meta.last_log_id;
            state.membership = read.meta.last_membership.clone();
            sealed = Some((read.meta, read.octets));
        }
        let state = Arc::new(Mutex::new(state));
        let (differs, _) = watch::channel(false);
        Ok(Self { state, sealed: Arc::new(Mutex::new(sealed)), jobs: opened.jobs.clone(), differs })
    }

    /// What others see of it.
    pub fn shared(&self) -> Shared {
        Shared { state: self.state.clone(), differs: self.differs.subscribe() }
    }

    async fn keep(
        jobs: &Sender<Job>,
        meta: &SnapshotMeta<u64, BasicNode>,
        octets: Vec<u8>,
    ) -> Result<(), StorageError<u64>> {
        let fault =
            |why: String| StorageIOError::write_snapshot(Some(meta.signature()), &io::Error::other(why));
        let number = meta.last_log_id.map_or(0, |last| last.index);
        let sealed = serde_json::to_vec(&Sealed { meta: meta.clone(), octets })
            .map_err(|why| fault(why.to_string()))?;
        let (told, outcome) = oneshot::channel();
        let done = Box::new(move |outcome| drop(told.send(outcome)));
        let gone = || fault("the folder's thread is gone".to_owned());
        jobs.send(Job::State(number, sealed, done)).map_err(|_| gone())?;
        outcome.await.map_err(|_| gone())?.map_err(fault)?;
        Ok(())
    }
}

/// Makes a snapshot of the state as it was when it was asked for.
pub struct Builder {
    state: State,
    sealed: Last,
    jobs: Sender<Job>,
}

impl RaftSnapshotBuilder<Types> for Builder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError<u64>> {
        let State { register, applied, membership } = &self.state;
        let octets = register.snapshot();
        let id =
            applied.map_or_else(|| "none".to_owned(), |at| format!("{}-{}", at.leader_id.term, at.index));
        let meta =
            SnapshotMeta { last_log_id: *applied, last_membership: membership.clone(), snapshot_id: id };
        Machine::keep(&self.jobs, &meta, octets.clone()).await?;
        *self.sealed.lock().unwrap_or_else(PoisonError::into_inner) = Some((meta.clone(), octets.clone()));
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(octets)) })
    }
}

impl RaftStateMachine<Types> for Machine {
    type SnapshotBuilder = Builder;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, BasicNode>), StorageError<u64>> {
        let state = lock(&self.state);
        Ok((state.applied, state.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Output>, StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut answers = Vec::new();
        let mut state = lock(&self.state);
        for entry in entries {
            state.applied = Some(entry.log_id);
            let place = LogPosition { index: entry.log_id.index, term: entry.log_id.leader_id.term };
            answers.push(match entry.payload {
                EntryPayload::Blank => Output::None,
                EntryPayload::Normal(stamped) => state.register.apply(place, &stamped),
                EntryPayload::Membership(membership) => {
                    state.membership = StoredMembership::new(Some(entry.log_id), membership);
                    Output::None
                }
            });
            if let Some(Output::Diverged { index: number, own_digest: own }) = answers.last() {
                error!(number, %own, "the state here is not the leader's: this keeper does not go on");
                self.differs.send_replace(true);
            }
        }
        Ok(answers)
    }

    async fn get_snapshot_builder(&mut self) -> Builder {
        Builder { state: lock(&self.state).clone(), sealed: self.sealed.clone(), jobs: self.jobs.clone() }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError<u64>> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<u64, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError<u64>> {
        let octets = snapshot.into_inner();
        let register = CoordinationState::restore(&octets).map_err(|why| {
            StorageIOError::read_snapshot(Some(meta.signature()), &io::Error::other(why.to_string()))
        })?;
        Self::keep(&self.jobs, meta, octets.clone()).await?;
        *self.sealed.lock().unwrap_or_else(PoisonError::into_inner) = Some((meta.clone(), octets));
        *lock(&self.state) =
            State { register, applied: meta.last_log_id, membership: meta.last_membership.clone() };
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError<u64>> {
        let sealed = self.sealed.lock().unwrap_or_else(PoisonError::into_inner).clone();
        Ok(sealed.map(|(meta, octets)| Snapshot { meta, snapshot: Box::new(Cursor::new(octets)) }))
    }
}
