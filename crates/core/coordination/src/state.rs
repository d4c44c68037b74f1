//! The replicated state, and how a log entry changes it.

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

/// The state that all replicas agree on. Its fields have other names where it is serialized: snapshots are read by
/// other versions of the program, and digests are compared with theirs.
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
    /// The last checkpoint of this replica.
    #[serde(rename = "marked")]
    checkpoint: Option<Checkpoint>,
    /// Up to which index each coordinator is known to have acknowledged the log, by its number.
    #[serde(rename = "had")]
    acknowledged_indexes: BTreeMap<u64, u64>,
}

impl CoordinationState {
    /// Applies the entry at a position of the log. Positions come in order, each once.
    pub fn apply(&mut self, position: LogPosition, entry: &TimestampedCommand) -> Output {
        self.applied_index = position.index;
        if self.clock.follow(position.term, entry.timestamp()).is_err() {
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

    /// Time has passed: budgets are divided anew, doubt is settled, the silent are forgotten, and what waited for
    /// readers of route documents may come into force.
    fn tick(&mut self, now: Instant, acknowledged_indexes: &BTreeMap<u64, u64>) -> Output {
        for (coordinator, index) in acknowledged_indexes {
            let known = self.acknowledged_indexes.entry(*coordinator).or_default();
            *known = (*known).max(*index);
        }
        self.budgets.values_mut().for_each(|budget| budget.divide(now));
        self.wallets.values_mut().for_each(|wallet| wallet.tick(now));
        self.members.forget_silent(now);
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

    /// The digest is that of the state without a checkpoint.
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

    /// Up to which index a coordinator is known to have acknowledged the log; 0 where nothing is known of it.
    pub fn acknowledged_index(&self, coordinator: u64) -> u64 {
        self.acknowledged_indexes.get(&coordinator).copied().unwrap_or_default()
    }
}
