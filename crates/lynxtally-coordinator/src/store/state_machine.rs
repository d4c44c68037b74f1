//! Implements openraft's state machine and snapshots over the coordination state.

use super::error::StoreError;
use super::storage_thread::{OpenedStore, StorageHandle};
use crate::Types;
use lynxtally_coordination::{CoordinationState, LogPosition, Output};
use openraft::storage::{RaftStateMachine, Snapshot};
use openraft::{
    BasicNode, Entry, EntryPayload, LogId, OptionalSend, RaftSnapshotBuilder, SnapshotMeta, StorageError,
    StorageIOError, StoredMembership,
};
use serde::{Deserialize, Serialize};
use std::io::{self, Cursor};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tracing::error;

type Meta = SnapshotMeta<u64, BasicNode>;

/// The coordination state, with the last applied entry and the Raft membership, which openraft requires.
#[derive(Clone, Default)]
struct ReplicaState {
    coordination: CoordinationState,
    last_applied: Option<LogId<u64>>,
    membership: StoredMembership<u64, BasicNode>,
}

/// The stored form of a snapshot.
#[derive(Clone, Serialize, Deserialize)]
struct StoredSnapshot {
    meta: Meta,
    #[serde(rename = "octets")]
    state: Vec<u8>,
}

impl From<StoredSnapshot> for Snapshot<Types> {
    fn from(stored: StoredSnapshot) -> Self {
        Self { meta: stored.meta, snapshot: Box::new(Cursor::new(stored.state)) }
    }
}

/// Read access to the replicated state of this replica.
#[derive(Clone)]
pub struct SharedState {
    state: Arc<Mutex<ReplicaState>>,
    diverged: watch::Receiver<bool>,
}

impl SharedState {
    /// Calls `read` with the current state, which stays locked meanwhile.
    pub fn read<T>(&self, read: impl FnOnce(&CoordinationState) -> T) -> T {
        read(&lock(&self.state).coordination)
    }

