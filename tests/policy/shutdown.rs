//! Graceful shutdown.

use crate::host::{two_core_settings, FakeHost};
use lynxtally::*;

#[test]
fn after_the_grace_nothing_is_started_and_all_is_answered_before_the_process_is_killed() {
    let mut host =
        FakeHost::new(Settings { capacity_format: CapacityFormat::Credits, ..two_core_settings() });
    let running = host.arrive(0, 0);
    let shutdown_deadline = host.instant(2000);
    host.handle(100, [Event::Drain(shutdown_deadline)]);
    assert!(host.actions.contains(&Action::SetHealth(false)));
    assert_eq!(host.advertised_capacity, Some(0.0));
    let within = host.arrive(500, 0);
    assert!(host.started(within));
    let beyond = host.arrive(1100, 0);
    assert!(host.rejected(beyond) && !host.started(beyond));
    host.fire_timer(1960, 1.0);
    assert!(host.failed(running) && host.failed(within));
}
