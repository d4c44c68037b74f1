//! Tests of retry budgets, backoff and outlier detection.

use lynxtally::{Instant, Pcg, Span};
use lynxtally_retry::{Backoff, OutlierDetector, OutlierLimits, RetryBudget};

/// Many requests fail and are retried. Once the saved retries are spent, retries must be limited to a tenth of the
/// successes.
#[test]
fn retries_are_limited_to_a_fraction_of_successes_once_the_saved_retries_are_spent() {
    let mut budget = RetryBudget::new(10, 3);
    assert_eq!((0..100).filter(|_| budget.try_spend()).count(), 3);
    let retries = (0..1000).filter(|_| {
        budget.record_success();
        budget.try_spend()
    });
    assert_eq!(retries.count(), 100);
}

/// A server restarts, and the requests of a thousand clients fail at once. Their delays must grow up to the maximum, and
/// must be spread so that the clients do not retry at the same time.
#[test]
fn delays_grow_up_to_the_maximum_and_are_spread_over_clients() {
    let (min_delay, max_delay) = (Span::from_millis(100), Span::from_millis(5000));
    let mut random = Pcg::new(3);
    let mut backoffs: Vec<Backoff> = (0..1000).map(|_| Backoff::new(min_delay, max_delay)).collect();
    let mean = |delays: &[Span]| delays.iter().map(|delay| delay.secs()).sum::<f64>() / delays.len() as f64;
    let mut means = Vec::new();
    for _ in 0..12 {
        let delays: Vec<Span> = backoffs.iter_mut().map(|backoff| backoff.next_delay(&mut random)).collect();
        assert!(delays.iter().all(|delay| (min_delay..=max_delay).contains(delay)));
        means.push(mean(&delays));
        // Fewer than 120 of the 1000 delays fall into any of 50 equal intervals.
        if means.len() == 2 {
            let counts = (0..50).map(|n| {
                let from = Span::from_millis(100 + n * 16);
                delays.iter().filter(|delay| (from..from + Span::from_millis(16)).contains(delay)).count()
            });
            assert!(counts.max() < Some(120));
        }
    }
    assert!(means.windows(2).take(5).all(|pair| pair[0] < pair[1]), "{means:?}");
    backoffs[0].reset();
    assert!(backoffs[0].next_delay(&mut random) <= min_delay * 3.0);
}

/// A server has consecutive failures and is ejected; it fails again on probation and is ejected for twice as long. When
/// half of the servers are ejected, which is the maximum, a further server that fails must not be ejected.
#[test]
fn a_server_that_fails_again_is_ejected_for_longer_and_the_ejected_fraction_is_limited() {
    let at = |millis: u64| Instant::from_micros(millis * 1000);
    let (base_ejection_time, max_ejection_time) = (Span::from_millis(100), Span::from_millis(300));
    let mut detector = OutlierDetector::new(
        4,
        OutlierLimits {
            consecutive_failures: 2,
            base_ejection_time,
            max_ejection_time,
            max_ejected_fraction: 0.5,
            probation_successes: 2,
        },
    );
    assert!(!detector.record_failure(at(0), 0) && detector.record_failure(at(0), 0));
    assert!(
        detector.is_ejected(at(99), 0) && !detector.is_ejected(at(100), 0) && detector.is_on_probation(0)
    );
    // On probation a single failure ejects the server, for twice as long as before.
    assert!(
        detector.record_failure(at(100), 0)
            && detector.is_ejected(at(299), 0)
            && !detector.is_ejected(at(300), 0)
    );
    assert!(!detector.record_failure(at(200), 1) && detector.record_failure(at(200), 1));
    assert!(
        !detector.record_failure(at(200), 2) && !detector.record_failure(at(200), 2),
        "half of the servers are already ejected"
    );
    detector.record_success(0);
    assert!(detector.is_on_probation(0));
    detector.record_success(0);
    assert!(!detector.is_on_probation(0) && !detector.record_failure(at(400), 0));
}
