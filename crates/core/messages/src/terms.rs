//! The terms of budgets and wallets, as an operator sets them.

use crate::validation::{check_count, check_name, check_range, FieldError, MAX_AMOUNT, MAX_DURATION_US};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A lease shorter than this could end before the response has come, in microseconds.
const MIN_LEASE_DURATION_US: u64 = 10_000;
/// A clock drift of a whole second a second.
const MAX_DRIFT_PPM: u64 = 1_000_000;
/// One wallet prices this many request classes at most.
const MAX_PRICES: usize = 1024;

/// What a budget counts.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum BudgetKind {
    /// Things in use at one moment, such as calls at a shared dependency.
    #[serde(rename = "in_hand")]
    Concurrency,
    /// Things started a second.
    #[serde(rename = "rate")]
    Rate,
}

/// A budget's terms.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Terms")]
pub struct BudgetTerms {
    /// What it counts.
    pub kind: BudgetKind,
    /// All units, over all nodes.
    #[serde(rename = "whole")]
    pub capacity: u64,
    /// Units that each node gets at least, as far as the capacity goes round.
    #[serde(rename = "floor")]
    pub min_per_node: u64,
    /// The part of the capacity that only a node's first lease is taken from, in thousandths.
    #[serde(rename = "kept_back")]
    pub newcomer_reserve_permille: u64,
    /// For how long a lease lets things be started, in microseconds.
    #[serde(rename = "span_us")]
    pub lease_duration_us: u64,
    /// By how much two clocks drift apart at most, in parts per million.
    #[serde(rename = "drift")]
    pub max_clock_drift_ppm: u64,
    /// The longest pause of a node between its look at the clock and what it starts then, in microseconds. A pause in
    /// just that gap can't be seen by any check, so the lease is held back for as long before its units are granted
    /// again.
    #[serde(rename = "margin_us")]
    pub pause_margin_us: u64,
}

/// What becomes of units in doubt: granted to a node that accounts for them no more.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum InDoubtPolicy {
    /// They go back to the balance.
    #[serde(rename = "return")]
    Return,
    /// They are charged.
    #[serde(rename = "charge")]
    Charge,
}

/// A wallet's terms.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct WalletTerms")]
pub struct WalletTerms {
    /// The price of a request by its class; a class that is not named costs nothing.
    pub prices: BTreeMap<String, u64>,
    /// For how long a node may admit requests against a reservation, in microseconds.
    #[serde(rename = "span_us")]
    pub reservation_duration_us: u64,
    /// By how much two clocks drift apart at most, in parts per million.
    #[serde(rename = "drift")]
    pub max_clock_drift_ppm: u64,
    /// The longest pause of a node between its look at the clock and what it does then, in microseconds.
    #[serde(rename = "margin_us")]
    pub pause_margin_us: u64,
    /// For how long units stay in doubt before [`Self::in_doubt_policy`] decides, in microseconds.
    #[serde(rename = "doubt_us")]
    pub in_doubt_timeout_us: u64,
    /// What becomes of units in doubt then.
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
