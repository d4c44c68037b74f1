//! The register: who is there, and what each may use of what all share. One deterministic state machine that
//! a replicated log drives: [`Register::apply`] takes the entry at a place of the log and gives the answers.
//! It reads no clock, does no I/O and iterates over nothing that is hashed: two replicas that applied the same
//! log are equal octet for octet, and tell so by their digest.
//!
//! Time. Entries carry what the leader that wrote them observed: its term, and its own clock ([`Stamped`]). The
//! register's time ([`time`]) moves on by what one leader's clock moved on within its term, and by nothing from
//! one term to the next. So no more of it passes between two entries than really passed between them; a new
//! leader extends what is granted and never cuts it short.
//!
//! Grants ([`budgets`]) are leases (Gray and Cheriton, 1989): an amount for a span, which the holder counts from
//! before it asked and the register from the stamp, which is later, plus a bound on drift, the longest time
//! for which something begun goes on, and a margin. What a node may be using counts until that is over,
//! whoever suspects it.

#![forbid(unsafe_code)]

pub mod budgets;
mod command;
mod members;
mod orders;
pub mod schemas;
mod snapshot;
mod time;
pub mod wallets;

pub use command::{Answer, Command, Place, Stamped};
pub use members::Standing;
pub use snapshot::{Damaged, Digest};

use budgets::{Budget, Division};
use lynxtally::Instant;
use lynxtally_messages::{
    AdminAction, AdminRequest, AdminResponse, Document, IdempotencyKey, LeaseUpdate, NodeRequest,
    NodeResponse, Rejection,
};
use members::Members;
use orders::Orders;
use schemas::Schemas;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use time::Time;
use wallets::{Books, Wallet};

/// The whole state.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Register {
    /// The number of the last entry that was applied.
    number: u64,
    time: Time,
    members: Members,
    budgets: BTreeMap<String, Budget>,
    wallets: BTreeMap<String, Wallet>,
    schemas: Schemas,
    orders: Orders,
    /// The last marked number and the digest that the state had there.
    marked: Option<(u64, Digest)>,
    /// How much of the log each keeper is known to have had.
    had: BTreeMap<u64, u64>,
}

impl Register {
    /// Applies the entry at a place of the log. Places come in order and each once.
    pub fn apply(&mut self, place: Place, entry: &Stamped) -> Answer {
        self.number = place.number;
        if !self.time.advance(place.term, entry) {
            // The stamp is of another term than the entry: it tells nothing of when this is.
            return Answer::Again;
        }
        let now = self.time.now();
        self.lapse(now);
        match &entry.command {
            Command::Blank => Answer::Nothing,
            Command::Tick { had } => {
                for (keeper, number) in had {
                    let known = self.had.entry(*keeper).or_default();
                    *known = (*known).max(*number);
                }
                self.budgets.values_mut().for_each(|budget| budget.divide(now));
                self.wallets.values_mut().for_each(|wallet| wallet.tick(now));
                self.members.tick(now);
                if !self.schemas.waits().is_empty() {
                    self.schemas.look(&self.members.readers());
                }
                Answer::Nothing
            }
            Command::Say(say) => Answer::Reply(self.say(now, say)),
            Command::Order(order) => Answer::Outcome(self.order(now, order)),
            Command::Suspect { incarnation, suspect } => {
                if self.members.suspect(*incarnation, *suspect) {
                    self.budgets.values_mut().for_each(|budget| budget.suspect(*incarnation, *suspect));
                }
                Answer::Nothing
            }
            Command::Mark => {
                self.marked = None;
                let digest = self.digest();
                self.marked = Some((place.number, digest));
                Answer::Marked(place.number, digest)
            }
            Command::Compare { number, digest } => match self.marked {
                Some((at, own)) if at == *number && own != *digest => Answer::Differs { number: at, own },
                _ => Answer::Nothing,
            },
        }
    }

    /// What surely ran out is free again.
    fn lapse(&mut self, now: Instant) {
        self.budgets.values_mut().for_each(|budget| budget.lapse(now));
    }

