//! The coordinators, as nodes meet them: one log, whose leader changes. What a leader wrote and did not get agreed on may
//! be lost, or stand in the log all the same.

use super::clock::DriftingClock;
use lynxtally::Pcg;
use lynxtally_coordination::{Command, CoordinationState, LogPosition, Output, TimestampedCommand};
use lynxtally_messages::{AdminAction, AdminRequest, BudgetTerms, IdempotencyKey, NodeRequest, NodeResponse};
use std::collections::{BTreeMap, VecDeque};

/// The longest time that agreeing takes, in microseconds.
const MAX_AGREEMENT_US: u64 = 8000;
/// The term changes this often between the leader's look at it and the writing.
const TERM_MISMATCH_PROBABILITY: f64 = 0.002;

/// Which process sent a request, and under which token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Sender {
    pub node: usize,
    pub process: u64,
    pub token: u64,
}

/// An entry that a leader wrote, and when it is agreed on.
struct WrittenEntry {
    agreed_at: u64,
    entry: TimestampedCommand,
    sender: Option<Sender>,
}

/// A response, and whom it goes to.
pub(super) struct AddressedResponse {
    pub sender: Sender,
    pub response: NodeResponse,
}

pub(super) struct Coordinators {
    pub state: CoordinationState,
    term: u64,
    last_index: u64,
    /// The clocks of three machines; leaders take turns.
    clocks: Vec<DriftingClock>,
    written: VecDeque<WrittenEntry>,
    has_leader: bool,
}

impl Coordinators {
    pub fn new(random: &mut Pcg, terms: BudgetTerms, drift_ppm: u64) -> Self {
        let clocks = (0..3).map(|_| DriftingClock::draw(random, drift_ppm)).collect();
        let mut coordinators = Self {
            state: CoordinationState::default(),
            term: 1,
            last_index: 0,
            clocks,
            written: VecDeque::new(),
            has_leader: true,
        };
        let key = IdempotencyKey { observed_index: 0, token: "first".to_owned() };
        let action = AdminAction::SetBudget { name: "calls".to_owned(), terms };
        let command = Command::Admin(AdminRequest { key, action });
        let leader_clock = coordinators.leader_clock().shows(0);
        coordinators.apply(&TimestampedCommand { term: 1, leader_clock, command });
        coordinators
    }

    fn leader_clock(&self) -> &DriftingClock {
        &self.clocks[self.term as usize % self.clocks.len()]
    }

    fn apply(&mut self, entry: &TimestampedCommand) -> Output {
        self.last_index += 1;
        self.state.apply(LogPosition { index: self.last_index, term: self.term }, entry)
    }

    /// The leader timestamps and writes a command. When it will be agreed on; none where nobody leads.
    fn write(&mut self, random: &mut Pcg, now: u64, command: Command, sender: Option<Sender>) -> Option<u64> {
        if !self.has_leader {
            return None;
        }
        let is_stale = random.unit() < TERM_MISMATCH_PROBABILITY;
        let term = if is_stale { self.term - 1 } else { self.term };
        let entry = TimestampedCommand { term, leader_clock: self.leader_clock().shows(now), command };
        let agreed_at = now + 1 + (MAX_AGREEMENT_US as f64 * random.unit()) as u64;
        let agreed_at = self.written.back().map_or(agreed_at, |last| agreed_at.max(last.agreed_at));
        self.written.push_back(WrittenEntry { agreed_at, entry, sender });
        Some(agreed_at)
    }

    pub fn receive(
        &mut self,
        random: &mut Pcg,
        now: u64,
        request: NodeRequest,
        sender: Sender,
    ) -> Option<u64> {
        self.write(random, now, Command::Node(request), Some(sender))
    }

    pub fn tick(&mut self, random: &mut Pcg, now: u64) -> Option<u64> {
        self.write(random, now, Command::Tick { acknowledged_indexes: BTreeMap::new() }, None)
    }

    /// Applies what is agreed on by now.
    pub fn apply_agreed(&mut self, now: u64) -> Vec<AddressedResponse> {
        let mut responses = Vec::new();
        while let Some(written) = self.written.pop_front_if(|written| written.agreed_at <= now) {
            let output = self.apply(&written.entry);
            if let (Output::Node(response), Some(sender)) = (output, written.sender) {
                responses.push(AddressedResponse { sender, response });
            }
        }
        responses
    }

    /// The leader is gone. A part of what it wrote is in the log of the next, and nobody is told.
    pub fn lose_leader(&mut self, random: &mut Pcg) {
        self.has_leader = false;
        let kept = (random.unit() * (self.written.len() + 1) as f64) as usize;
        let written: Vec<WrittenEntry> = self.written.drain(..).collect();
        for written in written.iter().take(kept) {
            self.apply(&written.entry);
        }
    }

    /// Another leads.
    pub fn elect_leader(&mut self) {
        self.term += 1;
        self.has_leader = true;
    }
}
