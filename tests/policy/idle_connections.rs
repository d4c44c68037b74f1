//! Closing idle connections.

use crate::host::{two_core_settings, FakeHost};
use lynxtally::*;

/// Idle callers filled the connection table: the cores were idle, and four of five connection attempts failed.
#[test]
fn idle_connections_are_closed_while_the_cores_have_spare_time_and_callers_are_many() {
    for (callers, busy, open, expected) in
        [(900, 0.3, 60.0, true), (900, 1.0, 60.0, false), (900, 0.3, 20.0, false), (100, 0.3, 60.0, false)]
    {
        let mut host = FakeHost::new(Settings { callers, ..two_core_settings() });
        for i in 0..400 {
            let gauges = Gauges { cpu_utilization: Some(busy), open_connections: Some(open) };
            host.handle(i * 25, [Event::TimerFired(gauges)]);
        }
        let closed = host.actions.iter().any(|a| matches!(a, Action::CloseIdleConnections(_)));
        assert_eq!(closed, expected, "{callers} callers, CPU utilization {busy}, {open} open connections");
    }
}

/// When all connections that had been idle for the mean latency objective were closed at once, their callers opened as
/// many new ones, and opening a connection is costly.
#[test]
fn the_longest_idle_connections_are_closed_first() {
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
    let idle_secs: Vec<f64> = spans[..400].iter().flatten().copied().collect();
    assert!(
        idle_secs.windows(2).all(|pair| pair[1] <= pair[0]),
        "the idle time shrinks while the cores have spare time"
    );
    assert!(
        idle_secs[0] > 20.0 && idle_secs[idle_secs.len() - 1] < 2.0,
        "{} to {}",
        idle_secs[0],
        idle_secs[idle_secs.len() - 1]
    );
    let again = spans[800..].iter().flatten().next().expect("connections should be closed again");
    assert!(*again > 5.0, "after a busy time the idle time is long again: {again} s");
}
