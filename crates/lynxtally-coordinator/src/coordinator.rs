//! Runs a coordinator: opens its folder, serves requests, starts the replication, and shuts down.

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

/// The number of heartbeats that the leader sends in one election timeout.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u32 = 5;
/// Each election timeout is drawn at random between the configured one and this multiple of it, which makes split votes
/// rare.
const MAX_ELECTION_TIMEOUT_FACTOR: f64 = 2.0;
/// The timeout for installing a snapshot, in election timeouts.
const INSTALL_SNAPSHOT_ELECTION_TIMEOUTS: u64 = 10;
/// After a snapshot the log keeps the number of entries per snapshot divided by this. A replica that is only a little behind
/// catches up from these entries and needs no snapshot.
const RETAINED_ENTRIES_DIVISOR: u64 = 10;
/// The size of the chunks in which a snapshot is sent, in bytes.
const SNAPSHOT_CHUNK_BYTES: u64 = 1 << 20;

/// Runs a coordinator until `shutdown` completes.
///
/// # Errors
/// The coordinator can't start, or it must stop because the replication ended or its state diverged.
pub async fn run(
    settings: Settings,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<(), CoordinatorError> {
    let (log, state_machine) = open_store(&settings)?;
    let mut state = state_machine.shared();
    let listener = listen(&settings).await?;
    let (replica_sender, replica) = watch::channel(None);
    let (server_shutdown, server_shutdown_receiver) = watch::channel(false);
    let server_state = ServerState { state: state.clone(), replica };
    let server = tokio::spawn(net::serve(listener, server_state, wait_until_set(server_shutdown_receiver)));
    tokio::pin!(shutdown);
    let replica = tokio::select! {
        () = &mut shutdown => return Ok(()),
        started = start_replica(&settings, log, state_machine) => started?,
    };
    info!(
        id = settings.id,
        coordinators = settings.coordinators.len(),
        listen = %settings.own_address(),
        "coordinator joined the replication"
    );
    replica_sender.send_replace(Some(replica.clone()));
    let ticks = tokio::spawn(replica.leader.tick_while_leading(settings.tick_interval));
    let result = tokio::select! {
        () = &mut shutdown => Ok(()),
        () = state.diverged() => Err(CoordinatorError::Diverged),
        reason = replication_ended(&replica.raft) => Err(CoordinatorError::Replication(reason)),
    };
    ticks.abort();
    server_shutdown.send_replace(true);
    // Waits for the responses to pending requests, but not for idle connections that clients keep open.
    let _ = tokio::time::timeout(settings.election_timeout, server).await;
    if let Err(error) = replica.raft.shutdown().await {
        warn!(%error, "openraft did not shut down cleanly");
    }
    result
}

fn open_store(settings: &Settings) -> Result<(RaftLog, StateMachine), CoordinatorError> {
    let folder_error = |error: &dyn fmt::Display| {
        CoordinatorError::Folder(format!("{}: {error}", settings.folder.display()))
    };
    let folder = DirectoryStorage::new(&settings.folder).map_err(|error| folder_error(&error))?;
    let store_error = |error: StoreError| folder_error(&error);
    let opened = store::open(folder).map_err(store_error)?;
    if let Some(tail) = &opened.truncated_tail {
        warn!(tail, "truncated an incomplete write at the end of the log; it was never acknowledged");
    }
    let state_machine = StateMachine::new(&opened).map_err(store_error)?;
    Ok((RaftLog::new(&opened), state_machine))
}

async fn listen(settings: &Settings) -> Result<TcpListener, CoordinatorError> {
    let address = settings.own_address();
    TcpListener::bind(address)
        .await
        .map_err(|error| CoordinatorError::Listen(format!("can't listen on {address}: {error}")))
}

async fn wait_until_set(mut flag: watch::Receiver<bool>) {
    // An error would mean that the sender was dropped, but it lives until `run` returns.
    let _ = flag.wait_for(|set| *set).await;
}

/// Waits until openraft ends, and returns the reason.
async fn replication_ended(raft: &Raft) -> String {
    let mut metrics = raft.metrics();
    loop {
        if let Err(error) = &metrics.borrow_and_update().running_state {
            return error.to_string();
        }
        if metrics.changed().await.is_err() {
            return "openraft's task has ended".to_owned();
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
        // Several coordinators may initialize the cluster at the same time: all have the same list of members.
        raft.initialize(cluster_members(settings)).await.map_err(|error| replication_error(&error))?;
    }
    let leader = Leader::new(raft.clone(), state, settings.tick_interval);
    Ok(RunningReplica { raft, leader })
}

fn cluster_members(settings: &Settings) -> BTreeMap<u64, BasicNode> {
    let addresses = settings.coordinators.iter();
    (1..).zip(addresses).map(|(id, address)| (id, BasicNode::new(address.to_string()))).collect()
}

fn replication_error(error: &dyn fmt::Display) -> CoordinatorError {
    CoordinatorError::Replication(error.to_string())
}

fn raft_config(settings: &Settings) -> Result<Arc<Config>, CoordinatorError> {
    let to_millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let election_timeout = to_millis(settings.election_timeout);
    let config = Config {
        cluster_name: "lynxtally".to_owned(),
        heartbeat_interval: to_millis(settings.election_timeout / HEARTBEATS_PER_ELECTION_TIMEOUT),
        election_timeout_min: election_timeout,
        election_timeout_max: (election_timeout as f64 * MAX_ELECTION_TIMEOUT_FACTOR) as u64,
        install_snapshot_timeout: election_timeout * INSTALL_SNAPSHOT_ELECTION_TIMEOUTS,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(settings.entries_per_snapshot),
        max_in_snapshot_log_to_keep: settings.entries_per_snapshot / RETAINED_ENTRIES_DIVISOR,
        snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES,
        ..Config::default()
    };
    config.validate().map(Arc::new).map_err(|error| replication_error(&error))
}
