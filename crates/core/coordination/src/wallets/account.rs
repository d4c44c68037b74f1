//! One process's account of one wallet.

use crate::serde_instant;
use lynxtally::Instant;
use serde::{Deserialize, Serialize};

/// What one process was granted of a wallet, and what it accounted for. The counts only grow, until doubt about it is
/// settled.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub(crate) struct Account {
    pub incarnation: u64,
    /// Units granted to it so far.
    #[serde(rename = "given")]
    pub granted: u64,
    /// Units charged by it so far.
    pub spent: u64,
    /// Units returned by it so far.
    pub returned: u64,
    /// When no request can run any more that was admitted against it.
    #[serde(rename = "end", with = "serde_instant")]
    pub over_at: Instant,
    /// Since when it is in doubt, by the state's clock.
    #[serde(rename = "doubt", with = "serde_instant::optional")]
    pub in_doubt_since: Option<Instant>,
    /// Another process has taken the name of this one.
    #[serde(rename = "muted")]
    pub fenced: bool,
    /// The doubt about it was settled: nothing of it is left.
    pub settled: bool,
}

impl Account {
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            granted: 0,
            spent: 0,
            returned: 0,
            over_at: Instant::default(),
            in_doubt_since: None,
            fenced: false,
            settled: false,
        }
    }

    /// What the process has and did not account for.
    pub fn left(&self) -> u64 {
        self.granted - self.spent - self.returned
    }

    /// Settles the doubt: the process has nothing of it any more. What was left.
    pub fn settle(&mut self) -> u64 {
        let left = self.left();
        self.granted -= left;
        self.settled = true;
        self.in_doubt_since = None;
        left
    }

    pub fn grant(&mut self, units: u64, over_at: Instant) {
        self.granted += units;
        self.over_at = self.over_at.max(over_at);
    }

    /// How many of the units that it has left the process may retain: as many as it demands. The others lie idle and
    /// are called back.
    pub fn may_retain(&self, demand: u64) -> u64 {
        if self.fenced {
            return 0;
        }
        demand.min(self.left())
    }
}
