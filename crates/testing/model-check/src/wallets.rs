//! Two units, two nodes that let tasks in against reservations, one register. Messages are lost, repeated and late;
//! nodes vanish, and come back late.
//!
//! Properties in words. Never: more tasks are served than were bought, but for those that a node had finished and not
//! told when its doubt was settled for the customer; more is charged than was served; a unit is in two places, or
//! in none. Sometimes: a charge is told and booked, and a unit that was in doubt is
//! served by another.

use stateright::{Model, Property};

/// So many units were bought.
const BOUGHT: u8 = 2;
/// Tasks may be let in against a reservation for so many steps.
const SPAN: u8 = 1;
/// A task is inside for so many steps at most.
const TAIL: u8 = 1;
/// Once nothing can be under way, an account of it is waited for so many steps.
const DOUBT: u8 = 1;

/// What is done wrongly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Nothing.
    Sound,
    /// A message tells what was charged since the last, and is booked each time that it comes.
    WithoutId,
    /// What a suspected node has is given back at once.
    AtSuspicion,
    /// What is left is given back when the span is over, though tasks are inside.
    NoTail,
}

/// The model, up to a number of steps.
#[derive(Clone, Copy, Debug)]
pub struct Wallets {
    /// What is done wrongly.
    pub variant: Variant,
    /// So many steps of time.
    pub steps: u8,
    /// So often each node speaks.
    pub says: [u8; 2],
    /// So many messages are under way at once.
    pub under_way: usize,
}

/// A node's side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Node {
    account: u8,
    given: u8,
    until: Option<u8>,
    /// Steps that the task inside may still take.
    inside: Option<u8>,
    spent: u8,
    told: u8,
    says: u8,
    asked: Option<u8>,
}

/// The register's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Account {
    node: u8,
    given: u8,
    spent: u8,
    end: u8,
}

/// A message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A node tells, under the number of its message, its account and what it charged: all, or since the last.
    Say(u8, u8, u8, u8),
    /// The register tells a node, for that message, its account and what was given in it.
    Told(u8, u8, u8, u8),
}

/// All of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u8,
    nodes: [Node; 2],
    balance: u8,
    charged: u8,
    served: u8,
    /// By the number that each was opened with.
    accounts: Vec<Option<Account>>,
    under_way: Vec<Message>,
    settled: bool,
    /// Finished and not told when it was settled.
    late: u8,
}

/// What may happen.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A step of time.
    Step,
    /// A node speaks.
    Say(u8),
    /// A message arrives, and may again.
    Arrive(Message, bool),
    /// A message is lost.
    Lose(Message),
    /// A node lets a task in.
    LetIn(u8),
    /// The task inside is finished, or rejected.
    End(u8, bool),
    /// The register suspects the one that has an account.
    Suspect(u8),
}

impl State {
    fn left(&self) -> u8 {
        self.accounts.iter().flatten().map(|account| account.given - account.spent).sum()
    }
}

