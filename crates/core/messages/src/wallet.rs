//! What nodes and coordinators tell each other of wallets: units that a tenant bought in advance. Counts of what was
//! charged and returned only grow within one account, so a message that arrives twice books nothing twice.

use crate::validation::{check_name, check_range, FieldError, MAX_DURATION_US};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// No wallet ever holds more units.
pub const MAX_UNITS: u64 = 1 << 50;

/// A node's account of one wallet.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Purse")]
pub struct WalletReport {
    /// The wallet's name.
    pub wallet: String,
    /// The number of the node's account; 0 where it has none.
    pub account: u64,
    /// Units charged in this account so far.
    pub spent: u64,
    /// Units given back in this account so far.
    pub returned: u64,
    /// Units that the node wants at hand, with those that running requests hold.
    #[serde(rename = "want")]
    pub demand: u64,
    /// The longest time for which an admitted request may run, in microseconds.
    #[serde(rename = "tail_us")]
    pub max_in_flight_us: u64,
}

/// Units of a wallet that a node may admit requests against, for a limited time.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, expecting = "struct Reserve")]
pub struct Reservation {
    /// The wallet's name.
    pub wallet: String,
    /// The account's number; it changes where the account before was closed.
    pub account: u64,
    /// Units granted in this account so far.
    #[serde(rename = "given")]
    pub granted: u64,
    /// Of the units that are left the node may retain this many; it returns the others.
    #[serde(rename = "keep")]
    pub retain: u64,
    /// For how long requests may be admitted, in microseconds from before the node first sent its request.
    #[serde(rename = "span_us")]
    pub duration_us: u64,
    /// Whether the wallet has no units left that any node could get.
    #[serde(rename = "empty")]
    pub exhausted: bool,
    /// The price of a request by its class; a class that is not named costs nothing.
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
