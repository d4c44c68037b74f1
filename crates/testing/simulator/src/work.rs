//! How much work a task is: distributions with a mean of one, from a library.

use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use rand_pcg::Pcg64Mcg;

/// A distribution of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// All alike.
    Fixed,
    /// Exponential.
    Exponential,
    /// Lognormal, with this spread of the logarithm.
    Lognormal(f64),
    /// Pareto, with this shape above 1.
    Pareto(f64),
    /// This part is so many times as long as the others.
    Bimodal(f64, f64),
}

impl Work {
    /// One draw.
    pub fn draw(self, chance: &mut Pcg64Mcg) -> f64 {
        match self {
            Self::Fixed => 1.0,
            Self::Exponential => Exp1.sample(chance),
            Self::Lognormal(spread) => {
                // A spread that is no number has none.
                LogNormal::new(-spread * spread / 2.0, spread).map_or(1.0, |own| own.sample(chance))
            }
            Self::Pareto(shape) => {
                Pareto::new((shape - 1.0) / shape, shape).map_or(1.0, |own| own.sample(chance))
            }
            Self::Bimodal(part, times) => {
                let short = 1.0 / (1.0 - part + part * times);
                if chance.random::<f64>() < part {
                    short * times
                } else {
                    short
                }
            }
        }
    }

    /// The mean of its square, where it is finite.
    pub fn square(self) -> f64 {
        match self {
            Self::Fixed => 1.0,
            Self::Exponential => 2.0,
            Self::Lognormal(spread) => (spread * spread).exp(),
            Self::Pareto(shape) if shape > 2.0 => (shape - 1.0).powi(2) / (shape * (shape - 2.0)),
            Self::Pareto(_) => f64::INFINITY,
            Self::Bimodal(part, times) => {
                (1.0 - part + part * times * times) / (1.0 - part + part * times).powi(2)
            }
        }
    }
}
