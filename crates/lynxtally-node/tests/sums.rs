//! What many nodes do together where each knows its own share only: real processes before one ledger that counts for
//! itself, and their restarts all at once.

#[allow(dead_code)]
#[path = "../../../tests/host/mod.rs"]
mod host;
use host::world::{task, until, Caller, World};
use lynxtally_fault_injection::ledger::Ledger;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const NODE: &str = env!("CARGO_BIN_EXE_lynxtally-node");
/// Each node's share of the calls in hand, under one as in a large fleet, so that the mean is what bounds it; the span over
/// which they are averaged, and how long one lingers.
const SHARE: f64 = 0.4;
const OVER: Duration = Duration::from_millis(2000);
const LINGER: Duration = Duration::from_millis(100);

/// A node before this ledger, with a share of it.
fn node(ledger: &Ledger) -> World {
    let world = World::begin(NODE, 1024, |text| {
        let mut told: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        told["ledger"] = ledger.at.to_string().into();
        for lane in told["settings"]["lanes"].as_array_mut().expect("stages") {
            (lane["promise-ms"], lane["deadline-ms"]) = (700.into(), 900.into());
        }
        let own = &mut told["settings"]["specifics"];
        own["below"] = "shared".into();
        own["calls-out"] = SHARE.into();
        own["calls-over-ms"] = (OVER.as_millis() as u64).into();
        own["linger-ms"] = (LINGER.as_millis() as u64).into();
        told.to_string()
    });
    // As a kernel does: a run ends at its call where the task is over.
    world.kernel.end_at_calls(Duration::from_millis(1000));
    world
}

/// Callers who want more than a node's share: tasks that call, one after another on each connection.
struct Load {
    end: Arc<AtomicBool>,
    finished: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    fn on(nodes: &[World]) -> Self {
        let (end, finished) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
        let one = |number: u64, at| {
            let (end, finished) = (end.clone(), finished.clone());
            thread::spawn(move || {
                let mut number = number << 32;
                while !end.load(Ordering::Relaxed) {
                    let Ok(stream) = std::net::TcpStream::connect(at) else {
                        thread::sleep(Duration::from_millis(10));
                        continue;
                    };
                    let mut caller = Caller::of(stream);
                    loop {
                        number += 1;
                        if end.load(Ordering::Relaxed) || !caller.try_send(&task(number, "call:x")) {
                            break;
                        }
                        let Some((head, _)) = caller.message() else { break };
                        if head.starts_with("HTTP/1.1 200") {
                            finished.fetch_add(1, Ordering::Relaxed);
                        } else {
                            thread::sleep(Duration::from_millis(20));
                        }
                    }
                }
            })
        };
        let all = nodes.iter().flat_map(|node| [node.listen; 4]);
        let threads = (1..).zip(all).map(|(number, at)| one(number, at)).collect();
        Self { end, finished, threads }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// So many nodes are fresh before a ledger; then it slows down to beyond all that is waited for and comes back, then so
/// many of them are killed with calls in hand and start again. At no moment is it over the sum of their shares.
fn stays_within(nodes: usize, restarted: usize) {
    let ledger = Ledger::start(Duration::from_millis(60));
    ledger.lingers(LINGER);
    let mut all: Vec<World> = (0..nodes).map(|_| node(&ledger)).collect();
    until("all are well", || all.iter().all(World::well));
    let load = Load::on(&all);
    thread::sleep(OVER * 3 / 2);
    ledger.takes(Duration::from_millis(3000));
    thread::sleep(OVER);
    ledger.takes(Duration::from_millis(60));
    thread::sleep(OVER / 2);
    until("calls are in hand as they are killed", || ledger.in_hand() > 0);
    all.iter_mut().take(restarted).for_each(World::restart);
    thread::sleep(OVER);
    assert!(load.finished.load(Ordering::Relaxed) > nodes as u64, "the nodes serve");
    drop(load);
    drop(all);
    until("nothing is in hand", || ledger.in_hand() == 0);
    let (mean, whole) = (ledger.most_mean(OVER), SHARE * nodes as f64);
    println!("{nodes} nodes, {restarted} restarted: {mean:.2} calls in hand of {whole}");
    assert!(mean <= whole, "{nodes} nodes: {mean} calls in hand of {whole}");
    assert!(mean > whole / 4.0, "{nodes} nodes: {mean} calls in hand of {whole}: too few to show anything");
}

#[test]
fn two_nodes_stay_within_what_the_dependency_survives() {
    stays_within(2, 1);
}

#[test]
fn twenty_nodes_stay_within_what_the_dependency_survives() {
    stays_within(20, 12);
}

#[test]
fn thirty_nodes_that_restart_together_stay_within_what_the_dependency_survives() {
    stays_within(30, 30);
}

#[test]
fn nine_in_ten_of_thirty_that_restart_together_are_ready_within_ten_seconds() {
    let ledger = Ledger::start(Duration::from_millis(60));
    let mut all: Vec<World> = (0..30).map(|_| node(&ledger)).collect();
    until("all are well", || all.iter().all(World::well));
    // Connections of the process before still hold its address, and tasks are in flight; the kernels come up late, and
    // nobody takes reports at first.
    let load = Load::on(&all);
    thread::sleep(Duration::from_millis(300));
    let start = Instant::now();
    for node in &mut all {
        node.kernel.up_from(start + Duration::from_millis(1500));
        node.restart();
    }
    let ready_after = |node: &World| {
        until("it is well", || node.well());
        // Reports of the process before have been waiting here, and came until now; one of the new one follows.
        node.control.set_nonblocking(true).expect("a flag");
        while node.control.recv_from(&mut [0; 64]).is_ok() {}
        node.control.set_nonblocking(false).expect("a flag");
        let mut text = [0; 64];
        let (length, _) = node.control.recv_from(&mut text).expect("a report");
        assert_eq!(&text[..length], b"lease n1 Ready");
        start.elapsed()
    };
    let ready: Vec<Duration> = thread::scope(|scope| {
        let each: Vec<_> = all.iter().map(|node| scope.spawn(|| ready_after(node))).collect();
        each.into_iter().map(|one| one.join().expect("it is ready")).collect()
    });
    drop(load);
    println!("the last is ready after {:?}", ready.iter().max());
    let in_time = ready.iter().filter(|after| **after <= Duration::from_secs(10)).count();
    assert!(in_time >= 27, "{in_time} of 30 within ten seconds: {ready:?}");
}
