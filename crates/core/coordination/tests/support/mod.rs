//! A log in memory, and shorthands for what is written to it.

#![allow(dead_code)] // Each test file uses a part of it.

use lynxtally::Instant;
use lynxtally_coordination::*;
use lynxtally_messages::*;
use std::collections::BTreeMap;

/// A replica with the entries that it applied.
pub struct Log {
    pub state: CoordinationState,
    pub entries: Vec<(LogPosition, TimestampedCommand)>,
    pub term: u64,
    /// The leader's clock, in milliseconds.
    pub clock_ms: u64,
}

pub fn terms(capacity: u64) -> BudgetTerms {
    BudgetTerms {
        kind: BudgetKind::Concurrency,
        capacity,
        min_per_node: 0,
        newcomer_reserve_permille: 0,
        lease_duration_us: 1_000_000,
        max_clock_drift_ppm: 0,
        pause_margin_us: 0,
    }
}

/// A report on the budget `calls`, with the demand in units.
pub fn report(lease_version: u64, in_use: u64, demand: u64) -> BudgetReport {
    BudgetReport {
        budget: "calls".into(),
        lease_version,
        in_use,
        demand_milliunits: demand * 1000,
        max_in_flight_us: 500_000,
    }
}

/// A request that reports nothing.
pub fn request(name: &str, incarnation: u64, sequence: u64) -> NodeRequest {
    NodeRequest {
        name: name.into(),
        incarnation,
        sequence,
        program_version: "1".into(),
        schema_versions: vec![],
        budgets: vec![],
        wallets: vec![],
        applied_document: None,
        ends_session: false,
    }
}

/// The version and the amount of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leased {
    pub version: u64,
    pub amount: u64,
}

impl Log {
    /// A log with the budget `calls`.
    pub fn new(terms: BudgetTerms) -> Self {
        let mut log =
            Self { state: CoordinationState::default(), entries: Vec::new(), term: 1, clock_ms: 1000 };
        log.admin("first", AdminAction::SetBudget { name: "calls".into(), terms });
        log
    }

    pub fn write(&mut self, command: Command) -> Output {
        let leader_clock = Instant::from_micros(self.clock_ms * 1000);
        let entry = TimestampedCommand { term: self.term, leader_clock, command };
        let position = LogPosition { index: self.entries.len() as u64 + 1, term: self.term };
        let output = self.state.apply(position, &entry);
        self.entries.push((position, entry));
        output
    }

    pub fn admin(&mut self, token: &str, action: AdminAction) -> AdminResponse {
        let key = IdempotencyKey { observed_index: self.entries.len() as u64, token: token.into() };
        match self.write(Command::Admin(AdminRequest { key, action })) {
            Output::Admin(response) => response,
            other => panic!("an operator has a response, not {other:?}"),
        }
    }

    pub fn tick(&mut self) {
        self.write(Command::Tick { acknowledged_indexes: BTreeMap::new() });
    }

    pub fn send(&mut self, request: NodeRequest) -> NodeResponse {
        match self.write(Command::Node(request)) {
            Output::Node(response) => response,
            other => panic!("a node has a response, not {other:?}"),
        }
    }

    /// Sends a request that has to be accepted.
    pub fn send_accepted(&mut self, request: NodeRequest) -> LeaseUpdate {
        match self.send(request) {
            NodeResponse::Accepted(update) => update,
            NodeResponse::Rejected(rejection) => panic!("{rejection:?}"),
        }
    }

    /// A process reports on budgets, or ends its session.
    pub fn report(
        &mut self,
        name: &str,
        incarnation: u64,
        sequence: u64,
        budgets: Vec<BudgetReport>,
        ends_session: bool,
    ) -> NodeResponse {
        self.send(NodeRequest { budgets, ends_session, ..request(name, incarnation, sequence) })
    }

    /// A process accounts for a wallet, or ends its session with that.
    pub fn report_wallet(
        &mut self,
        name: &str,
        incarnation: u64,
        sequence: u64,
        report: WalletReport,
        ends_session: bool,
    ) -> NodeResponse {
        self.send(NodeRequest { wallets: vec![report], ends_session, ..request(name, incarnation, sequence) })
    }

    /// A process that reads these versions of route documents, and has applied none.
    pub fn read(&mut self, name: &str, incarnation: u64, sequence: u64, versions: &[u32]) -> NodeResponse {
        self.send(NodeRequest {
            schema_versions: versions.to_vec(),
            applied_document: Some(AppliedDocument { index: 0, version: 0 }),
            ..request(name, incarnation, sequence)
        })
    }

    /// A process joins; its incarnation.
    pub fn join(&mut self, name: &str, nonce: u64) -> u64 {
        self.send_accepted(request(name, 0, nonce)).incarnation
    }

    /// A process renews its lease.
    pub fn renew(&mut self, name: &str, incarnation: u64, sequence: u64, report: BudgetReport) -> Leased {
        let budgets = vec![report];
        let update = self.send_accepted(NodeRequest { budgets, ..request(name, incarnation, sequence) });
        Leased { version: update.leases[0].version, amount: update.leases[0].amount }
    }

    pub fn free(&self) -> u64 {
        self.state.budget_status("calls").expect("a budget").free
    }
}
