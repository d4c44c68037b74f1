//! Paired comparisons and bootstrap intervals of small samples.

use lynxtally_experiment::stats::*;

#[test]
fn an_unpaired_difference_within_the_noise_is_inconclusive_and_a_paired_one_is_detected() {
    let noise = |n: u64| f64::from((n.wrapping_mul(2_654_435_761) >> 16) as u16) / 65536.0;
    let one: Vec<f64> = (0..20).map(noise).collect();
    let same_distribution: Vec<f64> = (100..120).map(noise).collect();
    let shifted: Vec<f64> = one.iter().map(|x| x + 0.01).collect();
    assert_eq!(compare_paired(&one, &same_distribution).1, Verdict::Inconclusive);
    // The difference of 0.01 is far smaller than the variation within a sample; only the pairing reveals it.
    assert_eq!(compare_paired(&shifted, &one).1, Verdict::Better);
    assert_eq!(compare_paired(&one, &shifted).1, Verdict::Worse);
    assert_eq!(compare_paired(&[1.0], &[0.0]).1, Verdict::Inconclusive);
    let interval = bootstrap_interval(&one);
    assert!(interval.low < interval.mean && interval.mean < interval.high);
}
