//! Coordinators as processes with relays between them. Each test injects one kind of fault. The nodes record their leases in
//! an audit, and the sum of the leases in force never exceeds the capacity of the budget.

mod support;

use lynxtally::{Instant, Span};
use lynxtally_fault_injection::http_client;
use lynxtally_fault_injection::lease_audit::LeaseAudit;
use lynxtally_fault_injection::process::Process;
use lynxtally_fault_injection::relay::Faults;
use lynxtally_fault_injection::test_node::{now, TestNode};
use lynxtally_fault_injection::wait_until;
use lynxtally_messages::*;
use std::path::Path;
use std::time::Duration;
use support::{budget, budget_for, Cluster, LEASE, PROGRAM};

const CAPACITY: u64 = 24;

/// Starts the nodes `m{from}` up to but not including `m{to}`, each with a demand of a third of the capacity.
fn start_nodes(cluster: &Cluster, from: usize, to: usize, audit: &LeaseAudit) -> Vec<TestNode> {
    let start = |n: usize| {
        TestNode::start(&format!("m{n}"), &format!("m{n}"), cluster.relay_addresses(), CAPACITY / 3, audit)
    };
    (from..to).map(start).collect()
}

fn total_leased(nodes: &[TestNode]) -> u64 {
    nodes.iter().map(TestNode::leased_amount).sum()
}

/// The duration of leases in tests in which none may expire. It is far longer than a busy machine takes to elect a leader and
/// renew the leases with it, so an expired lease means that the coordinators lost it.
const LONG_LEASE: Span = Span::from_millis(12_000);

fn set_up(count: usize) -> (Cluster, LeaseAudit) {
    set_up_for(count, LEASE)
}

fn set_up_for(count: usize, lease_duration: Span) -> (Cluster, LeaseAudit) {
    let cluster = Cluster::start(count);
    assert!(matches!(
        cluster.admin_request(&budget_for("first", CAPACITY, lease_duration)),
        AdminResponse::Applied { .. }
    ));
    (cluster, LeaseAudit::default())
}

/// Waits until the nodes `m0..m{count}` have renewed their leases after `at`, and asserts that each had a lease all the time
/// since.
fn assert_no_lease_lost(audit: &LeaseAudit, count: usize, at: Instant) {
    let names: Vec<String> = (0..count).map(|n| format!("m{n}")).collect();
    wait_until("all leases were renewed", || {
        names
            .iter()
            .all(|name| audit.last_expiry(name).is_some_and(|expires_at| expires_at > at + LONG_LEASE))
    });
    let amounts: Vec<u64> = names.iter().map(|name| audit.min_amount(name, at)).collect();
    assert!(amounts.iter().all(|amount| *amount > 0), "no node lost its lease: {amounts:?}");
}

#[test]
fn a_single_coordinator_keeps_the_leases_when_it_is_killed_and_restarted() {
    let (mut cluster, audit) = set_up_for(1, LONG_LEASE);
    let nodes = start_nodes(&cluster, 0, 4, &audit);
    wait_until("all nodes have a lease and the capacity is used up", || {
        nodes.iter().all(|node| node.leased_amount() > 0) && total_leased(&nodes) == CAPACITY
    });
    cluster.kill(0);
    let at = now();
    cluster.start_replica(0);
    assert_no_lease_lost(&audit, 4, at);
    assert!(audit.max_total() <= CAPACITY, "{}", audit.max_total());
}

#[test]
fn no_node_loses_its_lease_when_the_leader_is_killed_and_the_whole_capacity_is_leased() {
    let (mut cluster, audit) = set_up_for(3, LONG_LEASE);
    let mut nodes = start_nodes(&cluster, 0, 3, &audit);
    wait_until("the whole capacity is leased", || total_leased(&nodes) == CAPACITY);
    nodes.extend(start_nodes(&cluster, 3, 6, &audit));
    let leader = cluster.leader();
    cluster.kill(leader);
    let at = now();
    wait_until("all six nodes have a lease and the capacity is used up", || {
        nodes.iter().all(|node| node.leased_amount() > 0) && total_leased(&nodes) == CAPACITY
    });
    assert_no_lease_lost(&audit, 3, at);
    cluster.start_replica(leader);
    cluster.wait_until_equal();
    assert!(audit.max_total() <= CAPACITY, "{}", audit.max_total());
}

