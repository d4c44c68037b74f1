//! A model of wallets: two nodes admit requests against units that a replicated coordinator reserves for them from a wallet of
//! two units. Messages can be lost, duplicated and delayed; a node can stop reporting and report again late.
//!
//! Safety: no more requests are served than units were bought. Requests are excepted that a node had completed but
//! not reported when its reservation was settled: their units were returned to the tenant. No more is charged than was served, and
//! each unit is in exactly one place: the balance, a reservation or the charges. Reachability: a charge can be reported and
//! recorded, and a unit that was in doubt can be served by the other node.

use stateright::{Model, Property};

/// Units in the wallet at the start; one unit pays for one request.
const BOUGHT: u8 = 2;
/// Number of steps, from the node's report, in which requests may be admitted against a reservation.
const RESERVATION_STEPS: u8 = 1;
/// Maximum number of steps that an admitted request runs.
const IN_FLIGHT_STEPS: u8 = 1;
/// Number of steps that units of an expired reservation stay in doubt before they are returned to the balance.
const IN_DOUBT_STEPS: u8 = 1;

/// Largest index of an account; it bounds the number of states.
const MAX_ACCOUNT_INDEX: usize = 3;

/// A defect of the protocol that the model checker has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// The correct protocol.
    None,
    /// A report carries the charge since the last report, and the coordinator adds it each time that the report is delivered.
    ChargeWithoutId,
    /// The unspent units of a node are returned as soon as the node is suspected.
    ReturnedAtSuspicion,
    /// The unspent units are returned when the reservation expires, although requests may still run.
    NoInFlightTime,
}

/// The model and its bounds.
#[derive(Clone, Copy, Debug)]
pub struct WalletModel {
    /// The defect that is built in.
    pub defect: Defect,
    /// Number of time steps to explore.
    pub steps: u8,
    /// Maximum number of reports that each node sends.
    pub max_reports: [u8; 2],
    /// Maximum number of messages in transit.
    pub max_in_transit: usize,
}

/// A reservation as its node sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Node {
    /// Index of the node's account; index 0 is never open.
    account: u8,
    /// Units reserved in the account so far.
    granted: u8,
    /// Time from which on no request may be admitted.
    expires_at: Option<u8>,
    /// Steps that the running request may still run.
    running: Option<u8>,
    /// Units spent in the account so far.
    spent: u8,
    /// Value of `spent` in the last report.
    reported: u8,
    /// Number of reports sent; the number of the last report.
    report_number: u8,
    /// When the pending report was sent; `None` if no report is pending.
    reported_at: Option<u8>,
}

/// A reservation as the coordinator records it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Account {
    node: u8,
    /// Units reserved so far.
    granted: u8,
    /// Units charged so far.
    spent: u8,
    /// When the reservation expires.
    expires_at: u8,
}

/// A message between a node and the coordinator. The first two fields are the node and the number of its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A node reports its account (third field) and the units that it charged there (fourth field): the total, or with
    /// [`Defect::ChargeWithoutId`] the units since the last report.
    Report(u8, u8, u8, u8),
    /// The response to a report: the account (third field) and the units reserved in it so far (fourth field).
    Response(u8, u8, u8, u8),
}

/// The state of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u8,
    nodes: [Node; 2],
    /// Units of the wallet that are neither reserved nor charged.
    balance: u8,
    charged: u8,
    served: u8,
    /// The accounts by index; `None` for index 0 and for settled accounts.
    accounts: Vec<Option<Account>>,
    in_transit: Vec<Message>,
    /// Whether any account has been settled.
    settled: bool,
    /// Requests that had been completed but not reported when their account was settled.
    unreported_at_settlement: u8,
}

/// A transition of the system.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A time step.
    Step,
    /// This node sends a report.
    Report(u8),
    /// A message is delivered; if true, a duplicate stays in transit.
    Deliver(Message, bool),
    /// A message is lost.
    Drop(Message),
    /// This node admits a request.
    Admit(u8),
    /// The request that runs on this node ends; true if it was completed and is charged, false if it was rejected.
    EndRequest(u8, bool),
    /// The coordinator suspects the node of this account.
    Suspect(u8),
}

impl State {
    /// Units that are reserved but not charged.
    fn unspent(&self) -> u8 {
        self.accounts.iter().flatten().map(|account| account.granted - account.spent).sum()
    }
}

