//! The account of one process for one wallet.

use crate::serde_instant;
use lynxtally::Instant;
use serde::{Deserialize, Serialize};

/// The units of a wallet that a process was granted, and those that it has reported as charged or returned.
///
/// The counts only grow, until the account is settled. An account is settled if its units stayed in doubt for too long:
/// the wallet's policy has then decided what happens to them, and the process has nothing left.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub(crate) struct Account {
    pub incarnation: u64,
    /// Units granted so far. Settling the account reduces this to the units that were charged or returned.
    #[serde(rename = "given")]
    pub granted: u64,
    /// Units that the process has reported as charged so far.
    pub spent: u64,
    /// Units that the process has returned so far.
    pub returned: u64,
    /// When the reservation expires: after this, no request that was admitted against it can still run.
    #[serde(rename = "end", with = "serde_instant")]
    pub expires_at: Instant,
    /// When the account became in doubt, by the clock of the replicated state; `None` if it is not in doubt.
    #[serde(rename = "doubt", with = "serde_instant::optional")]
    pub in_doubt_since: Option<Instant>,
    /// Whether another process has taken the name of this one.
    #[serde(rename = "muted")]
    pub fenced: bool,
    /// Whether the account is settled, so that no units remain in it.
    pub settled: bool,
}

impl Account {
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            granted: 0,
            spent: 0,
            returned: 0,
            expires_at: Instant::default(),
            in_doubt_since: None,
            fenced: false,
            settled: false,
        }
    }

    /// The units that were granted and that the process has reported neither as charged nor as returned.
    pub fn remaining(&self) -> u64 {
        self.granted - self.spent - self.returned
    }

    /// Settles the account. Returns the units that remained in it and no longer belong to the process.
    pub fn settle(&mut self) -> u64 {
        let remaining = self.remaining();
        self.granted -= remaining;
        self.settled = true;
        self.in_doubt_since = None;
        remaining
    }

    pub fn grant(&mut self, units: u64, expires_at: Instant) {
        self.granted += units;
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// The number of remaining units that the process may retain: as many as it demands. It has to return the others,
    /// because they are idle.
    pub fn retainable(&self, demand: u64) -> u64 {
        if self.fenced {
            return 0;
        }
        demand.min(self.remaining())
    }
}
