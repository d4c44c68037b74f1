//! One node: a lease client and the requests that wait to make their calls.

use super::clock::DriftingClock;
use super::scenario::Scenario;
use lynxtally::{Instant, Span};
use lynxtally_lease_client::{BudgetSettings, LeaseClient, OutgoingRequest, Settings, UsageCounts};
use std::collections::VecDeque;

/// Maximum response timeout of the lease client, in microseconds.
const MAX_RESPONSE_TIMEOUT_US: u64 = 300_000;
/// The response timeout is the lease duration divided by this, up to the maximum.
const RESPONSE_TIMEOUTS_PER_LEASE: u64 = 10;

/// A machine and the process that runs on it. Its times are real times in microseconds.
pub(super) struct Node {
    pub clock: DriftingClock,
    /// Number of the current process. Each start and each kill increments it, so that responses to an older process are
    /// recognized.
    pub process_number: u64,
    /// The running process; `None` while the node is down.
    pub process: Option<Process>,
    /// Until when the process is paused.
    pub paused_until: u64,
    /// Until when requests of the node are lost.
    pub requests_cut_until: u64,
    /// Until when responses to the node are lost.
    pub responses_cut_until: u64,
    /// When the node is woken next; `u64::MAX` if no wake-up is scheduled.
    pub next_wake: u64,
    /// Mean number of calls in flight that the requests of the node would need.
    pub demand: f64,
}

/// What a process does in one step.
pub(super) struct StepOutput {
    /// Number of calls that it starts.
    pub started: usize,
    /// The lease client's request to the coordinators, if it has one to send.
    pub request: Option<OutgoingRequest>,
}

/// The state of one process. Its times are times of its local clock.
pub(super) struct Process {
    pub client: LeaseClient,
    /// End of each call that is in flight downstream, including cancelled calls that still run there.
    call_ends: Vec<Instant>,
    /// When each waiting request times out, in order of arrival.
    waiting: VecDeque<Instant>,
    counts: UsageCounts,
    /// Whether the process is shutting down gracefully.
    pub leaving: bool,
}

impl Process {
    pub fn new(scenario: &Scenario, node: usize, seed: u64, now: Instant) -> Self {
        let max_in_flight = Span::from_micros(scenario.call_timeout_us + scenario.cancellation_lag_us);
        let response_timeout_us = scenario.terms.lease_duration_us / RESPONSE_TIMEOUTS_PER_LEASE;
        let settings = Settings {
            name: format!("n{node}"),
            program_version: "1".to_owned(),
            schema_versions: Vec::new(),
            budgets: vec![BudgetSettings { name: "calls".to_owned(), max_in_flight }],
            wallets: Vec::new(),
            coordinators: 3,
            response_timeout: Span::from_micros(response_timeout_us.min(MAX_RESPONSE_TIMEOUT_US)),
        };
        Self {
            client: LeaseClient::new(settings, seed, now),
            call_ends: Vec::new(),
            waiting: VecDeque::new(),
            counts: UsageCounts::default(),
            leaving: false,
        }
    }

    /// Adds a request that needs a call, unless the process is shutting down.
    pub fn request_call(&mut self, expires_at: Instant) {
        if !self.leaving {
            self.waiting.push_back(expires_at);
            self.counts.requested += 1;
        }
    }

    /// Processes everything due by `now`, then starts as many waiting calls as the leased number of calls allows. If
    /// `equal_share` is given, this fixed number of calls in flight is allowed instead, and the lease is ignored.
    pub fn step(&mut self, now: Instant, equal_share: Option<u64>) -> StepOutput {
        self.client.advance(now);
        self.call_ends.retain(|end| *end > now);
        while self.waiting.pop_front_if(|expires_at| *expires_at <= now).is_some() {}
        self.client.drain_events().for_each(drop);
        let allowed = equal_share.unwrap_or(self.client.leased_amount(0));
        let available = allowed.saturating_sub(self.call_ends.len() as u64);
        let started = if self.leaving { 0 } else { available.min(self.waiting.len() as u64) as usize };
        self.waiting.drain(..started);
        // The usage report has to include the calls just started before the lease client sends its next request.
        let in_use = (self.call_ends.len() + started) as u64;
        self.counts.started += started as u64;
        self.client.report_usage(0, in_use, self.counts);
        let request = if equal_share.is_some() { None } else { self.client.next_request(now) };
        StepOutput { started, request }
    }

    /// Records a started call that ends at `end`.
    pub fn call_started(&mut self, end: Instant) {
        self.call_ends.push(end);
    }

    /// When the process has to be woken next. The lease client has no deadlines if the node has an equal share.
    pub fn next_deadline(&self, has_equal_share: bool) -> Option<Instant> {
        let call_end = self.call_ends.iter().min().copied();
        let client = self.client.next_deadline().filter(|_| !has_equal_share);
        [call_end, client].into_iter().flatten().min()
    }
}
