//! Sends one request at a time, retrying it at one coordinator after another until it has a response.

use lynxtally::{Instant, Span};
use lynxtally_messages::NodeRequest;

/// The request that has no response yet.
#[derive(Debug)]
struct PendingRequest {
    request: NodeRequest,
    /// The token of the first attempt.
    first_token: u64,
    /// When the first attempt was sent. Lease durations count from this time.
    first_sent: Instant,
    /// When the next attempt is sent unless a response arrives before.
    retry_at: Instant,
    /// Whether the last attempt may still get a response. If not, the request waits for `retry_at`.
    awaits_response: bool,
    /// The number of consecutive responses that named another coordinator as the leader.
    redirects: usize,
}

/// An attempt to be sent now.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The index of the coordinator to send it to.
    pub coordinator: usize,
    pub token: u64,
}

/// The pending request that a response belongs to.
pub(crate) struct MatchedRequest {
    pub request: NodeRequest,
    pub first_sent: Instant,
}

/// The pending request, and the coordinator that the next attempt goes to.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// The number of coordinators.
    coordinators: usize,
    /// The index of the coordinator that the next attempt goes to.
    coordinator: usize,
    last_sequence: u64,
    last_token: u64,
    pending: Option<PendingRequest>,
    /// When the latest request had its first attempt.
    last_sent: Instant,
}

impl Exchange {
    pub fn new(coordinators: usize, first: usize) -> Self {
        Self {
            coordinators,
            coordinator: first % coordinators.max(1),
            last_sequence: 0,
            last_token: 0,
            pending: None,
            last_sent: Instant::default(),
        }
    }

    pub fn has_coordinators(&self) -> bool {
        self.coordinators > 0
    }

    pub fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// When the latest request had its first attempt.
    pub fn last_sent(&self) -> Instant {
        self.last_sent
    }

    pub fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// When the next attempt of the pending request is due.
    pub fn retry_at(&self) -> Option<Instant> {
        self.pending.as_ref().map(|pending| pending.retry_at)
    }

    /// Makes `request` the pending request and returns its first attempt.
    pub fn start(&mut self, now: Instant, request: NodeRequest, response_timeout: Span) -> Attempt {
        self.last_sent = now;
        let attempt = self.new_attempt();
        self.pending = Some(PendingRequest {
            request,
            first_token: attempt.token,
            first_sent: now,
            retry_at: now + response_timeout,
            awaits_response: true,
            redirects: 0,
        });
        attempt
    }

    /// The next attempt of the pending request, if it is due. After a response timeout the attempt goes to the next
    /// coordinator.
    pub fn retry(&mut self, now: Instant, response_timeout: Span) -> Option<(Attempt, NodeRequest)> {
        let pending = self.pending.as_mut().filter(|pending| pending.retry_at <= now)?;
        let timed_out = pending.awaits_response;
        pending.retry_at = now + response_timeout;
        pending.awaits_response = true;
        let request = pending.request.clone();
        if timed_out {
            self.coordinator = self.next_coordinator();
        }
        Some((self.new_attempt(), request))
    }

    /// Finds the request that a response belongs to. The token of any attempt matches, because all attempts carry the same
    /// request.
    pub fn match_response(&self, token: u64) -> Option<MatchedRequest> {
        let pending = self.pending.as_ref()?;
        let is_known_token = (pending.first_token..=self.last_token).contains(&token);
        let matched = MatchedRequest { request: pending.request.clone(), first_sent: pending.first_sent };
        is_known_token.then_some(matched)
    }

    /// Handles an attempt that will get no response. If it is the last attempt, the next one goes to the next coordinator
    /// after a delay.
    pub fn attempt_failed(&mut self, now: Instant, token: u64, delay: Span) {
        let is_last = token == self.last_token;
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.awaits_response && is_last) else {
            return;
        };
        pending.retry_at = now + delay;
        pending.awaits_response = false;
        self.coordinator = self.next_coordinator();
    }

    /// Handles a response from a coordinator that is not the leader. The leader that it named is tried at once; without a
    /// name, the next coordinator is tried after a delay. A chain of redirects that is longer than the list of coordinators
    /// is not followed.
    pub fn redirected(&mut self, now: Instant, leader: Option<usize>, delay: Span) {
        let (current, next) = (self.coordinator, self.next_coordinator());
        let Some(pending) = self.pending.as_mut() else { return };
        pending.redirects += 1;
        pending.awaits_response = false;
        let may_follow = pending.redirects <= self.coordinators;
        let leader = leader.filter(|leader| *leader != current && *leader < self.coordinators && may_follow);
        match leader {
            Some(leader) => {
                pending.retry_at = now;
                self.coordinator = leader;
            }
            None => {
                pending.retry_at = now + delay;
                pending.redirects = 0;
                self.coordinator = next;
            }
        }
    }

    /// Clears the pending request after its response.
    pub fn finish(&mut self) {
        self.pending = None;
    }

    fn new_attempt(&mut self) -> Attempt {
        self.last_token += 1;
        Attempt { coordinator: self.coordinator, token: self.last_token }
    }

    fn next_coordinator(&self) -> usize {
        (self.coordinator + 1) % self.coordinators.max(1)
    }
}
