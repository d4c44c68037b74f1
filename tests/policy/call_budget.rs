//! The share of the shared dependency.

use crate::host::{shared_dependency, two_core_settings, FakeHost};
use lynxtally::*;

#[test]
fn calls_to_the_shared_dependency_stay_within_the_share() {
    let downstream = shared_dependency(2.0);
    let mut host = FakeHost::new(Settings { downstream, cores: 4, ..two_core_settings() });
    let requests: Vec<_> = (0..4).map(|_| host.arrive(0, 0)).collect();
    let mut calls_started = 0;
    for &request in &requests {
        host.handle(10, [Event::CallRequested(request)]);
        calls_started += u32::from(host.call_started(request));
    }
    assert_eq!(calls_started, 1, "the safe fraction of a share of two has room for one call");
}

/// Calls that the backend cancelled keep running at the dependency. When new calls replaced them at once, the cancelled
/// calls overloaded the dependency.
#[test]
fn cancelled_calls_count_as_in_flight_until_they_end_downstream() {
    let downstream = shared_dependency(5.0);
    let mut host = FakeHost::new(Settings { downstream, cores: 8, ..two_core_settings() });
    host.fire_timer(1, 1.0);
    // The usual call time becomes 20 ms. The assumed calls of earlier processes have expired by now.
    let first = host.arrive(6000, 0);
    host.handle(6000, [Event::CallRequested(first)]);
    host.handle(6020, [Event::CallEnded(first, CallOutcome::Succeeded)]);
    let requests: Vec<_> = (0..7).map(|_| host.arrive(6020, 0)).collect();
    let mut calls_started = 0;
    for &request in &requests {
        host.handle(6030, [Event::CallRequested(request)]);
        calls_started += host.calls_started();
    }
    assert_eq!(calls_started, 4, "the safe fraction of a share of five");
    // Two calls are cancelled, one because its run ended and one because it timed out.
    host.handle(6040, [Event::RunEnded(requests[0], RunOutcome::Cancelled)]);
    assert_eq!(host.calls_started(), 0, "the cancelled call still runs downstream");
    host.handle(6040, [Event::CallEnded(requests[1], CallOutcome::MaybeExecuted)]);
    assert_eq!(host.calls_started(), 0);
    host.fire_timer(6720, 1.0);
    assert_eq!(host.calls_started(), 2, "both cancelled calls have ended downstream");
}

#[test]
fn a_share_below_one_allows_one_call_at_a_time_and_few() {
    let downstream = shared_dependency(0.5);
    let mut host = FakeHost::new(Settings { downstream, cores: 1, ..two_core_settings() });
    let mut calls_started = 0;
    for i in 0..50 {
        let request = host.arrive(i * 100, 0);
        host.handle(i * 100 + 1, [Event::CallRequested(request)]);
        if host.call_started(request) {
            calls_started += 1;
            host.handle(i * 100 + 90, [Event::CallEnded(request, CallOutcome::Succeeded)]);
        }
        host.end_run(i * 100 + 95, request);
    }
    assert!(
        (14..23).contains(&calls_started),
        "the mean may be 0.4 calls at most: {calls_started} calls of 90 ms in 5 s"
    );
}

/// The largest mean over five seconds of the calls in flight from a backend that restarts. Its processes start at
/// `starts`; each lives until the next start, the last one for twelve seconds. Calls end after 5 ms until `slows`.
/// From then on they never end by themselves: each is in flight until it is cancelled, by its timeout or the end of
/// its process, and for 200 ms after that. All times are in milliseconds.
fn max_mean_calls(share: f64, starts: &[u64], slows: u64) -> f64 {
    let mut in_flight = vec![0.0; 40_000];
    for (at, &from) in starts.iter().enumerate() {
        let to = starts.get(at + 1).copied().unwrap_or(from + 12_000);
        simulate_process(share, from, to, slows, &mut in_flight);
    }
    let mut sum = 0.0;
    let means = in_flight.iter().enumerate().map(|(ms, now)| {
        sum += now - if ms < 5000 { 0.0 } else { in_flight[ms - 5000] };
        sum / 5000.0
    });
    means.fold(0.0, f64::max)
}

/// Adds the calls in flight, at each millisecond, of a process that lives from `from` to `to`.
fn simulate_process(share: f64, from: u64, to: u64, slows: u64, in_flight: &mut [f64]) {
    let downstream = shared_dependency(share);
    let mut host = FakeHost::started_at(
        Settings { downstream, cores: 4, cold_start: from > 0, ..two_core_settings() },
        from,
    );
    let mut calls: Vec<(u64, RequestId)> = Vec::new();
    let mut events: Vec<Event> = Vec::new();
    for ms in (from..to).step_by(5) {
        calls.retain(|&(until, request)| {
            let over = until <= ms;
            if over {
                let outcome = if ms < slows { CallOutcome::Succeeded } else { CallOutcome::MaybeExecuted };
                events.push(Event::CallEnded(request, outcome));
                events.extend((ms < slows).then_some(Event::RunEnded(request, RunOutcome::Responded)));
            }
            !over
        });
        events.push(Event::TimerFired(Gauges::default()));
        host.handle(ms, events.drain(..));
        let mut actions = host.actions.clone();
        host.arrive(ms, 0);
        actions.extend(host.actions.iter().cloned());
        for action in actions {
            match action {
                Action::Start(request) => events.push(Event::CallRequested(request)),
                Action::Fail(request) => events.push(Event::RunEnded(request, RunOutcome::Cancelled)),
                Action::Call { request, timeout } => {
                    let cancelled_at = ms + timeout.micros() / 1000;
                    let (until, lag) = if ms < slows { (ms + 5, 0) } else { (cancelled_at, 200) };
                    calls.push((until, request));
                    let ends_at = (until + lag).min(to + 200);
                    in_flight[ms as usize..ends_at as usize].iter_mut().for_each(|n| *n += 1.0);
                }
                _ => {}
            }
        }
    }
}

