//! Duplicates, effects that must not happen twice, a further tier, several zones, long lists: the node as a process among
//! its test doubles, or its codecs alone.

mod doubles;
use doubles::{config, id, request, wait_until, Addresses, Behavior, TestNode};
use lynxtally::{Instant, Policy};
use lynxtally_node::config::parse;
use lynxtally_node::http::{ClientMessage, Framed, MessageReader, RequestSchema};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A node whose class `a` has this effect, by its name in the settings.
fn node_with_effect(effect: &str) -> TestNode {
    let effect = format!("\"idempotency\":\"{effect}\",\"dedup-window-ms\":5000");
    TestNode::with_config(|text| text.replacen("\"idempotency\":\"pure\"", &effect, 1))
}

/// A request with an idempotency key.
fn keyed(number: u64, key: &str, body: &str) -> String {
    request(number, body).replace("Host: x", &format!("Host: x\r\nX-Operation-Key: {key}"))
}

/// Duplicates of a request come after its run and during it, and one of their clients is gone before the result.
/// Each key runs once, and everybody who waits gets its result.
#[test]
fn a_duplicate_gets_the_first_runs_result_and_nothing_runs_twice() {
    let node = node_with_effect("token");
    let [mut one, mut two, mut three] = [(); 3].map(|()| node.connect());
    one.send(&keyed(1, "m1", "ok:first"));
    assert_eq!(one.response(), (200, "first".into()));
    two.send(&keyed(2, "m1", "ok:first"));
    assert_eq!(two.response(), (200, "first".into()));
    assert_eq!(node.executor.commands("SCHED"), 1, "from the retained result");
    // Two more come while the first of theirs runs; one of the clients breaks off.
    one.send(&keyed(3, "m2", "wait"));
    wait_until("it runs", || node.executor.commands("SCHED") == 2);
    two.send(&keyed(4, "m2", "wait"));
    three.send(&keyed(5, "m2", "wait"));
    drop(two);
    std::thread::sleep(Duration::from_millis(50));
    node.executor.complete_run(&id(3), "late");
    assert_eq!(one.response(), (200, "late".into()));
    assert_eq!(three.response(), (200, "late".into()));
    assert_eq!(node.executor.commands("SCHED"), 2, "each key ran once");
}

/// Somebody sends another body under a key of another's request. It fails and gets nothing of the other's, whether
/// it comes during the run, after it, or before it.
#[test]
fn a_copied_key_gets_nobodys_result_and_keeps_nobody_out() {
    let node = node_with_effect("token");
    let [mut real, mut copy, mut again] = [(); 3].map(|()| node.connect());
    real.send(&keyed(1, "m1", "wait"));
    wait_until("it runs", || node.executor.commands("SCHED") == 1);
    copy.send(&keyed(2, "m1", "wait for another's"));
    assert_eq!(copy.response().0, 500, "while the first runs");
    node.executor.complete_run(&id(1), "mine");
    assert_eq!(real.response(), (200, "mine".into()));
    copy.send(&keyed(3, "m1", "give me that"));
    assert_eq!(copy.response().0, 500, "from what is retained");
    again.send(&keyed(4, "m1", "wait"));
    assert_eq!(again.response(), (200, "mine".into()), "the same once more is answered");
    // The copy comes first, and the executor refuses to run it.
    copy.send(&keyed(5, "m2", "wait for it"));
    wait_until("it is ordered", || node.executor.commands("SCHED") == 2);
    node.executor.write(format!("EINVAL SCHED {}\r\n", id(5)).as_bytes());
    assert_eq!(copy.response().0, 500);
    real.send(&keyed(6, "m2", "ok:well"));
    assert_eq!(real.response(), (200, "well".into()), "its key is its own");
}

/// A second request comes under the id of one that runs. "Rejected, not executed" could be taken for the one that
/// runs, so a request with effects is answered that it failed.
#[test]
fn an_id_in_use_is_not_reported_as_not_executed_where_the_effect_counts() {
    for (kind, status) in [("token", 500), ("side_effect", 500), ("pure", 503)] {
        let node = node_with_effect(kind);
        let [mut real, mut other] = [(); 2].map(|()| node.connect());
        real.send(&keyed(1, "m1", "wait"));
        wait_until("it runs", || node.executor.commands("SCHED") == 1);
        other.send(&keyed(1, "m2", "ok:no"));
        assert_eq!(other.response().0, status, "{kind}");
        node.executor.complete_run(&id(1), "mine");
        assert_eq!(real.response(), (200, "mine".into()));
        assert_eq!(node.executor.commands("SCHED"), 1);
    }
}

