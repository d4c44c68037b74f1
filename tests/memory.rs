//! Checks that the policy's memory doesn't grow with the number of past calls. This test is alone in its process
//! because it measures the memory of the process.
#![cfg(target_os = "linux")]

#[allow(dead_code)] // This test uses only a part of the fake host.
mod host;

use host::{shared_dependency, two_core_settings, FakeHost};
use lynxtally::*;

fn lease_of_fifty_calls() -> Event {
    Event::QuotasChanged(LeasedQuotas {
        calls: Some(CallLease { max_in_flight: 50, max_duration: Span::from_millis(3200) }),
        tenants: vec![],
    })
}

/// The resident memory of this process, in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("/proc/self/status should be readable");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .expect("the status should have the resident size");
    line.split_whitespace()
        .nth(1)
        .and_then(|kb| kb.parse().ok())
        .expect("the resident size should be a number of kilobytes")
}

/// The call time of past calls was never freed if nothing read its sum: with another tier downstream, and under a
/// lease. A node with one call in flight at all times grew by hundreds of megabytes a day.
#[test]
fn past_calls_take_no_memory() {
    for (downstream, lease) in
        [(Downstream::Tier, None), (shared_dependency(50.0), Some(lease_of_fifty_calls()))]
    {
        let mut host = FakeHost::new(Settings { downstream, ..two_core_settings() });
        host.handle(0, lease);
        let before_kb = resident_kb();
        // One call is in flight at each moment. All requests use two indices in turn, as a host's id table would
        // assign them.
        let ids = [RequestId(0), RequestId(1)];
        for round in 0..100_000 {
            let now = round * 60;
            let request = ids[(round % 2) as usize];
            let previous = ids[((round + 1) % 2) as usize];
            host.arrive_with(now, 0, |arrival| arrival.request = request);
            host.handle(now + 1, [Event::CallRequested(request)]);
            host.handle(now + 2, [Event::CallEnded(previous, CallOutcome::Succeeded)]);
            host.end_run(now + 3, previous);
        }
        let grown_kb = resident_kb().saturating_sub(before_kb);
        assert!(grown_kb < 1024, "memory grew by {grown_kb} kB in 100,000 calls");
    }
}
