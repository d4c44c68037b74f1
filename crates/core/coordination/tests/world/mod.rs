//! A log in memory, and short words for what is written to it.

#![allow(dead_code)] // Each file of stories uses a part of it.

use lynxtally::Instant;
use lynxtally_coordination::*;
use lynxtally_messages::*;
use std::collections::BTreeMap;

pub struct Log {
    pub register: Register,
    pub entries: Vec<(Place, Stamped)>,
    pub term: u64,
    /// The leader's clock, in milliseconds.
    pub at: u64,
}

pub fn terms(whole: u64) -> Terms {
    Terms { kind: Kind::InHand, whole, floor: 0, kept_back: 0, span_us: 1_000_000, drift: 0, margin_us: 0 }
}

pub fn want(adopted: u64, in_use: u64, need: u64) -> Want {
    Want { budget: "calls".into(), adopted, in_use, need: need * 1000, tail_us: 500_000 }
}

impl Log {
    pub fn new(terms: Terms) -> Self {
        let mut log = Self { register: Register::default(), entries: Vec::new(), term: 1, at: 1000 };
        log.order("first", OrderWhat::Budget { name: "calls".into(), terms });
        log
    }

    pub fn write(&mut self, command: Command) -> Answer {
        let entry = Stamped { term: self.term, at: Instant::from_micros(self.at * 1000), command };
        let place = Place { number: self.entries.len() as u64 + 1, term: self.term };
        let answer = self.register.apply(place, &entry);
        self.entries.push((place, entry));
        answer
    }

    pub fn order(&mut self, word: &str, what: OrderWhat) -> Outcome {
        let order = Order { id: Id { seen: self.entries.len() as u64, word: word.into() }, what };
        match self.write(Command::Order(order)) {
            Answer::Outcome(outcome) => outcome,
            other => panic!("an order has an outcome, not {other:?}"),
        }
    }

    pub fn tick(&mut self) {
        self.write(Command::Tick { had: BTreeMap::new() });
    }

    pub fn say(&mut self, name: &str, incarnation: u64, number: u64, wants: Vec<Want>, over: bool) -> Reply {
        let program = "1".into();
        let say = Say {
            name: name.into(),
            incarnation,
            number,
            program,
            schemas: vec![],
            wants,
            purses: vec![],
            applied: None,
            over,
        };
        match self.write(Command::Say(say)) {
            Answer::Reply(reply) => reply,
            other => panic!("a node has a reply, not {other:?}"),
        }
    }

    /// A process accounts for a wallet, or ends with that.
    pub fn purse(&mut self, name: &str, incarnation: u64, number: u64, purse: Purse, over: bool) -> Reply {
        let (name, program) = (name.into(), "1".into());
        let purses = vec![purse];
        let say = Say {
            name,
            incarnation,
            number,
            program,
            schemas: vec![],
            wants: vec![],
            purses,
            applied: None,
            over,
        };
        match self.write(Command::Say(say)) {
            Answer::Reply(reply) => reply,
            other => panic!("a node has a reply, not {other:?}"),
        }
    }

    /// A process that reads these versions of route documents, and has applied none.
    pub fn read(&mut self, name: &str, incarnation: u64, number: u64, versions: &[u32]) -> Reply {
        let (name, program, schemas) = (name.into(), "1".into(), versions.to_vec());
        let applied = Some(Applied { number: 0, version: 0 });
        let (wants, purses) = (vec![], vec![]);
        let say = Say { name, incarnation, number, program, schemas, wants, purses, applied, over: false };
        match self.write(Command::Say(say)) {
            Answer::Reply(reply) => reply,
            other => panic!("a node has a reply, not {other:?}"),
        }
    }

    /// A process joins; its incarnation.
    pub fn join(&mut self, name: &str, drawn: u64) -> u64 {
        match self.say(name, 0, drawn, vec![], false) {
            Reply::Granted(granted) => granted.incarnation,
            Reply::Refused(refusal) => panic!("{refusal:?}"),
        }
    }

    /// A process asks; version and amount of its grant.
    pub fn ask(&mut self, name: &str, incarnation: u64, number: u64, want: Want) -> (u64, u64) {
        match self.say(name, incarnation, number, vec![want], false) {
            Reply::Granted(granted) => (granted.grants[0].version, granted.grants[0].amount),
            Reply::Refused(refusal) => panic!("{refusal:?}"),
        }
    }

    pub fn free(&self) -> u64 {
        self.register.budget("calls").expect("a budget").free
    }
}
