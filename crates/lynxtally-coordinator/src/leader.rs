//! What only the leader does: it stamps commands and writes them, has what is shared divided anew, tells whom
//! it hears nothing of, and has the states of all keepers compared.

use crate::clock;
use crate::store::Shared;
use crate::Raft;
use lynxtally::{Instant, Span};
use lynxtally_coordination::{Checkpoint, Command, Output, TimestampedCommand};
use lynxtally_membership::{MemberState, Membership, MembershipLimits, Observation, Source};
use lynxtally_messages::{AdminRequest, AdminResponse, NodeRequest, NodeResponse};
use openraft::ServerState;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tracing::{info, warn};

/// Why a command was not written.
#[derive(Debug)]
pub enum Unled {
    /// This keeper does not lead; the one with this number may.
    By(Option<u64>),
    /// The replication ended.
    Failed(String),
}

impl fmt::Display for Unled {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::By(Some(leader)) => write!(f, "keeper {leader} leads"),
            Self::By(None) => f.write_str("nobody leads"),
            Self::Failed(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for Unled {}

/// A command is stamped anew this many times at most, where the term changes under it.
const TRIES: usize = 5;
/// The states of all keepers are compared once in so many ticks.
const COMPARE: u64 = 40;

/// Writes commands where this keeper leads.
#[derive(Clone)]
pub struct Leader {
    raft: Raft,
    shared: Shared,
    /// Whom this keeper hears. Only the leader hears anybody.
    fleet: Arc<Mutex<Option<Membership>>>,
    tick: Span,
}

impl Leader {
    /// A keeper's commands.
    pub fn new(raft: Raft, shared: Shared, tick: Duration) -> Self {
        let tick = Span::from_micros(u64::try_from(tick.as_micros()).unwrap_or(u64::MAX));
        Self { raft, shared, fleet: Arc::default(), tick }
    }

    /// The term in which this keeper leads, while it does.
    fn term(&self) -> Option<u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        (metrics.state == ServerState::Leader).then_some(metrics.current_term)
    }

    /// Which keeper leads, as far as it is known here.
    pub fn known(&self) -> Option<u64> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        metrics.current_leader
    }

    /// Up to which number another keeper told this one, as the leader, that it has the log.
    pub fn matched(&self, id: u64) -> u64 {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        let replicated = metrics.replication.as_ref().and_then(|all| all.get(&id).copied().flatten());
        replicated.map_or(0, |at| at.index)
    }

    /// Writes a command; the answer comes once it is applied here, and so durable on most keepers.
    async fn write(&self, command: Command) -> Result<Output, Unled> {
        for _ in 0..TRIES {
            // The term before the clock: an entry of this term was stamped while this keeper led in it.
            let Some(term) = self.term() else { return Err(Unled::By(self.known())) };
            let stamped = TimestampedCommand { term, leader_clock: clock::now(), command: command.clone() };
            match self.raft.client_write(stamped).await {
                Ok(written) if written.data == Output::TermMismatch => continue,
                Ok(written) => return Ok(written.data),
                Err(why) => {
                    return Err(match why.forward_to_leader() {
                        Some(to) => Unled::By(to.leader_id),
                        None => Unled::Failed(why.to_string()),
                    })
                }
            }
        }
        Err(Unled::By(None))
    }

    /// What a node says.
    ///
    /// # Errors
    /// Another keeper leads, or none.
    pub async fn say(&self, say: NodeRequest) -> Result<NodeResponse, Unled> {
        let name = say.name.clone();
        let over = say.ends_session;
        match self.write(Command::Node(say)).await? {
            Output::Node(reply) => {
                if matches!(reply, NodeResponse::Accepted(_)) {
                    self.hear(name, over);
                }
                Ok(reply)
            }
            _ => Err(Unled::By(None)),
        }
    }

    /// What an operator orders.
    ///
    /// # Errors
    /// Another keeper leads, or none.
    pub async fn order(&self, order: AdminRequest) -> Result<AdminResponse, Unled> {
        match self.write(Command::Admin(order)).await? {
            Output::Admin(outcome) => Ok(outcome),
            _ => Err(Unled::By(None)),
        }
    }

