//! The terms of budgets and wallets, which an operator sets.

use crate::validation::{check_count, check_name, check_range, FieldError, MAX_AMOUNT, MAX_DURATION_US};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The shortest lease or reservation, in microseconds. A shorter one could end before the node has the response.
const MIN_LEASE_DURATION_US: u64 = 10_000;
/// The largest clock drift that may be set, in parts per million: one second per second.
const MAX_DRIFT_PPM: u64 = 1_000_000;
/// The most request classes that one wallet may have prices for.
const MAX_PRICES: usize = 1024;

/// The quantity that a budget limits.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum BudgetKind {
    /// The number of units in use at the same time, such as concurrent calls to a shared dependency.
    #[serde(rename = "in_hand")]
    Concurrency,
    /// The number of units started per second, such as calls to a shared dependency.
    #[serde(rename = "rate")]
    Rate,
}

/// How much capacity a budget has, and how it is leased to nodes.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Terms")]
pub struct BudgetTerms {
    /// The quantity that the budget limits.
    pub kind: BudgetKind,
    /// The number of units that all nodes together may use.
    #[serde(rename = "whole")]
    pub capacity: u64,
    /// The number of units that each node is given at least, as long as the capacity suffices.
    #[serde(rename = "floor")]
    pub min_per_node: u64,
    /// The part of the capacity that is reserved for the first lease of a node, in thousandths.
    #[serde(rename = "kept_back")]
    pub newcomer_reserve_permille: u64,
    /// For how long a node may start calls under a lease, in microseconds.
    #[serde(rename = "span_us")]
    pub lease_duration_us: u64,
    /// The largest rate at which two clocks drift apart, in parts per million.
    #[serde(rename = "drift")]
    pub max_clock_drift_ppm: u64,
    /// The longest pause of a node between reading its clock and starting a call, in microseconds. The node can't
    /// detect a pause at that point, so the coordinators wait this much longer before they lease the units again.
    #[serde(rename = "margin_us")]
    pub pause_margin_us: u64,
}

/// What happens to units that stay in doubt: units granted to a node that never reported whether it spent them.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum InDoubtPolicy {
    /// The units go back to the balance.
    #[serde(rename = "return")]
    Return,
    /// The units are charged.
    #[serde(rename = "charge")]
    Charge,
}

/// The prices that are charged to a wallet, and how its units are reserved on nodes.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct WalletTerms")]
pub struct WalletTerms {
    /// The price of a request in units, by request class. Requests of a class that is missing here are free.
    pub prices: BTreeMap<String, u64>,
    /// For how long a node may admit requests against a reservation, in microseconds.
    #[serde(rename = "span_us")]
    pub reservation_duration_us: u64,
    /// The largest rate at which two clocks drift apart, in parts per million.
    #[serde(rename = "drift")]
    pub max_clock_drift_ppm: u64,
    /// The longest pause of a node between reading its clock and admitting a request, in microseconds.
    #[serde(rename = "margin_us")]
    pub pause_margin_us: u64,
    /// For how long units stay in doubt before [`Self::in_doubt_policy`] is applied, in microseconds.
    #[serde(rename = "doubt_us")]
    pub in_doubt_timeout_us: u64,
    /// What happens to units that are still in doubt after [`Self::in_doubt_timeout_us`].
    #[serde(rename = "doubt")]
    pub in_doubt_policy: InDoubtPolicy,
}

impl BudgetTerms {
    pub(crate) fn validate(&self, path: &str) -> Result<(), FieldError> {
        let at = |key: &str| format!("{path}.{key}");
        check_range(&at("whole"), self.capacity, 0, MAX_AMOUNT)?;
        check_range(&at("floor"), self.min_per_node, 0, MAX_AMOUNT)?;
        check_range(&at("kept_back"), self.newcomer_reserve_permille, 0, 1000)?;
        check_range(&at("span_us"), self.lease_duration_us, MIN_LEASE_DURATION_US, MAX_DURATION_US)?;
        check_range(&at("drift"), self.max_clock_drift_ppm, 0, MAX_DRIFT_PPM)?;
        check_range(&at("margin_us"), self.pause_margin_us, 0, MAX_DURATION_US)
    }
}

impl WalletTerms {
    pub(crate) fn validate(&self, path: &str) -> Result<(), FieldError> {
        let at = |key: &str| format!("{path}.{key}");
        check_count(&at("prices"), self.prices.len(), MAX_PRICES)?;
        for (class, price) in &self.prices {
            check_name(&at("prices"), class)?;
            check_range(&at(&format!("prices.{class}")), *price, 0, MAX_AMOUNT)?;
        }
        check_range(&at("span_us"), self.reservation_duration_us, MIN_LEASE_DURATION_US, MAX_DURATION_US)?;
        check_range(&at("drift"), self.max_clock_drift_ppm, 0, MAX_DRIFT_PPM)?;
        check_range(&at("margin_us"), self.pause_margin_us, 0, MAX_DURATION_US)?;
        check_range(&at("doubt_us"), self.in_doubt_timeout_us, 0, MAX_DURATION_US)
    }
}