#[test]
fn a_majority_continues_during_a_network_partition_and_all_states_are_equal_after_it() {
    let (cluster, audit) = set_up(3);
    let nodes = start_nodes(&cluster, 0, 4, &audit);
    wait_until("the whole capacity is leased", || total_leased(&nodes) == CAPACITY);
    let isolated = cluster.leader();
    cluster.set_faults(isolated, Faults::DROP_ALL);
    let others: Vec<usize> = (0..3).filter(|n| *n != isolated).collect();
    wait_until("another coordinator leads", || {
        let leader = |n: &usize| {
            http_client::state(cluster.addresses[*n]).ok().and_then(|state| state["leader"].as_u64())
        };
        others.iter().all(|n| leader(n).is_some_and(|id| id as usize - 1 != isolated))
    });
    // The isolated coordinator can't commit the request; the majority can.
    assert!(matches!(cluster.admin_request(&budget("less", CAPACITY / 2)), AdminResponse::Applied { .. }));
    wait_until("the smaller capacity is in force", || total_leased(&nodes) == CAPACITY / 2);
    cluster.set_faults(isolated, Faults::default());
    cluster.wait_until_equal();
    assert!(audit.max_total() <= CAPACITY, "{}", audit.max_total());
}

#[test]
fn leases_expire_without_a_majority_and_are_granted_again_when_it_is_back() {
    let (mut cluster, audit) = set_up(3);
    let nodes = start_nodes(&cluster, 0, 4, &audit);
    wait_until("the whole capacity is leased", || total_leased(&nodes) == CAPACITY);
    let leader = cluster.leader();
    let gone: Vec<usize> = (0..3).filter(|n| *n != (leader + 1) % 3).collect();
    gone.iter().for_each(|n| cluster.kill(*n));
    wait_until("all leases have expired", || total_leased(&nodes) == 0);
    gone.iter().for_each(|n| cluster.start_replica(*n));
    wait_until("the whole capacity is leased again", || total_leased(&nodes) == CAPACITY);
    cluster.wait_until_equal();
    assert!(audit.max_total() <= CAPACITY, "{}", audit.max_total());
}

/// A link that loses only requests, only responses, or stalls, must not lead to two nodes using the same units: the cut-off
/// node stops using its lease before the coordinators grant the units to the other node.
#[test]
fn a_node_behind_a_faulty_link_stops_before_others_use_its_units() {
    for faults in [
        Faults { drop_requests: true, ..Faults::default() },
        Faults { drop_responses: true, ..Faults::default() },
        Faults { stall: true, ..Faults::default() },
    ] {
        let (cluster, audit) = set_up(1);
        let relay = lynxtally_fault_injection::relay::Relay::to(cluster.addresses[0]);
        let cut_off = TestNode::start("cut", "cut", vec![relay.address], CAPACITY, &audit);
        wait_until("the first node has the whole capacity", || cut_off.leased_amount() == CAPACITY);
        let other = TestNode::start("other", "other", cluster.relay_addresses(), CAPACITY / 2, &audit);
        wait_until("the other node has half of the capacity", || other.leased_amount() == CAPACITY / 2);
        relay.set_faults(faults);
        wait_until("the lease of the cut-off node has expired", || cut_off.leased_amount() == 0);
        other.set_demand(CAPACITY);
        // If only responses are lost, the node's requests keep renewing its lease at the coordinators, though the node never
        // learns of it.
        if !faults.drop_responses {
            wait_until("the other node has the whole capacity", || other.leased_amount() == CAPACITY);
        }
        relay.set_faults(Faults::default());
        wait_until("the cut-off node has a lease again", || cut_off.leased_amount() > 0);
        assert!(audit.max_total() <= CAPACITY, "{faults:?}: {}", audit.max_total());
    }
}

#[test]
fn a_restarted_node_waits_for_the_units_that_its_predecessor_may_still_use() {
    let (cluster, audit) = set_up(1);
    let mut first = TestNode::start("m", "first", cluster.relay_addresses(), CAPACITY, &audit);
    wait_until("the first process has the whole capacity", || first.leased_amount() == CAPACITY);
    // Both processes run for a while: the first is told that it was replaced, and gets no lease from then on.
    let second = TestNode::start("m", "second", cluster.relay_addresses(), CAPACITY, &audit);
    wait_until("the first process was told that it was replaced", || first.was_replaced());
    first.crash();
    wait_until("the second process has the whole capacity", || second.leased_amount() == CAPACITY);
    assert!(audit.max_total() <= CAPACITY, "{}", audit.max_total());
}

