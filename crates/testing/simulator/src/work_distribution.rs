//! How much work a request is: distributions with a mean of one, from a library.

use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use rand_pcg::Pcg64Mcg;

/// A distribution of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkDistribution {
    /// All alike.
    Fixed,
    /// Exponential.
    Exponential,
    /// Lognormal, with this standard deviation of the logarithm.
    Lognormal(f64),
    /// Pareto, with this shape above 1.
    Pareto(f64),
    /// Short and long requests.
    Bimodal {
        /// The fraction of long ones.
        long_fraction: f64,
        /// How many times as long they are.
        long_factor: f64,
    },
}

impl WorkDistribution {
    /// One sample.
    pub fn sample(self, random: &mut Pcg64Mcg) -> f64 {
        match self {
            Self::Fixed => 1.0,
            Self::Exponential => Exp1.sample(random),
            Self::Lognormal(spread) => {
                // A deviation that is no number counts as none.
                LogNormal::new(-spread * spread / 2.0, spread).map_or(1.0, |own| own.sample(random))
            }
            Self::Pareto(shape) => {
                Pareto::new((shape - 1.0) / shape, shape).map_or(1.0, |own| own.sample(random))
            }
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

    /// The mean of its square, where it is finite.
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
