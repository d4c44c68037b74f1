//! Experiments on the simulated fleet. An experiment is declared in a file ([`spec`]), its runs are executed in parallel
//! ([`run_all`]), and their [`Record`]s are stored and shown as tables and charts ([`report`]). [`check`] validates the
//! simulator against closed-form results, and [`search`] looks for scenarios on which a policy performs badly.

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

/// The results of one run, as stored in files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The run: levels and seed.
    pub cell: Cell,
    /// Utility earned divided by utility offered.
    pub service: f64,
    /// Number of client requests after the warm-up, not counting retries.
    #[serde(rename = "tasks")]
    pub requests: u64,
    /// Mean number of attempts per request.
    #[serde(rename = "tries")]
    pub attempts_per_request: f64,
    /// Fraction of the attempts that nodes rejected.
    #[serde(rename = "rejected")]
    pub rejected_fraction: f64,
    /// Mean time from a request's arrival to its result, in seconds.
    #[serde(rename = "latency")]
    pub mean_latency: f64,
    /// 99th percentile of the time from a request's arrival to its result, in seconds.
    pub latency_99: f64,
    /// Utility earned divided by utility offered, by the second in which the requests arrived.
    #[serde(rename = "line")]
    pub service_by_second: Vec<f64>,
    /// Violated invariants, one text each: the number of violations, and the time, node and client request of the first.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Number of simulated events.
    pub events: u64,
}

/// Simulates one run.
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

/// Repeats a run and describes what happened to one of its client requests, one line per event. Empty if the run has no
/// request of this number.
pub fn explain(spec: &Spec, cell: &Cell, request: u32) -> Vec<String> {
    let scenario = spec.scenario(cell);
    let make =
        |settings: &lynxtally::Settings, seed, now| spec::make_scheduler(&cell.policy, settings, seed, now);
    World::new(&scenario, &make, cell.seed).explain(request).run().1
}

/// Executes all runs of the experiment that have no record in `done`, on `threads` threads, and calls `on_record` with each
/// new record as its run ends. Returns the records of all runs, in the order of [`Spec::cells`].
pub fn run_all(
    spec: &Spec,
    done: &[Record],
    threads: usize,
    on_record: impl Fn(&Record) + Sync,
) -> Vec<Record> {
    let cells = spec.cells();
    let results: Vec<Mutex<Option<Record>>> = cells
        .iter()
        .map(|cell| Mutex::new(done.iter().find(|record| record.cell == *cell).cloned()))
        .collect();
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(slot) = results.get(index) else { return };
                let mut slot = slot.lock().unwrap_or_else(PoisonError::into_inner);
                if slot.is_none() {
                    let record = run(spec, &cells[index]);
                    on_record(&record);
                    *slot = Some(record);
                }
            });
        }
    });
    let slots = results.into_iter().map(|slot| slot.into_inner().unwrap_or_else(PoisonError::into_inner));
    slots.flatten().collect()
}
