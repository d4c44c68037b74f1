//! What can be told from few runs.

use lynxtally_experiment::stats::*;

#[test]
fn a_difference_smaller_than_its_spread_is_not_told_and_a_paired_one_is() {
    let noise = |n: u64| f64::from((n.wrapping_mul(2_654_435_761) >> 16) as u16) / 65536.0;
    let one: Vec<f64> = (0..20).map(noise).collect();
    let same: Vec<f64> = (100..120).map(noise).collect();
    let more: Vec<f64> = one.iter().map(|x| x + 0.01).collect();
    assert_eq!(compare_paired(&one, &same).1, Verdict::Inconclusive);
    // Between seeds they differ far more than by this: only the pairs show it.
    assert_eq!(compare_paired(&more, &one).1, Verdict::Better);
    assert_eq!(compare_paired(&one, &more).1, Verdict::Worse);
    assert_eq!(compare_paired(&[1.0], &[0.0]).1, Verdict::Inconclusive);
    let told = bootstrap_interval(&one);
    assert!(told.low < told.mean && told.mean < told.high);
}
