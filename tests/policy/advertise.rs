//! Advertised capacity, health check result and Retry-After.

use crate::host::{class, two_core_settings, FakeHost};
use lynxtally::*;

/// On slow cores fewer requests fit, which reduces the credits. Callers without a credit reject requests without
/// looking at their class, and rejected half of those in the class with by far the highest utility.
#[test]
fn slow_cores_do_not_reduce_the_credits_with_a_dominant_class() {
    let mut settings =
        Settings { cores: 6, capacity_format: CapacityFormat::Credits, callers: 1, ..two_core_settings() };
    for (utility, dominant) in [(2.0, false), (20.0, true)] {
        settings.classes = vec![class(1.0), class(1.0), class(utility)];
        let mut host = FakeHost::new(settings.clone());
        // Each run takes 400 ms on a core.
        for i in 0..60 {
            let requests: Vec<_> = (0..6).map(|_| host.arrive(i * 500, (i % 3) as usize)).collect();
            requests.into_iter().for_each(|request| host.end_run(i * 500 + 400, request));
        }
        let credits = host.advertised_capacity.expect("credits should be advertised");
        assert_eq!(credits >= 20.0, dominant, "utility {utility}: {credits} credits");
    }
}

/// More requests arrive than can be read. Reading costs core time even for rejected requests, so callers have to send
/// fewer.
#[test]
fn a_receive_delay_reduces_the_credits() {
    let mut host =
        FakeHost::new(Settings { capacity_format: CapacityFormat::Credits, ..two_core_settings() });
    host.arrive(0, 0);
    let before = host.advertised_capacity.expect("credits should be advertised at the start");
    for i in 0..20 {
        host.arrive_with(10 + i, 0, |a| a.receive_delay = Span::from_millis(400));
    }
    assert!(before > 1.0);
    assert_eq!(
        host.advertised_capacity,
        Some(1.0),
        "at least one credit, so that callers keep getting responses"
    );
}

#[test]
fn a_rejection_has_a_retry_after() {
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

/// One class has a far higher utility than the others. Callers that were told to hold off also held off its requests.
#[test]
fn with_a_dominant_class_rejections_have_no_retry_after() {
    let mut settings = Settings { capacity_format: CapacityFormat::Credits, ..two_core_settings() };
    settings.classes = vec![class(1.0), class(1.0), class(10.0)];
    let mut host = FakeHost::new(settings);
    for _ in 0..41 {
        host.arrive(0, 0);
    }
    let rejection = host.actions.iter().find_map(|a| match a {
        Action::Reject { retry_after, no_retry, .. } => Some((*retry_after, *no_retry)),
        _ => None,
    });
    assert_eq!(rejection, Some((Span::ZERO, true)), "a Retry-After would also hold off the dominant class");
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
    assert!(host.advertised_capacity > Some(1.0), "the only caller left gets the credits of all");
}
