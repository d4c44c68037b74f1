//! The choices about trying again.

use lynxtally::{Instant, Pcg, Span};
use lynxtally_retry::{Backoff, Budget, OutlierLimits, Outliers};

#[test]
fn repeats_are_a_part_of_what_succeeds_once_the_savings_are_gone() {
    let mut budget = Budget::new(10, 3);
    assert_eq!((0..100).filter(|_| budget.pay()).count(), 3);
    let repeats = (0..1000).filter(|_| {
        budget.succeeded();
        budget.pay()
    });
    assert_eq!(repeats.count(), 100);
}

#[test]
fn waits_grow_to_their_bound_and_many_that_failed_together_do_not_come_back_together() {
    let (first, most) = (Span::from_millis(100), Span::from_millis(5000));
    let mut chance = Pcg::new(3);
    let mut all: Vec<Backoff> = (0..1000).map(|_| Backoff::new(first, most)).collect();
    let mean = |waits: &[Span]| waits.iter().map(|wait| wait.secs()).sum::<f64>() / waits.len() as f64;
    let mut means = Vec::new();
    for _ in 0..12 {
        let waits: Vec<Span> = all.iter_mut().map(|one| one.next(&mut chance)).collect();
        assert!(waits.iter().all(|wait| (first..=most).contains(wait)));
        means.push(mean(&waits));
        // Of a thousand no more than a few fall into any fiftieth of the spread.
        if means.len() == 2 {
            let fullest = (0..50).map(|n| {
                let from = Span::from_millis(100 + n * 16);
                waits.iter().filter(|wait| (from..from + Span::from_millis(16)).contains(wait)).count()
            });
            assert!(fullest.max() < Some(120));
        }
    }
    assert!(means.windows(2).take(5).all(|pair| pair[0] < pair[1]), "{means:?}");
    all[0].reset();
    assert!(all[0].next(&mut chance) <= first * 3.0);
}

#[test]
fn one_that_fails_again_and_again_is_out_longer_each_time_but_never_too_many() {
    let at = |millis: u64| Instant::from_micros(millis * 1000);
    let (out, out_most) = (Span::from_millis(100), Span::from_millis(300));
    let mut all = Outliers::new(4, OutlierLimits { failures: 2, out, out_most, share: 0.5, proven: 2 });
    assert!(!all.failed(at(0), 0) && all.failed(at(0), 0));
    assert!(all.out(at(99), 0) && !all.out(at(100), 0) && all.on_trial(0));
    // On trial once is enough; and it stays out twice as long.
    assert!(all.failed(at(100), 0) && all.out(at(299), 0) && !all.out(at(300), 0));
    assert!(!all.failed(at(200), 1) && all.failed(at(200), 1));
    assert!(!all.failed(at(200), 2) && !all.failed(at(200), 2), "half of them are out already");
    all.succeeded(0);
    assert!(all.on_trial(0));
    all.succeeded(0);
    assert!(!all.on_trial(0) && !all.failed(at(400), 0));
}
