//! What are callers told?

use crate::host::{class, two_core_settings, FakeHost};
use lynxtally::*;

/// The cores are slowed, so fewer requests fit and credits fall. Callers without a credit reject without looking at the
/// class, and so rejected half of the one class that is worth most.
#[test]
fn slow_cores_do_not_cut_the_credits_where_one_class_stands_out() {
    let mut settings =
        Settings { cores: 6, capacity_format: CapacityFormat::Credits, callers: 1, ..two_core_settings() };
    for (utility, stands_out) in [(2.0, false), (20.0, true)] {
        settings.classes = vec![class(1.0), class(1.0), class(utility)];
        let mut host = FakeHost::new(settings.clone());
        // Each run has 400 ms of a core.
        for i in 0..60 {
            let requests: Vec<_> = (0..6).map(|_| host.arrive(i * 500, (i % 3) as usize)).collect();
            requests.into_iter().for_each(|request| host.end_run(i * 500 + 400, request));
        }
        let credits = host.advertised_capacity.expect("told");
        assert_eq!(credits >= 20.0, stands_out, "callers rejected the dear half themselves: {credits}");
    }
}

/// More arrives than is read. Reading costs work whatever is decided, so callers have to hear of it.
#[test]
fn requests_that_lie_unread_cut_the_credits() {
    let mut host =
        FakeHost::new(Settings { capacity_format: CapacityFormat::Credits, ..two_core_settings() });
    host.arrive(0, 0);
    let before = host.advertised_capacity.expect("credit is told at the start");
    for i in 0..20 {
        host.arrive_with(10 + i, 0, |a| a.receive_delay = Span::from_millis(400));
    }
    assert!(before > 1.0);
    assert_eq!(host.advertised_capacity, Some(1.0), "one, so that callers go on hearing it");
}

#[test]
fn a_rejection_says_when_to_come_back() {
    let mut host = FakeHost::new(two_core_settings());
    for _ in 0..41 {
        host.arrive(0, 0);
    }
    let retry_after = host.actions.iter().find_map(|a| match a {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    let (least, most) = (Span::from_millis(100), Span::from_millis(1000));
    assert!(retry_after.is_some_and(|span| span > least && span <= most));
}

/// One class is worth far more than the others. Callers that were told to stay away kept it away with the rest.
#[test]
fn where_one_class_stands_out_callers_are_not_kept_away() {
    let mut settings = Settings { capacity_format: CapacityFormat::Credits, ..two_core_settings() };
    settings.classes = vec![class(1.0), class(1.0), class(10.0)];
    let mut host = FakeHost::new(settings);
    for _ in 0..41 {
        host.arrive(0, 0);
    }
    let told = host.actions.iter().find_map(|a| match a {
        Action::Reject { retry_after, no_retry, .. } => Some((*retry_after, *no_retry)),
        _ => None,
    });
    assert_eq!(told, Some((Span::ZERO, true)), "the class that stands out was kept away with the rest");
}

#[test]
fn hundreds_of_callers_get_a_credit_of_one_each() {
    let settings =
        Settings { capacity_format: CapacityFormat::Credits, callers: 900, cores: 1, ..two_core_settings() };
    let mut host = FakeHost::new(settings);
    for i in 0..900 {
        host.arrive_with(i * 30, 0, |a| a.caller = i);
        host.end_run(i * 30 + 20, RequestId(i as u32));
    }
    assert_eq!(host.advertised_capacity, Some(1.0));
    for i in 900..1200 {
        host.arrive_with(i * 30, 0, |a| a.caller = 7);
        host.end_run(i * 30 + 20, RequestId(i as u32));
    }
    assert!(host.advertised_capacity > Some(1.0), "one caller is left, and the room is its own");
}