/// The run of a deduplicated request fails, and duplicates come. The run may have had its effect, so it is not run
/// again, and not rejected either.
#[test]
fn a_key_whose_run_failed_is_answered_as_failed_and_not_run_again() {
    let node = node_with_effect("token");
    let mut client = node.connect();
    for number in 1..4 {
        client.send(&keyed(number, "m1", "error"));
        assert_eq!(client.response().0, 500, "it may have had its effect: no rejection");
    }
    assert_eq!(node.executor.commands("SCHED"), 1);
}

/// The dependency closes the connection after it has read a call. The call may have been executed, so it is not
/// made again. A call that it refused was not, and is.
#[test]
fn a_non_idempotent_requests_call_that_may_have_been_executed_is_not_made_again() {
    let node = node_with_effect("side_effect");
    let mut client = node.connect();
    node.dependency.set_behavior(Behavior::Close);
    client.send(&request(1, "call:body"));
    assert_eq!(client.response().0, 500, "failed, with no promise that it had no effect");
    assert_eq!((node.dependency.calls(), node.executor.commands("SCHED")), (1, 1));
    // A refused call was not executed, and is made again.
    node.dependency.set_behavior(Behavior::Refuse);
    client.send(&request(2, "call:body"));
    wait_until("it was refused", || node.dependency.calls() > 2);
    node.dependency.set_behavior(Behavior::Echo);
    assert_eq!(client.response(), (200, "body".into()));
}

/// Behind the dependency's balancer there is a whole tier of servers, and one of them refuses calls. Another may
/// take the next attempt, so attempts are not paced.
#[test]
fn refused_calls_to_a_further_tier_are_retried_without_pacing() {
    let tier = "\"tier\":1,\"layers\":[\"x\",\"y\",\"z\"],\"zone\":\"west\",\"zones\":[\"west\",\"east\"],\"specifics\":{\"below\":\"tier\",";
    let node = TestNode::with_config(|text| text.replacen("\"specifics\":{", tier, 1));
    let mut clients: Vec<_> = (0..4).map(|_| node.connect()).collect();
    node.dependency.set_behavior(Behavior::Refuse);
    for (number, client) in (1..).zip(&mut clients) {
        client.send(&request(number, "call:body"));
    }
    wait_until("they are retried", || node.dependency.calls() >= 12);
    node.dependency.set_behavior(Behavior::Echo);
    for client in &mut clients {
        assert_eq!(client.response(), (200, "body".into()));
    }
}

#[test]
fn lists_of_a_thousand_entries_are_read_and_used() {
    const MANY: usize = 1024;
    let list = |one: &dyn Fn(usize) -> String| (0..MANY).map(one).collect::<Vec<_>>().join(",");
    let lanes = list(&|n| {
        format!("{{\"name\":\"s{n}\",\"importance\":1,\"promise-ms\":900,\"deadline-ms\":2000,\"idempotency\":\"pure\"}}")
    });
    let orgs = list(&|n| format!("{{\"name\":\"c{n}\",\"quota-per-s\":5}}"));
    let names = list(&|n| format!("\"g{n}\""));
    let calls = list(&|n| (n == MANY - 1).to_string());
    let at = ([127, 0, 0, 1], 9).into();
    let mut text: serde_json::Value = serde_json::from_str(&config(Addresses::all(at))).expect("JSON");
    let json = |list: &str| serde_json::from_str::<serde_json::Value>(&format!("[{list}]")).expect("JSON");
    text["settings"]["lanes"] = json(&lanes);
    text["settings"]["orgs"] = json(&orgs);
    text["settings"]["zones"] = json(&names);
    text["settings"]["specifics"]["gauges"] = json(&names);
    text["settings"]["specifics"]["class-calls"] = json(&calls);
    text["settings"]["specifics"]["upstreams"] = MANY.into();
    text["settings"]["servers"] = MANY.into();
    let backend = parse(&text.to_string(), |_| None).expect("fit").backend;
    let last = MANY - 1;
    assert_eq!(
        (backend.class_names.len(), backend.tenant_names.len(), backend.gauges.len()),
        (MANY, MANY, MANY)
    );
    assert_eq!((backend.settings.backends, backend.settings.callers), (MANY as u32, MANY as u32));
    assert!(backend.settings.classes[last].calls_downstream && !backend.settings.classes[0].calls_downstream);
    let text = request(1, "body").replace("/ops/a", "/ops/s1023").replace("Host: x", "X-Org: c1023");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
    let read =
        MessageReader { buffer: text.into_bytes() }.next_client_message(&RequestSchema::new(&backend), now);
    let Ok(Some(Framed { content: ClientMessage::Request(request), .. })) = read else { panic!("{read:?}") };
    assert_eq!((request.class, request.tenant), (last, Some(last)));
    let mut actions = Vec::new();
    Policy::new(backend.settings, 1, Instant::default()).decide(Instant::default(), &mut actions);
    assert!(!actions.is_empty(), "the scheduler starts with them");
}
