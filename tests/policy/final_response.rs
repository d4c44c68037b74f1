//! Final responses.

use crate::host::{class, two_core_settings, FakeHost};
use lynxtally::*;

#[test]
fn a_caller_that_is_gone_gets_no_response() {
    let mut host = FakeHost::new(two_core_settings());
    let requests = [0, 0, 0].map(|class| host.arrive(0, class));
    host.handle(10, requests.map(Event::CallerGone));
    host.fire_timer(2990, 1.0);
    assert!(!requests.iter().any(|&request| host.rejected(request) || host.failed(request)));
}

/// If the receive delay is high at all backends and rejections don't advise against a retry, each request is sent to four
/// backends in turn, and each of them spends work on reading it.
#[test]
fn with_a_high_receive_delay_a_rejection_advises_against_a_retry() {
    let no_retry_after_delay = |receive_delay_ms| {
        let mut host = FakeHost::new(two_core_settings());
        for i in 0..60 {
            host.arrive_with(i, 0, |a| a.receive_delay = Span::from_millis(receive_delay_ms));
        }
        host.actions.iter().find_map(|a| {
            if let Action::Reject { no_retry, .. } = a {
                Some(*no_retry)
            } else {
                None
            }
        })
    };
    assert_eq!(no_retry_after_delay(1), Some(false), "other backends may have capacity");
    assert_eq!(
        no_retry_after_delay(400),
        Some(true),
        "the receive delay is most likely high at other backends too"
    );
}

#[test]
fn a_rejected_retry_is_not_retried_again() {
    let mut host = FakeHost::new(two_core_settings());
    for i in 0..60 {
        host.arrive_with(i, 0, |a| a.is_retry = true);
    }
    assert!(host.actions.iter().any(|a| matches!(a, Action::Reject { no_retry: true, .. })));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let all_actions = || {
        let mut host =
            FakeHost::new(Settings { capacity_format: CapacityFormat::Credits, ..two_core_settings() });
        let mut all = Vec::new();
        for i in 0..60 {
            host.arrive_with(i * 7, (i % 2) as usize, |a| a.receive_delay = Span::from_millis(i));
            all.append(&mut host.actions);
        }
        all
    };
    assert_eq!(all_actions(), all_actions());
}

/// Messages can cross: the outcome of a call or run may arrive when its request has ended, or for an unknown request.
#[test]
fn outcomes_of_requests_that_have_ended_are_ignored() {
    let mut host = FakeHost::new(Settings { classes: vec![class(1.0)], ..two_core_settings() });
    let request = host.arrive(0, 0);
    host.end_run(10, request);
    let unknown = RequestId(99);
    host.handle(
        20,
        [
            Event::CallerGone(request),
            Event::CallRequested(request),
            Event::CallEnded(unknown, CallOutcome::Succeeded),
            Event::CallerGone(unknown),
        ],
    );
    assert!(host.actions.iter().all(|a| matches!(a, Action::SetTimer(_))));
}

#[test]
fn a_request_that_is_not_prepaid_is_rejected_with_a_retry_after_whatever_its_utility() {
    let mut host = FakeHost::new(two_core_settings());
    let request = host.arrive_with(0, 1, |arrival| arrival.prepaid = false);
    let rejection = host.actions.iter().find_map(|action| match action {
        Action::Reject { request: own, retry_after, no_retry } if *own == request => {
            Some((*retry_after, *no_retry))
        }
        _ => None,
    });
    assert_eq!(rejection, Some((Span::from_millis(1000), false)));
    assert!(host.starts_on_arrival(1, 0), "a prepaid request is served");
}
