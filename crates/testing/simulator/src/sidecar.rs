//! Sidecars: the load balancer and retry policy beside each client. They choose the node of an attempt, and whether there
//! is another attempt.

use lynxtally::{Instant, Pcg};
use lynxtally_retry::{OutlierDetector, OutlierLimits, RetryBudget};

/// How a sidecar chooses a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadBalancing {
    /// One after the other.
    RoundRobin,
    /// By chance.
    Random,
    /// The one with the fewest outstanding attempts.
    LeastOutstanding,
    /// Of two by chance the one with fewer outstanding. Source: M. Mitzenmacher (1996).
    TwoChoices,
    /// Always the same for the same client request.
    Hash,
}

/// When a sidecar retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Never.
    Never,
    /// Up to so many attempts, whatever happens.
    Unbudgeted {
        /// Attempts, the first included.
        max_attempts: u32,
    },
    /// The same, as far as a retry budget allows.
    Budgeted {
        /// Attempts, the first included.
        max_attempts: u32,
        /// So many successes pay for a retry.
        successes_per_retry: u32,
    },
}

/// How an attempt ended, as far as its node is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a result.
    Succeeded,
    /// The node rejected it.
    Rejected,
    /// The node failed.
    Failed,
}

/// Retries that a budget saves up.
const MAX_SAVED_RETRIES: u32 = 10;
/// Draws until an eligible node is searched for in order.
const RANDOM_DRAWS: usize = 8;

/// A sidecar.
pub struct Sidecar {
    balancing: LoadBalancing,
    retry_policy: RetryPolicy,
    budget: RetryBudget,
    outliers: Option<OutlierDetector>,
    /// Attempts under way by node.
    outstanding: Vec<u32>,
    /// The nodes it knows of.
    nodes: Vec<u16>,
    /// Where round robin is.
    position: usize,
    random: Pcg,
}

impl Sidecar {
    /// One that knows of all nodes.
    pub fn new(
        balancing: LoadBalancing,
        retry_policy: RetryPolicy,
        outliers: Option<OutlierLimits>,
        nodes: usize,
        seed: u64,
    ) -> Self {
        let successes_per_retry = match retry_policy {
            RetryPolicy::Budgeted { successes_per_retry, .. } => successes_per_retry,
            RetryPolicy::Never | RetryPolicy::Unbudgeted { .. } => 1,
        };
        let mut random = Pcg::new(seed);
        let position = (random.unit() * nodes as f64) as usize;
        Self {
            balancing,
            retry_policy,
            budget: RetryBudget::new(successes_per_retry, MAX_SAVED_RETRIES),
            outliers: outliers.map(|limits| OutlierDetector::new(nodes, limits)),
            outstanding: vec![0; nodes],
            nodes: (0..nodes as u16).collect(),
            position,
            random,
        }
    }

    /// The node for an attempt, none of those tried where there is another.
    pub fn choose(&mut self, now: Instant, client_request: u64, tried: &[u16]) -> Option<u16> {
        let count = self.nodes.len();
        if count == 0 {
            return None;
        }
        let chosen = match self.balancing {
            LoadBalancing::RoundRobin => self.choose_next(now, tried),
            LoadBalancing::Random => self.draw(now, tried).or_else(|| self.first_eligible(now, tried)),
            LoadBalancing::LeastOutstanding => {
                let eligible = self.nodes.iter().copied().filter(|node| self.is_eligible(now, tried, *node));
                eligible.min_by_key(|node| (self.outstanding_of(*node), *node))
            }
            LoadBalancing::TwoChoices => self.choose_of_two(now, tried),
            LoadBalancing::Hash => {
                let start = (client_request.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize;
                let mut nodes = (0..count).map(|n| self.nodes[(start + n) % count]);
                nodes.find(|node| self.is_eligible(now, tried, *node))
            }
        };
        // Where all that it knows of are ejected or tried, any is better than none.
        let chosen = chosen.or_else(|| self.nodes.first().copied())?;
        self.outstanding[usize::from(chosen)] += 1;
        Some(chosen)
    }

    fn is_eligible(&self, now: Instant, tried: &[u16], node: u16) -> bool {
        let is_ejected = |outliers: &OutlierDetector| outliers.is_ejected(now, usize::from(node));
        !tried.contains(&node) && !self.outliers.as_ref().is_some_and(is_ejected)
    }

    fn outstanding_of(&self, node: u16) -> u32 {
        self.outstanding[usize::from(node)]
    }

    fn choose_next(&mut self, now: Instant, tried: &[u16]) -> Option<u16> {
        let count = self.nodes.len();
        for _ in 0..count {
            self.position = (self.position + 1) % count;
            let node = self.nodes[self.position];
            if self.is_eligible(now, tried, node) {
                return Some(node);
            }
        }
        None
    }

    fn choose_of_two(&mut self, now: Instant, tried: &[u16]) -> Option<u16> {
        let first = self.draw(now, tried);
        let second = self.draw(now, tried);
        match (first, second) {
            (Some(a), Some(b)) => Some(if self.outstanding_of(a) <= self.outstanding_of(b) { a } else { b }),
            (one, other) => one.or(other).or_else(|| self.first_eligible(now, tried)),
        }
    }

    /// An eligible node by chance. A few draws find one wherever most are.
    fn draw(&mut self, now: Instant, tried: &[u16]) -> Option<u16> {
        let count = self.nodes.len() as f64;
        (0..RANDOM_DRAWS).find_map(|_| {
            let node = self.nodes[(self.random.unit() * count) as usize];
            self.is_eligible(now, tried, node).then_some(node)
        })
    }

    fn first_eligible(&self, now: Instant, tried: &[u16]) -> Option<u16> {
        self.nodes.iter().copied().find(|node| self.is_eligible(now, tried, *node))
    }

    /// An attempt ended.
    pub fn attempt_ended(&mut self, now: Instant, node: u16, end: AttemptEnd) {
        let node = usize::from(node);
        self.outstanding[node] = self.outstanding[node].saturating_sub(1);
        if end == AttemptEnd::Succeeded {
            self.budget.record_success();
        }
        let Some(outliers) = &mut self.outliers else { return };
        match end {
            AttemptEnd::Succeeded => outliers.record_success(node),
            AttemptEnd::Failed => {
                outliers.record_failure(now, node);
            }
            AttemptEnd::Rejected => {}
        }
    }

    /// Whether there is another attempt after so many; a retry is paid from the budget.
    pub fn may_retry(&mut self, attempts: u32) -> bool {
        match self.retry_policy {
            RetryPolicy::Never => false,
            RetryPolicy::Unbudgeted { max_attempts } => attempts < max_attempts,
            RetryPolicy::Budgeted { max_attempts, .. } => attempts < max_attempts && self.budget.try_spend(),
        }
    }
}