    fn say(&mut self, now: Instant, say: &NodeRequest) -> NodeResponse {
        if say.incarnation == 0 {
            return match self.members.ask(now, self.number, say) {
                Some(incarnation) => NodeResponse::Accepted(LeaseUpdate {
                    incarnation,
                    sequence: say.sequence,
                    leases: Vec::new(),
                    reservations: Vec::new(),
                    document: None,
                    unreadable_reason: None,
                }),
                None => NodeResponse::Rejected(Rejection::TooManyJoining),
            };
        }
        match self.members.hear(now, say) {
            members::Heard::Again(reply) => reply,
            members::Heard::Refused(refusal) => NodeResponse::Rejected(refusal),
            members::Heard::New { replaced } => {
                if let Some(former) = replaced {
                    // It may still be using what it has, but it shall get no more.
                    self.budgets.values_mut().for_each(|budget| budget.mute(former));
                    self.wallets.values_mut().for_each(|wallet| wallet.mute(former));
                }
                let reply = self.grant(now, say);
                self.members.replied(say, reply.clone());
                reply
            }
        }
    }

    fn grant(&mut self, now: Instant, say: &NodeRequest) -> NodeResponse {
        let (mut grants, mut reserves) = (Vec::new(), Vec::new());
        if say.ends_session {
            for (name, wallet) in &mut self.wallets {
                wallet.over(say.incarnation, say.wallets.iter().find(|purse| purse.wallet == *name));
            }
            for budget in self.budgets.values_mut() {
                budget.over(say.incarnation);
            }
            self.members.over(say.incarnation);
        } else {
            for want in &say.budgets {
                if let Some(budget) = self.budgets.get_mut(&want.budget) {
                    grants.push(budget.ask(now, self.number, say.incarnation, want));
                }
            }
        }
        for purse in say.wallets.iter().filter(|_| !say.ends_session) {
            if let Some(wallet) = self.wallets.get_mut(&purse.wallet) {
                reserves.push(wallet.ask(now, self.number, say.incarnation, purse));
            }
        }
        let (document, unreadable) = self.document(say);
        NodeResponse::Accepted(LeaseUpdate {
            incarnation: say.incarnation,
            sequence: say.sequence,
            leases: grants,
            reservations: reserves,
            document,
            unreadable_reason: unreadable,
        })
    }

    /// The route document that a reader is to have, where that is another than it has, or that it can read none.
    fn document(&self, say: &NodeRequest) -> (Option<Document>, Option<String>) {
        let (Some(applied), Some(number)) = (&say.applied_document, self.schemas.number()) else {
            return (None, None);
        };
        match self.schemas.document(&say.schema_versions) {
            Some(document) if (document.index, document.version) == (applied.index, applied.version) => {
                (None, None)
            }
            Some(document) => (Some(document), None),
            None => {
                let read: Vec<String> = say.schema_versions.iter().map(ToString::to_string).collect();
                let why = format!("document {number} can't be had in the versions {}", read.join(", "));
                (None, Some(why))
            }
        }
    }

