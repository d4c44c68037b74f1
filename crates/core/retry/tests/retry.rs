//! Retry budgets, backoff and outlier detection.

use lynxtally::{Instant, Pcg, Span};
use lynxtally_retry::{Backoff, OutlierDetector, OutlierLimits, RetryBudget};

/// All requests fail, and each client retries. Once the saved retries are gone, retries are a tenth of what succeeds.
#[test]
fn retries_are_a_part_of_what_succeeds_once_the_savings_are_gone() {
    let mut budget = RetryBudget::new(10, 3);
    assert_eq!((0..100).filter(|_| budget.try_spend()).count(), 3);
    let retries = (0..1000).filter(|_| {
        budget.record_success();
        budget.try_spend()
    });
    assert_eq!(retries.count(), 100);
}

/// A server restarts and a thousand clients fail at once. Their delays grow, and they do not come back together.
#[test]
fn delays_grow_to_their_bound_and_many_that_failed_together_do_not_come_back_together() {
    let (first, most) = (Span::from_millis(100), Span::from_millis(5000));
    let mut random = Pcg::new(3);
    let mut all: Vec<Backoff> = (0..1000).map(|_| Backoff::new(first, most)).collect();
    let mean = |delays: &[Span]| delays.iter().map(|delay| delay.secs()).sum::<f64>() / delays.len() as f64;
    let mut means = Vec::new();
    for _ in 0..12 {
        let delays: Vec<Span> = all.iter_mut().map(|one| one.next_delay(&mut random)).collect();
        assert!(delays.iter().all(|delay| (first..=most).contains(delay)));
        means.push(mean(&delays));
        // Of a thousand no more than a few fall into any fiftieth of the spread.
        if means.len() == 2 {
            let fullest = (0..50).map(|n| {
                let from = Span::from_millis(100 + n * 16);
                delays.iter().filter(|delay| (from..from + Span::from_millis(16)).contains(delay)).count()
            });
            assert!(fullest.max() < Some(120));
        }
    }
    assert!(means.windows(2).take(5).all(|pair| pair[0] < pair[1]), "{means:?}");
    all[0].reset();
    assert!(all[0].next_delay(&mut random) <= first * 3.0);
}

/// A server fails in a row and is ejected; it fails again on probation and is ejected for longer. When half of all are
/// ejected, others that fail stay.
#[test]
fn a_server_that_fails_again_is_ejected_for_longer_but_never_too_many_are() {
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
    // On trial once is enough; and it stays out twice as long.
    assert!(
        detector.record_failure(at(100), 0)
            && detector.is_ejected(at(299), 0)
            && !detector.is_ejected(at(300), 0)
    );
    assert!(!detector.record_failure(at(200), 1) && detector.record_failure(at(200), 1));
    assert!(
        !detector.record_failure(at(200), 2) && !detector.record_failure(at(200), 2),
        "half of them are ejected already"
    );
    detector.record_success(0);
    assert!(detector.is_on_probation(0));
    detector.record_success(0);
    assert!(!detector.is_on_probation(0) && !detector.record_failure(at(400), 0));
}
