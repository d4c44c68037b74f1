//! What nodes had leased, by their own records on the machine's one clock, summed from outside.

use lynxtally::Instant;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// From a moment on a node may use an amount, until its next record or until the lease expires.
#[derive(Clone, Debug)]
struct Record {
    at: Instant,
    node: String,
    amount: u64,
    expires_at: Instant,
}

/// The records of all nodes.
#[derive(Clone, Default)]
pub struct LeaseAudit(Arc<Mutex<Vec<Record>>>);

impl LeaseAudit {
    /// From `at` on a node may use an amount, until it says otherwise or the lease expires.
    pub fn record(&self, at: Instant, node: &str, amount: u64, expires_at: Instant) {
        self.records().push(Record { at, node: node.to_owned(), amount, expires_at });
    }

    /// The most that could be used at one moment by all nodes together.
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

    /// When the lease of a node expires, by its last record.
    pub fn last_expiry(&self, node: &str) -> Option<Instant> {
        let records = self.records();
        records.iter().rev().find(|record| record.node == node).map(|record| record.expires_at)
    }

    /// The least that a node could use from a moment on; 0 where its lease expired once.
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
