//! Reports and reservations of wallets. A wallet holds units that a tenant bought in advance.
//!
//! Within one account, the counts of granted, charged and returned units only grow. A message that arrives twice
//! therefore charges or returns nothing twice.

use crate::validation::{check_name, check_range, FieldError, MAX_DURATION_US};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most units that a wallet can hold.
pub const MAX_UNITS: u64 = 1 << 50;

/// A node's report on its account of one wallet.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Purse")]
pub struct WalletReport {
    /// The wallet's name.
    pub wallet: String,
    /// The number of the node's account; 0 if it has none yet.
    pub account: u64,
    /// Units charged in this account so far.
    pub spent: u64,
    /// Units that the node returned from this account so far.
    pub returned: u64,
    /// Units that the node wants to hold, including those that running requests hold.
    #[serde(rename = "want")]
    pub demand: u64,
    /// The longest time that an admitted request may run, in microseconds.
    #[serde(rename = "tail_us")]
    pub max_in_flight_us: u64,
}

/// Units of a wallet against which a node may admit requests for a limited time.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Reserve")]
pub struct Reservation {
    /// The wallet's name.
    pub wallet: String,
    /// The number of the node's account. It differs from the reported number if that account was closed.
    pub account: u64,
    /// Units granted in this account so far.
    #[serde(rename = "given")]
    pub granted: u64,
    /// The number of unspent units that the node may retain; it returns the others.
    #[serde(rename = "keep")]
    pub retain: u64,
    /// For how long the node may admit requests, in microseconds. The node counts from a time before it first sent the
    /// request, so that the reservation ends at the node before it ends at the coordinators.
    #[serde(rename = "span_us")]
    pub duration_us: u64,
    /// Whether the balance of the wallet is 0, so that no node can be granted more units.
    #[serde(rename = "empty")]
    pub exhausted: bool,
    /// The price of a request in units, by request class. Requests of a class that is missing here are free.
    pub prices: BTreeMap<String, u64>,
}

impl WalletReport {
    pub(crate) fn validate(&self, path: &str) -> Result<(), FieldError> {
        check_name(&format!("{path}.wallet"), &self.wallet)?;
        check_range(&format!("{path}.spent"), self.spent, 0, MAX_UNITS)?;
        check_range(&format!("{path}.returned"), self.returned, 0, MAX_UNITS)?;
        check_range(&format!("{path}.want"), self.demand, 0, MAX_UNITS)?;
        check_range(&format!("{path}.tail_us"), self.max_in_flight_us, 0, MAX_DURATION_US)
    }
}

impl Reservation {
    pub(crate) fn validate(&self, path: &str) -> Result<(), FieldError> {
        check_name(&format!("{path}.wallet"), &self.wallet)?;
        check_range(&format!("{path}.given"), self.granted, 0, MAX_UNITS)?;
        check_range(&format!("{path}.span_us"), self.duration_us, 0, MAX_DURATION_US)
    }
}
