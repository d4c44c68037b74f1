//! Sidecars: which node a try goes to, and whether there is another one.

use lynxtally::{Instant, Pcg};
use lynxtally_retry::{OutlierDetector, OutlierLimits, RetryBudget};

/// How a sidecar chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// One after the other.
    RoundRobin,
    /// By chance.
    Random,
    /// The one with the fewest tries out.
    LeastOutstanding,
    /// Of two by chance the one with fewer out. Source: M. Mitzenmacher (1996).
    TwoChoices,
    /// Always the same for the same customer.
    Hash,
}

/// When it tries again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Again {
    /// Never.
    Never,
    /// Up to so many tries, whatever happens.
    Limitless(u32),
    /// The same, from a budget: so many successes pay for one.
    Budget(u32, u32),
}

/// A sidecar.
pub struct Sidecar {
    habit: Habit,
    again: Again,
    budget: RetryBudget,
    outliers: Option<OutlierDetector>,
    outstanding: Vec<u32>,
    /// The nodes it knows of.
    pub list: Vec<u16>,
    turn: usize,
    chance: Pcg,
}

/// Repeats that a budget saves up.
const SAVED: u32 = 10;

impl Sidecar {
    /// One that knows of all nodes.
    pub fn new(habit: Habit, again: Again, outliers: Option<OutlierLimits>, nodes: usize, seed: u64) -> Self {
        let price = if let Again::Budget(_, price) = again { price } else { 1 };
        let mut chance = Pcg::new(seed);
        let turn = (chance.unit() * nodes as f64) as usize;
        Self {
            habit,
            again,
            budget: RetryBudget::new(price, SAVED),
            outliers: outliers.map(|limits| OutlierDetector::new(nodes, limits)),
            outstanding: vec![0; nodes],
            list: (0..nodes as u16).collect(),
            turn,
            chance,
        }
    }

    fn out(&self, now: Instant, node: u16) -> bool {
        self.outliers.as_ref().is_some_and(|outliers| outliers.is_ejected(now, usize::from(node)))
    }

    /// The node for a try, none of those tried where there is another.
    pub fn choose(&mut self, now: Instant, customer: u64, tried: &[u16]) -> Option<u16> {
        let fit = |own: &Self, node: u16| !tried.contains(&node) && !own.out(now, node);
        let count = self.list.len();
        if count == 0 {
            return None;
        }
        let pick = |own: &mut Self| {
            // A few draws find one that fits, wherever most do.
            (0..8).find_map(|_| {
                let node = own.list[(own.chance.unit() * count as f64) as usize];
                fit(own, node).then_some(node)
            })
        };
        let any = |own: &Self| own.list.iter().copied().find(|node| fit(own, *node));
        let chosen = match self.habit {
            Habit::RoundRobin => (0..count).find_map(|_| {
                self.turn = (self.turn + 1) % count;
                let node = self.list[self.turn];
                fit(self, node).then_some(node)
            }),
            Habit::Random => pick(self).or_else(|| any(self)),
            Habit::LeastOutstanding => {
                let fitting = self.list.iter().copied().filter(|node| fit(self, *node));
                fitting.min_by_key(|node| (self.outstanding[usize::from(*node)], *node))
            }
            Habit::TwoChoices => match (pick(self), pick(self)) {
                (Some(a), Some(b)) => {
                    let out = |node: u16| self.outstanding[usize::from(node)];
                    Some(if out(a) <= out(b) { a } else { b })
                }
                (one, other) => one.or(other).or_else(|| any(self)),
            },
            Habit::Hash => {
                let start = (customer.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize;
                (0..count).map(|n| self.list[(start + n) % count]).find(|node| fit(self, *node))
            }
        };
        // Where all that it knows of are out or tried, any is better than none.
        let chosen = chosen.or_else(|| self.list.first().copied())?;
        self.outstanding[usize::from(chosen)] += 1;
        Some(chosen)
    }

    /// A try ended: well, or turned away, or failed.
    pub fn ended(&mut self, now: Instant, node: u16, well: bool, failed: bool) {
        let node = usize::from(node);
        self.outstanding[node] = self.outstanding[node].saturating_sub(1);
        if well {
            self.budget.record_success();
        }
        if let Some(outliers) = &mut self.outliers {
            if failed {
                outliers.record_failure(now, node);
            } else if well {
                outliers.record_success(node);
            }
        }
    }

    /// Whether there is another try after so many.
    pub fn again(&mut self, tries: u32) -> bool {
        match self.again {
            Again::Never => false,
            Again::Limitless(most) => tries < most,
            Again::Budget(most, _) => tries < most && self.budget.try_spend(),
        }
    }
}
