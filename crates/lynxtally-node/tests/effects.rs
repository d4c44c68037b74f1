//! What the first deployment does not exercise on sockets: repeats, effects that must not happen twice, a further tier,
//! several zones, long lists. The node as a program among its stand-ins, or its codecs alone.

mod doubles;
use doubles::{config, id, request, until, Addresses, Behavior, TestNode};
use lynxtally::{Instant, Policy};
use lynxtally_node::config::parse;
use lynxtally_node::http::{ClientMessage, Framed, MessageReader, RequestSchema};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A node whose stage `a` is of this kind.
fn node(kind: &str) -> TestNode {
    let kind = format!("\"idempotency\":\"{kind}\",\"dedup-window-ms\":5000");
    TestNode::with_config(|told| told.replacen("\"idempotency\":\"pure\"", &kind, 1))
}

/// A fingerprinted task.
fn marked(number: u64, mark: &str, body: &str) -> String {
    request(number, body).replace("Host: x", &format!("Host: x\r\nX-Operation-Key: {mark}"))
}

#[test]
fn a_repeat_gets_the_first_runs_result_and_nothing_runs_twice() {
    let node = node("token");
    let [mut one, mut two, mut three] = [(); 3].map(|()| node.connect());
    one.send(&marked(1, "m1", "ok:first"));
    assert_eq!(one.response(), (200, "first".into()));
    two.send(&marked(2, "m1", "ok:first"));
    assert_eq!(two.response(), (200, "first".into()));
    assert_eq!(node.executor.commands("SCHED"), 1, "from the kept result");
    // Two more come while the first of theirs runs; one of the callers breaks off.
    one.send(&marked(3, "m2", "wait"));
    until("it runs", || node.executor.commands("SCHED") == 2);
    two.send(&marked(4, "m2", "wait"));
    three.send(&marked(5, "m2", "wait"));
    drop(two);
    std::thread::sleep(Duration::from_millis(50));
    node.executor.complete_run(&id(3), "late");
    assert_eq!(one.response(), (200, "late".into()));
    assert_eq!(three.response(), (200, "late".into()));
    assert_eq!(node.executor.commands("SCHED"), 2, "each mark ran once");
}

#[test]
fn a_copied_mark_gets_nobodys_result_and_keeps_nobody_out() {
    let node = node("token");
    let [mut real, mut copy, mut again] = [(); 3].map(|()| node.connect());
    real.send(&marked(1, "m1", "wait"));
    until("it runs", || node.executor.commands("SCHED") == 1);
    copy.send(&marked(2, "m1", "wait for another's"));
    assert_eq!(copy.response().0, 500, "while the first runs");
    node.executor.complete_run(&id(1), "mine");
    assert_eq!(real.response(), (200, "mine".into()));
    copy.send(&marked(3, "m1", "give me that"));
    assert_eq!(copy.response().0, 500, "from what is kept");
    again.send(&marked(4, "m1", "wait"));
    assert_eq!(again.response(), (200, "mine".into()), "the same once more is answered");
    // The copy comes first, and the kernel knows of no such task.
    copy.send(&marked(5, "m2", "wait for it"));
    until("it is ordered", || node.executor.commands("SCHED") == 2);
    node.executor.write(format!("EINVAL SCHED {}\r\n", id(5)).as_bytes());
    assert_eq!(copy.response().0, 500);
    real.send(&marked(6, "m2", "ok:well"));
    assert_eq!(real.response(), (200, "well".into()), "its mark is its own");
}

#[test]
fn a_name_in_use_is_not_said_to_have_never_run_where_the_effect_counts() {
    for (kind, status) in [("token", 500), ("side_effect", 500), ("pure", 503)] {
        let node = node(kind);
        let [mut real, mut other] = [(); 2].map(|()| node.connect());
        real.send(&marked(1, "m1", "wait"));
        until("it runs", || node.executor.commands("SCHED") == 1);
        other.send(&marked(1, "m2", "ok:no"));
        assert_eq!(other.response().0, status, "{kind}");
        node.executor.complete_run(&id(1), "mine");
        assert_eq!(real.response(), (200, "mine".into()));
        assert_eq!(node.executor.commands("SCHED"), 1);
    }
}

#[test]
fn a_mark_that_failed_is_answered_as_failed_and_not_run_again() {
    let node = node("token");
    let mut caller = node.connect();
    for number in 1..4 {
        caller.send(&marked(number, "m1", "error"));
        assert_eq!(caller.response().0, 500, "it may have had its effect: no rejection");
    }
    assert_eq!(node.executor.commands("SCHED"), 1);
}

#[test]
fn a_side_effecting_tasks_call_that_may_have_run_is_not_made_again() {
    let node = node("side_effect");
    let mut caller = node.connect();
    node.dependency.set_behavior(Behavior::Close);
    caller.send(&request(1, "call:body"));
    assert_eq!(caller.response().0, 500, "failed, without a promise");
    assert_eq!((node.dependency.calls(), node.executor.commands("SCHED")), (1, 1));
    // Turned away it never ran, and is made again.
    node.dependency.set_behavior(Behavior::Refuse);
    caller.send(&request(2, "call:body"));
    until("it was turned away", || node.dependency.calls() > 2);
    node.dependency.set_behavior(Behavior::Echo);
    assert_eq!(caller.response(), (200, "body".into()));
}

#[test]
fn calls_to_a_further_tier_go_on_behind_its_balancer_in_any_zone() {
    let tier = "\"tier\":1,\"layers\":[\"x\",\"y\",\"z\"],\"zone\":\"west\",\"zones\":[\"west\",\"east\"],\"specifics\":{\"below\":\"tier\",";
    let node = TestNode::with_config(|told| told.replacen("\"specifics\":{", tier, 1));
    let mut callers: Vec<_> = (0..4).map(|_| node.connect()).collect();
    node.dependency.set_behavior(Behavior::Refuse);
    for (number, caller) in (1..).zip(&mut callers) {
        caller.send(&request(number, "call:body"));
    }
    // One of the tier turns them away; another of it may take the next try, so they are not paced.
    until("they are tried again", || node.dependency.calls() >= 12);
    node.dependency.set_behavior(Behavior::Echo);
    for caller in &mut callers {
        assert_eq!(caller.response(), (200, "body".into()));
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
    let told = parse(&text.to_string(), |_| None).expect("fit").declared;
    let last = MANY - 1;
    assert_eq!((told.class_names.len(), told.tenant_names.len(), told.gauges.len()), (MANY, MANY, MANY));
    assert_eq!((told.settings.backends, told.settings.callers), (MANY as u32, MANY as u32));
    assert!(told.settings.classes[last].calls_downstream && !told.settings.classes[0].calls_downstream);
    let task = request(1, "body").replace("/ops/a", "/ops/s1023").replace("Host: x", "X-Org: c1023");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
    let read =
        MessageReader { buffer: task.into_bytes() }.next_client_message(&RequestSchema::new(&told), now);
    let Ok(Some(Framed { content: ClientMessage::Request(request), .. })) = read else { panic!("{read:?}") };
    assert_eq!((request.class, request.tenant), (last, Some(last)));
    let mut actions = Vec::new();
    Policy::new(told.settings, 1, Instant::default()).decide(Instant::default(), &mut actions);
    assert!(!actions.is_empty(), "the module starts with them");
}
