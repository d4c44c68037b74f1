//! Which upstream takes the next stream: of two picked by chance the one with the least outstanding octets over its
//! learned rate. Source of the two choices: M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing"
//! (1996). One that fails again and again is left out for a span that grows, but never more than a share of them all,
//! and comes back with few streams at first.

use lynxtally::{Instant, Pcg, Span};
use lynxtally_retry::{OutlierDetector, OutlierLimits};

#[derive(Clone, Debug)]
struct Upstream {
    outstanding: u64,
    streams: u32,
    /// Octets a second, learned; 0 where nothing is known.
    rate: f64,
}

/// The upstreams.
#[derive(Clone, Debug)]
pub struct Upstreams {
    outliers: OutlierDetector,
    all: Vec<Upstream>,
    chance: Pcg,
}

const GAIN: f64 = 0.125;

impl Upstreams {
    /// So many, all well.
    pub fn new(count: usize, limits: OutlierLimits, seed: u64) -> Self {
        let one = Upstream { outstanding: 0, streams: 0, rate: 0.0 };
        Self { outliers: OutlierDetector::new(count, limits), all: vec![one; count], chance: Pcg::new(seed) }
    }

    fn fit(&self, now: Instant, n: usize) -> bool {
        !self.outliers.is_ejected(now, n) && (!self.outliers.is_on_probation(n) || self.all[n].streams == 0)
    }

    /// How long an upstream would take for what it has, in seconds; one that is not known is taken for the mean.
    fn wait(&self, n: usize) -> f64 {
        let known = self.all.iter().filter(|one| one.rate > 0.0);
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), one| (sum + one.rate, count + 1.0));
        let mean = if count > 0.0 { sum / count } else { 1.0 };
        let one = &self.all[n];
        let rate = if one.rate > 0.0 { one.rate } else { mean };
        (one.outstanding as f64 + f64::from(one.streams)) / rate
    }

    /// The one that takes the next stream, but for those in `not`; none where there is no other.
    pub fn choose(&mut self, now: Instant, not: &[usize]) -> Option<usize> {
        let fit: Vec<usize> = (0..self.all.len()).filter(|n| !not.contains(n) && self.fit(now, *n)).collect();
        let pick = |chance: &mut Pcg, from: usize| (chance.unit() * from as f64) as usize;
        let chosen = match fit.len() {
            0 => return None,
            1 => fit[0],
            count => {
                let a = pick(&mut self.chance, count);
                let b = (a + 1 + pick(&mut self.chance, count - 1)) % count;
                let (a, b) = (fit[a], fit[b]);
                if self.wait(a) <= self.wait(b) {
                    a
                } else {
                    b
                }
            }
        };
        self.all[chosen].streams += 1;
        Some(chosen)
    }

    /// Whether there is one that could take a stream, but for those in `not`.
    pub fn any(&self, now: Instant, not: &[usize]) -> bool {
        (0..self.all.len()).any(|n| !not.contains(&n) && self.fit(now, n))
    }

    /// So many more octets wait for an upstream, or fewer.
    pub fn outstanding(&mut self, n: usize, more: u64, fewer: u64) {
        self.all[n].outstanding = (self.all[n].outstanding + more).saturating_sub(fewer);
    }

    /// A stream ended well: so many octets in so long.
    pub fn succeeded(&mut self, n: usize, octets: u64, took: Span) {
        let one = &mut self.all[n];
        one.streams = one.streams.saturating_sub(1);
        let rate = octets as f64 / took.secs().max(1e-6);
        one.rate = if one.rate > 0.0 { one.rate + (rate - one.rate) * GAIN } else { rate };
        self.outliers.record_success(n);
    }

    /// A stream ended by nobody's fault that is known: its client went, or its time ran out.
    pub fn ended(&mut self, n: usize) {
        self.all[n].streams = self.all[n].streams.saturating_sub(1);
    }

    /// A stream failed by the upstream's fault; tells whether it is left out from now on.
    pub fn failed(&mut self, now: Instant, n: usize) -> bool {
        self.ended(n);
        self.outliers.record_failure(now, n)
    }
}
