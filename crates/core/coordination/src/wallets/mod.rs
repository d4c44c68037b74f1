//! Wallets: tasks bought in advance, debited on every node.
//!
//! What a customer bought is in exactly one place: the balance, a node's reservation, charged, or in doubt
//! ([`Books`]). A reservation is an escrow (O'Neil, 1986): the node lets tasks in against it without asking, for a span,
//! and tells what it charged as one count that only grows, so that a batch told three times is charged once. What is
//! left of it may be used no more once its span and the longest time of a task are surely over; until the
//! node accounts for it, it is in doubt, and after a stated time that is settled as the terms say.

mod account;

use crate::time::drifted;
use account::Account;
use lynxtally::{Instant, Span};
use lynxtally_messages::{InDoubtPolicy, Reservation, WalletReport, WalletTerms};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// So many wallets there may be.
pub const MOST: usize = 65_536;

/// Where every unit is. What was bought is the sum of the next four.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct Books {
    /// Bought, less what was taken back by corrections.
    pub bought: u64,
    /// With nobody.
    pub balance: u64,
    /// With nodes.
    pub reserved: u64,
    /// Charged for tasks.
    pub charged: u64,
    /// With nodes that vanished and have not accounted for it yet.
    pub in_doubt: u64,
    /// Of what is charged: what was charged for doubt, by the terms, without an account of it.
    pub charged_for_doubt: u64,
    /// Told by nodes after their doubt was settled, and not charged again.
    pub told_late: u64,
}

impl Books {
    /// Whether every unit is in exactly one place.
    pub fn add_up(&self) -> bool {
        self.bought == self.balance + self.reserved + self.charged + self.in_doubt
    }
}

/// One customer's wallet.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub(crate) struct Wallet {
    pub terms: WalletTerms,
    books: Books,
    /// By the number that each was opened with.
    accounts: BTreeMap<u64, Account>,
}

/// Accounts that are settled are forgotten, the oldest first, where there are more than so many.
const REMEMBERED: usize = 4096;
/// Of the balance all nodes together get this part at most at one time, so that the last units are not stranded.
const AT_ONCE: u64 = 4;

impl Wallet {
    pub fn new(terms: WalletTerms) -> Self {
        Self { terms, books: Books::default(), accounts: BTreeMap::new() }
    }

    pub fn books(&self) -> Books {
        self.books
    }

    /// Units are bought.
    pub fn top_up(&mut self, units: u64) -> Result<(), String> {
        let sum = self.books.bought.checked_add(units).filter(|sum| *sum <= lynxtally_messages::MAX_UNITS);
        let bought = sum.ok_or_else(|| format!("has {} already", self.books.bought))?;
        self.books.bought = bought;
        self.books.balance += units;
        Ok(())
    }

    /// Units are taken back, as far as they are with nobody.
    pub fn correct(&mut self, units: u64) -> Result<(), String> {
        let why = || format!("is {units}; {} at most are with nobody", self.books.balance);
        self.books.balance = self.books.balance.checked_sub(units).ok_or_else(why)?;
        self.books.bought -= units;
        Ok(())
    }

    /// A node accounts for what it charged, gives back, and asks for more. `number` is that of the log.
    pub fn ask(&mut self, now: Instant, number: u64, incarnation: u64, purse: &WalletReport) -> Reservation {
        let own = self.accounts.get(&purse.account).filter(|own| own.incarnation == incarnation);
        let known = own.is_some_and(|own| !own.settled);
        if let Some(settled) = own.filter(|own| own.settled) {
            // What it tells now was decided without it, and is not decided again.
            self.books.told_late += purse.spent.saturating_sub(settled.spent);
            self.accounts.remove(&purse.account);
        }
        let at = if known { purse.account } else { number };
        if !known {
            self.accounts.insert(at, Account::new(incarnation));
        }
        if known {
            self.account_for(at, purse.spent, purse.returned);
        }
        let size = self.size(at, purse);
        let Terms { span_us, drift, margin_us } = Terms::of(&self.terms);
        let end = now
            + drifted(Span::from_micros(span_us.saturating_add(purse.max_in_flight_us)), drift)
            + Span::from_micros(margin_us);
        let Some(account) = self.accounts.get_mut(&at) else { return Reservation::default() };
        if account.doubt.take().is_some() {
            // It is back before its doubt was settled: what it holds is with a node again.
            self.books.in_doubt -= account.left();
            self.books.reserved += account.left();
        }
        account.give(size, end);
        self.books.balance -= size;
        self.books.reserved += size;
        Reservation {
            wallet: purse.wallet.clone(),
            account: at,
            granted: account.given,
            retain: account.keep(purse),
            duration_us: span_us,
            exhausted: self.books.balance == 0,
            prices: self.terms.prices.clone(),
        }
    }

