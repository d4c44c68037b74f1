//! Outlier detection: servers are ejected for some time after consecutive failures.

use lynxtally::{Instant, Span};

/// The ejection time doubles at most this many times.
const MAX_DOUBLINGS: u32 = 16;

/// The parameters of outlier detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierLimits {
    /// The number of consecutive failures after which a server is ejected.
    pub consecutive_failures: u32,
    /// How long a server is ejected the first time. The time doubles with each further ejection until a probation ends.
    pub base_ejection_time: Span,
    /// The longest time for which a server is ejected.
    pub max_ejection_time: Span,
    /// The largest fraction of the servers that may be ejected at the same time.
    pub max_ejected_fraction: f64,
    /// After an ejection, a server is on probation until this many requests to it have succeeded.
    pub probation_successes: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Server {
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// How many more successes end the probation; zero if the server is not on probation.
    probation_left: u32,
}

/// Decides which servers are ejected. Servers are identified by their index. If many servers fail at the same time, the
/// cause is probably elsewhere, so only a limited fraction is ejected; otherwise the remaining servers would be
/// overloaded as well.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    limits: OutlierLimits,
    servers: Vec<Server>,
}

impl OutlierDetector {
    /// Creates a detector for `count` servers, of which none is ejected.
    pub fn new(count: usize, limits: OutlierLimits) -> Self {
        Self { limits, servers: vec![Server::default(); count] }
    }

    /// Whether a server is ejected now.
    pub fn is_ejected(&self, now: Instant, server: usize) -> bool {
        self.servers[server].ejected_until.is_some_and(|until| until > now)
    }

    /// Whether a server is on probation, during which it should get only a few requests.
    pub fn is_on_probation(&self, server: usize) -> bool {
        self.servers[server].probation_left > 0
    }

    /// Records that a request to a server succeeded.
    pub fn record_success(&mut self, server: usize) {
        let server = &mut self.servers[server];
        server.failures_in_row = 0;
        server.probation_left = server.probation_left.saturating_sub(1);
        if server.probation_left == 0 {
            server.ejections = 0;
            server.ejected_until = None;
        }
    }

    /// Records that a request to a server failed. Returns whether the server is ejected because of this failure.
    pub fn record_failure(&mut self, now: Instant, server: usize) -> bool {
        let may_eject = self.may_eject_one_more(now);
        let OutlierLimits { consecutive_failures, base_ejection_time, max_ejection_time, .. } = self.limits;
        let server = &mut self.servers[server];
        server.failures_in_row += 1;
        // A single failure on probation ejects the server again.
        let on_probation = server.probation_left > 0;
        if !may_eject || (server.failures_in_row < consecutive_failures && !on_probation) {
            return false;
        }
        let doublings = server.ejections.min(MAX_DOUBLINGS);
        let ejection_time = (base_ejection_time * f64::from(1_u32 << doublings)).min(max_ejection_time);
        server.ejected_until = Some(now + ejection_time);
        server.failures_in_row = 0;
        server.probation_left = self.limits.probation_successes;
        server.ejections += 1;
        true
    }

    fn may_eject_one_more(&self, now: Instant) -> bool {
        let ejected = (0..self.servers.len()).filter(|server| self.is_ejected(now, *server)).count();
        ((ejected + 1) as f64) <= self.servers.len() as f64 * self.limits.max_ejected_fraction
    }
}
