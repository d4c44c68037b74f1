//! The exchange with the coordinators: one request under way at a time, to one coordinator after another.

use lynxtally::{Instant, Span};
use lynxtally_messages::NodeRequest;

/// The request under way.
#[derive(Debug)]
struct RequestUnderWay {
    request: NodeRequest,
    /// The token of its first attempt.
    first_token: u64,
    /// When it was first sent: lease durations count from here.
    first_sent: Instant,
    /// When it is sent again, unless a response comes.
    retry_at: Instant,
    /// An attempt was sent and nothing came back yet; else it waits for its time to be sent again.
    awaits_response: bool,
    /// Responses in a row that only named another coordinator.
    redirects: usize,
}

/// An attempt of a request, to be sent now.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub coordinator: usize,
    pub token: u64,
}

/// The request that a response belongs to.
pub(crate) struct AnsweredRequest {
    pub request: NodeRequest,
    pub first_sent: Instant,
}

/// What was sent, and whom the next attempt goes to.
#[derive(Debug)]
pub(crate) struct Exchange {
    coordinators: usize,
    /// Whom the next attempt goes to.
    coordinator: usize,
    last_sequence: u64,
    last_token: u64,
    under_way: Option<RequestUnderWay>,
    /// When the last new request was sent.
    last_sent: Instant,
}

impl Exchange {
    pub fn new(coordinators: usize, first: usize) -> Self {
        Self {
            coordinators,
            coordinator: first % coordinators.max(1),
            last_sequence: 0,
            last_token: 0,
            under_way: None,
            last_sent: Instant::default(),
        }
    }

    pub fn has_coordinators(&self) -> bool {
        self.coordinators > 0
    }

    pub fn is_under_way(&self) -> bool {
        self.under_way.is_some()
    }

    /// When the last new request was sent.
    pub fn last_sent(&self) -> Instant {
        self.last_sent
    }

    pub fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// When the request under way is to be sent again.
    pub fn retry_at(&self) -> Option<Instant> {
        self.under_way.as_ref().map(|under_way| under_way.retry_at)
    }

    /// Starts a new request.
    pub fn start(&mut self, now: Instant, request: NodeRequest, response_timeout: Span) -> Attempt {
        self.last_sent = now;
        let attempt = self.attempt();
        self.under_way = Some(RequestUnderWay {
            request,
            first_token: attempt.token,
            first_sent: now,
            retry_at: now + response_timeout,
            awaits_response: true,
            redirects: 0,
        });
        attempt
    }

    /// The request under way, where it has to be sent again by now.
    pub fn retry(&mut self, now: Instant, response_timeout: Span) -> Option<(Attempt, NodeRequest)> {
        let under_way = self.under_way.as_mut().filter(|under_way| under_way.retry_at <= now)?;
        let timed_out = under_way.awaits_response;
        under_way.retry_at = now + response_timeout;
        under_way.awaits_response = true;
        let request = under_way.request.clone();
        if timed_out {
            self.coordinator = self.next_coordinator();
        }
        Some((self.attempt(), request))
    }

    /// The request that a response belongs to. A response to any of its attempts will do: it is one request.
    pub fn answered(&self, token: u64) -> Option<AnsweredRequest> {
        let under_way = self.under_way.as_ref()?;
        let belongs = (under_way.first_token..=self.last_token).contains(&token);
        let answered =
            AnsweredRequest { request: under_way.request.clone(), first_sent: under_way.first_sent };
        belongs.then_some(answered)
    }

    /// The last attempt surely has no response: the next coordinator is tried after a pause.
    pub fn attempt_failed(&mut self, now: Instant, token: u64, pause: Span) {
        let is_last = token == self.last_token;
        let Some(under_way) =
            self.under_way.as_mut().filter(|under_way| under_way.awaits_response && is_last)
        else {
            return;
        };
        under_way.retry_at = now + pause;
        under_way.awaits_response = false;
        self.coordinator = self.next_coordinator();
    }

    /// A coordinator does not lead. The one that it named is tried at once, else the next one after a pause. A chain
    /// of redirects longer than the list is not followed.
    pub fn redirected(&mut self, now: Instant, leader: Option<usize>, pause: Span) {
        let (current, next) = (self.coordinator, self.next_coordinator());
        let Some(under_way) = self.under_way.as_mut() else { return };
        under_way.redirects += 1;
        under_way.awaits_response = false;
        let may_follow = under_way.redirects <= self.coordinators;
        let leader = leader.filter(|leader| *leader != current && *leader < self.coordinators && may_follow);
        match leader {
            Some(leader) => {
                under_way.retry_at = now;
                self.coordinator = leader;
            }
            None => {
                under_way.retry_at = now + pause;
                under_way.redirects = 0;
                self.coordinator = next;
            }
        }
    }

    /// The request under way has its response.
    pub fn finish(&mut self) {
        self.under_way = None;
    }

    fn attempt(&mut self) -> Attempt {
        self.last_token += 1;
        Attempt { coordinator: self.coordinator, token: self.last_token }
    }

    fn next_coordinator(&self) -> usize {
        (self.coordinator + 1) % self.coordinators.max(1)
    }
}
