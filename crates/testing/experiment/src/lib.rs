//! Experiments on the simulated fleet: declared, run in parallel, kept as records, shown as tables and charts.

#![forbid(unsafe_code)]

pub mod chart;
pub mod check;
pub mod report;
pub mod search;
pub mod spec;
pub mod stats;

use lynxtally_simulator::violations::ViolationRecord;
use lynxtally_simulator::world::World;
use serde::{Deserialize, Serialize};
use spec::{Cell, Spec};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// What came of one run, as it is kept in files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Which run.
    pub cell: Cell,
    /// Utility earned over offered.
    pub service: f64,
    /// The clients' requests.
    #[serde(rename = "tasks")]
    pub requests: u64,
    /// Attempts a request.
    #[serde(rename = "tries")]
    pub attempts_per_request: f64,
    /// Attempts that were rejected, over all.
    #[serde(rename = "rejected")]
    pub rejected_fraction: f64,
    /// Mean time to a result, in seconds.
    #[serde(rename = "latency")]
    pub mean_latency: f64,
    /// The 99th percentile.
    pub latency_99: f64,
    /// Service by second.
    #[serde(rename = "line")]
    pub service_by_second: Vec<f64>,
    /// Invariants that were violated: how often, and when, on which node and by which request first.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Simulated events.
    pub events: u64,
}

/// Does one run.
pub fn run(spec: &Spec, cell: &Cell) -> Record {
    let scenario = spec.scenario(cell);
    let make =
        |settings: &lynxtally::Settings, seed, now| spec::make_scheduler(&cell.policy, settings, seed, now);
    let (outcome, _) = World::new(&scenario, &make, cell.seed).run();
    let attempts = outcome.attempts as f64;
    let describe = |record: &ViolationRecord| {
        let ViolationRecord { violation, count, first_at_micros, first_node, first_request } = record;
        let at = *first_at_micros as f64 / 1e6;
        format!("{violation}: {count} times, first at {at:.6} s on node {first_node} by task {first_request}")
    };
    Record {
        cell: cell.clone(),
        service: outcome.utility_ratio(),
        requests: outcome.requests,
        attempts_per_request: attempts / outcome.requests.max(1) as f64,
        rejected_fraction: outcome.rejected as f64 / attempts.max(1.0),
        mean_latency: outcome.mean_latency,
        latency_99: outcome.latency_99,
        service_by_second: outcome.utility_ratio_by_second,
        violations: outcome.violations.records.iter().map(describe).collect(),
        events: outcome.events,
    }
}

/// What happened to one client request of a run, in words.
pub fn explain(spec: &Spec, cell: &Cell, request: u32) -> Vec<String> {
    let scenario = spec.scenario(cell);
    let make =
        |settings: &lynxtally::Settings, seed, now| spec::make_scheduler(&cell.policy, settings, seed, now);
    World::new(&scenario, &make, cell.seed).explain(request).run().1
}

/// Does all runs that are not among those `done`, on so many threads; `each` sees every one as it ends.
pub fn run_all(spec: &Spec, done: &[Record], threads: usize, each: impl Fn(&Record) + Sync) -> Vec<Record> {
    let cells = spec.cells();
    let results: Vec<Mutex<Option<Record>>> = cells
        .iter()
        .map(|cell| Mutex::new(done.iter().find(|record| record.cell == *cell).cloned()))
        .collect();
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let Some(slot) = results.get(at) else { return };
                let mut slot = slot.lock().unwrap_or_else(PoisonError::into_inner);
                if slot.is_none() {
                    let record = run(spec, &cells[at]);
                    each(&record);
                    *slot = Some(record);
                }
            });
        }
    });
    let slots = results.into_iter().map(|slot| slot.into_inner().unwrap_or_else(PoisonError::into_inner));
    slots.flatten().collect()
}
