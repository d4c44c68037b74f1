//! Model of the coordinators as nodes see them: one replicated log with a changing leader. Entries that a leader wrote but
//! that were not committed when it was lost may or may not remain in the log, as in Raft.

use super::clock::DriftingClock;
use lynxtally::Pcg;
use lynxtally_coordination::{Command, CoordinationState, LogPosition, Output, TimestampedCommand};
use lynxtally_messages::{AdminAction, AdminRequest, BudgetTerms, IdempotencyKey, NodeRequest, NodeResponse};
use std::collections::{BTreeMap, VecDeque};

/// Maximum time until a written entry is committed, in microseconds.
const MAX_COMMIT_DELAY_US: u64 = 8000;
/// Probability that the term changes after the leader read it and before it writes the entry.
const TERM_MISMATCH_PROBABILITY: f64 = 0.002;

/// The process that sent a request, and the token that identifies the request in its lease client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Sender {
    pub node: usize,
    pub process: u64,
    pub token: u64,
}

/// A log entry that a leader wrote, and the time at which it is committed.
struct WrittenEntry {
    committed_at: u64,
    entry: TimestampedCommand,
    sender: Option<Sender>,
}

/// A response and the process that it goes to.
pub(super) struct AddressedResponse {
    pub sender: Sender,
    pub response: NodeResponse,
}

/// All coordinators together: the replicated state, the current term and the entries not yet committed.
pub(super) struct Coordinators {
    pub state: CoordinationState,
    term: u64,
    last_index: u64,
    /// The clocks of the three coordinators. The leader of term t has the clock with index t modulo 3.
    clocks: Vec<DriftingClock>,
    /// Entries not yet committed, in log order.
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
        let leader_clock = coordinators.leader_clock().local_time(0);
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

    /// Lets the leader timestamp a command and write it to the log. Returns when the entry will be committed, or `None` if there
    /// is no leader.
    fn write(&mut self, random: &mut Pcg, now: u64, command: Command, sender: Option<Sender>) -> Option<u64> {
        if !self.has_leader {
            return None;
        }
        let is_stale = random.unit() < TERM_MISMATCH_PROBABILITY;
        let term = if is_stale { self.term - 1 } else { self.term };
        let entry = TimestampedCommand { term, leader_clock: self.leader_clock().local_time(now), command };
        let committed_at = now + 1 + (MAX_COMMIT_DELAY_US as f64 * random.unit()) as u64;
        let committed_at =
            self.written.back().map_or(committed_at, |last| committed_at.max(last.committed_at));
        self.written.push_back(WrittenEntry { committed_at, entry, sender });
        Some(committed_at)
    }

    /// Writes a node's request to the log. Returns when its entry will be committed, or `None` if there is no leader.
    pub fn receive(
        &mut self,
        random: &mut Pcg,
        now: u64,
        request: NodeRequest,
        sender: Sender,
    ) -> Option<u64> {
        self.write(random, now, Command::Node(request), Some(sender))
    }

    /// Writes a tick of the leader to the log. Returns when its entry will be committed, or `None` if there is no leader.
    pub fn tick(&mut self, random: &mut Pcg, now: u64) -> Option<u64> {
        self.write(random, now, Command::Tick { acknowledged_indexes: BTreeMap::new() }, None)
    }

    /// Applies the entries that are committed by `now` and returns the responses to nodes.
    pub fn apply_committed(&mut self, now: u64) -> Vec<AddressedResponse> {
        let mut responses = Vec::new();
        while let Some(written) = self.written.pop_front_if(|written| written.committed_at <= now) {
            let output = self.apply(&written.entry);
            if let (Output::Node(response), Some(sender)) = (output, written.sender) {
                responses.push(AddressedResponse { sender, response });
            }
        }
        responses
    }

    /// Loses the leader. A random prefix of its uncommitted entries is in the log of the next leader, without responses to
    /// the nodes; the rest is lost.
    pub fn lose_leader(&mut self, random: &mut Pcg) {
        self.has_leader = false;
        let kept_count = (random.unit() * (self.written.len() + 1) as f64) as usize;
        let written: Vec<WrittenEntry> = self.written.drain(..).collect();
        for written in written.iter().take(kept_count) {
            self.apply(&written.entry);
        }
    }

    /// Starts the next term with another leader.
    pub fn elect_leader(&mut self) {
        self.term += 1;
        self.has_leader = true;
    }
}