    /// Waits until this replica's state is found to differ from the leader's.
    pub async fn diverged(&mut self) {
        // The state machine owns the sender. After it is dropped, no divergence can be found: waits forever.
        if self.diverged.wait_for(|diverged| *diverged).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Locks a mutex, also if it is poisoned. A panic may leave a command half applied, but it happens on openraft's task and ends
/// the replication, so nothing is acknowledged on such a state.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps the last snapshot in memory and writes snapshots to the folder.
#[derive(Clone)]
struct SnapshotStore {
    last: Arc<Mutex<Option<StoredSnapshot>>>,
    storage: StorageHandle,
}

impl SnapshotStore {
    /// Stores a snapshot and waits until it is durable.
    async fn store(&self, snapshot: StoredSnapshot) -> Result<(), StorageError<u64>> {
        let bytes = serde_json::to_vec(&snapshot)
            .map_err(|error| write_error(&snapshot.meta, io::Error::other(error)))?;
        let index = snapshot.meta.last_log_id.map_or(0, |last| last.index);
        let stored = self.storage.replace_state(index, bytes).await;
        stored.map_err(|failure| write_error(&snapshot.meta, io::Error::other(failure)))?;
        *lock(&self.last) = Some(snapshot);
        Ok(())
    }
}

fn write_error(meta: &Meta, error: io::Error) -> StorageError<u64> {
    StorageIOError::write_snapshot(Some(meta.signature()), &error).into()
}

/// The state machine that openraft applies committed entries to.
pub struct StateMachine {
    state: Arc<Mutex<ReplicaState>>,
    snapshots: SnapshotStore,
    diverged: watch::Sender<bool>,
}

impl StateMachine {
    /// Creates the state machine from an opened folder.
    ///
    /// # Errors
    /// The stored state can't be decoded, or does not match its digest.
    pub fn new(opened: &OpenedStore) -> Result<Self, StoreError> {
        let mut state = ReplicaState::default();
        let mut last = None;
        if let Some(bytes) = &opened.state {
            let stored: StoredSnapshot =
                serde_json::from_slice(bytes).map_err(|error| StoreError::State(error.to_string()))?;
            state = ReplicaState::restore(&stored.meta, &stored.state)
                .map_err(|error| StoreError::State(error.to_string()))?;
            last = Some(stored);
        }
        let (diverged, _) = watch::channel(false);
        let snapshots = SnapshotStore { last: Arc::new(Mutex::new(last)), storage: opened.storage.clone() };
        Ok(Self { state: Arc::new(Mutex::new(state)), snapshots, diverged })
    }

    /// Returns read access to the state.
    pub fn shared(&self) -> SharedState {
        SharedState { state: self.state.clone(), diverged: self.diverged.subscribe() }
    }

    /// Reports divergence to [`SharedState::diverged`], which stops the coordinator: a replica whose state differs from the
    /// leader's must not serve requests.
    fn check_diverged(&self, output: &Output) {
        if let Output::Diverged { index, own_digest } = output {
            error!(
                index,
                %own_digest,
                "this replica's state differs from the leader's; stopping the coordinator"
            );
            self.diverged.send_replace(true);
        }
    }
}

impl ReplicaState {
    fn restore(meta: &Meta, bytes: &[u8]) -> Result<Self, lynxtally_coordination::SnapshotError> {
        let coordination = CoordinationState::restore(bytes)?;
        Ok(Self { coordination, last_applied: meta.last_log_id, membership: meta.last_membership.clone() })
    }

    fn apply(&mut self, entry: Entry<Types>) -> Output {
        self.last_applied = Some(entry.log_id);
        match entry.payload {
            EntryPayload::Blank => Output::None,
            EntryPayload::Normal(command) => {
                let position = LogPosition { index: entry.log_id.index, term: entry.log_id.leader_id.term };
                self.coordination.apply(position, &command)
            }
            EntryPayload::Membership(membership) => {
                self.membership = StoredMembership::new(Some(entry.log_id), membership);
                Output::None
            }
        }
    }
}

/// Builds a snapshot of the state at the time when the builder was created.
pub struct SnapshotBuilder {
    state: ReplicaState,
    snapshots: SnapshotStore,
}

impl RaftSnapshotBuilder<Types> for SnapshotBuilder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError<u64>> {
        let last_applied = self.state.last_applied;
        let snapshot_id = match last_applied {
            Some(last) => format!("{}-{}", last.leader_id.term, last.index),
            None => "none".to_owned(),
        };
        let last_membership = self.state.membership.clone();
        let meta = SnapshotMeta { last_log_id: last_applied, last_membership, snapshot_id };
        let snapshot = StoredSnapshot { meta, state: self.state.coordination.snapshot() };
        self.snapshots.store(snapshot.clone()).await?;
        Ok(snapshot.into())
    }
}

impl RaftStateMachine<Types> for StateMachine {
    type SnapshotBuilder = SnapshotBuilder;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, BasicNode>), StorageError<u64>> {
        let state = lock(&self.state);
        Ok((state.last_applied, state.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Output>, StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut outputs = Vec::new();
        let mut state = lock(&self.state);
        for entry in entries {
            let output = state.apply(entry);
            self.check_diverged(&output);
            outputs.push(output);
        }
        Ok(outputs)
    }

    async fn get_snapshot_builder(&mut self) -> SnapshotBuilder {
        SnapshotBuilder { state: lock(&self.state).clone(), snapshots: self.snapshots.clone() }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError<u64>> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &Meta,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError<u64>> {
        let bytes = snapshot.into_inner();
        let state = ReplicaState::restore(meta, &bytes).map_err(|error| {
            StorageIOError::read_snapshot(Some(meta.signature()), &io::Error::other(error))
        })?;
        self.snapshots.store(StoredSnapshot { meta: meta.clone(), state: bytes }).await?;
        *lock(&self.state) = state;
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError<u64>> {
        Ok(lock(&self.snapshots.last).clone().map(Snapshot::from))
    }
}
