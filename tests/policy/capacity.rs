//! Capacity of the machine.

use crate::host::{two_core_settings, FakeHost};
use lynxtally::*;

/// The learned throughput is too low: cores are idle while requests are queued, as the gauge shows.
#[test]
fn idle_cores_start_a_queued_request_and_raise_the_throughput() {
    let mut host = FakeHost::new(two_core_settings());
    let requests: Vec<_> = (0..3).map(|_| host.arrive(0, 0)).collect();
    host.fire_timer(25, 1.0);
    host.fire_timer(100, 0.5);
    assert!(
        !host.started(requests[2]),
        "the gauge's window still includes the time before the cores were full"
    );
    host.fire_timer(600, 0.5);
    assert!(host.started(requests[2]));
    assert!(!host.starts_on_arrival(605, 0), "three requests run and a fourth doesn't fit");
    host.end_run(610, requests[0]);
    assert!(host.started(RequestId(3)), "the raised throughput admits a third running request");
}

#[test]
fn memory_and_the_slow_start_bound_what_runs() {
    let mut host = FakeHost::new(Settings { memory_kb: 100.0, ..two_core_settings() });
    assert!(
        host.starts_on_arrival(0, 0) && host.starts_on_arrival(0, 0),
        "two running requests need 80 of the 85 kB"
    );
    let mut host = FakeHost::new(Settings { memory_kb: 90.0, ..two_core_settings() });
    assert!(host.starts_on_arrival(0, 0) && !host.starts_on_arrival(0, 0), "only 76 kB may be used");
    let mut host = FakeHost::new(Settings {
        cold_start: true,
        cold_capacity_fraction: 0.2,
        max_running_per_core: 2.0,
        ..two_core_settings()
    });
    assert!(
        host.starts_on_arrival(0, 0) && host.starts_on_arrival(0, 0),
        "a cold backend with two cores may start a little over two requests"
    );
    let mut host = FakeHost::new(Settings {
        cold_start: true,
        cold_capacity_fraction: 0.0,
        max_running_per_core: 2.0,
        ..two_core_settings()
    });
    assert!(
        host.starts_on_arrival(0, 0) && !host.starts_on_arrival(0, 0),
        "two started requests exceed the safe fraction of a completely cold backend"
    );
}

#[test]
fn a_queue_that_fills_the_memory_rejects_the_lowest_rate() {
    let mut host = FakeHost::new(Settings { memory_kb: 110.0, ..two_core_settings() });
    assert!(host.starts_on_arrival(0, 1) && host.starts_on_arrival(0, 1));
    let low = host.arrive(1, 0);
    assert!(!host.rejected(low), "80 kB running and 10 kB queued fit in 93 kB");
    let high = host.arrive(2, 1);
    assert!(host.rejected(low) && !host.rejected(high));
}
