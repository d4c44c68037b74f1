//! What members had in force, by their own records on the machine's one clock, summed from outside.

use lynxtally::Instant;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// One record.
#[derive(Clone, Debug)]
struct Record {
    at: Instant,
    who: String,
    amount: u64,
    until: Instant,
}

/// The records of all.
#[derive(Clone, Default)]
pub struct Audit(Arc<Mutex<Vec<Record>>>);

impl Audit {
    /// From `at` on a member has an amount in force, until it says otherwise, or the span is over.
    pub fn note(&self, at: Instant, who: &str, amount: u64, until: Instant) {
        let record = Record { at, who: who.to_owned(), amount, until };
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }

    /// The most that was in force at one moment.
    pub fn most(&self) -> u64 {
        let mut records = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        records.sort_by_key(|record| record.at);
        let mut now: BTreeMap<&str, &Record> = BTreeMap::new();
        let mut most = 0;
        for record in &records {
            now.insert(&record.who, record);
            let in_force =
                now.values().filter(|other| other.until > record.at).map(|other| other.amount).sum();
            most = most.max(in_force);
        }
        most
    }

    /// Until when a member may use what it has in force, by its last record.
    pub fn until(&self, who: &str) -> Option<Instant> {
        let records = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        records.iter().rev().find(|record| record.who == who).map(|record| record.until)
    }

    /// The least that a member had in force from a moment on; 0 where its grants lapsed once.
    pub fn least(&self, who: &str, from: Instant) -> u64 {
        let records = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let own: Vec<&Record> =
            records.iter().filter(|record| record.who == who && record.at >= from).collect();
        let lapsed = own.windows(2).any(|pair| pair[0].until < pair[1].at);
        if lapsed {
            return 0;
        }
        own.iter().map(|record| record.amount).min().unwrap_or(0)
    }
}
