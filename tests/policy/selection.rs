//! Starting queued requests.

use crate::host::{two_core_settings, FakeHost};
use lynxtally::*;

#[test]
fn the_highest_rate_starts_first() {
    let mut host = FakeHost::new(two_core_settings());
    let running = [host.arrive(0, 0), host.arrive(0, 0)];
    let (low, high) = (host.arrive(10, 0), host.arrive(11, 1));
    host.end_run(100, running[0]);
    assert!(host.started(high) && !host.started(low));
    host.end_run(110, running[1]);
    assert!(host.started(low));
}

#[test]
fn selection_stops_at_the_first_request_that_does_not_fit() {
    let mut host = FakeHost::new(two_core_settings());
    let started: Vec<_> = (0..4).map(|_| host.starts_on_arrival(0, 0)).collect();
    assert_eq!(started, [true, true, false, false], "one request a core until the throughput is learned");
}

/// By a rough estimate, a request takes longer than the time that it has left. Such a request was rejected although
/// cores were idle.
#[test]
fn a_request_that_is_expected_to_be_late_starts_while_a_core_is_free() {
    let mut host = FakeHost::new(two_core_settings());
    let long = host.arrive_with(0, 0, |a| a.expected_work = Some(Span::from_millis(5000)));
    assert!(host.started(long), "a free core starts the request despite the estimate");
}