    fn order(&mut self, now: Instant, order: &AdminRequest) -> AdminResponse {
        let AdminRequest { key: id, action: what } = order;
        if let Some(outcome) = self.orders.known(id) {
            return outcome;
        }
        let outcome = match what {
            AdminAction::SetBudget { name, .. }
                if self.budgets.len() >= budgets::MOST && !self.budgets.contains_key(name) =>
            {
                Err(format!("`what.budget.name` {name}: there are {} budgets already", budgets::MOST))
            }
            AdminAction::SetBudget { name, terms } => match self.budgets.get_mut(name) {
                Some(budget) => budget.change(now, *terms).map_err(|why| format!("{why} of {name}")),
                None => {
                    self.budgets.insert(name.clone(), Budget::new(*terms, now));
                    Ok(())
                }
            },
            AdminAction::SetWallet { name, .. }
                if self.wallets.len() >= wallets::MOST && !self.wallets.contains_key(name) =>
            {
                Err(format!("`what.wallet.name` {name}: there are {} wallets already", wallets::MOST))
            }
            AdminAction::SetWallet { name, terms } => match self.wallets.get_mut(name) {
                Some(wallet) => {
                    wallet.terms = terms.clone();
                    Ok(())
                }
                None => {
                    self.wallets.insert(name.clone(), Wallet::new(terms.clone()));
                    Ok(())
                }
            },
            AdminAction::TopUp { wallet, units } => match self.wallets.get_mut(wallet) {
                Some(own) => own.top_up(*units).map_err(|why| format!("`what.top_up.units` {why}")),
                None => Err(format!("`what.top_up.wallet` {wallet}: there is none of this name")),
            },
            AdminAction::Withdraw { wallet, units } => match self.wallets.get_mut(wallet) {
                Some(own) => own.correct(*units).map_err(|why| format!("`what.correct.units` {why}")),
                None => Err(format!("`what.correct.wallet` {wallet}: there is none of this name")),
            },
            AdminAction::ProposeSchema { schema } => self.schemas.propose(schema, &self.members.readers()),
            AdminAction::PublishDocument { version, body } => {
                self.schemas.publish(self.number, *version, body, &self.members.readers())
            }
            AdminAction::EndIncarnation { incarnation } => {
                let known = self.members.over(*incarnation)
                    | self.budgets.values_mut().fold(false, |any, budget| budget.over(*incarnation) | any);
                let why = || format!("`what.over.incarnation` {incarnation}: holds nothing and is not there");
                known.then_some(()).ok_or_else(why)
            }
        };
        let outcome = match outcome {
            Ok(()) => AdminResponse::Applied { index: self.number },
            Err(why) => AdminResponse::Rejected(Rejection::Invalid { reason: why }),
        };
        self.orders.remember(id, self.number, outcome.clone());
        outcome
    }

    /// The number of the last entry that was applied.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// How a budget stands.
    pub fn budget(&self, name: &str) -> Option<Division> {
        self.budgets.get(name).map(Budget::division)
    }

    /// All budgets, in the order of their names.
    pub fn budgets(&self) -> impl Iterator<Item = (&str, Division)> {
        self.budgets.iter().map(|(name, budget)| (name.as_str(), budget.division()))
    }

    /// Where every unit of a wallet is.
    pub fn books(&self, wallet: &str) -> Option<Books> {
        self.wallets.get(wallet).map(Wallet::books)
    }

    /// The books of all wallets, in the order of their names.
    pub fn all_books(&self) -> impl Iterator<Item = (&str, Books)> {
        self.wallets.iter().map(|(name, wallet)| (name.as_str(), wallet.books()))
    }

    /// Route documents: the versions in force, the number of the document in force, and for whom something waits.
    pub fn routes(&self) -> (Vec<u32>, Option<u64>, &[String]) {
        (self.schemas.versions().collect(), self.schemas.number(), self.schemas.waits())
    }

    /// What a process may be using of a budget at most.
    pub fn counted(&self, budget: &str, incarnation: u64) -> u64 {
        self.budgets.get(budget).map_or(0, |budget| budget.counted(incarnation))
    }

    /// Those who are there, in the order of their incarnations.
    pub fn members(&self) -> impl Iterator<Item = (u64, &Standing)> {
        self.members.all()
    }

    /// Whether an order with this id was carried out or refused before.
    pub fn knows(&self, id: &IdempotencyKey) -> bool {
        self.orders.known(id).is_some()
    }

    /// How much of the log a keeper is known to have had.
    pub fn had(&self, keeper: u64) -> u64 {
        self.had.get(&keeper).copied().unwrap_or_default()
    }

    /// Whether anything waits for time to pass.
    pub fn waits(&self) -> bool {
        self.members.all().next().is_some()
            || self.budgets.values().any(|budget| budget.division().counted > 0)
    }
}
