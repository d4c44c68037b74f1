//! Model of the sidecars: the load balancer and retry policy that run next to each client. A sidecar chooses the node of
//! each attempt and decides whether to retry.

use lynxtally::{Instant, Pcg};
use lynxtally_retry::{OutlierDetector, OutlierLimits, RetryBudget};

/// How a sidecar chooses a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadBalancing {
    /// Each eligible node in turn.
    RoundRobin,
    /// A uniformly random eligible node.
    Random,
    /// The eligible node with the fewest outstanding attempts of this sidecar.
    LeastOutstanding,
    /// Of two random eligible nodes, the one with fewer outstanding attempts (power of two choices). Source: M. Mitzenmacher
    /// (1996).
    TwoChoices,
    /// The node that a hash of the client request selects, or the next eligible one.
    Hash,
}

/// When a sidecar retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Requests are never retried.
    Never,
    /// Retries up to a maximum number of attempts, without a budget.
    Unbudgeted {
        /// Maximum number of attempts, including the first.
        max_attempts: u32,
    },
    /// Retries up to a maximum number of attempts, as long as the retry budget of the sidecar is not used up.
    Budgeted {
        /// Maximum number of attempts, including the first.
        max_attempts: u32,
        /// Number of successes that add one retry to the budget.
        successes_per_retry: u32,
    },
}

/// How an attempt ended, as the sidecar counts it for its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The node returned a result.
    Succeeded,
    /// The node rejected it.
    Rejected,
    /// The node failed, its connection broke, or the client's deadline passed.
    Failed,
}

/// Maximum number of retries that a retry budget accumulates.
const MAX_SAVED_RETRIES: u32 = 10;
/// Random draws before the search falls back to the first eligible node in order.
const RANDOM_DRAWS: usize = 8;

/// The state of one sidecar.
pub struct Sidecar {
    balancing: LoadBalancing,
    retry_policy: RetryPolicy,
    budget: RetryBudget,
    outliers: Option<OutlierDetector>,
    /// Outstanding attempts by node.
    outstanding: Vec<u32>,
    /// The nodes that the sidecar balances over.
    nodes: Vec<u16>,
    /// Index in `nodes` of the node that round robin chose last.
    position: usize,
    random: Pcg,
}

impl Sidecar {
    /// Creates a sidecar that balances over `nodes` nodes.
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

    /// Chooses the node for an attempt and counts the attempt as outstanding. Nodes in `tried` and ejected nodes are chosen
    /// only if no other node is left.
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
        // If every node is ejected or tried already, an attempt at the first one is better than none.
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

    /// Draws a random eligible node. If most nodes are eligible, a few draws find one; returns `None` if they don't.
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

    /// Records the end of an attempt in the outstanding attempts, the retry budget and the outlier detector.
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

    /// Whether a request may be retried after `attempts` attempts. With a budgeted policy, a permitted retry is taken out of
    /// the budget.
    pub fn may_retry(&mut self, attempts: u32) -> bool {
        match self.retry_policy {
            RetryPolicy::Never => false,
            RetryPolicy::Unbudgeted { max_attempts } => attempts < max_attempts,
            RetryPolicy::Budgeted { max_attempts, .. } => attempts < max_attempts && self.budget.try_spend(),
        }
    }
}
