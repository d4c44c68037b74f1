//! Statistics of experiments: bootstrap confidence intervals, and comparisons paired by seed that are reported as
//! inconclusive when the interval of the difference contains zero.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;

/// A sample mean and its 95 % bootstrap confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// The sample mean.
    pub mean: f64,
    /// The 2.5th percentile of the bootstrap means.
    pub low: f64,
    /// The 97.5th percentile of the bootstrap means.
    pub high: f64,
}

/// Number of bootstrap resamples.
const RESAMPLES: usize = 2000;

/// The mean of a sample with its percentile bootstrap interval; the same sample always gives the same interval.
/// Source: B. Efron, "Bootstrap Methods" (1979).
pub fn bootstrap_interval(sample: &[f64]) -> Interval {
    let count = sample.len().max(1);
    let mean = sample.iter().sum::<f64>() / count as f64;
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            (0..sample.len()).map(|_| sample[random.random_range(0..sample.len())]).sum::<f64>()
                / count as f64
        })
        .collect();
    means.sort_unstable_by(f64::total_cmp);
    let percentile = |fraction: f64| means[((RESAMPLES as f64 * fraction) as usize).min(RESAMPLES - 1)];
    Interval { mean, low: percentile(0.025), high: percentile(0.975) }
}

/// The result of a comparison of two samples; higher values are better.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The first sample is better: the interval of the differences lies above zero.
    Better,
    /// The first sample is worse: the interval of the differences lies below zero.
    Worse,
    /// The interval contains zero, or there are fewer than three pairs.
    Inconclusive,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Better => "better",
            Self::Worse => "worse",
            Self::Inconclusive => "can't tell",
        })
    }
}

/// Compares two samples whose values at the same index come from the same seed. Returns the interval of the differences
/// `one - other`. Pairing removes the variation between seeds, which is often larger than the difference.
pub fn compare_paired(one: &[f64], other: &[f64]) -> (Interval, Verdict) {
    let differences: Vec<f64> = one.iter().zip(other).map(|(one, other)| one - other).collect();
    let interval = bootstrap_interval(&differences);
    let verdict = match interval {
        // Fewer than three pairs say too little about the variance of the differences.
        _ if differences.len() < 3 => Verdict::Inconclusive,
        Interval { low, .. } if low > 0.0 => Verdict::Better,
        Interval { high, .. } if high < 0.0 => Verdict::Worse,
        _ => Verdict::Inconclusive,
    };
    (interval, verdict)
}
