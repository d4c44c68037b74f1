//! Starting downstream calls within the call window.

use crate::host::{shared_dependency, two_core_settings, FakeHost};
use lynxtally::*;

#[test]
fn the_call_window_grows_by_one_and_is_cut_to_a_fraction() {
    let mut host = FakeHost::new(Settings { cores: 6, downstream: Downstream::Tier, ..two_core_settings() });
    let requests: Vec<_> = (0..24).map(|i| host.arrive(i, 0)).collect();
    let mut calls_started = 0;
    for (i, &request) in requests.iter().enumerate().take(12) {
        host.handle(30 + i as u64, [Event::CallRequested(request)]);
        calls_started += u32::from(host.call_started(request));
    }
    assert_eq!(calls_started, 6, "the window starts at the number of cores");
    host.handle(60, [Event::CallEnded(requests[0], CallOutcome::NotExecuted)]);
    assert_eq!(host.calls_started(), 0, "a rejected call cuts the window");
    for &request in &requests[1..6] {
        host.handle(70, [Event::CallEnded(request, CallOutcome::Succeeded)]);
    }
    host.handle(71, [Event::CallRequested(requests[1])]);
    assert!(host.calls_started() <= 1, "the window is four plus what the successful calls added");
}

/// The dependency is down and rejects each call at once. When rejected calls were retried at once, it got 6,700 calls
/// a second.
#[test]
fn a_dependency_that_rejects_every_call_is_called_once_a_timer_period() {
    let downstream = shared_dependency(9.0);
    let mut host = FakeHost::new(Settings { downstream, ..two_core_settings() });
    let request = host.arrive(0, 0);
    host.handle(0, [Event::CallRequested(request)]);
    let mut calls = 0;
    for ms in 1..500 {
        if host.call_started(request) {
            calls += 1;
            host.handle(ms, [Event::CallEnded(request, CallOutcome::NotExecuted)]);
        } else {
            host.fire_timer(ms, 1.0);
        }
    }
    assert!((10..40).contains(&calls), "{calls} calls in half a second to a dependency that is down");
}

/// A request has little time left, so its call times out before the usual call time. Such a timeout is no sign of an
/// overloaded dependency.
#[test]
fn a_timeout_shorter_than_the_usual_time_does_not_cut_the_window() {
    let mut host = FakeHost::new(Settings { cores: 6, downstream: Downstream::Tier, ..two_core_settings() });
    let requests: Vec<_> = (0..12).map(|_| host.arrive(0, 0)).collect();
    for &request in &requests[..3] {
        host.handle(10, [Event::CallRequested(request)]);
    }
    for &request in &requests[..2] {
        host.handle(200, [Event::CallEnded(request, CallOutcome::Succeeded)]);
    }
    host.handle(210, [Event::CallEnded(requests[2], CallOutcome::MaybeExecuted)]);
    assert!(host.call_started(requests[2]), "the window still has room for the call");
}

#[test]
fn a_window_of_successful_calls_widens_it_by_one() {
    let mut host = FakeHost::new(Settings { downstream: Downstream::Tier, ..two_core_settings() });
    let [a, b] = [0, 0].map(|class| host.arrive(0, class));
    host.handle(10, [Event::CallRequested(a), Event::CallRequested(b)]);
    let [c, d] = [0, 0].map(|class| host.arrive(11, class));
    host.handle(12, [Event::CallRequested(c)]);
    assert!(!host.call_started(c), "the window starts at the number of cores");
    for (ms, request) in [(20, a), (21, b), (22, c)] {
        host.handle(ms, [Event::CallEnded(request, CallOutcome::Succeeded)]);
    }
    host.handle(30, [Event::CallRequested(d)]);
    host.handle(31, [Event::CallRequested(a)]);
    host.handle(32, [Event::CallRequested(b)]);
    assert!(host.call_started(b), "a window of successful calls makes room for a third");
}