/// The dependency stops responding, for all backends at once, during calls. The timeouts were right for each backend
/// alone, but the sum of the calls overloaded the dependency.
#[test]
fn the_mean_of_calls_to_a_dependency_that_slows_down_stays_within_the_share() {
    for share in [0.35, 0.41, 0.7, 0.95, 1.2, 2.5] {
        let most = max_mean_calls(share, &[0], 6000);
        assert!(most > share * 0.4, "calls have to continue: a mean of {most:.2} of a share of {share}");
        assert!(most <= share * 0.82, "the share was exceeded: a mean of {most:.2} of a share of {share}");
    }
}

/// All backends restart at once while the dependency is slow. The calls of the earlier processes are still running, so
/// each new process has to assume that its whole share is spent, evenly over the window.
#[test]
fn a_process_that_starts_leaves_room_for_the_calls_of_the_one_before_it() {
    let share = 0.41;
    let most = max_mean_calls(share, &[0], 0);
    assert!(most <= share * 0.82, "a mean of {most:.2} of a share of {share}");
}

/// A backend crashes repeatedly. When each process could make one call at once, several processes within the averaging
/// window exceeded the share.
#[test]
fn a_backend_that_restarts_repeatedly_stays_within_its_share() {
    for share in [0.35, 0.41, 0.7, 1.2, 2.5] {
        for each in [300, 1000, 2500] {
            let starts: Vec<u64> = (0..8_000).step_by(each).collect();
            let most = max_mean_calls(share, &starts, 3000);
            assert!(
                most <= share,
                "a mean of {most:.2} of a share of {share} with a new process every {each} ms"
            );
        }
    }
}

/// A host under a lease of `calls` calls in flight.
fn leased_host(calls: u64) -> FakeHost {
    let mut settings = two_core_settings();
    settings.cores = 8;
    settings.max_running_per_core = 20.0;
    settings.downstream = shared_dependency(100.0);
    let mut host = FakeHost::new(settings);
    host.handle(0, [lease_changed(calls)]);
    host
}

fn lease_changed(calls: u64) -> Event {
    Event::QuotasChanged(LeasedQuotas {
        calls: Some(CallLease { max_in_flight: calls, max_duration: Span::from_millis(3200) }),
        tenants: vec![],
    })
}

/// Lets three requests arrive and ask for calls.
fn request_three_calls(host: &mut FakeHost, ms: u64) -> [RequestId; 3] {
    let requests = [0, 1, 2].map(|n| host.arrive(ms + n, 0));
    host.handle(ms + 3, requests.map(Event::CallRequested));
    requests
}

#[test]
fn a_lease_bounds_the_calls_in_flight() {
    let mut host = leased_host(0);
    let requests = request_three_calls(&mut host, 10);
    assert!(!requests.iter().any(|request| host.call_started(*request)));
    host.handle(20, [lease_changed(2)]);
    assert_eq!(requests.iter().filter(|request| host.call_started(**request)).count(), 2);
}

#[test]
fn after_a_lease_shrinks_no_call_starts_until_it_fits() {
    let mut host = leased_host(2);
    let requests = request_three_calls(&mut host, 10);
    let calling: Vec<RequestId> =
        requests.into_iter().filter(|request| host.call_started(*request)).collect();
    let waiting =
        requests.into_iter().find(|request| !calling.contains(request)).expect("one request should wait");
    host.handle(20, [lease_changed(1)]);
    host.handle(30, [Event::CallEnded(calling[0], CallOutcome::Succeeded)]);
    assert!(!host.call_started(waiting), "the other call uses the whole lease");
    host.handle(40, [Event::CallEnded(calling[1], CallOutcome::Succeeded)]);
    assert!(host.call_started(waiting));
}

#[test]
fn under_a_lease_a_cancelled_call_counts_for_the_cancellation_lag() {
    let mut host = leased_host(1);
    let requests = request_three_calls(&mut host, 10);
    let first =
        requests.into_iter().find(|request| host.call_started(*request)).expect("one call should be started");
    host.handle(50, [Event::CallEnded(first, CallOutcome::MaybeExecuted)]);
    host.handle(249, []);
    assert!(
        !requests.iter().any(|request| host.call_started(*request)),
        "the cancelled call may still run downstream"
    );
    host.handle(250, []);
    assert!(requests.iter().any(|request| host.call_started(*request)));
}

#[test]
fn a_call_lasts_no_longer_than_the_lease_allows() {
    let mut host = leased_host(3);
    let request =
        host.arrive_with(10, 0, |arrival| arrival.deadline = Some(Instant::from_micros(900_000_000)));
    host.handle(20, [Event::CallRequested(request)]);
    let timeout = host.call_timeout();
    assert!(timeout.is_some_and(|span| span <= Span::from_millis(3000)), "{timeout:?}");
}
