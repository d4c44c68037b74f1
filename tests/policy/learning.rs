//! Learned estimates.

use crate::host::{two_core_settings, FakeHost};
use lynxtally::*;

/// When the cost was divided by the class's own latency objective, a class with a long objective looked cheap, and its
/// long runs went before short ones of the same utility.
#[test]
fn a_longer_latency_objective_does_not_lower_the_demand() {
    let mut settings = two_core_settings();
    settings.classes[1].utility = 1.0;
    settings.classes[1].latency_objective = Span::from_millis(8000);
    settings.classes[1].deadline = Span::from_millis(9000);
    let mut host = FakeHost::new(settings);
    // Runs of class 0 take 100 ms, runs of class 1 250 ms.
    for round in 0..60 {
        let (quick, long) = (host.arrive(round * 1000, 0), host.arrive(round * 1000, 1));
        host.end_run(round * 1000 + 100, quick);
        host.end_run(round * 1000 + 250, long);
    }
    let mut running = Vec::new();
    loop {
        let request = host.arrive(60_000, 1);
        if !host.started(request) {
            break; // The request is queued and would start next.
        }
        running.push(request);
    }
    let quick = host.arrive(60_010, 0);
    let at_once = host.started(quick);
    host.end_run(60_100, running[0]);
    let first = host.actions.iter().find(|action| matches!(action, Action::Start(_)));
    assert!(
        at_once || first == Some(&Action::Start(quick)),
        "the request with the same utility and two fifths of the core time goes first"
    );
}

/// One run of a class takes far longer than the others. When its full cost entered the mean, requests that still had
/// time were rejected.
#[test]
fn a_huge_run_does_not_distort_the_learned_cost() {
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
    assert!(!host.rejected(queued), "the expected cost is still about 60 ms");
    assert_eq!(running.len(), 2);
}