    fn with_fleet<T>(&self, with: impl FnOnce(&mut Option<Membership>) -> T) -> T {
        with(&mut self.fleet.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn hear(&self, name: String, leaving: bool) {
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        let observation =
            Observation { name, address, source: Source::Report, capacity: 1.0, zone: 0, draining: leaving };
        self.with_fleet(|fleet| {
            if let Some(fleet) = fleet {
                fleet.observe(clock::now(), observation);
            }
        });
    }

    /// Ticks for as long as the program runs, while this keeper leads.
    pub async fn lead(self, tick: Duration) {
        let mut every = tokio::time::interval(tick);
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let (mut led, mut ticks) = (false, 0_u64);
        loop {
            every.tick().await;
            let leads = self.term().is_some();
            if leads != led {
                led = leads;
                info!(leads, "who leads has changed");
                let now = clock::now();
                // A new leader has heard nobody yet, and suspects nobody for that.
                self.with_fleet(|fleet| *fleet = leads.then(|| Membership::new(self.limits(), now)));
            }
            if !leads || !self.shared.look(|register| register.needs_ticks()) {
                continue;
            }
            ticks += 1;
            if let Err(why) = self.one_tick(ticks).await {
                warn!(%why, "a tick was not written");
            }
        }
    }

    async fn one_tick(&self, ticks: u64) -> Result<(), Unled> {
        let metrics = self.raft.metrics();
        let had: BTreeMap<u64, u64> =
            metrics.borrow().replication.as_ref().map_or_else(BTreeMap::new, |all| {
                all.iter().map(|(id, at)| (*id, at.map_or(0, |at| at.index))).collect()
            });
        self.write(Command::Tick { acknowledged_indexes: had }).await?;
        for (incarnation, suspect) in self.suspicions(clock::now()) {
            self.write(Command::Suspect { incarnation, suspected: suspect }).await?;
        }
        if ticks.is_multiple_of(COMPARE) {
            if let Output::Checkpoint(Checkpoint { index, digest }) =
                self.write(Command::TakeCheckpoint).await?
            {
                self.write(Command::CompareCheckpoint { index, digest }).await?;
            }
        }
        Ok(())
    }

    /// The processes of which the register's opinion is not what is heard here.
    fn suspicions(&self, now: Instant) -> Vec<(u64, bool)> {
        let members: Vec<(u64, String, bool)> = self
            .shared
            .look(|register| register.members().map(|(n, at)| (n, at.name.clone(), at.suspected)).collect());
        self.with_fleet(|fleet| {
            let Some(fleet) = fleet else { return Vec::new() };
            fleet.tick(now);
            let differs = |(incarnation, name, told): (u64, String, bool)| {
                let suspect = match fleet.explain(&name).map(|why| (why.state, why.kept)) {
                    Some((MemberState::Suspect, None) | (MemberState::Removed, _)) => true,
                    Some(_) => false,
                    // Never heard by this leader: it is listed from now on, and its silence counts.
                    None => {
                        let address = SocketAddr::from(([0, 0, 0, 0], 0));
                        let source = Source::Report;
                        fleet.observe(
                            now,
                            Observation { name, address, source, capacity: 1.0, zone: 0, draining: false },
                        );
                        told
                    }
                };
                (suspect != told).then_some((incarnation, suspect))
            };
            members.into_iter().filter_map(differs).collect()
        })
    }

    /// What members are held to, as ratios to how often they speak: a third of the shortest span.
    fn limits(&self) -> MembershipLimits {
        let span =
            self.shared.look(|register| register.budgets().map(|(_, at)| at.terms.lease_duration_us).min());
        let usual = span.map_or(self.tick * 4.0, |span| Span::from_micros(span) * (1.0 / 3.0));
        MembershipLimits {
            phi_threshold: 8.0,
            min_deviation: usual * 0.5,
            warmup_time: usual,
            max_ejected_fraction: 1.0,
            observer_fault_fraction: 0.5,
            observer_fault_window: usual * 2.0,
            recovery_time: usual * 2.0,
            removal_time: usual * 1000.0,
            tick_interval: self.tick,
        }
    }
}
