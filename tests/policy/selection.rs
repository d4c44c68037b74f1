//! May this request start?

use crate::host::{two_core_settings, FakeHost};
use lynxtally::*;

#[test]
fn the_highest_rate_starts_first() {
    let mut host = FakeHost::new(two_core_settings());
    let running = [host.arrive(0, 0), host.arrive(0, 0)];
    let (cheap, dear) = (host.arrive(10, 0), host.arrive(11, 1));
    host.end_run(100, running[0]);
    assert!(host.started(dear) && !host.started(cheap));
    host.end_run(110, running[1]);
    assert!(host.started(cheap));
}

#[test]
fn selection_stops_at_the_first_that_does_not_fit() {
    let mut host = FakeHost::new(two_core_settings());
    let started: Vec<_> = (0..4).map(|_| host.starts_on_arrival(0, 0)).collect();
    assert_eq!(started, [true, true, false, false], "as many as cores until more is learned");
}

/// A rough hint says that a request takes longer than it has. The cores are idle, and it was turned away all the same.
#[test]
fn a_long_shot_is_tried_while_a_core_is_free() {
    let mut host = FakeHost::new(two_core_settings());
    let long = host.arrive_with(0, 0, |a| a.expected_work = Some(Span::from_millis(5000)));
    assert!(host.started(long), "a rough hint turned away work from idle cores");
}
