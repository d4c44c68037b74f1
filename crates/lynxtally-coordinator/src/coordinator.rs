//! One coordinator, from its start to its end.

use crate::leader::Leader;
use crate::net::{self, Peers, RunningReplica, ServerState};
use crate::settings::Settings;
use crate::startup;
use crate::store::{self, RaftLog, StateMachine, StoreError};
use crate::{CoordinatorError, Raft};
use lynxtally_net::directory::DirectoryStorage;
use openraft::{BasicNode, Config, SnapshotPolicy};
use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tracing::{info, warn};

/// Heartbeats in an election timeout.
const HEARTBEATS_PER_ELECTION: u32 = 5;
/// The election timeout is drawn from the one that is set to this many times it, so that two candidates rarely stand
/// against each other.
const ELECTION_SPREAD: f64 = 2.0;
/// Election timeouts in which a snapshot has to be installed.
const SNAPSHOT_ELECTION_TIMEOUTS: u64 = 10;
/// After a snapshot one in this many of the entries that led to it is kept, for replicas that are a little behind.
const KEPT_ENTRIES_PART: u64 = 10;
/// Snapshots are sent in pieces of this size, in bytes.
const SNAPSHOT_CHUNK_BYTES: u64 = 1 << 20;

/// Runs a coordinator until `end` is ready.
///
/// # Errors
/// Why it can't go on.
pub async fn run(settings: Settings, end: impl Future<Output = ()> + Send) -> Result<(), CoordinatorError> {
    let (log, state_machine) = open_store(&settings)?;
    let mut state = state_machine.shared();
    let listener = listen(&settings).await?;
    let (announce_replica, replica) = watch::channel(None);
    let (close_server, server_closed) = watch::channel(false);
    let server_state = ServerState { state: state.clone(), replica };
    let server = tokio::spawn(net::serve(listener, server_state, is_set(server_closed)));
    tokio::pin!(end);
    let replica = tokio::select! {
        () = &mut end => return Ok(()),
        started = start_replica(&settings, log, state_machine) => started?,
    };
    info!(id = settings.id, coordinators = settings.coordinators.len(), listen = %settings.own_address(), "taking part");
    announce_replica.send_replace(Some(replica.clone()));
    let ticks = tokio::spawn(replica.leader.tick_while_leading(settings.tick_interval));
    let ended = tokio::select! {
        () = &mut end => Ok(()),
        () = state.diverged() => Err(CoordinatorError::Diverged),
        reason = replication_ended(&replica.raft) => Err(CoordinatorError::Replication(reason)),
    };
    ticks.abort();
    close_server.send_replace(true);
    // Requests under way are answered; a connection that stays open is not waited for.
    let _ = tokio::time::timeout(settings.election_timeout, server).await;
    if let Err(error) = replica.raft.shutdown().await {
        warn!(%error, "the replication did not shut down cleanly");
    }
    ended
}

fn open_store(settings: &Settings) -> Result<(RaftLog, StateMachine), CoordinatorError> {
    let in_folder = |error: &dyn fmt::Display| {
        CoordinatorError::Folder(format!("{}: {error}", settings.folder.display()))
    };
    let folder = DirectoryStorage::new(&settings.folder).map_err(|error| in_folder(&error))?;
    let failed = |error: StoreError| in_folder(&error);
    let opened = store::open(folder).map_err(failed)?;
    if let Some(cut) = &opened.truncated_tail {
        warn!(cut, "an entry that was never acknowledged was cut off");
    }
    let state_machine = StateMachine::new(&opened).map_err(failed)?;
    Ok((RaftLog::new(&opened), state_machine))
}

async fn listen(settings: &Settings) -> Result<TcpListener, CoordinatorError> {
    let address = settings.own_address();
    TcpListener::bind(address)
        .await
        .map_err(|error| CoordinatorError::Listen(format!("{address} can't be listened on: {error}")))
}

async fn is_set(mut flag: watch::Receiver<bool>) {
    // The sender lives until the end of `run`.
    let _ = flag.wait_for(|set| *set).await;
}

/// Why the replication can't go on, once it can't.
async fn replication_ended(raft: &Raft) -> String {
    let mut metrics = raft.metrics();
    loop {
        if let Err(error) = &metrics.borrow_and_update().running_state {
            return error.to_string();
        }
        if metrics.changed().await.is_err() {
            return "its task is gone".to_owned();
        }
    }
}

async fn start_replica(
    settings: &Settings,
    log: RaftLog,
    state_machine: StateMachine,
) -> Result<RunningReplica, CoordinatorError> {
    startup::check_log(settings, log.last_index()).await?;
    let is_new = log.is_new();
    let state = state_machine.shared();
    let config = raft_config(settings)?;
    let peers = Peers(settings.coordinators.clone());
    let raft = Raft::new(settings.id, config, peers, log, state_machine)
        .await
        .map_err(|error| replication_error(&error))?;
    if is_new {
        // All coordinators start with the same list: whichever of them comes first, it is the same.
        raft.initialize(members(settings)).await.map_err(|error| replication_error(&error))?;
    }
    let leader = Leader::new(raft.clone(), state, settings.tick_interval);
    Ok(RunningReplica { raft, leader })
}

fn members(settings: &Settings) -> BTreeMap<u64, BasicNode> {
    let addresses = settings.coordinators.iter();
    (1..).zip(addresses).map(|(id, address)| (id, BasicNode::new(address.to_string()))).collect()
}

fn replication_error(error: &dyn fmt::Display) -> CoordinatorError {
    CoordinatorError::Replication(error.to_string())
}

fn raft_config(settings: &Settings) -> Result<Arc<Config>, CoordinatorError> {
    let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let election_timeout = millis(settings.election_timeout);
    let config = Config {
        cluster_name: "lynxtally".to_owned(),
        heartbeat_interval: millis(settings.election_timeout / HEARTBEATS_PER_ELECTION),
        election_timeout_min: election_timeout,
        election_timeout_max: (election_timeout as f64 * ELECTION_SPREAD) as u64,
        install_snapshot_timeout: election_timeout * SNAPSHOT_ELECTION_TIMEOUTS,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(settings.entries_per_snapshot),
        max_in_snapshot_log_to_keep: settings.entries_per_snapshot / KEPT_ENTRIES_PART,
        snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES,
        ..Config::default()
    };
    config.validate().map(Arc::new).map_err(|error| replication_error(&error))
}
