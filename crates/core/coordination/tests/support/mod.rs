//! An in-memory log that is applied to one replica, and helpers to write requests to it.

#![allow(dead_code)] // Each test file uses only some of the helpers.

use lynxtally::Instant;
use lynxtally_coordination::*;
use lynxtally_messages::*;
use std::collections::BTreeMap;

/// A replica, and the log entries that were applied to it.
pub struct Log {
    pub state: CoordinationState,
    pub entries: Vec<(LogPosition, TimestampedCommand)>,
    /// The term in which the next entry is written.
    pub term: u64,
    /// The leader's clock in milliseconds.
    pub clock_ms: u64,
}

/// Terms with this capacity, leases of one second, and no reserve, drift or pause margin.
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

/// A report on the budget `calls`. `demand` is in units, and a call takes at most 500 ms.
pub fn report(lease_version: u64, in_use: u64, demand: u64) -> BudgetReport {
    BudgetReport {
        budget: "calls".into(),
        lease_version,
        in_use,
        demand_milliunits: demand * 1000,
        max_in_flight_us: 500_000,
    }
}

/// A request without any reports.
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

/// The version and the amount of a granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedLease {
    pub version: u64,
    pub amount: u64,
}

impl Log {
    /// A log whose first entry creates the budget `calls`.
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
            other => panic!("expected a response to an operator, got {other:?}"),
        }
    }

    pub fn tick(&mut self) {
        self.write(Command::Tick { acknowledged_indexes: BTreeMap::new() });
    }

    pub fn send(&mut self, request: NodeRequest) -> NodeResponse {
        match self.write(Command::Node(request)) {
            Output::Node(response) => response,
            other => panic!("expected a response to a node, got {other:?}"),
        }
    }

    /// Sends a request and panics if it is rejected.
    pub fn send_accepted(&mut self, request: NodeRequest) -> LeaseUpdate {
        match self.send(request) {
            NodeResponse::Accepted(update) => update,
            NodeResponse::Rejected(rejection) => panic!("the request was rejected: {rejection:?}"),
        }
    }

    /// Sends a request that reports on budgets or ends the session.
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

    /// Sends a request that reports on one wallet, and that may also end the session.
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

    /// Sends a request of a process that reads the given schema versions and has not applied a document.
    pub fn report_reader(
        &mut self,
        name: &str,
        incarnation: u64,
        sequence: u64,
        versions: &[u32],
    ) -> NodeResponse {
        self.send(NodeRequest {
            schema_versions: versions.to_vec(),
            applied_document: Some(AppliedDocument { index: 0, version: 0 }),
            ..request(name, incarnation, sequence)
        })
    }

    /// Lets a process ask to join. Returns the incarnation that it is assigned.
    pub fn join(&mut self, name: &str, nonce: u64) -> u64 {
        self.send_accepted(request(name, 0, nonce)).incarnation
    }

    /// Renews the lease of a process for the budget `calls`.
    pub fn renew(
        &mut self,
        name: &str,
        incarnation: u64,
        sequence: u64,
        report: BudgetReport,
    ) -> GrantedLease {
        let budgets = vec![report];
        let update = self.send_accepted(NodeRequest { budgets, ..request(name, incarnation, sequence) });
        GrantedLease { version: update.leases[0].version, amount: update.leases[0].amount }
    }

    /// The free units of the budget `calls`.
    pub fn free(&self) -> u64 {
        self.state.budget_status("calls").expect("the budget `calls` should exist").free
    }
}
