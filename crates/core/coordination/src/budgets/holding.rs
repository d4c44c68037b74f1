//! What one process may be using of one budget.

use crate::time::micros;
use lynxtally::Instant;
use lynxtally_messages::BudgetReport;
use serde::{Deserialize, Serialize};

/// A grant that may still be in use.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
struct Given {
    version: u64,
    amount: u64,
    /// When all that was begun under it is surely over.
    #[serde(with = "micros")]
    end: Instant,
}

/// So many grants are kept apart; more are counted as if the larger had lasted as long as the later.
const APART: usize = 8;

/// One process's part.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub(crate) struct Holding {
    /// Grants that may be in use, the oldest first: each later one ends later and is smaller, as another would
    /// not change what is counted.
    given: Vec<Given>,
    /// What it needs, in thousandths of a unit.
    pub need: u64,
    /// The leader hears nothing of it.
    pub suspect: bool,
    /// Another has its name.
    pub muted: bool,
    /// What it should have, by the last division; none before its first.
    pub target: Option<u64>,
}

impl Holding {
    /// What may be in use at most: the process has one grant in force at a time, and what it began under a
    /// larger one before goes on.
    pub fn counted(&self) -> u64 {
        self.given.first().map_or(0, |given| given.amount)
    }

    /// When the next of its grants is surely over.
    pub fn ends(&self) -> Option<Instant> {
        self.given.first().map(|given| given.end)
    }

    /// The holder tells which grant is in force there, and what is in use. Once that fits under this grant it
    /// goes on fitting, as nothing is begun beyond it: what was given before is not in use any more.
    pub fn reported(&mut self, want: &BudgetReport) {
        // Where that grant itself is not kept any more, a later one covers it.
        let adopted = self.given.iter().find(|given| given.version >= want.lease_version);
        if adopted.is_some_and(|given| want.in_use <= given.amount) {
            self.given.retain(|given| given.version >= want.lease_version);
        }
    }

    /// Notes a new grant.
    pub fn give(&mut self, version: u64, amount: u64, end: Instant) {
        // Should the time for which things go on have been told shorter, the earlier end still holds for them.
        let end = self.given.last().map_or(end, |last| last.end.max(end));
        while self.given.last().is_some_and(|last| last.amount <= amount) {
            self.given.pop();
        }
        self.given.push(Given { version, amount, end });
        if self.given.len() > APART {
            let at = self.given.len() - 2;
            let later = self.given.remove(at + 1);
            self.given[at].end = later.end;
            self.given[at].version = later.version;
        }
    }

    /// Grants that are surely over go.
    pub fn lapse(&mut self, now: Instant) {
        self.given.retain(|given| given.end > now);
    }

    /// The process is over.
    pub fn clear(&mut self) {
        self.given.clear();
    }

    /// Whether nothing that was given may be in use.
    pub fn is_empty(&self) -> bool {
        self.given.is_empty()
    }
}
