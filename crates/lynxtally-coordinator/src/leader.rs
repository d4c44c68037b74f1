//! The leader's tasks: it timestamps commands and writes them to the log, writes ticks at a regular interval, records in
//! the state machine which members it suspects, and has the replicas compare their states.

use crate::clock;
use crate::store::SharedState;
use crate::suspicion::{ListedMember, SuspicionTracker};
use crate::Raft;
use lynxtally::Span;
use lynxtally_coordination::{Checkpoint, Command, Output, TimestampedCommand};
use lynxtally_messages::{AdminRequest, AdminResponse, NodeRequest, NodeResponse};
use openraft::ServerState;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::MissedTickBehavior;
use tracing::{info, warn};

/// Why a command was not written.
#[derive(Debug)]
pub enum WriteError {
    /// This replica is not the leader.
    NotLeader {
        /// The number of the coordinator that leads, if known.
        leader: Option<u64>,
    },
    /// openraft has stopped.
    Replication(String),
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::NotLeader { leader: Some(leader) } => write!(f, "coordinator {leader} leads"),
            Self::NotLeader { leader: None } => f.write_str("no coordinator leads"),
            Self::Replication(reason) => write!(f, "openraft stopped: {reason}"),
        }
    }
}

impl std::error::Error for WriteError {}

/// A command is written at most this often. It needs a new timestamp if the term changes before it is written.
const MAX_WRITE_ATTEMPTS: usize = 5;
/// The replicas compare their states once in this many ticks.
const TICKS_PER_CHECKPOINT: u64 = 40;

/// Writes commands to the log while this replica leads. Every replica has one; on a follower, writes fail with
/// [`WriteError::NotLeader`].
#[derive(Clone)]
pub struct Leader {
    raft: Raft,
    state: SharedState,
    /// The failure detector; `None` while this replica does not lead, because only the leader receives requests of nodes.
    suspicion: Arc<Mutex<Option<SuspicionTracker>>>,
    tick_interval: Span,
}

impl Leader {
    /// Creates the writer for a replica.
    pub fn new(raft: Raft, state: SharedState, tick_interval: Duration) -> Self {
        let micros = u64::try_from(tick_interval.as_micros()).unwrap_or(u64::MAX);
        Self { raft, state, suspicion: Arc::default(), tick_interval: Span::from_micros(micros) }
    }

