//! Duplicate requests, effects that must not be repeated, calls to another tier of servers, and settings with long
//! lists. Most tests run the node as a process with test doubles; one tests the parsers alone.

mod doubles;
use doubles::{config, id, request, wait_until, Addresses, Behavior, TestNode};
use lynxtally::{Instant, Policy};
use lynxtally_node::config::parse;
use lynxtally_node::http::{ClientMessage, Framed, MessageReader, RequestSchema};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Starts a node whose class `a` has this effect, given by its name in the settings.
fn node_with_effect(effect: &str) -> TestNode {
    let effect = format!("\"idempotency\":\"{effect}\",\"dedup-window-ms\":5000");
    TestNode::with_config(|text| text.replacen("\"idempotency\":\"pure\"", &effect, 1))
}

/// Returns a request with an idempotency key.
fn keyed(number: u64, key: &str, body: &str) -> String {
    request(number, body).replace("Host: x", &format!("Host: x\r\nX-Operation-Key: {key}"))
}

/// Duplicates of a request arrive after its run and during it, and one of their clients disconnects before the
/// result. The request of each key must run only once, and every waiting client must get the result.
#[test]
fn a_duplicate_gets_the_first_runs_result_and_nothing_runs_twice() {
    let node = node_with_effect("token");
    let [mut first, mut second, mut third] = [(); 3].map(|()| node.connect());
    first.send(&keyed(1, "m1", "ok:first"));
    assert_eq!(first.response(), (200, "first".into()));
    second.send(&keyed(2, "m1", "ok:first"));
    assert_eq!(second.response(), (200, "first".into()));
    assert_eq!(node.executor.commands("SCHED"), 1, "the duplicate gets the retained result");
    // Two duplicates arrive during the run of a second request, and one of their clients disconnects.
    first.send(&keyed(3, "m2", "wait"));
    wait_until("the run has started", || node.executor.commands("SCHED") == 2);
    second.send(&keyed(4, "m2", "wait"));
    third.send(&keyed(5, "m2", "wait"));
    drop(second);
    std::thread::sleep(Duration::from_millis(50));
    node.executor.complete_run(&id(3), "late");
    assert_eq!(first.response(), (200, "late".into()));
    assert_eq!(third.response(), (200, "late".into()));
    assert_eq!(node.executor.commands("SCHED"), 2, "the request of each key ran once");
}

/// A client sends a different body with the idempotency key of another client's request. Its request must fail
/// without revealing the result of the other request, whether it arrives during the other run or after it. If it
/// arrives first and is not run, the request that owns the key must still be served.
#[test]
fn a_copied_key_neither_reveals_a_result_nor_blocks_the_keys_owner() {
    let node = node_with_effect("token");
    let [mut owner, mut copy, mut duplicate] = [(); 3].map(|()| node.connect());
    owner.send(&keyed(1, "m1", "wait"));
    wait_until("the run has started", || node.executor.commands("SCHED") == 1);
    copy.send(&keyed(2, "m1", "wait for another's"));
    assert_eq!(copy.response().0, 500, "during the owner's run");
    node.executor.complete_run(&id(1), "mine");
    assert_eq!(owner.response(), (200, "mine".into()));
    copy.send(&keyed(3, "m1", "give me that"));
    assert_eq!(copy.response().0, 500, "while the result is retained");
    duplicate.send(&keyed(4, "m1", "wait"));
    assert_eq!(duplicate.response(), (200, "mine".into()), "a true duplicate gets the result");
    // The copy arrives first, and the executor refuses to run it.
    copy.send(&keyed(5, "m2", "wait for it"));
    wait_until("the executor got the start command", || node.executor.commands("SCHED") == 2);
    node.executor.write(format!("EINVAL SCHED {}\r\n", id(5)).as_bytes());
    assert_eq!(copy.response().0, 500);
    owner.send(&keyed(6, "m2", "ok:well"));
    assert_eq!(owner.response(), (200, "well".into()), "the key is free for its owner");
}

/// A second request arrives with the id of a running one. A rejection guarantees that a request was not executed, and
/// the client could apply this guarantee to the running request. Requests with effects must therefore get a failure.
#[test]
fn a_request_with_effects_whose_id_is_in_use_is_not_answered_as_not_executed() {
    for (kind, status) in [("token", 500), ("side_effect", 500), ("pure", 503)] {
        let node = node_with_effect(kind);
        let [mut running, mut other] = [(); 2].map(|()| node.connect());
        running.send(&keyed(1, "m1", "wait"));
        wait_until("the run has started", || node.executor.commands("SCHED") == 1);
        other.send(&keyed(1, "m2", "ok:no"));
        assert_eq!(other.response().0, status, "{kind}");
        node.executor.complete_run(&id(1), "mine");
        assert_eq!(running.response(), (200, "mine".into()));
        assert_eq!(node.executor.commands("SCHED"), 1);
    }
}

