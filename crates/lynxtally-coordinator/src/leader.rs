//! What only the leader does: it timestamps commands and writes them to the log, writes ticks, tells the state machine
//! whom it hears nothing of, and has the states of all replicas compared.

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
    /// This replica does not lead.
    NotLeader {
        /// The number of the coordinator that may, where it is known.
        leader: Option<u64>,
    },
    /// The replication ended.
    Replication(String),
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::NotLeader { leader: Some(leader) } => write!(f, "coordinator {leader} leads"),
            Self::NotLeader { leader: None } => f.write_str("no coordinator leads"),
            Self::Replication(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for WriteError {}

/// A command is timestamped anew this many times at most, where the term changes under it.
const MAX_WRITE_ATTEMPTS: usize = 5;
/// The states of all replicas are compared once in as many ticks.
const TICKS_PER_CHECKPOINT: u64 = 40;

/// Writes commands where this replica leads.
#[derive(Clone)]
pub struct Leader {
    raft: Raft,
    state: SharedState,
    /// Whom this replica hears, while it leads: only the leader hears anybody.
    suspicion: Arc<Mutex<Option<SuspicionTracker>>>,
    tick_interval: Span,
}

impl Leader {
    /// The writer of a replica's commands.
    pub fn new(raft: Raft, state: SharedState, tick_interval: Duration) -> Self {
        let micros = u64::try_from(tick_interval.as_micros()).unwrap_or(u64::MAX);
        Self { raft, state, suspicion: Arc::default(), tick_interval: Span::from_micros(micros) }
    }

    /// Which coordinator leads, as far as it is known here.
    pub fn current_leader(&self) -> Option<u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        metrics.current_leader
    }

    /// Up to which log index another coordinator acknowledged the log to this one, as the leader.
    pub fn acknowledged_index(&self, coordinator: u64) -> u64 {
        self.acknowledged_indexes().get(&coordinator).copied().unwrap_or(0)
    }

    /// The same of all other coordinators.
    fn acknowledged_indexes(&self) -> BTreeMap<u64, u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        let Some(replication) = &metrics.replication else { return BTreeMap::new() };
        replication.iter().map(|(id, acknowledged)| (*id, acknowledged.map_or(0, |log| log.index))).collect()
    }

    /// The term in which this replica leads, while it does.
    fn leading_term(&self) -> Option<u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        (metrics.state == ServerState::Leader).then_some(metrics.current_term)
    }

    /// Writes a command. The output comes once it is applied here, and so durable on most replicas.
    async fn write(&self, command: Command) -> Result<Output, WriteError> {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            // The term before the clock: then a timestamp and an entry of one term mean that this replica led in it
            // from the clock reading on, which the clock of the state relies on.
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

    /// Applies a node's request.
    ///
    /// # Errors
    /// Another coordinator leads, or none, or the replication ended.
    pub async fn node_request(&self, request: NodeRequest) -> Result<NodeResponse, WriteError> {
        let name = request.name.clone();
        let ends_session = request.ends_session;
        match self.write(Command::Node(request)).await? {
            Output::Node(response) => {
                if matches!(response, NodeResponse::Accepted(_)) {
                    self.heard(name, ends_session);
                }
                Ok(response)
            }
            _ => Err(WriteError::NotLeader { leader: None }),
        }
    }

    /// Applies an operator's request.
    ///
    /// # Errors
    /// Another coordinator leads, or none.
    pub async fn admin_request(&self, request: AdminRequest) -> Result<AdminResponse, WriteError> {
        match self.write(Command::Admin(request)).await? {
            Output::Admin(response) => Ok(response),
            _ => Err(WriteError::NotLeader { leader: None }),
        }
    }

    fn with_suspicion<T>(&self, with: impl FnOnce(&mut Option<SuspicionTracker>) -> T) -> T {
        // What a panicking thread left is still a whole tracker.
        with(&mut self.suspicion.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn heard(&self, name: String, ends_session: bool) {
        self.with_suspicion(|suspicion| {
            if let Some(suspicion) = suspicion {
                suspicion.heard(clock::now(), name, ends_session);
            }
        });
    }

    /// Writes ticks for as long as the program runs, while this replica leads.
    pub async fn tick_while_leading(self, tick_interval: Duration) {
        let mut interval = tokio::time::interval(tick_interval);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut led = false;
        let mut ticks = 0_u64;
        loop {
            interval.tick().await;
            let leads = self.leading_term().is_some();
            if leads != led {
                led = leads;
                info!(leads, "leadership of this coordinator has changed");
                self.reset_suspicion(leads);
            }
            if !leads || !self.state.read(|state| state.needs_ticks()) {
                continue;
            }
            ticks += 1;
            if let Err(error) = self.tick(ticks).await {
                warn!(%error, "a tick was not written");
            }
        }
    }

    /// A new leader has heard nobody yet, and suspects nobody for that.
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

    /// The incarnations of which the state says other than what is heard here, with what is heard.
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
