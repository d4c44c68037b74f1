//! One node: a lease client, and requests that wait for their calls.

use super::clock::DriftingClock;
use super::scenario::Scenario;
use lynxtally::{Instant, Span};
use lynxtally_lease_client::{BudgetSettings, LeaseClient, OutgoingRequest, Settings, UsageCounts};
use std::collections::VecDeque;

/// The longest time that a response is waited for, in microseconds.
const MAX_RESPONSE_TIMEOUT_US: u64 = 300_000;
/// A response is waited for as long as one part in this many of a lease.
const RESPONSE_TIMEOUTS_PER_LEASE: u64 = 10;

/// A machine, in real time, with the process on it.
pub(super) struct Node {
    pub clock: DriftingClock,
    /// Counts the processes that had this name.
    pub process_number: u64,
    pub process: Option<Process>,
    /// Paused until then.
    pub paused_until: u64,
    /// Its requests are lost until then.
    pub requests_cut_until: u64,
    /// The responses to it are lost until then.
    pub responses_cut_until: u64,
    /// When it is woken next.
    pub next_wake: u64,
    /// Calls that it demands at one moment, in the mean.
    pub demand: f64,
}

/// What a process did in a turn.
pub(super) struct Turn {
    /// Calls that it started.
    pub started: usize,
    /// The request that is to be carried.
    pub request: Option<OutgoingRequest>,
}

/// What one process knows.
pub(super) struct Process {
    pub client: LeaseClient,
    /// When each call in flight, or cancelled and still running, is over, as this process sees it.
    call_ends: Vec<Instant>,
    /// When each request that waits for its call gives up.
    waiting: VecDeque<Instant>,
    counts: UsageCounts,
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

    /// A request comes that needs a call.
    pub fn request_call(&mut self, gives_up_at: Instant) {
        if !self.leaving {
            self.waiting.push_back(gives_up_at);
            self.counts.requested += 1;
        }
    }

    /// One turn: looks at the clock, then starts what the lease in force allows, or a static part.
    pub fn turn(&mut self, now: Instant, static_part: Option<u64>) -> Turn {
        self.client.advance(now);
        self.call_ends.retain(|end| *end > now);
        while self.waiting.pop_front_if(|gives_up_at| *gives_up_at <= now).is_some() {}
        self.client.drain_events().for_each(drop);
        let allowed = static_part.unwrap_or(self.client.leased_amount(0));
        let room = allowed.saturating_sub(self.call_ends.len() as u64);
        let started = if self.leaving { 0 } else { room.min(self.waiting.len() as u64) as usize };
        self.waiting.drain(..started);
        // What was just started is in use before anything is sent.
        let in_use = (self.call_ends.len() + started) as u64;
        self.counts.started += started as u64;
        self.client.report_usage(0, in_use, self.counts);
        let request = if static_part.is_some() { None } else { self.client.next_request(now) };
        Turn { started, request }
    }

    /// A call was started that this process takes for over at `end`.
    pub fn call_started(&mut self, end: Instant) {
        self.call_ends.push(end);
    }

    pub fn next_deadline(&self, has_static_part: bool) -> Option<Instant> {
        let call_end = self.call_ends.iter().min().copied();
        let client = self.client.next_deadline().filter(|_| !has_static_part);
        [call_end, client].into_iter().flatten().min()
    }
}
