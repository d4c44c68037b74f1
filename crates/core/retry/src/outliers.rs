//! Outlier detection: servers that fail in a row are ejected for a while.

use lynxtally::{Instant, Span};

/// The ejection time doubles no more often than this.
const MAX_DOUBLINGS: u32 = 16;

/// What outlier detection is held to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierLimits {
    /// So many failures in a row eject a server.
    pub consecutive_failures: u32,
    /// For so long the first time; twice as long each time again.
    pub base_ejection_time: Span,
    /// And no longer than this.
    pub max_ejection_time: Span,
    /// No more than this fraction of the servers is ejected at once.
    pub max_ejected_fraction: f64,
    /// A server that came back is on probation until so many requests succeeded.
    pub probation_successes: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Server {
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Successes until it is off probation.
    probation_left: u32,
}

/// Which servers are ejected, by their index. Where many fail together the cause is probably not theirs: never more than
/// a fraction is ejected, so that the others are not overloaded in turn.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    limits: OutlierLimits,
    servers: Vec<Server>,
}

impl OutlierDetector {
    /// So many servers, none ejected.
    pub fn new(count: usize, limits: OutlierLimits) -> Self {
        Self { limits, servers: vec![Server::default(); count] }
    }

    /// Whether a server is ejected now.
    pub fn is_ejected(&self, now: Instant, server: usize) -> bool {
        self.servers[server].ejected_until.is_some_and(|until| until > now)
    }

    /// Whether a server is on probation: it is to be given little.
    pub fn is_on_probation(&self, server: usize) -> bool {
        self.servers[server].probation_left > 0
    }

    /// A request to a server succeeded.
    pub fn record_success(&mut self, server: usize) {
        let server = &mut self.servers[server];
        server.failures_in_row = 0;
        server.probation_left = server.probation_left.saturating_sub(1);
        if server.probation_left == 0 {
            server.ejections = 0;
            server.ejected_until = None;
        }
    }

    /// A request to a server failed; tells whether it is ejected from now on.
    pub fn record_failure(&mut self, now: Instant, server: usize) -> bool {
        let may_eject = self.may_eject_one_more(now);
        let OutlierLimits { consecutive_failures, base_ejection_time, max_ejection_time, .. } = self.limits;
        let server = &mut self.servers[server];
        server.failures_in_row += 1;
        // One on probation has no second chance.
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
