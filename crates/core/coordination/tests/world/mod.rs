//! A log in memory, and short words for what is written to it.

#![allow(dead_code)] // Each file of stories uses a part of it.

use lynxtally::Instant;
use lynxtally_coordination::*;
use lynxtally_messages::*;
use std::collections::BTreeMap;

pub struct Log {
    pub register: CoordinationState,
    pub entries: Vec<(LogPosition, TimestampedCommand)>,
    pub term: u64,
    /// The leader's clock, in milliseconds.
    pub at: u64,
}

pub fn terms(whole: u64) -> BudgetTerms {
    BudgetTerms {
        kind: BudgetKind::Concurrency,
        capacity: whole,
        min_per_node: 0,
        newcomer_reserve_permille: 0,
        lease_duration_us: 1_000_000,
        max_clock_drift_ppm: 0,
        pause_margin_us: 0,
    }
}

pub fn want(adopted: u64, in_use: u64, need: u64) -> BudgetReport {
    BudgetReport {
        budget: "calls".into(),
        lease_version: adopted,
        in_use,
        demand_milliunits: need * 1000,
        max_in_flight_us: 500_000,
    }
}

impl Log {
    pub fn new(terms: BudgetTerms) -> Self {
        let mut log = Self { register: CoordinationState::default(), entries: Vec::new(), term: 1, at: 1000 };
        log.order("first", AdminAction::SetBudget { name: "calls".into(), terms });
        log
    }

    pub fn write(&mut self, command: Command) -> Output {
        let entry = TimestampedCommand {
            term: self.term,
            leader_clock: Instant::from_micros(self.at * 1000),
            command,
        };
        let place = LogPosition { index: self.entries.len() as u64 + 1, term: self.term };
        let answer = self.register.apply(place, &entry);
        self.entries.push((place, entry));
        answer
    }

    pub fn order(&mut self, word: &str, what: AdminAction) -> AdminResponse {
        let order = AdminRequest {
            key: IdempotencyKey { observed_index: self.entries.len() as u64, token: word.into() },
            action: what,
        };
        match self.write(Command::Admin(order)) {
            Output::Admin(outcome) => outcome,
            other => panic!("an order has an outcome, not {other:?}"),
        }
    }

    pub fn tick(&mut self) {
        self.write(Command::Tick { acknowledged_indexes: BTreeMap::new() });
    }

    pub fn say(
        &mut self,
        name: &str,
        incarnation: u64,
        number: u64,
        wants: Vec<BudgetReport>,
        over: bool,
    ) -> NodeResponse {
        let program = "1".into();
        let say = NodeRequest {
            name: name.into(),
            incarnation,
            sequence: number,
            program_version: program,
            schema_versions: vec![],
            budgets: wants,
            wallets: vec![],
            applied_document: None,
            ends_session: over,
        };
        match self.write(Command::Node(say)) {
            Output::Node(reply) => reply,
            other => panic!("a node has a reply, not {other:?}"),
        }
    }

    /// A process accounts for a wallet, or ends with that.
    pub fn purse(
        &mut self,
        name: &str,
        incarnation: u64,
        number: u64,
        purse: WalletReport,
        over: bool,
    ) -> NodeResponse {
        let (name, program) = (name.into(), "1".into());
        let purses = vec![purse];
        let say = NodeRequest {
            name,
            incarnation,
            sequence: number,
            program_version: program,
            schema_versions: vec![],
            budgets: vec![],
            wallets: purses,
            applied_document: None,
            ends_session: over,
        };
        match self.write(Command::Node(say)) {
            Output::Node(reply) => reply,
            other => panic!("a node has a reply, not {other:?}"),
        }
    }

    /// A process that reads these versions of route documents, and has applied none.
    pub fn read(&mut self, name: &str, incarnation: u64, number: u64, versions: &[u32]) -> NodeResponse {
        let (name, program, schemas) = (name.into(), "1".into(), versions.to_vec());
        let applied = Some(AppliedDocument { index: 0, version: 0 });
        let (wants, purses) = (vec![], vec![]);
        let say = NodeRequest {
            name,
            incarnation,
            sequence: number,
            program_version: program,
            schema_versions: schemas,
            budgets: wants,
            wallets: purses,
            applied_document: applied,
            ends_session: false,
        };
        match self.write(Command::Node(say)) {
            Output::Node(reply) => reply,
            other => panic!("a node has a reply, not {other:?}"),
        }
    }

    /// A process joins; its incarnation.
    pub fn join(&mut self, name: &str, drawn: u64) -> u64 {
        match self.say(name, 0, drawn, vec![], false) {
            NodeResponse::Accepted(granted) => granted.incarnation,
            NodeResponse::Rejected(refusal) => panic!("{refusal:?}"),
        }
    }

    /// A process asks; version and amount of its grant.
    pub fn ask(&mut self, name: &str, incarnation: u64, number: u64, want: BudgetReport) -> (u64, u64) {
        match self.say(name, incarnation, number, vec![want], false) {
            NodeResponse::Accepted(granted) => (granted.leases[0].version, granted.leases[0].amount),
            NodeResponse::Rejected(refusal) => panic!("{refusal:?}"),
        }
    }

    pub fn free(&self) -> u64 {
        self.register.budget_status("calls").expect("a budget").free
    }
}
