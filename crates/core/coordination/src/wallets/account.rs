//! What one process has of one wallet.

use crate::time::micros;
use lynxtally::Instant;
use lynxtally_messages::WalletReport;
use serde::{Deserialize, Serialize};

/// One process's reservation. All amounts only grow.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub(crate) struct Account {
    pub incarnation: u64,
    /// Given to it so far.
    pub given: u64,
    /// Charged by it so far.
    pub spent: u64,
    /// Given back by it so far.
    pub returned: u64,
    /// When nothing can be under way any more that was let in against it.
    #[serde(with = "micros")]
    pub end: Instant,
    /// Since when it is in doubt, in the register's time.
    #[serde(with = "optional")]
    pub doubt: Option<Instant>,
    /// Another has its name.
    pub muted: bool,
    /// Its doubt was settled: nothing of it is left.
    pub settled: bool,
}

impl Account {
    pub fn new(incarnation: u64) -> Self {
        let end = Instant::default();
        Self { incarnation, given: 0, spent: 0, returned: 0, end, doubt: None, muted: false, settled: false }
    }

    /// What it has and has not accounted for.
    pub fn left(&self) -> u64 {
        self.given - self.spent - self.returned
    }

    /// Nobody accounts for it any more; tells what was left.
    pub fn settle(&mut self) -> u64 {
        let left = self.left();
        (self.given, self.settled, self.doubt) = (self.given - left, true, None);
        left
    }

    pub fn give(&mut self, units: u64, end: Instant) {
        self.given += units;
        self.end = self.end.max(end);
    }

    /// How much of what it has it may keep: what it wants. The rest lies idle and is called back.
    pub fn keep(&self, purse: &WalletReport) -> u64 {
        if self.muted {
            0
        } else {
            purse.demand.min(self.left())
        }
    }
}

/// A point in time that may not have come.
mod optional {
    use lynxtally::Instant;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(at: &Option<Instant>, to: S) -> Result<S::Ok, S::Error> {
        at.map(|at| (at - Instant::default()).micros()).serialize(to)
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<Option<Instant>, D::Error> {
        Option::<u64>::deserialize(from).map(|at| at.map(Instant::from_micros))
    }
}
