//! The replicated state, and the application of log entries to it.

use crate::budgets::Budget;
use crate::clock::StateClock;
use crate::command::{Checkpoint, Command, LogPosition, Output, TimestampedCommand};
use crate::members::Members;
use crate::recent_requests::RecentRequests;
use crate::schemas::Schemas;
use crate::snapshot::Digest;
use crate::wallets::Wallet;
use lynxtally::Instant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state that all replicas agree on.
///
/// The serialized form must not change, which is why many fields have a `serde(rename)`: replicas that run other
/// versions of the program read its snapshots and compare its digests with theirs.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct CoordinationState {
    /// The index of the last log entry that was applied.
    #[serde(rename = "number")]
    pub(crate) applied_index: u64,
    #[serde(rename = "time")]
    clock: StateClock,
    pub(crate) members: Members,
    pub(crate) budgets: BTreeMap<String, Budget>,
    pub(crate) wallets: BTreeMap<String, Wallet>,
    pub(crate) schemas: Schemas,
    #[serde(rename = "orders")]
    pub(crate) recent_requests: RecentRequests,
    /// The last checkpoint that this replica took.
    #[serde(rename = "marked")]
    checkpoint: Option<Checkpoint>,
    /// The log index up to which each coordinator has acknowledged the log, by the coordinator's number.
    #[serde(rename = "had")]
    acknowledged_indexes: BTreeMap<u64, u64>,
}

impl CoordinationState {
    /// Applies the log entry at `position`. Each entry has to be applied exactly once, in log order.
    pub fn apply(&mut self, position: LogPosition, entry: &TimestampedCommand) -> Output {
        self.applied_index = position.index;
        if self.clock.advance(position.term, entry.timestamp()).is_err() {
            return Output::TermMismatch;
        }
        let now = self.clock.now();
        self.budgets.values_mut().for_each(|budget| budget.expire(now));
        match &entry.command {
            Command::NoOp => Output::None,
            Command::Tick { acknowledged_indexes } => self.tick(now, acknowledged_indexes),
            Command::Node(request) => Output::Node(self.apply_node_request(now, request)),
            Command::Admin(request) => Output::Admin(self.apply_admin_request(now, request)),
            Command::Suspect { incarnation, suspected } => self.suspect(*incarnation, *suspected),
            Command::TakeCheckpoint => self.take_checkpoint(position.index),
            Command::CompareCheckpoint { index, digest } => self.compare_checkpoint(*index, *digest),
        }
    }

    /// Does the periodic work: divides budgets anew, settles units in doubt, removes members that have been silent for
    /// too long, and checks whether a waiting schema or document can now come into force.
    fn tick(&mut self, now: Instant, acknowledged_indexes: &BTreeMap<u64, u64>) -> Output {
        for (coordinator, index) in acknowledged_indexes {
            let acknowledged = self.acknowledged_indexes.entry(*coordinator).or_default();
            *acknowledged = (*acknowledged).max(*index);
        }
        self.budgets.values_mut().for_each(|budget| budget.divide(now));
        self.wallets.values_mut().for_each(|wallet| wallet.tick(now));
        self.members.remove_silent(now);
        if !self.schemas.waiting().is_empty() {
            self.schemas.review(&self.members.schema_readers());
        }
        Output::None
    }

    fn suspect(&mut self, incarnation: u64, suspected: bool) -> Output {
        if self.members.set_suspected(incarnation, suspected) {
            self.budgets.values_mut().for_each(|budget| budget.set_suspected(incarnation, suspected));
        }
        Output::None
    }

    /// Takes a checkpoint. Its digest is computed without any checkpoint in the state, as no digest can cover itself.
    fn take_checkpoint(&mut self, index: u64) -> Output {
        self.checkpoint = None;
        let checkpoint = Checkpoint { index, digest: self.digest() };
        self.checkpoint = Some(checkpoint);
        Output::Checkpoint(checkpoint)
    }

    fn compare_checkpoint(&mut self, index: u64, leaders_digest: Digest) -> Output {
        match self.checkpoint {
            Some(own) if own.index == index && own.digest != leaders_digest => {
                Output::Diverged { index, own_digest: own.digest }
            }
            _ => Output::None,
        }
    }

    /// The log index up to which a coordinator is known to have acknowledged the log; 0 if nothing is known about it.
    pub fn acknowledged_index(&self, coordinator: u64) -> u64 {
        self.acknowledged_indexes.get(&coordinator).copied().unwrap_or_default()
    }
}
