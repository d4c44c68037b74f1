//! What many nodes do together where each knows only its own share: processes before one dependency that counts the calls
//! in flight for itself, and their restarts all at once.

mod doubles;
use doubles::{until, Load, SharedDependency, TestNode};
use lynxtally_fault_injection::test_dependency::TestDependency;
use std::thread;
use std::time::{Duration, Instant};

/// Each node's share of the concurrent calls: under one, as in a large fleet, so that the mean is what bounds it.
const SHARE: f64 = 0.4;
/// The time over which they are averaged.
const AVERAGING_WINDOW: Duration = Duration::from_millis(2000);
/// How long a cancelled call goes on at the dependency.
const CANCELLATION_LAG: Duration = Duration::from_millis(100);
/// Connections of clients to each node.
const CONNECTIONS: usize = 4;

/// A node before this dependency, with a share of it.
fn node(dependency: &TestDependency) -> TestNode {
    let node = TestNode::spawn_with_config(|text| {
        let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        let shared = SharedDependency {
            address: dependency.address,
            concurrent_calls: SHARE.into(),
            averaging_window: AVERAGING_WINDOW,
            cancellation_lag: CANCELLATION_LAG,
        };
        shared.configure(&mut config);
        config.to_string()
    });
    SharedDependency::end_runs_in_time(&node);
    node
}

/// Clients who want more than a node's share.
fn load(nodes: &[TestNode]) -> Load {
    let addresses = nodes.iter().flat_map(|node| [node.address; CONNECTIONS]);
    Load::start(addresses, Duration::from_millis(10), Duration::from_millis(20))
}

/// So many nodes start before a dependency. It slows down to beyond every timeout and recovers; then some of the nodes are
/// killed with calls in flight and start again. Averaged over the window, there are never more calls in flight than the
/// sum of the shares.
fn stays_within(nodes: usize, restarted: usize) {
    let dependency = TestDependency::start(Duration::from_millis(60));
    dependency.set_cancellation_lag(CANCELLATION_LAG);
    let mut all: Vec<TestNode> = (0..nodes).map(|_| node(&dependency)).collect();
    until("all are well", || all.iter().all(TestNode::is_healthy));
    let load = load(&all);
    thread::sleep(AVERAGING_WINDOW * 3 / 2);
    dependency.set_call_duration(Duration::from_millis(3000));
    thread::sleep(AVERAGING_WINDOW);
    dependency.set_call_duration(Duration::from_millis(60));
    thread::sleep(AVERAGING_WINDOW / 2);
    until("calls are in flight as they are killed", || dependency.in_flight() > 0);
    all.iter_mut().take(restarted).for_each(TestNode::restart);
    thread::sleep(AVERAGING_WINDOW);
    assert!(load.completed() > nodes as u64, "the nodes serve");
    drop(load);
    drop(all);
    until("no call is in flight", || dependency.in_flight() == 0);
    let (mean, whole) = (dependency.max_mean_in_flight(AVERAGING_WINDOW), SHARE * nodes as f64);
    println!("{nodes} nodes, {restarted} restarted: {mean:.2} calls in flight of {whole}");
    assert!(mean <= whole, "{nodes} nodes: {mean} calls in flight of {whole}");
    assert!(mean > whole / 4.0, "{nodes} nodes: {mean} calls in flight of {whole}: too few to show anything");
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

/// Thirty nodes are killed and started at once. Connections of the processes before still hold their addresses,
/// requests are in flight, the executors come up late, and nobody takes reports at first.
#[test]
fn nine_in_ten_of_thirty_that_restart_together_are_ready_within_ten_seconds() {
    let dependency = TestDependency::start(Duration::from_millis(60));
    let mut all: Vec<TestNode> = (0..30).map(|_| node(&dependency)).collect();
    until("all are well", || all.iter().all(TestNode::is_healthy));
    let load = load(&all);
    thread::sleep(Duration::from_millis(300));
    let start = Instant::now();
    for node in &mut all {
        node.executor.set_up_at(start + Duration::from_millis(1500));
        node.restart();
    }
    let ready_after = |node: &TestNode| {
        until("it is well", || node.is_healthy());
        // Reports of the process before have been waiting here, and came until now; one of the new one follows.
        node.control_plane.set_nonblocking(true).expect("a flag");
        while node.control_plane.recv_from(&mut [0; 64]).is_ok() {}
        node.control_plane.set_nonblocking(false).expect("a flag");
        let mut text = [0; 64];
        let (length, _) = node.control_plane.recv_from(&mut text).expect("a report");
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