impl Model for Wallets {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let (nodes, accounts) = (Default::default(), vec![None]);
        let (now, charged, served) = (0, 0, 0);
        let (balance, under_way, settled) = (BOUGHT, Vec::new(), false);
        vec![State { now, nodes, balance, charged, served, accounts, under_way, settled, late: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < self.steps && state.nodes.iter().all(|node| node.inside != Some(0)) {
            actions.push(Action::Step);
        }
        for (at, node) in (0..).zip(&state.nodes) {
            if node.says < self.says[usize::from(at)]
                && node.asked.is_none()
                && state.under_way.len() < self.under_way
            {
                actions.push(Action::Say(at));
            }
            let covered = node.given > node.spent && node.until.is_some_and(|until| state.now < until);
            match node.inside {
                None if covered => actions.push(Action::LetIn(at)),
                Some(_) => actions.extend([Action::End(at, true), Action::End(at, false)]),
                None => {}
            }
        }
        for message in &state.under_way {
            let message = *message;
            actions.extend([
                Action::Arrive(message, false),
                Action::Arrive(message, true),
                Action::Lose(message),
            ]);
        }
        if self.variant == Variant::AtSuspicion {
            let there = (0..).zip(&state.accounts).filter(|(_, account)| account.is_some());
            actions.extend(there.map(|(at, _)| Action::Suspect(at)));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Step => {
                state.now += 1;
                for node in &mut state.nodes {
                    node.inside = node.inside.map(|left| left - 1);
                }
                self.settle(&mut state);
            }
            Action::Say(at) => {
                let node = &mut state.nodes[usize::from(at)];
                node.says += 1;
                node.asked = Some(state.now);
                let charged =
                    if self.variant == Variant::WithoutId { node.spent - node.told } else { node.spent };
                node.told = node.spent;
                state.under_way.push(Message::Say(at, node.says, node.account, charged));
            }
            Action::Arrive(message, stays) => {
                if !stays {
                    let at = state.under_way.iter().position(|known| *known == message)?;
                    state.under_way.remove(at);
                }
                self.arrive(&mut state, message);
            }
            Action::Lose(message) => {
                let at = state.under_way.iter().position(|known| *known == message)?;
                state.under_way.remove(at);
                // The next message tells the same again.
                let (Message::Say(at, number, ..) | Message::Told(at, number, ..)) = message;
                let node = &mut state.nodes[usize::from(at)];
                if node.says == number {
                    node.asked = None;
                }
            }
            Action::LetIn(at) => state.nodes[usize::from(at)].inside = Some(TAIL),
            Action::End(at, finished) => {
                let node = &mut state.nodes[usize::from(at)];
                node.inside = None;
                if finished {
                    node.spent += 1;
                    state.served += 1;
                }
            }
            Action::Suspect(at) => self.give_back(&mut state, usize::from(at)),
        }
        state.under_way.sort_unstable();
        state.under_way.dedup();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let safe = Property::always("each unit served and charged at most once", |_, state: &State| {
            state.served <= BOUGHT + state.late
                && state.charged <= state.served
                && state.balance + state.charged + state.left() == BOUGHT
        });
        if self.variant != Variant::Sound {
            return vec![safe];
        }
        let all = Property::sometimes("a charge is told and booked", |_, state: &State| state.charged > 0);
        let again = Property::sometimes("what was in doubt is served by another", |_, state: &State| {
            state.settled && state.served == BOUGHT && state.nodes.iter().any(|node| node.spent == 0)
        });
        vec![safe, all, again]
    }
}

impl Wallets {
    /// What is left of an account is with nobody again, and what it tells from then on is booked no more.
    fn give_back(&self, state: &mut State, at: usize) {
        if let Some(account) = state.accounts[at].take() {
            state.balance += account.given - account.spent;
            state.settled = true;
            let node = &state.nodes[usize::from(account.node)];
            if usize::from(node.account) == at {
                state.late += node.spent.saturating_sub(account.spent);
            }
        }
    }

    fn settle(&self, state: &mut State) {
        let wait = if self.variant == Variant::NoTail { 0 } else { TAIL + DOUBT };
        for at in 0..state.accounts.len() {
            if state.accounts[at].as_ref().is_some_and(|account| state.now >= account.end + wait) {
                self.give_back(state, at);
            }
        }
    }

    fn arrive(&self, state: &mut State, message: Message) {
        match message {
            Message::Say(at, number, account, charged) => {
                let known = state.accounts.get(usize::from(account)).is_some_and(Option::is_some);
                let account = if known { usize::from(account) } else { state.accounts.len() };
                if !known {
                    if account > 3 {
                        return; // So many lives are looked at.
                    }
                    state.accounts.push(Some(Account { node: at, given: 0, spent: 0, end: 0 }));
                }
                let Some(own) = state.accounts[account].as_mut() else { return };
                let more = if self.variant == Variant::WithoutId {
                    charged
                } else {
                    charged.saturating_sub(own.spent)
                };
                let more = if known { more.min(own.given - own.spent) } else { 0 };
                own.spent += more;
                state.charged += more;
                if state.balance > 0 && own.given == own.spent {
                    own.given += 1;
                    state.balance -= 1;
                }
                own.end = state.now + SPAN;
                let (account, given) = (account as u8, own.given);
                if state.under_way.len() < self.under_way {
                    state.under_way.push(Message::Told(at, number, account, given));
                }
            }
            Message::Told(at, number, account, given) => {
                let node = &mut state.nodes[usize::from(at)];
                let Some(asked) = node.asked.filter(|_| node.says == number) else { return };
                if node.account != account {
                    // What was charged in the one before was decided without it.
                    (node.account, node.spent, node.told) = (account, 0, 0);
                    // A task inside was let in against that one too: it is served, and charged there or not at all.
                }
                (node.given, node.until, node.asked) = (given, Some(asked + SPAN), None);
            }
        }
    }
}