    /// Books what a node charged and gave back; both only grow, and what was booked before is booked once.
    fn account_for(&mut self, at: u64, spent: u64, returned: u64) {
        let Some(account) = self.accounts.get_mut(&at) else { return };
        let left = account.left();
        let charged = spent.saturating_sub(account.spent).min(left);
        let back = returned.saturating_sub(account.returned).min(left - charged);
        (account.spent, account.returned) = (account.spent + charged, account.returned + back);
        let from = if account.doubt.is_some() { &mut self.books.in_doubt } else { &mut self.books.reserved };
        *from -= charged + back;
        self.books.charged += charged;
        self.books.balance += back;
    }

    /// How much more a node gets: what it wants, but of the balance no more than a part, shared by all; and where
    /// that is less than one task, one task's while there is any.
    fn size(&self, at: u64, purse: &WalletReport) -> u64 {
        let Some(account) = self.accounts.get(&at).filter(|account| !account.muted) else { return 0 };
        let there =
            self.accounts.values().filter(|other| other.doubt.is_none() && !other.settled).count().max(1)
                as u64;
        let part = self.books.balance / AT_ONCE / there;
        let dearest = self.terms.prices.values().copied().max().unwrap_or(1);
        let most = part.max(dearest).min(self.books.balance);
        purse.demand.saturating_sub(account.left()).min(most)
    }

    /// The balance, and what lies idle, can't cover anything more.
    pub fn tick(&mut self, now: Instant) {
        let doubt = Span::from_micros(self.terms.in_doubt_timeout_us);
        let numbers: Vec<u64> = self.accounts.keys().copied().collect();
        for at in numbers.iter().copied() {
            let Some(account) = self.accounts.get_mut(&at) else { continue };
            match account.doubt {
                // Nothing of it is left; it is remembered so that what it tells late is known as that.
                _ if account.settled => {}
                None if account.end <= now => {
                    account.doubt = Some(now);
                    self.books.reserved -= account.left();
                    self.books.in_doubt += account.left();
                }
                Some(since) if now - since >= doubt => self.settle_doubt(at),
                _ => {}
            }
        }
        for at in numbers {
            let settled = self.accounts.get(&at).is_some_and(|account| account.settled);
            if settled && self.accounts.len() > REMEMBERED {
                self.accounts.remove(&at);
            }
        }
    }

    /// Nobody accounted for it in time.
    fn settle_doubt(&mut self, at: u64) {
        let Some(account) = self.accounts.get_mut(&at) else { return };
        let left = account.settle();
        self.books.in_doubt -= left;
        match self.terms.in_doubt_policy {
            InDoubtPolicy::Return => self.books.balance += left,
            InDoubtPolicy::Charge => {
                self.books.charged += left;
                self.books.charged_for_doubt += left;
            }
        }
    }

    /// A process says that it is over, with its last account: what it did not charge is free.
    pub fn over(&mut self, incarnation: u64, purse: Option<&WalletReport>) {
        if let Some(purse) = purse {
            let own = self.accounts.get(&purse.account).filter(|own| !own.settled);
            if own.is_some_and(|own| own.incarnation == incarnation) {
                self.account_for(purse.account, purse.spent, purse.returned);
                if let Some(account) = self.accounts.remove(&purse.account) {
                    let left = account.left();
                    let from = if account.doubt.is_some() {
                        &mut self.books.in_doubt
                    } else {
                        &mut self.books.reserved
                    };
                    *from -= left;
                    self.books.balance += left;
                }
            }
        }
    }

    /// Another has a process's name: it gets nothing more.
    pub fn mute(&mut self, incarnation: u64) {
        let own = self.accounts.values_mut().filter(|account| account.incarnation == incarnation);
        own.for_each(|account| account.muted = true);
    }
}

struct Terms {
    span_us: u64,
    drift: u64,
    margin_us: u64,
}

impl Terms {
    fn of(terms: &WalletTerms) -> Self {
        Self {
            span_us: terms.reservation_duration_us,
            drift: terms.max_clock_drift_ppm,
            margin_us: terms.pause_margin_us,
        }
    }
}
