//! One keeper, from its start to its end.

use crate::leader::Leader;
use crate::net::{self, Check, Checked, Doors, Peers};
use crate::settings::Settings;
use crate::store::{self, Log, Machine, Shared};
use crate::Raft;
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

/// Why a keeper ended; one line.
#[derive(Debug)]
pub enum KeeperFault {
    /// Its folder can't be used.
    Folder(String),
    /// It can't listen.
    Listen(String),
    /// The replication does not go on.
    Replication(String),
    /// Others know that it had more of the log than it has: its folder is an older copy, or not its own. Its
    /// vote could take back what was agreed on.
    Older {
        /// What it has.
        has: u64,
        /// What it had.
        had: u64,
    },
    /// Its state is not the leader's.
    Differs,
}

impl fmt::Display for KeeperFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Folder(why) => write!(f, "`folder`: {why}"),
            Self::Listen(why) => write!(f, "`keepers`: {why}"),
            Self::Replication(why) => write!(f, "the replication ended: {why}"),
            Self::Older { has, had } => write!(
                f,
                "`folder` has the log up to {has}, and other keepers know that it had {had}: this is an older copy, \
                 and its vote could take back what was agreed on; bring back the folder that it had"
            ),
            Self::Differs => f.write_str("the state here is not the leader's; the log says where they differ"),
        }
    }
}

impl std::error::Error for KeeperFault {}

/// Heartbeats come so many times in the time after which a leader is replaced.
const HEARTBEATS: u32 = 5;
/// That time is drawn from it to this many times it, so that two rarely stand against each other.
const ELECTION_SPREAD: f64 = 2.0;
/// The others are asked so many times that time before the start, where not enough answer.
const ASKED: u32 = 10;

fn config(settings: &Settings) -> Result<Arc<Config>, KeeperFault> {
    let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    let election = millis(settings.election);
    let config = Config {
        cluster_name: "lynxtally".to_owned(),
        heartbeat_interval: millis(settings.election / HEARTBEATS),
        election_timeout_min: election,
        election_timeout_max: (election as f64 * ELECTION_SPREAD) as u64,
        install_snapshot_timeout: election * 10,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(settings.entries),
        max_in_snapshot_log_to_keep: settings.entries / 10,
        snapshot_max_chunk_size: 1 << 20,
        ..Config::default()
    };
    config.validate().map(Arc::new).map_err(|why| KeeperFault::Replication(why.to_string()))
}

/// Keeps until `end` is ready.
///
/// # Errors
/// One line that says why it can't go on.
pub async fn keep(settings: Settings, end: impl Future<Output = ()> + Send) -> Result<(), KeeperFault> {
    let folder = DirectoryStorage::new(&settings.folder)
        .map_err(|why| KeeperFault::Folder(format!("{}: {why}", settings.folder.display())))?;
    let folder_fault =
        |why: store::StoreFault| KeeperFault::Folder(format!("{}: {why}", settings.folder.display()));
    let opened = store::open(folder).map_err(folder_fault)?;
    if let Some(cut) = &opened.cut {
        warn!(cut, "an entry that was never acknowledged was cut off");
    }
    let log = Log::new(&opened);
    let machine = Machine::new(&opened).map_err(folder_fault)?;
    let mut shared = machine.shared();
    let own = settings.keepers[settings.id as usize - 1];
    let listener = TcpListener::bind(own)
        .await
        .map_err(|why| KeeperFault::Listen(format!("{own} can't be listened on: {why}")))?;

    let (raft_is, raft) = watch::channel(None);
    let (closing, closed) = watch::channel(false);
    let closed = async move {
        let mut closed = closed;
        // The sender lives until the end of this function.
        let _ = closed.wait_for(|closed| *closed).await;
    };
    let doors = Doors { shared: shared.clone(), raft };
    let server = tokio::spawn(net::serve(listener, doors, closed));
    tokio::pin!(end);
    let begun = tokio::select! {
        () = &mut end => return Ok(()),
        begun = begin(&settings, log, machine, shared.clone()) => begun?,
    };
    let (raft, leader) = begun;
    info!(id = settings.id, keepers = settings.keepers.len(), listen = %own, "this keeper takes part");
    raft_is.send_replace(Some((raft.clone(), leader.clone())));
    let ticks = tokio::spawn(leader.lead(settings.tick));
    let ended = tokio::select! {
        () = &mut end => Ok(()),
        () = shared.differs() => Err(KeeperFault::Differs),
        why = fatal(&raft) => Err(KeeperFault::Replication(why)),
    };
    ticks.abort();
    closing.send_replace(true);
    // What is under way is answered; a connection that stays open is not waited for.
    let _ = tokio::time::timeout(settings.election, server).await;
    if let Err(why) = raft.shutdown().await {
        warn!(%why, "the replication did not end well");
    }
    ended
}

/// Why the replication can't go on, once it can't.
async fn fatal(raft: &Raft) -> String {
    let mut metrics = raft.metrics();
    loop {
        if let Err(why) = &metrics.borrow_and_update().running_state {
            return why.to_string();
        }
        if metrics.changed().await.is_err() {
            return "its task is gone".to_owned();
        }
    }
}

async fn begin(
    settings: &Settings,
    log: Log,
    machine: Machine,
    shared: Shared,
) -> Result<(Raft, Leader), KeeperFault> {
    let has = log.last();
    let had = ask_others(settings).await;
    if had > has {
        return Err(KeeperFault::Older { has, had });
    }
    let new = log.is_new();
    let failed = |why: &dyn fmt::Display| KeeperFault::Replication(why.to_string());
    let raft = Raft::new(settings.id, config(settings)?, Peers(settings.keepers.clone()), log, machine)
        .await
        .map_err(|why| failed(&why))?;
    if new {
        // All start with the same list: whichever of them comes first, it is the same.
        let all: BTreeMap<u64, BasicNode> =
            (1..).zip(&settings.keepers).map(|(id, at)| (id, BasicNode::new(at.to_string()))).collect();
        raft.initialize(all).await.map_err(|why| failed(&why))?;
    }
    let leader = Leader::new(raft.clone(), shared, settings.tick);
    Ok((raft, leader))
}

/// How much of the log the others know that this keeper had. As many are waited for as stand for a majority
/// together with this one; what only the missing ones know is not found out.
async fn ask_others(settings: &Settings) -> u64 {
    let need = settings.keepers.len() / 2;
    let body = serde_json::to_vec(&Check { id: settings.id }).unwrap_or_default();
    let others = || (1..).zip(&settings.keepers).filter(|(id, _)| *id != settings.id).map(|(_, at)| *at);
    let mut answers: BTreeMap<std::net::SocketAddr, u64> = BTreeMap::new();
    for round in 0_u32.. {
        let mut asked = tokio::task::JoinSet::new();
        for at in others().filter(|at| !answers.contains_key(at)) {
            let (body, patience) = (body.clone(), settings.election);
            asked.spawn(async move { (at, net::post(at, "/v1/check", body, patience).await) });
        }
        while let Some(done) = asked.join_next().await {
            let Ok((at, Ok(octets))) = done else { continue };
            if let Ok(Checked { had }) = serde_json::from_slice(&octets) {
                answers.insert(at, had);
            }
        }
        let all = answers.len() + 1 == settings.keepers.len();
        if all || answers.len() >= need && round >= ASKED {
            break;
        }
        if round == ASKED {
            warn!(answers = answers.len(), need, "other keepers are waited for");
        }
        tokio::time::sleep(settings.election / HEARTBEATS).await;
    }
    answers.values().copied().max().unwrap_or(0)
}
