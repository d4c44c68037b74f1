//! Benchmarks of the simulator: its event queue against the standard binary heap, and the speed at which it simulates a large
//! fleet.

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

/// Nanoseconds to pop one event and push another while the queue holds `count` events (the hold model). The delay of each new
/// event is drawn from an exponential distribution.
fn nanos_per_hold(count: usize, use_radix_heap: bool) -> f64 {
    const STEPS: usize = 2_000_000;
    let mut random = Pcg::new(5);
    let mut draw_delay = || (-random.unit().max(1e-12).ln() * 10_000.0) as u64;
    let (mut queue, mut heap) = (EventQueue::default(), BinaryHeap::new());
    for n in 0..count as u32 {
        let at = draw_delay();
        match use_radix_heap {
            true => queue.push(at, n),
            false => heap.push(Reverse((at, n))),
        }
    }
    let start = Instant::now();
    for _ in 0..STEPS {
        if use_radix_heap {
            if let Some((at, n)) = queue.pop() {
                queue.push(at + draw_delay(), black_box(n));
            }
        } else if let Some(Reverse((at, n))) = heap.pop() {
            heap.push(Reverse((at + draw_delay(), black_box(n))));
        }
    }
    start.elapsed().as_secs_f64() * 1e9 / STEPS as f64
}

/// Simulates `threads` fleets in parallel for `duration_s` of simulated time each. Returns the requests, the events and the
/// simulated seconds per second of real time, each summed over all threads.
fn fleet_speed(
    nodes: usize,
    requests_per_second: f64,
    duration_s: f64,
    threads: usize,
) -> io::Result<(f64, f64, f64)> {
    // At this work per request, the request rate loads the four cores of each node to 90 %.
    let work_ms = 0.9 * nodes as f64 * 4.0 / requests_per_second * 1000.0;
    let scenario = json!({
        "name": "speed", "nodes": [nodes], "loads": [0.9], "policies": ["module"], "lasts_s": duration_s,
        "seeds": (1..=threads as u64).collect::<Vec<_>>(),
        "stages": [{"name": "a", "utility": 1, "due_ms": 1000, "limit_ms": 3000, "share": 1, "work_ms": work_ms}],
    });
    let spec: Spec = serde_json::from_value(scenario).map_err(io::Error::other)?;
    let cells: Vec<Cell> = spec.cells();
    let start = Instant::now();
    let records = std::thread::scope(|scope| {
        let runs: Vec<_> =
            cells.iter().map(|cell| scope.spawn(|| lynxtally_experiment::run(&spec, cell))).collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect::<Vec<_>>()
    });
    let elapsed = start.elapsed().as_secs_f64();
    let requests: u64 = records.iter().map(|record| record.requests).sum();
    let events: u64 = records.iter().map(|record| record.events).sum();
    Ok((requests as f64 / elapsed, events as f64 / elapsed, duration_s * records.len() as f64 / elapsed))
}

/// Runs all simulator benchmarks and returns the Markdown page.
pub fn measure() -> io::Result<String> {
    let mut out = "# The emulator, measured\n\nMade by `cargo run --release -p lynxtally-benchmarks -- lab`, on one machine of 8 \
                   cores.\n\n## The queue of events against the standard heap\n\nOne taken out and one put in, waits drawn \
                   exponentially, as in a run.\n\n| inside | radix heap, ns | BinaryHeap, ns |\n| --- | --- | --- |\n"
        .to_owned();
    for count in [1_000, 100_000, 1_000_000] {
        let _ = writeln!(
            out,
            "| {count} | {:.0} | {:.0} |",
            nanos_per_hold(count, true),
            nanos_per_hold(count, false)
        );
    }
    out.push_str(
        "\n## A large fleet\n\n1,000 nodes of 4 cores and 1,000 sidecars at 90 % load, 100,000 tasks a simulated second, with \
         the real host and module in each node. Runs are in parallel, one on a thread.\n\n| threads | tasks a second | events a \
         second | simulated seconds a second, all runs together |\n| --- | --- | --- | --- |\n",
    );
    for threads in [1, 4] {
        let (tasks, events, speed) = fleet_speed(1000, 100_000.0, 2.0, threads)?;
        let _ = writeln!(out, "| {threads} | {tasks:.0} | {events:.0} | {speed:.2} |");
    }
    Ok(out)
}
