//! How much of the shared dependency may this backend use?

use crate::host::{shared_dependency, two_core_settings, FakeHost};
use lynxtally::*;

#[test]
fn the_shared_dependency_gets_no_more_than_the_share() {
    let downstream = shared_dependency(2.0);
    let mut host = FakeHost::new(Settings { downstream, cores: 4, ..two_core_settings() });
    let requests: Vec<_> = (0..4).map(|_| host.arrive(0, 0)).collect();
    let mut calls_started = 0;
    for &request in &requests {
        host.handle(10, [Event::CallRequested(request)]);
        calls_started += u32::from(host.call_started(request));
    }
    assert_eq!(calls_started, 1, "of a share of two, the safe fraction leaves room for one whole call");
}

/// The dependency works on with calls that were cancelled here. Others took their places at once, and it fell over by
/// the calls that nobody waited for.
#[test]
fn cancelled_calls_count_as_in_flight_until_they_ended_downstream() {
    let downstream = shared_dependency(5.0);
    let mut host = FakeHost::new(Settings { downstream, cores: 8, ..two_core_settings() });
    host.fire_timer(1, 1.0);
    // Calls of 20 ms are usual, and what came before this process is past.
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
    // Two are cancelled, one as its run ended and one as it took too long.
    host.handle(6040, [Event::RunEnded(requests[0], RunOutcome::Cancelled)]);
    assert_eq!(host.calls_started(), 0, "the dependency fell over by the calls that nobody waited for");
    host.handle(6040, [Event::CallEnded(requests[1], CallOutcome::MaybeExecuted)]);
    assert_eq!(host.calls_started(), 0);
    host.fire_timer(6720, 1.0);
    assert_eq!(host.calls_started(), 2, "by now it has let go of both");
}

#[test]
fn a_share_below_one_call_starts_one_at_a_time_and_rarely() {
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
        "at most four tenths of a call in the mean: {calls_started} of 90 ms in 5 s"
    );
}

/// The largest mean over five seconds of calls in flight from a backend whose processes each live from one of `starts`
/// to the next, the last for twelve seconds. Calls end at once until `slows`, and from then on never: each is in flight until
/// it is cancelled, also by the end of its process, and 200 ms longer. All times are in milliseconds.
fn max_mean_calls(share: f64, starts: &[u64], slows: u64) -> f64 {
    let mut in_flight = vec![0.0; 40_000];
    for (at, &from) in starts.iter().enumerate() {
        let to = starts.get(at + 1).copied().unwrap_or(from + 12_000);
        simulate_process(share, from, to, slows, &mut in_flight);
    }
    let mut sum = 0.0;
    let spans = in_flight.iter().enumerate().map(|(ms, now)| {
        sum += now - if ms < 5000 { 0.0 } else { in_flight[ms - 5000] };
        sum / 5000.0
    });
    spans.fold(0.0, f64::max)
}

/// Adds the calls in flight, at each millisecond, of a process that lives from `from` to `to`.
fn simulate_process(share: f64, from: u64, to: u64, slows: u64, in_flight: &mut [f64]) {
    let downstream = shared_dependency(share);
    let mut host = FakeHost::started_at(
        Settings { downstream, cores: 4, cold_start: from > 0, ..two_core_settings() },
        from,
    );
    let mut out: Vec<(u64, RequestId)> = Vec::new();
    let mut events: Vec<Event> = Vec::new();
    for ms in (from..to).step_by(5) {
        out.retain(|&(until, request)| {
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
                    out.push((until, request));
                    let gone = (until + lag).min(to + 200);
                    in_flight[ms as usize..gone as usize].iter_mut().for_each(|n| *n += 1.0);
                }
                _ => {}
            }
        }
    }
}

/// The dependency stops replying, for all backends at once, in the middle of calls. Each backend's timeouts were fine by
/// themselves, and the sum over all of them made it fall over.
#[test]
fn a_dependency_that_slows_down_gets_no_more_than_the_share_in_the_mean() {
    for share in [0.35, 0.41, 0.7, 0.95, 1.2, 2.5] {
        let most = max_mean_calls(share, &[0], 6000);
        assert!(most > share * 0.4, "calls go on, {most:.2} of {share}");
        assert!(most <= share * 0.82, "the sum over all nodes fell over, {most:.2} of {share}");
    }
}

/// All backends restart at once while the dependency is slow. What the processes before them
/// called is still there, and is taken for all of the share, spent evenly.
#[test]
fn a_process_that_starts_leaves_room_for_the_calls_of_the_one_before_it() {
    let share = 0.41;
    let most = max_mean_calls(share, &[0], 0);
    assert!(most <= share * 0.82, "{most:.2} of {share}");
}

/// A backend crashes again and again. Each process was free to make one call at once; with a few processes within the
/// averaging window that was more than the share.
#[test]
fn a_backend_that_restarts_again_and_again_stays_within_its_share() {
    for share in [0.35, 0.41, 0.7, 1.2, 2.5] {
        for each in [300, 1000, 2500] {
            let starts: Vec<u64> = (0..8_000).step_by(each).collect();
            let most = max_mean_calls(share, &starts, 3000);
            assert!(most <= share, "{most:.2} of {share} with a process each {each} ms");
        }
    }
}

/// A host under a lease of so many calls in flight.
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

/// Three requests that want to make calls.
fn request_three_calls(host: &mut FakeHost, ms: u64) -> [RequestId; 3] {
    let requests = [0, 1, 2].map(|n| host.arrive(ms + n, 0));
    host.handle(ms + 3, requests.map(Event::CallRequested));
    requests
}

#[test]
fn under_a_lease_of_none_no_call_goes_and_under_two_no_third() {
    let mut host = leased_host(0);
    let requests = request_three_calls(&mut host, 10);
    assert!(!requests.iter().any(|request| host.call_started(*request)));
    host.handle(20, [lease_changed(2)]);
    assert_eq!(requests.iter().filter(|request| host.call_started(**request)).count(), 2);
}

#[test]
fn a_lease_that_shrinks_in_the_middle_of_calls_starts_none_until_it_fits() {
    let mut host = leased_host(2);
    let requests = request_three_calls(&mut host, 10);
    let going: Vec<RequestId> = requests.into_iter().filter(|request| host.call_started(*request)).collect();
    let waits = requests.into_iter().find(|request| !going.contains(request)).expect("the third");
    host.handle(20, [lease_changed(1)]);
    host.handle(30, [Event::CallEnded(going[0], CallOutcome::Succeeded)]);
    assert!(!host.call_started(waits), "the other call is all that the lease allows");
    host.handle(40, [Event::CallEnded(going[1], CallOutcome::Succeeded)]);
    assert!(host.call_started(waits));
}

#[test]
fn under_a_lease_a_cancelled_call_counts_for_the_cancellation_lag() {
    let mut host = leased_host(1);
    let requests = request_three_calls(&mut host, 10);
    let first = requests.into_iter().find(|request| host.call_started(*request)).expect("one goes");
    host.handle(50, [Event::CallEnded(first, CallOutcome::MaybeExecuted)]);
    host.handle(249, []);
    assert!(!requests.iter().any(|request| host.call_started(*request)), "it may be in flight downstream");
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
