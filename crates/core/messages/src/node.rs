//! What a node sends to a coordinator, and what comes back.

use crate::envelope::Message;
use crate::rejection::Rejection;
use crate::schema::{AppliedDocument, Document};
use crate::validation::{
    check_count, check_distinct, check_name, check_range, FieldError, MAX_AMOUNT, MAX_DURATION_US,
};
use crate::wallet::{Reservation, WalletReport};
use serde::{Deserialize, Serialize};

/// One node has to do with this many budgets, wallets or schema versions at most.
const MAX_LIST: usize = 1024;

/// A node's request: it joins, renews its leases, reports what it uses, or ends its session. One that had no response
/// is sent again unchanged, to any coordinator, and is applied once.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Say")]
pub struct NodeRequest {
    /// The node's name.
    pub name: String,
    /// Which process under this name: the log index at which it asked to join; 0 while it asks.
    pub incarnation: u64,
    /// Counts the requests of this incarnation up from 1. While it asks to join: a random number that stays the same
    /// when the request is sent again.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The program's version.
    #[serde(rename = "program")]
    pub program_version: String,
    /// The versions of route schemas that it reads.
    #[serde(rename = "schemas")]
    pub schema_versions: Vec<u32>,
    /// What it uses and needs of each budget.
    #[serde(rename = "wants")]
    pub budgets: Vec<BudgetReport>,
    /// Its account of each wallet.
    #[serde(rename = "purses")]
    pub wallets: Vec<WalletReport>,
    /// The route document that it applied; none where it reads none.
    #[serde(rename = "applied")]
    pub applied_document: Option<AppliedDocument>,
    /// It starts nothing more and nothing that it started still runs: all that it held is free.
    #[serde(rename = "over")]
    pub ends_session: bool,
}

/// What a node uses and needs of one budget.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Want")]
pub struct BudgetReport {
    /// The budget's name.
    pub budget: String,
    /// The version of the lease in force at the node; 0 for none.
    #[serde(rename = "adopted")]
    pub lease_version: u64,
    /// Units in use, with all that was started under earlier leases and may still run.
    pub in_use: u64,
    /// The mean demand over about one lease, in thousandths of a unit: what was used and what was lacked.
    #[serde(rename = "need")]
    pub demand_milliunits: u64,
    /// The longest time for which something that was started may run, in microseconds.
    #[serde(rename = "tail_us")]
    pub max_in_flight_us: u64,
}

/// Units of a budget that a node may use for a limited time.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Grant")]
pub struct Lease {
    /// The budget's name.
    pub budget: String,
    /// Grows with each lease of this budget to this node.
    pub version: u64,
    /// How many units may be in use.
    pub amount: u64,
    /// For how long something may be started, in microseconds from before the node first sent its request.
    #[serde(rename = "span_us")]
    pub duration_us: u64,
}

/// The response to a [`NodeRequest`].
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub enum NodeResponse {
    /// The request was applied.
    #[serde(rename = "granted")]
    Accepted(LeaseUpdate),
    /// It was not.
    #[serde(rename = "refused")]
    Rejected(Rejection),
}

/// What a node may use from now on.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Granted")]
pub struct LeaseUpdate {
    /// The node's incarnation.
    pub incarnation: u64,
    /// The sequence number of the request that this responds to.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// One lease for each budget that was reported and exists.
    #[serde(rename = "grants")]
    pub leases: Vec<Lease>,
    /// One reservation for each wallet that was reported and exists.
    #[serde(rename = "reserves")]
    pub reservations: Vec<Reservation>,
    /// The route document to apply, where it is another than the node has, in a version that it reads.
    pub document: Option<Document>,
    /// Why the node can read no version of the document in force.
    #[serde(rename = "unreadable")]
    pub unreadable_reason: Option<String>,
}

impl BudgetReport {
    fn validate(&self, path: &str) -> Result<(), FieldError> {
        check_name(&format!("{path}.budget"), &self.budget)?;
        check_range(&format!("{path}.in_use"), self.in_use, 0, MAX_AMOUNT)?;
        check_range(&format!("{path}.need"), self.demand_milliunits, 0, MAX_AMOUNT * 1000)?;
        check_range(&format!("{path}.tail_us"), self.max_in_flight_us, 0, MAX_DURATION_US)
    }
}

impl Lease {
    fn validate(&self, path: &str) -> Result<(), FieldError> {
        check_name(&format!("{path}.budget"), &self.budget)?;
        check_range(&format!("{path}.amount"), self.amount, 0, MAX_AMOUNT)?;
        check_range(&format!("{path}.span_us"), self.duration_us, 0, MAX_DURATION_US)
    }
}

impl Message for NodeRequest {
    fn validate(&self) -> Result<(), FieldError> {
        check_name("name", &self.name)?;
        check_name("program", &self.program_version)?;
        check_range("number", self.sequence, 1, u64::MAX)?;
        check_count("schemas", self.schema_versions.len(), MAX_LIST)?;
        check_count("wants", self.budgets.len(), MAX_LIST)?;
        for (n, report) in self.budgets.iter().enumerate() {
            report.validate(&format!("wants[{n}]"))?;
        }
        check_count("purses", self.wallets.len(), MAX_LIST)?;
        for (n, report) in self.wallets.iter().enumerate() {
            report.validate(&format!("purses[{n}]"))?;
        }
        check_distinct("purses", self.wallets.iter().map(|report| report.wallet.as_str()))?;
        check_distinct("wants", self.budgets.iter().map(|report| report.budget.as_str()))
    }
}

impl Message for NodeResponse {
    fn validate(&self) -> Result<(), FieldError> {
        let Self::Accepted(update) = self else { return Ok(()) };
        check_range("granted.incarnation", update.incarnation, 1, u64::MAX)?;
        for (n, lease) in update.leases.iter().enumerate() {
            lease.validate(&format!("granted.grants[{n}]"))?;
        }
        for (n, reservation) in update.reservations.iter().enumerate() {
            reservation.validate(&format!("granted.reserves[{n}]"))?;
        }
        Ok(())
    }
}
