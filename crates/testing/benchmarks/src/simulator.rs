//! The emulator, measured: its queue of events against the standard heap, and how fast a large fleet runs.

use lynxtally::Pcg;
use lynxtally_experiment::spec::{Cell, Spec};
use lynxtally_simulator::event_queue::EventQueue;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::Write;
use std::hint::black_box;
use std::io;
use std::time::Instant;

/// Nanoseconds for one taken out and one put in, with so many inside: the hold model, waits drawn exponentially.
fn hold(count: usize, radix: bool) -> f64 {
    const STEPS: usize = 2_000_000;
    let mut chance = Pcg::new(5);
    let mut wait = || (-chance.unit().max(1e-12).ln() * 10_000.0) as u64;
    let (mut queue, mut heap) = (EventQueue::default(), BinaryHeap::new());
    for n in 0..count as u32 {
        let at = wait();
        match radix {
            true => queue.push(at, n),
            false => heap.push(Reverse((at, n))),
        }
    }
    let start = Instant::now();
    for _ in 0..STEPS {
        if radix {
            if let Some((at, n)) = queue.pop() {
                queue.push(at + wait(), black_box(n));
            }
        } else if let Some(Reverse((at, n))) = heap.pop() {
            heap.push(Reverse((at + wait(), black_box(n))));
        }
    }
    start.elapsed().as_secs_f64() * 1e9 / STEPS as f64
}

/// A fleet at a load, for so long in simulated time; tells tasks and events a second of real time, and how many seconds
/// of simulated time pass in one.
fn fleet(nodes: usize, per_second: f64, lasts: f64, threads: usize) -> io::Result<(f64, f64, f64)> {
    // Work is chosen so that the tasks a second are these at nine tenths of what the cores can do.
    let work_ms = 0.9 * nodes as f64 * 4.0 / per_second * 1000.0;
    let declared = json!({
        "name": "speed", "nodes": [nodes], "loads": [0.9], "policies": ["module"], "lasts_s": lasts,
        "seeds": (1..=threads as u64).collect::<Vec<_>>(),
        "stages": [{"name": "a", "utility": 1, "due_ms": 1000, "limit_ms": 3000, "share": 1, "work_ms": work_ms}],
    });
    let spec: Spec = serde_json::from_value(declared).map_err(io::Error::other)?;
    let cells: Vec<Cell> = spec.cells();
    let start = Instant::now();
    let records = std::thread::scope(|scope| {
        let runs: Vec<_> =
            cells.iter().map(|cell| scope.spawn(|| lynxtally_experiment::run(&spec, cell))).collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect::<Vec<_>>()
    });
    let took = start.elapsed().as_secs_f64();
    let tasks: u64 = records.iter().map(|record| record.requests).sum();
    let events: u64 = records.iter().map(|record| record.events).sum();
    Ok((tasks as f64 / took, events as f64 / took, lasts * records.len() as f64 / took))
}

/// Measures all.
pub fn measure() -> io::Result<String> {
    let mut out = "# The emulator, measured\n\nMade by `cargo run --release -p lynxtally-benchmarks -- lab`, on one machine of 8 \
                   cores.\n\n## The queue of events against the standard heap\n\nOne taken out and one put in, waits drawn \
                   exponentially, as in a run.\n\n| inside | radix heap, ns | BinaryHeap, ns |\n| --- | --- | --- |\n"
        .to_owned();
    for count in [1_000, 100_000, 1_000_000] {
        let _ = writeln!(out, "| {count} | {:.0} | {:.0} |", hold(count, true), hold(count, false));
    }
    out.push_str(
        "\n## A large fleet\n\n1,000 nodes of 4 cores and 1,000 sidecars at 90 % load, 100,000 tasks a simulated second, with \
         the real host and module in each node. Runs are in parallel, one on a thread.\n\n| threads | tasks a second | events a \
         second | simulated seconds a second, all runs together |\n| --- | --- | --- | --- |\n",
    );
    for threads in [1, 4] {
        let (tasks, events, speed) = fleet(1000, 100_000.0, 2.0, threads)?;
        let _ = writeln!(out, "| {threads} | {tasks:.0} | {events:.0} | {speed:.2} |");
    }
    Ok(out)
}
