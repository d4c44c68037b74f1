//! What is learned from runs?

use crate::host::{two_core_settings, FakeHost};
use lynxtally::*;

/// A class with a long latency objective looked cheap, as its cost was divided by that. Its long runs went before quick
/// ones of as much utility.
#[test]
fn a_class_that_may_take_longer_demands_the_cores_no_less() {
    let mut settings = two_core_settings();
    settings.classes[1].utility = 1.0;
    settings.classes[1].latency_objective = Span::from_millis(8000);
    settings.classes[1].deadline = Span::from_millis(9000);
    let mut host = FakeHost::new(settings);
    // A run of the first takes 100 ms, one of the second 250 ms.
    for round in 0..60 {
        let (quick, long) = (host.arrive(round * 1000, 0), host.arrive(round * 1000, 1));
        host.end_run(round * 1000 + 100, quick);
        host.end_run(round * 1000 + 250, long);
    }
    let mut running = Vec::new();
    loop {
        let request = host.arrive(60_000, 1);
        if !host.started(request) {
            break; // It is queued, and would be the next.
        }
        running.push(request);
    }
    let quick = host.arrive(60_010, 0);
    let at_once = host.started(quick);
    host.end_run(60_100, running[0]);
    let first = host.actions.iter().find(|action| matches!(action, Action::Start(_)));
    assert!(
        at_once || first == Some(&Action::Start(quick)),
        "as much utility for two fifths of the core time"
    );
}

/// One run of a class takes far longer than all others. With its full cost in the mean, what still had time was rejected.
#[test]
fn a_huge_run_does_not_spoil_the_learned_cost() {
    let mut host = FakeHost::new(two_core_settings());
    for i in 0..20 {
        let request = host.arrive(i * 100, 0);
        host.end_run(i * 100 + 50, request);
    }
    let huge = host.arrive(3000, 0);
    host.end_run(5000, huge);
    let running = [host.arrive(5000, 0), host.arrive(5000, 0)];
    let queued = host.arrive(5000, 0);
    host.fire_timer(5850, 1.0);
    assert!(!host.rejected(queued), "still expected to take about 60 ms");
    assert_eq!(running.len(), 2);
}
