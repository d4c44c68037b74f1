//! Timeouts and retries of downstream calls.

use crate::host::{two_core_settings, FakeHost};
use lynxtally::*;

/// The response to a call is lost. Without a timeout, the run and the call's place in the call window are held for all
/// the time that the request has.
#[test]
fn a_call_without_a_reply_times_out_after_several_times_the_usual_time() {
    let mut host = FakeHost::new(Settings { downstream: Downstream::Tier, ..two_core_settings() });
    let timeout = |host: &mut FakeHost, ms, request| {
        host.handle(ms, [Event::CallRequested(request)]);
        host.call_timeout()
    };
    let first = host.arrive(0, 0);
    assert!(timeout(&mut host, 0, first) > Some(Span::from_millis(800)), "there is no usual call time yet");
    host.handle(10, [Event::CallEnded(first, CallOutcome::Succeeded)]);
    let second = host.arrive(20, 0);
    assert_eq!(timeout(&mut host, 20, second), Some(Span::from_millis(80)), "8 times the usual 10 ms");
    host.handle(100, [Event::CallEnded(second, CallOutcome::MaybeExecuted)]);
    assert!(host.call_started(second), "the call is retried while its request still has time");
    // A call that must not be retried gets all the time that its request has.
    let mut settings = Settings { downstream: Downstream::Tier, ..two_core_settings() };
    settings.classes[1].effect = Effect::NonIdempotent;
    let mut host = FakeHost::new(settings);
    let first = host.arrive(0, 0);
    host.handle(0, [Event::CallRequested(first)]);
    host.handle(10, [Event::CallEnded(first, CallOutcome::Succeeded)]);
    let non_idempotent = host.arrive(20, 1);
    assert!(timeout(&mut host, 20, non_idempotent) > Some(Span::from_millis(800)));
}

/// The dependency rejects several attempts of a call, then lets its attempts time out. When one rejection ended the
/// call, the work of its run was lost.
#[test]
fn after_the_last_attempt_a_request_is_degraded_or_fails() {
    for degraded_fraction in [0.5, 0.0] {
        let mut settings = Settings { downstream: Downstream::Tier, ..two_core_settings() };
        settings.classes[0].degraded_utility_fraction = degraded_fraction;
        let mut host = FakeHost::new(settings);
        let request = host.arrive(0, 0);
        host.handle(10, [Event::CallRequested(request)]);
        for ms in [20, 30, 40, 50, 60] {
            assert!(host.call_started(request), "a rejected call is retried");
            host.handle(ms, [Event::CallEnded(request, CallOutcome::NotExecuted)]);
        }
        for ms in [70, 80, 90] {
            assert!(host.call_started(request));
            host.handle(ms, [Event::CallEnded(request, CallOutcome::MaybeExecuted)]);
        }
        assert_eq!(host.actions.contains(&Action::Degrade(request)), degraded_fraction > 0.0);
        assert_eq!(host.failed(request), degraded_fraction == 0.0);
    }
}

#[test]
fn a_call_that_may_have_been_executed_is_not_retried_for_a_non_idempotent_request() {
    let mut settings = Settings { downstream: Downstream::Tier, ..two_core_settings() };
    settings.classes[0].effect = Effect::NonIdempotent;
    let mut host = FakeHost::new(settings);
    let request = host.arrive(0, 0);
    host.handle(10, [Event::CallRequested(request)]);
    host.handle(50, [Event::CallEnded(request, CallOutcome::MaybeExecuted)]);
    assert!(host.failed(request) && !host.call_started(request));
}
