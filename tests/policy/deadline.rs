//! Rejection of queued requests that can't respond in time, and the end of late runs.

use crate::host::{two_core_settings, FakeHost};
use lynxtally::*;

#[test]
fn a_queued_request_that_can_not_respond_in_time_is_rejected() {
    let mut host = FakeHost::new(two_core_settings());
    for _ in 0..2 {
        host.arrive(0, 0);
    }
    let queued = host.arrive(0, 0);
    host.fire_timer(500, 1.0);
    assert!(!host.rejected(queued));
    host.fire_timer(960, 1.0);
    assert!(host.rejected(queued));
}

#[test]
fn a_request_behind_a_long_queue_is_rejected() {
    let mut host = FakeHost::new(two_core_settings());
    let ahead: Vec<_> = (0..40).map(|_| host.arrive(0, 1)).collect();
    let last = host.arrive(0, 0);
    assert!(
        host.rejected(last),
        "forty requests of higher rate are ahead, each with a cost of an eighth of the latency objective"
    );
    assert!(host.started(ahead[0]) || !host.rejected(ahead[0]));
}

#[test]
fn a_late_request_keeps_only_its_late_utility() {
    let mut settings = two_core_settings();
    settings.classes[1].late_utility_fraction = 0.1;
    let mut host = FakeHost::new(settings);
    let running = [host.arrive(0, 0), host.arrive(0, 0)];
    let late = host.arrive(0, 1);
    host.fire_timer(990, 1.0);
    assert!(!host.rejected(late));
    let fresh = host.arrive(995, 0);
    host.end_run(1000, running[0]);
    assert!(host.started(fresh) && !host.started(late));
}

/// Calls are slow and the call window is one. Runs that started behind a queue of calls used core time and then ended
/// without their call.
#[test]
fn a_request_behind_a_long_call_queue_is_rejected() {
    for queued_calls in [0, 2] {
        let mut host = FakeHost::new(Settings { downstream: Downstream::Tier, ..two_core_settings() });
        for i in 0..40 {
            // Calls take 300 ms. The last ten are rejected, which cuts the window to one.
            let outcome = if i < 30 { CallOutcome::Succeeded } else { CallOutcome::NotExecuted };
            let request = host.arrive(i * 500, 0);
            host.handle(i * 500 + 10, [Event::CallRequested(request)]);
            host.handle(i * 500 + 310, [Event::CallEnded(request, outcome)]);
            host.end_run(i * 500 + 320, request);
        }
        for _ in 0..1 + queued_calls {
            let request = host.arrive(20_000, 0);
            host.handle(20_000, [Event::CallRequested(request)]);
        }
        let running = [host.arrive(20_001, 0), host.arrive(20_001, 0)];
        let next = host.arrive(20_002, 0);
        host.fire_timer(20_250, 1.0);
        assert_eq!(host.rejected(next), queued_calls > 0, "{queued_calls} queued calls");
        assert_eq!(running.len(), 2);
    }
}

#[test]
fn a_run_that_can_not_be_stopped_is_answered_before_its_deadline() {
    let mut host = FakeHost::new(two_core_settings());
    let request = host.arrive(0, 0);
    host.fire_timer(2900, 1.0);
    assert!(!host.failed(request));
    host.fire_timer(2960, 1.0);
    assert!(host.failed(request));
    host.end_run(3500, request);
    assert!(
        !host.failed(request) && host.actions.contains(&Action::ReleaseId(request)),
        "a request gets one response only"
    );
}

#[test]
fn a_run_that_can_be_stopped_leaves_the_cores_at_its_latency_objective() {
    let mut host = FakeHost::new(Settings { stoppable: true, ..two_core_settings() });
    let request = host.arrive(0, 0);
    host.fire_timer(1010, 1.0);
    assert!(host.failed(request) && host.actions.contains(&Action::Stop(request)));
}

/// When the request queued for longest went first, in overload a third of the runs were cut off at their deadline.
#[test]
fn a_request_queued_for_long_starts_after_a_fresh_one() {
    let mut host = FakeHost::new(two_core_settings());
    let quick = host.arrive(0, 0);
    host.end_run(20, quick);
    let running = [host.arrive(20, 0), host.arrive(20, 0)];
    let stale = host.arrive(21, 0);
    host.fire_timer(600, 1.0);
    let fresh = host.arrive(610, 0);
    host.end_run(620, running[0]);
    assert!(host.started(fresh) && !host.started(stale), "the request queued for long goes second");
    host.end_run(630, running[1]);
    assert!(host.started(stale));
}

/// When the queue was as long as could just be served in time, its last requests were late as soon as anything took a
/// little longer.
#[test]
fn the_queue_is_kept_short() {
    let mut host = FakeHost::new(two_core_settings());
    let mut rejected = Vec::new();
    for i in 0..8 {
        host.arrive(0, 0);
        rejected.push((0..=i).any(|request| host.rejected(RequestId(request))));
    }
    let three_queued = [false, false, false, false, false, true, true, true];
    assert_eq!(rejected, three_queued, "the queue holds three requests");
}
