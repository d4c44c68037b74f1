//! Honest statistics: paired seeds, bootstrap intervals, and a comparison that says when it can't tell.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;

/// A mean and the interval that holds nineteen of twenty bootstrap means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// The lower end.
    pub low: f64,
    /// The upper end.
    pub high: f64,
}

const DRAWS: usize = 2000;

/// The mean of a sample, with its bootstrap interval. Source: B. Efron, "Bootstrap Methods" (1979), the percentile form.
pub fn interval(sample: &[f64]) -> Interval {
    let count = sample.len().max(1);
    let mean = sample.iter().sum::<f64>() / count as f64;
    let mut chance = Pcg64Mcg::seed_from_u64(1);
    let mut means: Vec<f64> = (0..DRAWS)
        .map(|_| {
            (0..sample.len()).map(|_| sample[chance.random_range(0..sample.len())]).sum::<f64>()
                / count as f64
        })
        .collect();
    means.sort_unstable_by(f64::total_cmp);
    let at = |part: f64| means[((DRAWS as f64 * part) as usize).min(DRAWS - 1)];
    Interval { mean, low: at(0.025), high: at(0.975) }
}

/// What a comparison says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The first is better.
    Better,
    /// It is worse.
    Worse,
    /// The seeds do not tell.
    CantTell,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Better => "better",
            Self::Worse => "worse",
            Self::CantTell => "can't tell",
        })
    }
}

/// Compares two samples of the same seeds, pair by pair.
pub fn compare(one: &[f64], other: &[f64]) -> (Interval, Verdict) {
    let pairs: Vec<f64> = one.iter().zip(other).map(|(one, other)| one - other).collect();
    let interval = interval(&pairs);
    let verdict = match interval {
        // Fewer than three pairs say nothing of how they spread.
        _ if pairs.len() < 3 => Verdict::CantTell,
        Interval { low, .. } if low > 0.0 => Verdict::Better,
        Interval { high, .. } if high < 0.0 => Verdict::Worse,
        _ => Verdict::CantTell,
    };
    (interval, verdict)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_difference_smaller_than_its_spread_is_not_told_and_a_paired_one_is() {
        let noise = |n: u64| f64::from((n.wrapping_mul(2_654_435_761) >> 16) as u16) / 65536.0;
        let one: Vec<f64> = (0..20).map(noise).collect();
        let same: Vec<f64> = (100..120).map(noise).collect();
        let more: Vec<f64> = one.iter().map(|x| x + 0.01).collect();
        assert_eq!(compare(&one, &same).1, Verdict::CantTell);
        // Between seeds they differ far more than by this: only the pairs show it.
        assert_eq!(compare(&more, &one).1, Verdict::Better);
        assert_eq!(compare(&one, &more).1, Verdict::Worse);
        assert_eq!(compare(&[1.0], &[0.0]).1, Verdict::CantTell);
        let told = interval(&one);
        assert!(told.low < told.mean && told.mean < told.high);
    }
}
