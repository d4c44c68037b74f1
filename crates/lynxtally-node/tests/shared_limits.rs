//! Many node processes that share one dependency, each with a fixed share of the concurrent calls, and their
//! simultaneous restarts. The dependency counts its calls in flight independently of the nodes.

mod doubles;
use doubles::{wait_until, Load, SharedDependency, TestNode};
use lynxtally_fault_injection::test_dependency::TestDependency;
use std::thread;
use std::time::{Duration, Instant};

/// Each node's share of the concurrent calls. As in a large fleet, it is less than one, so that the limit applies to
/// the mean over the averaging window.
const SHARE: f64 = 0.4;
/// The time over which the number of concurrent calls is averaged.
const AVERAGING_WINDOW: Duration = Duration::from_millis(2000);
/// How long the dependency continues to execute a cancelled call.
const CANCELLATION_LAG: Duration = Duration::from_millis(100);
/// The number of client connections to each node.
const CONNECTIONS: usize = 4;

/// Starts a node that calls this dependency and has a share of its concurrent calls.
fn start_node(dependency: &TestDependency) -> TestNode {
    let node = TestNode::spawn_with_config(|text| {
        let mut config: serde_json::Value = serde_json::from_str(&text).expect("parse JSON");
        let shared = SharedDependency {
            address: dependency.address,
            concurrent_calls: SHARE.into(),
            averaging_window: AVERAGING_WINDOW,
            cancellation_lag: CANCELLATION_LAG,
        };
        shared.configure(&mut config);
        config.to_string()
    });
    SharedDependency::stop_runs_after_deadline(&node);
    node
}

/// Starts clients that request more calls than the nodes' shares allow.
fn start_load(nodes: &[TestNode]) -> Load {
    let addresses = nodes.iter().flat_map(|node| [node.address; CONNECTIONS]);
    Load::start(addresses, Duration::from_millis(10), Duration::from_millis(20))
}

/// Starts nodes that share a dependency and checks that the calls in flight, averaged over the window, never exceed
/// the sum of the shares. In the meantime, the dependency becomes slower than every timeout and recovers; then some
/// of the nodes are killed with calls in flight and restarted.
fn check_calls_stay_within_shares(nodes: usize, restarted: usize) {
    let dependency = TestDependency::start(Duration::from_millis(60));
    dependency.set_cancellation_lag(CANCELLATION_LAG);
    let mut all: Vec<TestNode> = (0..nodes).map(|_| start_node(&dependency)).collect();
    wait_until("all nodes are healthy", || all.iter().all(TestNode::is_healthy));
    let load = start_load(&all);
    thread::sleep(AVERAGING_WINDOW * 3 / 2);
    dependency.set_call_duration(Duration::from_millis(3000));
    thread::sleep(AVERAGING_WINDOW);
    dependency.set_call_duration(Duration::from_millis(60));
    thread::sleep(AVERAGING_WINDOW / 2);
    wait_until("calls are in flight when nodes are killed", || dependency.in_flight() > 0);
    all.iter_mut().take(restarted).for_each(TestNode::restart);
    thread::sleep(AVERAGING_WINDOW);
    assert!(load.completed() > nodes as u64, "the nodes complete requests");
    drop(load);
    drop(all);
    wait_until("no call is in flight", || dependency.in_flight() == 0);
    let (mean, limit) = (dependency.max_mean_in_flight(AVERAGING_WINDOW), SHARE * nodes as f64);
    println!("{nodes} nodes, {restarted} restarted: mean of {mean:.2} calls in flight, limit {limit}");
    assert!(mean <= limit, "{nodes} nodes: mean of {mean} calls in flight, limit {limit}");
    assert!(
        mean > limit / 4.0,
        "{nodes} nodes: mean of {mean} calls in flight, too few to test the limit {limit}"
    );
}

#[test]
fn two_nodes_stay_within_the_dependencys_limit() {
    check_calls_stay_within_shares(2, 1);
}

#[test]
fn twenty_nodes_stay_within_the_dependencys_limit() {
    check_calls_stay_within_shares(20, 12);
}

#[test]
fn thirty_nodes_that_restart_together_stay_within_the_dependencys_limit() {
    check_calls_stay_within_shares(30, 30);
}

/// Guards against slow restarts of a whole fleet. Thirty nodes are killed and restarted at the same time while
/// requests are in flight. Connections of the killed processes still use the nodes' addresses, the executors come up
/// late, and the control plane does not read the first reports.
#[test]
fn nine_in_ten_of_thirty_that_restart_together_are_ready_within_ten_seconds() {
    let dependency = TestDependency::start(Duration::from_millis(60));
    let mut all: Vec<TestNode> = (0..30).map(|_| start_node(&dependency)).collect();
    wait_until("all nodes are healthy", || all.iter().all(TestNode::is_healthy));
    let load = start_load(&all);
    thread::sleep(Duration::from_millis(300));
    let start = Instant::now();
    for node in &mut all {
        node.executor.set_up_at(start + Duration::from_millis(1500));
        node.restart();
    }
    let ready_after = |node: &TestNode| {
        wait_until("the node is healthy", || node.is_healthy());
        // Discards the reports that arrived so far, some of which are from the killed process. The next report is
        // from the restarted process.
        node.control_plane.set_nonblocking(true).expect("set the socket's blocking mode");
        while node.control_plane.recv_from(&mut [0; 64]).is_ok() {}
        node.control_plane.set_nonblocking(false).expect("set the socket's blocking mode");
        let mut text = [0; 64];
        let (length, _) = node.control_plane.recv_from(&mut text).expect("receive a health report");
        assert_eq!(&text[..length], b"lease n1 Ready");
        start.elapsed()
    };
    let ready: Vec<Duration> = thread::scope(|scope| {
        let each: Vec<_> = all.iter().map(|node| scope.spawn(|| ready_after(node))).collect();
        each.into_iter().map(|thread| thread.join().expect("join the thread")).collect()
    });
    drop(load);
    println!("the last node is ready after {:?}", ready.iter().max());
    let in_time = ready.iter().filter(|after| **after <= Duration::from_secs(10)).count();
    assert!(in_time >= 27, "{in_time} of 30 nodes are ready within ten seconds: {ready:?}");
}
