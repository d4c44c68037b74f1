//! When are idle connections closed?

use crate::host::{two_core_settings, FakeHost};
use lynxtally::*;

/// The connection table is full of idle callers. The cores had nothing to do, and four attempts of five got no
/// connection.
#[test]
fn idle_connections_are_closed_while_the_cores_have_room_and_callers_are_many() {
    for (callers, busy, open, goes) in
        [(900, 0.3, 60.0, true), (900, 1.0, 60.0, false), (900, 0.3, 20.0, false), (100, 0.3, 60.0, false)]
    {
        let mut host = FakeHost::new(Settings { callers, ..two_core_settings() });
        for i in 0..400 {
            let gauges = Gauges { cpu_utilization: Some(busy), open_connections: Some(open) };
            host.handle(i * 25, [Event::TimerFired(gauges)]);
        }
        let closed = host.actions.iter().any(|a| matches!(a, Action::CloseIdleConnections(_)));
        assert_eq!(closed, goes, "cores idle, and four attempts of five got no connection");
    }
}

/// All connections that had been idle for the mean latency objective were closed at once. They came back at the cost of
/// as many new ones.
#[test]
fn of_idle_connections_the_longest_idle_go_first() {
    let mut host = FakeHost::new(Settings {
        callers: 900,
        client_idle_timeout: Span::from_millis(30_000),
        ..two_core_settings()
    });
    let mut spans = Vec::new();
    for i in 0..1200 {
        let busy = if (400..800).contains(&i) { 1.0 } else { 0.3 };
        host.handle(
            i * 25,
            [Event::TimerFired(Gauges { cpu_utilization: Some(busy), open_connections: Some(60.0) })],
        );
        let span = host.actions.iter().find_map(|a| {
            if let Action::CloseIdleConnections(idle_for) = a {
                Some(idle_for.secs())
            } else {
                None
            }
        });
        spans.push(span);
    }
    let told: Vec<f64> = spans[..400].iter().flatten().copied().collect();
    assert!(told.windows(2).all(|pair| pair[1] <= pair[0]), "it shrinks while cores have room");
    assert!(told[0] > 20.0 && told[told.len() - 1] < 2.0, "{} to {}", told[0], told[told.len() - 1]);
    let again = spans[800..].iter().flatten().next().expect("room is made again");
    assert!(*again > 5.0, "where cores were busy meanwhile, the longest idle go first anew: {again}");
}