impl Model for WalletModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let (nodes, accounts) = (Default::default(), vec![None]);
        let (now, charged, served) = (0, 0, 0);
        let (balance, in_transit, settled) = (BOUGHT, Vec::new(), false);
        vec![State {
            now,
            nodes,
            balance,
            charged,
            served,
            accounts,
            in_transit,
            settled,
            unreported_at_settlement: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < self.steps && state.nodes.iter().all(|node| node.running != Some(0)) {
            actions.push(Action::Step);
        }
        for (node_index, node) in (0..).zip(&state.nodes) {
            if node.report_number < self.max_reports[usize::from(node_index)]
                && node.reported_at.is_none()
                && state.in_transit.len() < self.max_in_transit
            {
                actions.push(Action::Report(node_index));
            }
            let may_admit =
                node.granted > node.spent && node.expires_at.is_some_and(|expires_at| state.now < expires_at);
            match node.running {
                None if may_admit => actions.push(Action::Admit(node_index)),
                Some(_) => actions
                    .extend([Action::EndRequest(node_index, true), Action::EndRequest(node_index, false)]),
                None => {}
            }
        }
        for message in &state.in_transit {
            let message = *message;
            actions.extend([
                Action::Deliver(message, false),
                Action::Deliver(message, true),
                Action::Drop(message),
            ]);
        }
        if self.defect == Defect::ReturnedAtSuspicion {
            let open_accounts = (0..).zip(&state.accounts).filter(|(_, account)| account.is_some());
            actions.extend(open_accounts.map(|(account, _)| Action::Suspect(account)));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Step => {
                state.now += 1;
                for node in &mut state.nodes {
                    node.running = node.running.map(|remaining| remaining - 1);
                }
                self.settle_expired(&mut state);
            }
            Action::Report(node_index) => {
                let node = &mut state.nodes[usize::from(node_index)];
                node.report_number += 1;
                node.reported_at = Some(state.now);
                let charged = if self.defect == Defect::ChargeWithoutId {
                    node.spent - node.reported
                } else {
                    node.spent
                };
                node.reported = node.spent;
                state.in_transit.push(Message::Report(node_index, node.report_number, node.account, charged));
            }
            Action::Deliver(message, duplicated) => {
                if !duplicated {
                    let position = state.in_transit.iter().position(|other| *other == message)?;
                    state.in_transit.remove(position);
                }
                self.handle_message(&mut state, message);
            }
            Action::Drop(message) => {
                let position = state.in_transit.iter().position(|other| *other == message)?;
                state.in_transit.remove(position);
                // The node may send its next report, which contains the charges of the lost one.
                let (Message::Report(node_index, number, ..) | Message::Response(node_index, number, ..)) =
                    message;
                let node = &mut state.nodes[usize::from(node_index)];
                if node.report_number == number {
                    node.reported_at = None;
                }
            }
            Action::Admit(node_index) => state.nodes[usize::from(node_index)].running = Some(IN_FLIGHT_STEPS),
            Action::EndRequest(node_index, completed) => {
                let node = &mut state.nodes[usize::from(node_index)];
                node.running = None;
                if completed {
                    node.spent += 1;
                    state.served += 1;
                }
            }
            Action::Suspect(account) => self.return_units(&mut state, usize::from(account)),
        }
        state.in_transit.sort_unstable();
        state.in_transit.dedup();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let safe = Property::always("each unit served and charged at most once", |_, state: &State| {
            state.served <= BOUGHT + state.unreported_at_settlement
                && state.charged <= state.served
                && state.balance + state.charged + state.unspent() == BOUGHT
        });
        if self.defect != Defect::None {
            return vec![safe];
        }
        let charge_recorded =
            Property::sometimes("a charge is reported and recorded", |_, state: &State| state.charged > 0);
        let served_by_other_node =
            Property::sometimes("a unit in doubt is served by another node", |_, state: &State| {
                state.settled && state.served == BOUGHT && state.nodes.iter().any(|node| node.spent == 0)
            });
        vec![safe, charge_recorded, served_by_other_node]
    }
}

impl WalletModel {
    /// Settles an account: returns its unspent units to the balance and closes it, so that later reports on it charge nothing.
    fn return_units(&self, state: &mut State, account_index: usize) {
        if let Some(account) = state.accounts[account_index].take() {
            state.balance += account.granted - account.spent;
            state.settled = true;
            let node = &state.nodes[usize::from(account.node)];
            if usize::from(node.account) == account_index {
                state.unreported_at_settlement += node.spent.saturating_sub(account.spent);
            }
        }
    }

    /// Settles the accounts that expired at least [`IN_FLIGHT_STEPS`] + [`IN_DOUBT_STEPS`] ago: their requests have all ended, and
    /// their units have been in doubt for long enough. [`Defect::NoInFlightTime`] settles them at expiry.
    fn settle_expired(&self, state: &mut State) {
        let wait_steps =
            if self.defect == Defect::NoInFlightTime { 0 } else { IN_FLIGHT_STEPS + IN_DOUBT_STEPS };
        for account_index in 0..state.accounts.len() {
            if state.accounts[account_index]
                .as_ref()
                .is_some_and(|account| state.now >= account.expires_at + wait_steps)
            {
                self.return_units(state, account_index);
            }
        }
    }

    fn handle_message(&self, state: &mut State, message: Message) {
        match message {
            Message::Report(node_index, number, account, charged) => {
                let is_open = state.accounts.get(usize::from(account)).is_some_and(Option::is_some);
                let account = if is_open { usize::from(account) } else { state.accounts.len() };
                if !is_open {
                    if account > MAX_ACCOUNT_INDEX {
                        return;
                    }
                    state.accounts.push(Some(Account {
                        node: node_index,
                        granted: 0,
                        spent: 0,
                        expires_at: 0,
                    }));
                }
                let Some(own) = state.accounts[account].as_mut() else { return };
                let charge = if self.defect == Defect::ChargeWithoutId {
                    charged
                } else {
                    charged.saturating_sub(own.spent)
                };
                let charge = if is_open { charge.min(own.granted - own.spent) } else { 0 };
                own.spent += charge;
                state.charged += charge;
                if state.balance > 0 && own.granted == own.spent {
                    own.granted += 1;
                    state.balance -= 1;
                }
                own.expires_at = state.now + RESERVATION_STEPS;
                let (account, granted) = (account as u8, own.granted);
                if state.in_transit.len() < self.max_in_transit {
                    state.in_transit.push(Message::Response(node_index, number, account, granted));
                }
            }
            Message::Response(node_index, number, account, granted) => {
                let node = &mut state.nodes[usize::from(node_index)];
                let Some(reported_at) = node.reported_at.filter(|_| node.report_number == number) else {
                    return;
                };
                if node.account != account {
                    // The previous account was settled without the charges that it had not reported. A request that was
                    // admitted against it and still runs is served, and charged to the new account or not at all.
                    (node.account, node.spent, node.reported) = (account, 0, 0);
                }
                (node.granted, node.expires_at, node.reported_at) =
                    (granted, Some(reported_at + RESERVATION_STEPS), None);
            }
        }
    }
}
