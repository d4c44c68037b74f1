//! A node's request to a coordinator, and the response.

use crate::envelope::Message;
use crate::rejection::Rejection;
use crate::schema::{AppliedDocument, Document};
use crate::validation::{
    check_count, check_distinct, check_name, check_range, FieldError, MAX_AMOUNT, MAX_DURATION_US,
};
use crate::wallet::{Reservation, WalletReport};
use serde::{Deserialize, Serialize};

/// The most budgets, wallets or schema versions that one request may list.
const MAX_LIST: usize = 1024;

/// A request with which a node joins, renews its leases and reports its use, or ends its session.
///
/// A node that gets no response sends the request again unchanged, to any coordinator. The request is applied once
/// however often it arrives.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Say")]
pub struct NodeRequest {
    /// The node's name. Successive processes of a node share it.
    pub name: String,
    /// Identifies the process among those with this name: the log index of its join request. 0 in a join request.
    pub incarnation: u64,
    /// Counts the requests of this incarnation from 1. In a join request it is a random number instead, which stays
    /// the same when the join request is sent again.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The version of the node's program.
    #[serde(rename = "program")]
    pub program_version: String,
    /// The versions of the route schema that the node can read.
    #[serde(rename = "schemas")]
    pub schema_versions: Vec<u32>,
    /// The node's use of and demand for each budget.
    #[serde(rename = "wants")]
    pub budgets: Vec<BudgetReport>,
    /// What the node spent from and demands of each wallet.
    #[serde(rename = "purses")]
    pub wallets: Vec<WalletReport>,
    /// The route document that the node has applied; `None` if the node does not read route documents.
    #[serde(rename = "applied")]
    pub applied_document: Option<AppliedDocument>,
    /// The node starts nothing more and nothing that it started still runs, so all units that it held are free.
    #[serde(rename = "over")]
    pub ends_session: bool,
}

/// A node's use of and demand for one budget.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Want")]
pub struct BudgetReport {
    /// The budget's name.
    pub budget: String,
    /// The version of the lease in force at the node; 0 if none is.
    #[serde(rename = "adopted")]
    pub lease_version: u64,
    /// Units in use, including those of calls that were started under earlier leases and may still run.
    pub in_use: u64,
    /// The mean demand over about one lease duration, in thousandths of a unit: the units in use plus the units that
    /// the node could have used but did not have.
    #[serde(rename = "need")]
    pub demand_milliunits: u64,
    /// The longest time that anything started under the lease may run, in microseconds.
    #[serde(rename = "tail_us")]
    pub max_in_flight_us: u64,
}

/// Units of a budget that a node may use for a limited time.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Grant")]
pub struct Lease {
    /// The budget's name.
    pub budget: String,
    /// Larger than the version of each earlier lease of this budget to this node.
    pub version: u64,
    /// The number of units that may be in use.
    pub amount: u64,
    /// For how long the node may start calls under the lease, in microseconds. The node counts from a time before it
    /// first sent the request, so that the lease ends at the node before it ends at the coordinators.
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
    /// The request was not applied.
    #[serde(rename = "refused")]
    Rejected(Rejection),
}

/// The leases, the reservations and the route document that a node is to use from now on.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "struct Granted")]
pub struct LeaseUpdate {
    /// The node's incarnation.
    pub incarnation: u64,
    /// The sequence number of the request that this is the response to.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// One lease for each budget in the request that exists.
    #[serde(rename = "grants")]
    pub leases: Vec<Lease>,
    /// One reservation for each wallet in the request that exists.
    #[serde(rename = "reserves")]
    pub reservations: Vec<Reservation>,
    /// The route document in force, in a schema version that the node reads; `None` if the node has already applied
    /// it or can't read it.
    pub document: Option<Document>,
    /// Why the document in force can't be provided in any schema version that the node reads; `None` if it can.
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
