//! An audit of the leases of all nodes. Each node records what it may use, with a reading of the machine's clock that all nodes
//! share; tests check that the sum never exceeds the capacity of the budget.

use lynxtally::Instant;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// From `at` on, a node may use an amount until its next record or until its lease expires.
#[derive(Clone, Debug)]
struct Record {
    at: Instant,
    node: String,
    amount: u64,
    expires_at: Instant,
}

/// The lease records of all nodes. Clones share the records.
#[derive(Clone, Default)]
pub struct LeaseAudit(Arc<Mutex<Vec<Record>>>);

impl LeaseAudit {
    /// Records that a node may use `amount` from `at` on, until its next record or until its lease expires.
    pub fn record(&self, at: Instant, node: &str, amount: u64, expires_at: Instant) {
        self.records().push(Record { at, node: node.to_owned(), amount, expires_at });
    }

    /// The largest sum of the amounts that all nodes might use at the same time.
    pub fn max_total(&self) -> u64 {
        let mut records = self.records().clone();
        records.sort_by_key(|record| record.at);
        let mut current: BTreeMap<&str, &Record> = BTreeMap::new();
        let mut max_total = 0;
        for record in &records {
            current.insert(&record.node, record);
            let in_force = current.values().filter(|other| other.expires_at > record.at);
            max_total = max_total.max(in_force.map(|other| other.amount).sum());
        }
        max_total
    }

    /// When the lease in a node's last record expires.
    pub fn last_expiry(&self, node: &str) -> Option<Instant> {
        let records = self.records();
        records.iter().rev().find(|record| record.node == node).map(|record| record.expires_at)
    }

    /// The smallest amount that a node might use at any time from `from` on; 0 if its lease expired in between.
    pub fn min_amount(&self, node: &str, from: Instant) -> u64 {
        let records = self.records();
        let own: Vec<&Record> =
            records.iter().filter(|record| record.node == node && record.at >= from).collect();
        let expired = own.windows(2).any(|pair| pair[0].expires_at < pair[1].at);
        if expired {
            return 0;
        }
        own.iter().map(|record| record.amount).min().unwrap_or(0)
    }

    fn records(&self) -> MutexGuard<'_, Vec<Record>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