#[test]
fn the_capacity_is_leased_again_after_six_of_ten_nodes_and_then_all_are_restarted() {
    let (cluster, audit) = set_up(3);
    let mut nodes = start_nodes(&cluster, 0, 10, &audit);
    wait_until("the whole capacity is leased", || total_leased(&nodes) == CAPACITY);
    for (n, node) in nodes.iter_mut().enumerate().take(6) {
        if n % 2 == 0 {
            node.leave();
        } else {
            node.crash();
        }
        *node = TestNode::start(
            &format!("m{n}"),
            &format!("m{n} again"),
            cluster.relay_addresses(),
            CAPACITY / 3,
            &audit,
        );
    }
    wait_until("the whole capacity is leased and all nodes have a lease", || {
        total_leased(&nodes) == CAPACITY && nodes.iter().all(|node| node.leased_amount() > 0)
    });
    nodes.iter_mut().for_each(TestNode::crash);
    let restart = |n: usize| {
        TestNode::start(
            &format!("m{n}"),
            &format!("m{n} third"),
            cluster.relay_addresses(),
            CAPACITY / 3,
            &audit,
        )
    };
    let nodes: Vec<TestNode> = (0..10).map(restart).collect();
    wait_until("the whole capacity is leased a third time", || total_leased(&nodes) == CAPACITY);
    assert!(audit.max_total() <= CAPACITY, "{}", audit.max_total());
}

#[test]
fn requests_that_arrive_three_times_and_late_are_applied_once() {
    let (cluster, audit) = set_up(3);
    let duplicated = Faults { duplicates: 2, delay: Duration::from_millis(20), ..Faults::default() };
    cluster.node_relays.iter().for_each(|relay| relay.set_faults(duplicated));
    let nodes = start_nodes(&cluster, 0, 4, &audit);
    wait_until("the whole capacity is leased", || total_leased(&nodes) == CAPACITY);
    std::thread::sleep(Duration::from_millis(1500));
    assert!(audit.max_total() <= CAPACITY, "{}", audit.max_total());
    cluster.wait_until_equal();
}

#[test]
fn copies_that_arrive_after_later_requests_change_nothing() {
    let (cluster, audit) = set_up(3);
    let late = Faults { late_copy: Some(Duration::from_millis(700)), ..Faults::default() };
    cluster.node_relays.iter().for_each(|relay| relay.set_faults(late));
    let mut nodes = start_nodes(&cluster, 0, 4, &audit);
    wait_until("the whole capacity is leased", || total_leased(&nodes) == CAPACITY);
    // A node ends its session and another process takes its name while copies of the first one's requests are still to come.
    nodes[0].leave();
    nodes[0] = TestNode::start("m0", "m0 again", cluster.relay_addresses(), CAPACITY / 3, &audit);
    std::thread::sleep(Duration::from_millis(1500));
    wait_until("the whole capacity is leased, some of it to the restarted node", || {
        total_leased(&nodes) == CAPACITY && nodes[0].leased_amount() > 0
    });
    assert!(!nodes[0].was_replaced(), "a late copy must not replace the process that has the name");
    assert!(audit.max_total() <= CAPACITY, "{}", audit.max_total());
    cluster.wait_until_equal();
}

#[test]
fn an_operators_request_sent_to_two_coordinators_is_applied_once() {
    let (cluster, _) = set_up(3);
    let request = budget("again", CAPACITY * 2);
    let first_response = cluster.admin_request(&request);
    let leader = cluster.leader();
    cluster.set_faults(leader, Faults::DROP_ALL);
    wait_until("another coordinator gives the same response", || {
        (0..3)
            .filter(|n| *n != leader)
            .any(|n| cluster.admin_request_at(cluster.addresses[n], &request) == Some(first_response.clone()))
    });
}

fn copy_folder(from: &Path, to: &Path) {
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to).expect("the folder can be created");
    for entry in std::fs::read_dir(from).expect("the folder can be read").flatten() {
        std::fs::copy(entry.path(), to.join(entry.file_name())).expect("the file can be copied");
    }
}

