//! The keepers, as nodes meet them: one log, whose leader changes. What a leader wrote and did not get
//! agreed on may be lost, or stand in the log all the same.

use super::clock::Clock;
use lynxtally::Pcg;
use lynxtally_coordination::{Command, CoordinationState, LogPosition, Output, TimestampedCommand};
use lynxtally_messages::{AdminAction, AdminRequest, BudgetTerms, IdempotencyKey, NodeRequest, NodeResponse};
use std::collections::{BTreeMap, VecDeque};

/// Whom an answer goes to.
pub(super) type From = Option<(usize, u64, u64)>;

pub(super) struct Keepers {
    pub register: CoordinationState,
    term: u64,
    number: u64,
    /// The clocks of three machines; leaders take turns.
    clocks: Vec<Clock>,
    /// What the leader wrote, and when it is agreed on.
    written: VecDeque<(u64, TimestampedCommand, From)>,
    pub up: bool,
}

/// Agreeing takes up to so long, in microseconds.
const AGREE: u64 = 8000;

impl Keepers {
    pub fn new(chance: &mut Pcg, terms: BudgetTerms, drift: u64) -> Self {
        let clocks = (0..3).map(|_| Clock::draw(chance, drift)).collect();
        let (register, written) = (CoordinationState::default(), VecDeque::new());
        let mut keepers = Self { register, term: 1, number: 0, clocks, written, up: true };
        let id = IdempotencyKey { observed_index: 0, token: "first".to_owned() };
        let order =
            AdminRequest { key: id, action: AdminAction::SetBudget { name: "calls".to_owned(), terms } };
        keepers.apply(&TimestampedCommand {
            term: 1,
            leader_clock: keepers.clock().shows(0),
            command: Command::Admin(order),
        });
        keepers
    }

    fn clock(&self) -> &Clock {
        &self.clocks[self.term as usize % self.clocks.len()]
    }

    fn apply(&mut self, entry: &TimestampedCommand) -> Output {
        self.number += 1;
        self.register.apply(LogPosition { index: self.number, term: self.term }, entry)
    }

    /// The leader stamps and writes; tells when it will be agreed on. None where nobody leads.
    pub fn write(&mut self, chance: &mut Pcg, real: u64, command: Command, from: From) -> Option<u64> {
        if !self.up {
            return None;
        }
        // Now and then the term changed between the look at it and the writing.
        let term = if chance.unit() < 0.002 { self.term - 1 } else { self.term };
        let entry = TimestampedCommand { term, leader_clock: self.clock().shows(real), command };
        let agreed = real + 1 + (AGREE as f64 * chance.unit()) as u64;
        let agreed = self.written.back().map_or(agreed, |(last, ..)| agreed.max(*last));
        self.written.push_back((agreed, entry, from));
        Some(agreed)
    }

    pub fn say(
        &mut self,
        chance: &mut Pcg,
        real: u64,
        say: NodeRequest,
        from: (usize, u64, u64),
    ) -> Option<u64> {
        self.write(chance, real, Command::Node(say), Some(from))
    }

    pub fn tick(&mut self, chance: &mut Pcg, real: u64) -> Option<u64> {
        self.write(chance, real, Command::Tick { acknowledged_indexes: BTreeMap::new() }, None)
    }

    /// What is agreed on by now is applied; the replies.
    pub fn agreed(&mut self, real: u64) -> Vec<((usize, u64, u64), NodeResponse)> {
        let mut replies = Vec::new();
        while let Some((_, entry, from)) = self.written.pop_front_if(|(at, ..)| *at <= real) {
            if let (Output::Node(reply), Some(from)) = (self.apply(&entry), from) {
                replies.push((from, reply));
            }
        }
        replies
    }

    /// The leader is gone. Of what it wrote a part is in the log of the next, and nobody is told.
    pub fn lose(&mut self, chance: &mut Pcg) {
        self.up = false;
        let kept = (chance.unit() * (self.written.len() + 1) as f64) as usize;
        for (_, entry, _) in self.written.drain(..).take(kept).collect::<Vec<_>>() {
            self.apply(&entry);
        }
    }

    /// Another leads.
    pub fn elect(&mut self) {
        self.term += 1;
        self.up = true;
    }
}
