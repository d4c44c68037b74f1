//! Distributions of the work of a request, scaled to a mean of one. The samples come from the `rand_distr` crate.

use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use rand_pcg::Pcg64Mcg;

/// A distribution with a mean of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkDistribution {
    /// Always one.
    Fixed,
    /// The exponential distribution.
    Exponential,
    /// The lognormal distribution, with this standard deviation of the logarithm.
    Lognormal(f64),
    /// The Pareto distribution, with this shape. The shape must be above 1, or the mean is infinite.
    Pareto(f64),
    /// A mix of requests of two lengths.
    Bimodal {
        /// Fraction of requests that are long.
        long_fraction: f64,
        /// Length of a long request divided by that of a short one.
        long_factor: f64,
    },
}

impl WorkDistribution {
    /// Draws one sample.
    pub fn sample(self, random: &mut Pcg64Mcg) -> f64 {
        match self {
            Self::Fixed => 1.0,
            Self::Exponential => Exp1.sample(random),
            Self::Lognormal(spread) => {
                // The constructor fails only if the deviation isn't finite. Such a deviation counts as zero.
                LogNormal::new(-spread * spread / 2.0, spread)
                    .map_or(1.0, |distribution| distribution.sample(random))
            }
            Self::Pareto(shape) => Pareto::new((shape - 1.0) / shape, shape)
                .map_or(1.0, |distribution| distribution.sample(random)),
            Self::Bimodal { long_fraction, long_factor } => {
                let short = 1.0 / (1.0 - long_fraction + long_fraction * long_factor);
                if random.random::<f64>() < long_fraction {
                    short * long_factor
                } else {
                    short
                }
            }
        }
    }

    /// The mean of the squared samples; infinite for a Pareto distribution with a shape of 2 or less.
    pub fn mean_square(self) -> f64 {
        match self {
            Self::Fixed => 1.0,
            Self::Exponential => 2.0,
            Self::Lognormal(spread) => (spread * spread).exp(),
            Self::Pareto(shape) if shape > 2.0 => (shape - 1.0).powi(2) / (shape * (shape - 2.0)),
            Self::Pareto(_) => f64::INFINITY,
            Self::Bimodal { long_fraction, long_factor } => {
                (1.0 - long_fraction + long_fraction * long_factor * long_factor)
                    / (1.0 - long_fraction + long_fraction * long_factor).powi(2)
            }
        }
    }
}