#[test]
fn a_coordinator_with_an_older_copy_of_its_folder_ends_with_an_error() {
    let (mut cluster, audit) = set_up_for(3, LONG_LEASE);
    let follower = (cluster.leader() + 1) % 3;
    let old_copy = cluster.folder.0.join("aside");
    copy_folder(&cluster.folder_of(follower), &old_copy);
    let nodes = start_nodes(&cluster, 0, 3, &audit);
    wait_until("the whole capacity is leased", || total_leased(&nodes) == CAPACITY);
    std::thread::sleep(Duration::from_millis(300));
    cluster.kill(follower);
    let at = now();
    copy_folder(&old_copy, &cluster.folder_of(follower));
    cluster.start_replica(follower);
    let mut process = cluster.processes[follower].take().expect("the coordinator runs");
    assert!(!process.wait_for_success(), "the coordinator ends with an error");
    let log = cluster.log(follower);
    assert!(log.contains("this is an older copy"), "{log}");
    assert_no_lease_lost(&audit, 3, at);
    wait_until("the two other coordinators still lease the whole capacity", || {
        total_leased(&nodes) == CAPACITY
    });
    assert!(audit.max_total() <= CAPACITY);
}

#[test]
fn a_coordinator_whose_disk_is_full_ends_with_an_error_and_another_leads() {
    let (mut cluster, audit) = set_up(3);
    let nodes = start_nodes(&cluster, 0, 3, &audit);
    wait_until("the whole capacity is leased", || total_leased(&nodes) == CAPACITY);
    let leader = cluster.leader();
    // The leader is restarted with a limit on the size of files (`ulimit -f`), which makes writes fail as a full disk does.
    cluster.kill(leader);
    let script = cluster.folder.0.join("small");
    let lines =
        format!("ulimit -f 1024\ntrap '' XFSZ\nexec {PROGRAM} {}\n", cluster.settings(leader).display());
    std::fs::write(&script, lines).expect("the script can be written");
    for file in std::fs::read_dir(cluster.folder_of(leader)).expect("the folder can be read").flatten() {
        assert!(file.metadata().expect("the file exists").len() < 500 << 10);
    }
    let log = cluster.folder.0.join(format!("log{leader}"));
    cluster.processes[leader] = Some(Process::start("sh", &script, &log));
    cluster.leader();
    // Each request adds an entry to the log of the restarted coordinator, whether or not it leads, until its log
    // reaches the limit.
    let mut process = cluster.processes[leader].take().expect("the coordinator runs");
    let ended = std::thread::spawn(move || process.wait_for_success());
    let mut number = 0;
    wait_until("the coordinator with the full disk has ended", || {
        number += 1;
        let mut request = budget(&format!("{number}"), CAPACITY);
        request.key.token = format!("{number:064}");
        cluster.admin_request(&request);
        ended.is_finished()
    });
    assert!(!ended.join().expect("the thread did not panic"), "the coordinator ends with an error");
    assert!(
        cluster.log(leader).contains("lynxtally-coordinator: the replication ended"),
        "{}",
        cluster.log(leader)
    );
    cluster.leader();
    assert!(audit.max_total() <= CAPACITY);
    drop(nodes);
}

#[test]
fn invalid_settings_are_reported_in_one_line() {
    let folder = lynxtally_fault_injection::process::TempFolder::new("settings");
    let path = folder.0.join("coordinator.jsonnet");
    for (text, line) in [
        ("{ id: 1, keepers: ['127.0.0.1:1', '127.0.0.1:2'], folder: 'x' }", "`keepers` has 2 addresses"),
        ("{ id: 4, keepers: ['127.0.0.1:1'], folder: 'x' }", "`id` is 4; 1 to 1 is expected"),
        ("{ id: 1, keepers: ['127.0.0.1:1'], folder: 'x', tick: 3 }", "tick"),
        ("{ id: 1, keepers: ['nowhere'], folder: 'x' }", "keepers[0]"),
    ] {
        std::fs::write(&path, text).expect("the settings can be written");
        let output = std::process::Command::new(PROGRAM).arg(&path).output().expect("the program starts");
        let message = String::from_utf8(output.stderr).expect("UTF-8");
        assert!(
            !output.status.success() && message.contains(line) && message.contains("coordinator.jsonnet"),
            "{message}"
        );
    }
}

#[test]
fn an_undecodable_request_is_rejected_with_the_path_of_the_field() {
    let (cluster, _) = set_up(1);
    let body = http_client::request(
        cluster.addresses[0],
        "POST /v1/say",
        b"{\"v\":1,\"say\":{\"name\":3}}",
        Duration::from_secs(5),
    );
    let response: NodeResponse = decode(&body.expect("a response")).expect("the response can be decoded");
    assert!(matches!(
        response,
        NodeResponse::Rejected(Rejection::Undecodable { reason }) if reason.contains("`say.name`")
    ));
}
