//! One node: a holder, and tasks that wait for calls.

use super::clock::Clock;
use super::script::Script;
use lynxtally::{Instant, Span};
use lynxtally_lease_client::{BudgetSettings, Event, LeaseClient, OutgoingRequest, Settings, UsageCounts};
use std::collections::VecDeque;

pub(super) struct Node {
    pub clock: Clock,
    /// Counts the processes that had this name.
    pub life: u64,
    pub process: Option<Process>,
    /// Standing still until then, in real time.
    pub stopped: u64,
    /// Whose messages get lost until when, in real time.
    pub cut_sent: u64,
    pub cut_told: u64,
    /// When it is woken next, in real time.
    pub wake: u64,
    /// Calls wanted at one moment, in the mean.
    pub need: f64,
}

/// What one process knows.
pub(super) struct Process {
    pub holder: LeaseClient,
    /// When each call in hand, or given up and lingering, is over, as this process sees it.
    ends: Vec<Instant>,
    /// Tasks that wait, by when they give up.
    waiting: VecDeque<Instant>,
    counts: UsageCounts,
    pub leaving: bool,
    /// Since when another process has this name.
    pub replaced: bool,
}

impl Process {
    pub fn new(script: &Script, name: usize, seed: u64, now: Instant) -> Self {
        let tail = Span::from_micros(script.time_out_us + script.linger_us);
        let settings = Settings {
            name: format!("n{name}"),
            program_version: "1".to_owned(),
            schema_versions: Vec::new(),
            budgets: vec![BudgetSettings { name: "calls".to_owned(), max_in_flight: tail }],
            wallets: Vec::new(),
            coordinators: 3,
            response_timeout: Span::from_micros((script.terms.lease_duration_us / 10).min(300_000)),
        };
        let holder = LeaseClient::new(settings, seed, now);
        Self {
            holder,
            ends: Vec::new(),
            waiting: VecDeque::new(),
            counts: UsageCounts::default(),
            leaving: false,
            replaced: false,
        }
    }

    /// A task comes that wants a call.
    pub fn want(&mut self, until: Instant) {
        if !self.leaving {
            self.waiting.push_back(until);
            self.counts.requested += 1;
        }
    }

    /// One turn: looks at the clock, then begins what the amount in force allows, or a part that never changes.
    /// Tells how many, and what to say.
    pub fn turn(&mut self, now: Instant, fixed: Option<u64>) -> (usize, Option<OutgoingRequest>) {
        self.holder.advance(now);
        self.ends.retain(|end| *end > now);
        while self.waiting.pop_front_if(|until| *until <= now).is_some() {}
        self.replaced |= self.holder.drain_events().any(|event| event == Event::Replaced);
        let room = fixed.unwrap_or(self.holder.leased_amount(0)).saturating_sub(self.ends.len() as u64);
        let begun = if self.leaving { 0 } else { room.min(self.waiting.len() as u64) as usize };
        self.waiting.drain(..begun);
        // What was just begun is in hand before anything is said.
        let in_use = (self.ends.len() + begun) as u64;
        self.counts.started += begun as u64;
        self.holder.report_usage(0, in_use, self.counts);
        (begun, if fixed.is_some() { None } else { self.holder.next_request(now) })
    }

    /// A call was begun that this process takes for over at `end`.
    pub fn began(&mut self, end: Instant) {
        self.ends.push(end);
    }

    pub fn next_due(&self, fixed: Option<u64>) -> Option<Instant> {
        let end = self.ends.iter().min().copied();
        [end, self.holder.next_deadline().filter(|_| fixed.is_none())].into_iter().flatten().min()
    }
}