    /// The number of the coordinator that leads, if this replica knows it.
    pub fn current_leader(&self) -> Option<u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        metrics.current_leader
    }

    /// The highest log index that the given coordinator acknowledged to this one; 0 if unknown or if this one does not lead.
    pub fn acknowledged_index(&self, coordinator: u64) -> u64 {
        self.acknowledged_indexes().get(&coordinator).copied().unwrap_or(0)
    }

    /// The highest log index that each other coordinator acknowledged; empty while this replica does not lead.
    fn acknowledged_indexes(&self) -> BTreeMap<u64, u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        let Some(replication) = &metrics.replication else { return BTreeMap::new() };
        replication.iter().map(|(id, acknowledged)| (*id, acknowledged.map_or(0, |log| log.index))).collect()
    }

    /// The term in which this replica leads; `None` if it does not.
    fn leading_term(&self) -> Option<u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        (metrics.state == ServerState::Leader).then_some(metrics.current_term)
    }

    /// Writes a command to the log. Returns its output once it is applied here, when it is durable on a majority of
    /// replicas.
    async fn write(&self, command: Command) -> Result<Output, WriteError> {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            // Safety: the term is read before the clock. If the entry is written in the same term, this replica led in
            // that term from the clock reading on. The clock of the replicated state relies on this.
            let Some(term) = self.leading_term() else {
                return Err(WriteError::NotLeader { leader: self.current_leader() });
            };
            let entry = TimestampedCommand { term, leader_clock: clock::now(), command: command.clone() };
            match self.raft.client_write(entry).await {
                Ok(written) if written.data == Output::TermMismatch => {}
                Ok(written) => return Ok(written.data),
                Err(error) => {
                    return Err(match error.forward_to_leader() {
                        Some(forward) => WriteError::NotLeader { leader: forward.leader_id },
                        None => WriteError::Replication(error.to_string()),
                    })
                }
            }
        }
        Err(WriteError::NotLeader { leader: None })
    }

    /// Applies a node's request and returns the response.
    ///
    /// # Errors
    /// This replica does not lead, or openraft has stopped.
    pub async fn node_request(&self, request: NodeRequest) -> Result<NodeResponse, WriteError> {
        let name = request.name.clone();
        let ends_session = request.ends_session;
        match self.write(Command::Node(request)).await? {
            Output::Node(response) => {
                if matches!(response, NodeResponse::Accepted(_)) {
                    self.record_heartbeat(name, ends_session);
                }
                Ok(response)
            }
            _ => Err(WriteError::NotLeader { leader: None }),
        }
    }

    /// Applies an operator's request and returns the response.
    ///
    /// # Errors
    /// This replica does not lead, or openraft has stopped.
    pub async fn admin_request(&self, request: AdminRequest) -> Result<AdminResponse, WriteError> {
        match self.write(Command::Admin(request)).await? {
            Output::Admin(response) => Ok(response),
            _ => Err(WriteError::NotLeader { leader: None }),
        }
    }

    fn with_suspicion<T>(&self, with: impl FnOnce(&mut Option<SuspicionTracker>) -> T) -> T {
        // A panic can't leave the tracker in an inconsistent state, so a poisoned lock is usable.
        with(&mut self.suspicion.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn record_heartbeat(&self, name: String, ends_session: bool) {
        self.with_suspicion(|suspicion| {
            if let Some(suspicion) = suspicion {
                suspicion.record_heartbeat(clock::now(), name, ends_session);
            }
        });
    }

    /// Writes a tick at each interval while this replica leads. Never returns.
    pub async fn tick_while_leading(self, tick_interval: Duration) {
        let mut interval = tokio::time::interval(tick_interval);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut was_leading = false;
        let mut ticks = 0_u64;
        loop {
            interval.tick().await;
            let leads = self.leading_term().is_some();
            if leads != was_leading {
                was_leading = leads;
                info!(leads, "this coordinator gained or lost the leadership");
                self.reset_suspicion(leads);
            }
            if !leads || !self.state.read(|state| state.needs_ticks()) {
                continue;
            }
            ticks += 1;
            if let Err(error) = self.tick(ticks).await {
                warn!(%error, "leader failed to write a tick, a suspicion or a checkpoint to the log");
            }
        }
    }

    /// Starts a new failure detector when this replica becomes the leader. A new leader has received no requests yet and
    /// must not suspect any member because of that.
    fn reset_suspicion(&self, leads: bool) {
        let shortest_lease =
            self.state.read(|state| state.budgets().map(|(_, budget)| budget.terms.lease_duration_us).min());
        let shortest_lease = shortest_lease.map(Span::from_micros);
        let tracker = leads.then(|| SuspicionTracker::new(clock::now(), shortest_lease, self.tick_interval));
        self.with_suspicion(|suspicion| *suspicion = tracker);
    }

    async fn tick(&self, ticks: u64) -> Result<(), WriteError> {
        let acknowledged_indexes = self.acknowledged_indexes();
        self.write(Command::Tick { acknowledged_indexes }).await?;
        for (incarnation, suspected) in self.changed_suspicions() {
            self.write(Command::Suspect { incarnation, suspected }).await?;
        }
        if ticks.is_multiple_of(TICKS_PER_CHECKPOINT) {
            self.compare_states().await?;
        }
        Ok(())
    }

    async fn compare_states(&self) -> Result<(), WriteError> {
        if let Output::Checkpoint(checkpoint) = self.write(Command::TakeCheckpoint).await? {
            let Checkpoint { index, digest } = checkpoint;
            self.write(Command::CompareCheckpoint { index, digest }).await?;
        }
        Ok(())
    }

    /// The incarnations whose suspicion in the state differs from the failure detector's, with the detector's value.
    fn changed_suspicions(&self) -> BTreeMap<u64, bool> {
        let members = self.state.read(|state| {
            let members = state.members();
            members.map(|(incarnation, member)| ListedMember::new(incarnation, member)).collect::<Vec<_>>()
        });
        self.with_suspicion(|suspicion| match suspicion {
            Some(suspicion) => suspicion.changes(clock::now(), &members),
            None => BTreeMap::new(),
        })
    }
}