/// Duplicates arrive after the run of a deduplicated request has failed. The run may have had its effect, so the
/// duplicates must neither run nor be rejected, as a rejection would mean that the request was not executed.
#[test]
fn a_key_whose_run_failed_is_answered_as_failed_and_not_run_again() {
    let node = node_with_effect("token");
    let mut client = node.connect();
    for number in 1..4 {
        client.send(&keyed(number, "m1", "error"));
        assert_eq!(client.response().0, 500, "a failure, as the run may have had its effect");
    }
    assert_eq!(node.executor.commands("SCHED"), 1);
}

/// The dependency closes the connection after it has read a call of a non-idempotent request. The call may have been
/// executed, so it must not be retried. A call that the dependency refused was not executed and must be retried.
#[test]
fn a_non_idempotent_requests_call_that_may_have_been_executed_is_not_retried() {
    let node = node_with_effect("side_effect");
    let mut client = node.connect();
    node.dependency.set_behavior(Behavior::Close);
    client.send(&request(1, "call:body"));
    assert_eq!(client.response().0, 500, "a failure, as the call may have been executed");
    assert_eq!((node.dependency.calls(), node.executor.commands("SCHED")), (1, 1));
    // A refused call was not executed and is retried.
    node.dependency.set_behavior(Behavior::Refuse);
    client.send(&request(2, "call:body"));
    wait_until("the call was refused", || node.dependency.calls() > 2);
    node.dependency.set_behavior(Behavior::Echo);
    assert_eq!(client.response(), (200, "body".into()));
}

/// The dependency is a tier of servers behind a balancer, and one of them refuses calls. Another server may accept
/// the next attempt, so retries must not be delayed.
#[test]
fn refused_calls_to_a_further_tier_are_retried_without_pacing() {
    let tier = "\"tier\":1,\"layers\":[\"x\",\"y\",\"z\"],\"zone\":\"west\",\"zones\":[\"west\",\"east\"],\"specifics\":{\"below\":\"tier\",";
    let node = TestNode::with_config(|text| text.replacen("\"specifics\":{", tier, 1));
    let mut clients: Vec<_> = (0..4).map(|_| node.connect()).collect();
    node.dependency.set_behavior(Behavior::Refuse);
    for (number, client) in (1..).zip(&mut clients) {
        client.send(&request(number, "call:body"));
    }
    wait_until("the calls are retried", || node.dependency.calls() >= 12);
    node.dependency.set_behavior(Behavior::Echo);
    for client in &mut clients {
        assert_eq!(client.response(), (200, "body".into()));
    }
}

/// Settings with 1024 classes, tenants, zones, gauges, upstreams and servers are parsed, requests of the last class
/// and tenant are recognized, and the scheduler starts.
#[test]
fn settings_with_a_thousand_entries_per_list_are_parsed_and_used() {
    const ENTRIES: usize = 1024;
    let list = |entry: &dyn Fn(usize) -> String| (0..ENTRIES).map(entry).collect::<Vec<_>>().join(",");
    let lanes = list(&|n| {
        format!("{{\"name\":\"s{n}\",\"importance\":1,\"promise-ms\":900,\"deadline-ms\":2000,\"idempotency\":\"pure\"}}")
    });
    let orgs = list(&|n| format!("{{\"name\":\"c{n}\",\"quota-per-s\":5}}"));
    let names = list(&|n| format!("\"g{n}\""));
    let calls = list(&|n| (n == ENTRIES - 1).to_string());
    let at = ([127, 0, 0, 1], 9).into();
    let mut text: serde_json::Value = serde_json::from_str(&config(Addresses::all(at))).expect("parse JSON");
    let json =
        |list: &str| serde_json::from_str::<serde_json::Value>(&format!("[{list}]")).expect("parse JSON");
    text["settings"]["lanes"] = json(&lanes);
    text["settings"]["orgs"] = json(&orgs);
    text["settings"]["zones"] = json(&names);
    text["settings"]["specifics"]["gauges"] = json(&names);
    text["settings"]["specifics"]["class-calls"] = json(&calls);
    text["settings"]["specifics"]["upstreams"] = ENTRIES.into();
    text["settings"]["servers"] = ENTRIES.into();
    let backend = parse(&text.to_string(), |_| None).expect("valid configuration").backend;
    let last = ENTRIES - 1;
    assert_eq!(
        (backend.class_names.len(), backend.tenant_names.len(), backend.gauges.len()),
        (ENTRIES, ENTRIES, ENTRIES)
    );
    assert_eq!((backend.settings.backends, backend.settings.callers), (ENTRIES as u32, ENTRIES as u32));
    assert!(backend.settings.classes[last].calls_downstream && !backend.settings.classes[0].calls_downstream);
    let text = request(1, "body").replace("/ops/a", "/ops/s1023").replace("Host: x", "X-Org: c1023");
    let now =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("current time after 1970").as_millis() as u64;
    let read =
        MessageReader { buffer: text.into_bytes() }.next_client_message(&RequestSchema::new(&backend), now);
    let Ok(Some(Framed { content: ClientMessage::Request(request), .. })) = read else { panic!("{read:?}") };
    assert_eq!((request.class, request.tenant), (last, Some(last)));
    let mut actions = Vec::new();
    Policy::new(backend.settings, 1, Instant::default()).decide(Instant::default(), &mut actions);
    assert!(!actions.is_empty(), "the scheduler starts with these settings");
}
