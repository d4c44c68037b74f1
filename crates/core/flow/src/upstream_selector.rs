//! Selects the upstream for the next request: of two upstreams drawn at random, the one with the shorter expected
//! drain time, which is its outstanding bytes divided by its learned rate. Source: M. Mitzenmacher, "The Power of Two
//! Choices in Randomized Load Balancing" (1996).
//!
//! An upstream that fails several times in a row is ejected for a time that grows with each ejection, as
//! [`OutlierDetector`] decides. At most a configured fraction of the upstreams is ejected at once. After its ejection an
//! upstream gets one request at a time until enough have succeeded.

use lynxtally::{Instant, Pcg, Span};
use lynxtally_retry::{OutlierDetector, OutlierLimits};

#[derive(Clone, Debug)]
struct Upstream {
    outstanding_bytes: u64,
    requests: u32,
    /// Learned transfer rate in bytes per second; 0 while no request has succeeded.
    rate: f64,
}

/// Selects upstreams, and records how the requests that were sent to them ended.
#[derive(Clone, Debug)]
pub struct UpstreamSelector {
    outliers: OutlierDetector,
    upstreams: Vec<Upstream>,
    random: Pcg,
}

/// Weight of a new sample in the moving average of an upstream's rate.
const RATE_GAIN: f64 = 0.125;

impl UpstreamSelector {
    /// Creates a selector for `count` upstreams, none of them ejected.
    pub fn new(count: usize, limits: OutlierLimits, seed: u64) -> Self {
        let idle = Upstream { outstanding_bytes: 0, requests: 0, rate: 0.0 };
        Self {
            outliers: OutlierDetector::new(count, limits),
            upstreams: vec![idle; count],
            random: Pcg::new(seed),
        }
    }

    fn is_eligible(&self, now: Instant, index: usize) -> bool {
        !self.outliers.is_ejected(now, index)
            && (!self.outliers.is_on_probation(index) || self.upstreams[index].requests == 0)
    }

    /// The expected time in seconds until an upstream has transferred what is outstanding. An upstream whose rate is
    /// unknown is taken to have the mean of the known rates.
    fn drain_seconds(&self, index: usize) -> f64 {
        let known = self.upstreams.iter().filter(|upstream| upstream.rate > 0.0);
        let (sum, count) =
            known.fold((0.0, 0.0), |(sum, count), upstream| (sum + upstream.rate, count + 1.0));
        let mean = if count > 0.0 { sum / count } else { 1.0 };
        let upstream = &self.upstreams[index];
        let rate = if upstream.rate > 0.0 { upstream.rate } else { mean };
        (upstream.outstanding_bytes as f64 + f64::from(upstream.requests)) / rate
    }

    /// Selects an upstream that is not in `excluded`, and counts the request as running there. Returns `None` if no
    /// upstream is eligible.
    pub fn choose(&mut self, now: Instant, excluded: &[usize]) -> Option<usize> {
        let eligible: Vec<usize> = (0..self.upstreams.len())
            .filter(|index| !excluded.contains(index) && self.is_eligible(now, *index))
            .collect();
        let draw_below = |random: &mut Pcg, bound: usize| (random.unit() * bound as f64) as usize;
        let chosen = match eligible.len() {
            0 => return None,
            1 => eligible[0],
            count => {
                let first = draw_below(&mut self.random, count);
                let second = (first + 1 + draw_below(&mut self.random, count - 1)) % count;
                let (first, second) = (eligible[first], eligible[second]);
                if self.drain_seconds(first) <= self.drain_seconds(second) {
                    first
                } else {
                    second
                }
            }
        };
        self.upstreams[chosen].requests += 1;
        Some(chosen)
    }

    /// Whether any upstream that is not in `excluded` is eligible.
    pub fn has_eligible(&self, now: Instant, excluded: &[usize]) -> bool {
        (0..self.upstreams.len()).any(|index| !excluded.contains(&index) && self.is_eligible(now, index))
    }

    /// Adds `added` bytes to those outstanding at an upstream, and subtracts `removed`.
    pub fn adjust_outstanding(&mut self, index: usize, added: u64, removed: u64) {
        let outstanding = &mut self.upstreams[index].outstanding_bytes;
        *outstanding = (*outstanding + added).saturating_sub(removed);
    }

    /// Records a request that succeeded, with the bytes that it transferred and the time that it took.
    pub fn record_success(&mut self, index: usize, bytes: u64, elapsed: Span) {
        let upstream = &mut self.upstreams[index];
        upstream.requests = upstream.requests.saturating_sub(1);
        let rate = bytes as f64 / elapsed.secs().max(1e-6);
        upstream.rate =
            if upstream.rate > 0.0 { upstream.rate + (rate - upstream.rate) * RATE_GAIN } else { rate };
        self.outliers.record_success(index);
    }

    /// Records a request whose end says nothing about the upstream: its client left, or its deadline passed.
    pub fn record_neutral_end(&mut self, index: usize) {
        self.upstreams[index].requests = self.upstreams[index].requests.saturating_sub(1);
    }

    /// Records a request that failed through the upstream's fault, and returns whether the upstream is ejected now.
    pub fn record_failure(&mut self, now: Instant, index: usize) -> bool {
        self.record_neutral_end(index);
        self.outliers.record_failure(now, index)
    }
}
