//! Wallets: units that a tenant bought in advance, charged on every node.
//!
//! Safety rule: each unit is in exactly one place, the balance, a node's reservation, charged, or in doubt
//! ([`WalletBalances`]). A reservation is an escrow (O'Neil, 1986): a node admits requests against it without asking,
//! for a limited time, and reports what it charged as one count that only grows, so that a report that arrives three
//! times is charged once. Once nothing can run any more that was admitted against it, what is left is *in doubt*,
//! until the node accounts for it or the terms decide. Only then may another node get it.

mod account;

use crate::clock::surely_over_at;
use crate::error::AdminError;
use account::Account;
use lynxtally::{Instant, Span};
use lynxtally_messages::{InDoubtPolicy, Reservation, WalletReport, WalletTerms, MAX_UNITS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// There may be as many wallets.
pub const MAX_WALLETS: usize = 65_536;
/// Beyond as many accounts the settled ones are forgotten, the oldest first.
const MAX_ACCOUNTS: usize = 4096;
/// All nodes together get one part in this many of the balance at one time, so that the last units are not stranded
/// with nodes that do not use them.
const BALANCE_PARTS: u64 = 4;

/// Where every unit of a wallet is. What was bought is the sum of the four that follow it.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct WalletBalances {
    /// Bought, less what was withdrawn.
    pub bought: u64,
    /// With no node.
    pub balance: u64,
    /// With nodes.
    pub reserved: u64,
    /// Charged for requests.
    pub charged: u64,
    /// With nodes that vanished and did not account for it yet.
    pub in_doubt: u64,
    /// The part of what is charged that was in doubt and was charged by the terms, without an account of it.
    #[serde(rename = "charged_for_doubt")]
    pub charged_by_policy: u64,
    /// Reported by nodes after their doubt was settled, and not charged again.
    #[serde(rename = "told_late")]
    pub reported_late: u64,
}

impl WalletBalances {
    /// Whether every unit is in exactly one place.
    pub fn add_up(&self) -> bool {
        self.bought == self.balance + self.reserved + self.charged + self.in_doubt
    }

    /// The place of what an account has left.
    fn place_of(&mut self, account: &Account) -> &mut u64 {
        if account.in_doubt_since.is_some() {
            &mut self.in_doubt
        } else {
            &mut self.reserved
        }
    }
}

/// One tenant's wallet.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub(crate) struct Wallet {
    pub terms: WalletTerms,
    #[serde(rename = "books")]
    balances: WalletBalances,
    /// By the log index that each was opened at.
    accounts: BTreeMap<u64, Account>,
}

impl Wallet {
    pub fn new(terms: WalletTerms) -> Self {
        Self { terms, balances: WalletBalances::default(), accounts: BTreeMap::new() }
    }

    pub fn balances(&self) -> WalletBalances {
        self.balances
    }

    /// Adds units that were bought.
    pub fn top_up(&mut self, units: u64) -> Result<(), AdminError> {
        let bought = self.balances.bought;
        let sum = bought.checked_add(units).filter(|sum| *sum <= MAX_UNITS);
        self.balances.bought = sum.ok_or(AdminError::TooManyUnits { bought })?;
        self.balances.balance += units;
        Ok(())
    }

    /// Takes units back, as far as they are in the balance.
    pub fn withdraw(&mut self, units: u64) -> Result<(), AdminError> {
        let balance = self.balances.balance;
        let left = balance.checked_sub(units);
        self.balances.balance = left.ok_or(AdminError::InsufficientBalance { units, balance })?;
        self.balances.bought -= units;
        Ok(())
    }

    /// A node accounts for what it charged and returned, and gets its next reservation. `index` is that of the log.
    pub fn renew(
        &mut self,
        now: Instant,
        index: u64,
        incarnation: u64,
        report: &WalletReport,
    ) -> Reservation {
        let number = self.open_account(index, incarnation, report);
        let units = self.next_units(number, report);
        let end = surely_over_at(
            now,
            self.terms.reservation_duration_us,
            report.max_in_flight_us,
            self.terms.max_clock_drift_ppm,
            self.terms.pause_margin_us,
        );
        let Some(account) = self.accounts.get_mut(&number) else { return Reservation::default() };
        if account.in_doubt_since.take().is_some() {
            // The node is back before its doubt was settled: what it holds is reserved again.
            self.balances.in_doubt -= account.left();
            self.balances.reserved += account.left();
        }
        account.grant(units, end);
        self.balances.balance -= units;
        self.balances.reserved += units;
        Reservation {
            wallet: report.wallet.clone(),
            account: number,
            granted: account.granted,
            retain: account.may_retain(report.demand),
            duration_us: self.terms.reservation_duration_us,
            exhausted: self.balances.balance == 0,
            prices: self.terms.prices.clone(),
        }
    }

    /// The account that a report is about, with the report booked; a new one where the node has none, or where the
    /// doubt about the one it names was settled without it.
    fn open_account(&mut self, index: u64, incarnation: u64, report: &WalletReport) -> u64 {
        let own = self.accounts.get(&report.account).filter(|own| own.incarnation == incarnation);
        match own {
            Some(own) if !own.settled => {
                self.book(report.account, report);
                return report.account;
            }
            Some(settled) => {
                // What the node reports now was decided without it, and is not decided again.
                self.balances.reported_late += report.spent.saturating_sub(settled.spent);
                self.accounts.remove(&report.account);
            }
            None => {}
        }
        self.accounts.insert(index, Account::new(incarnation));
        index
    }

    /// Books what a node charged and returned. Both counts only grow, so what was booked before is not booked again.
    fn book(&mut self, number: u64, report: &WalletReport) {
        let Some(account) = self.accounts.get_mut(&number) else { return };
        let left = account.left();
        let charged = report.spent.saturating_sub(account.spent).min(left);
        let returned = report.returned.saturating_sub(account.returned).min(left - charged);
        account.spent += charged;
        account.returned += returned;
        *self.balances.place_of(account) -= charged + returned;
        self.balances.charged += charged;
        self.balances.balance += returned;
    }

    /// How many units more a node gets: what it demands, but no more than its part of the balance; where that is less
    /// than one request's price, that price while there is as much.
    fn next_units(&self, number: u64, report: &WalletReport) -> u64 {
        let Some(account) = self.accounts.get(&number).filter(|account| !account.fenced) else { return 0 };
        let is_sharing = |account: &&Account| account.in_doubt_since.is_none() && !account.settled;
        let sharing = self.accounts.values().filter(is_sharing).count().max(1) as u64;
        let part = self.balances.balance / BALANCE_PARTS / sharing;
        let highest_price = self.terms.prices.values().copied().max().unwrap_or(1);
        let most = part.max(highest_price).min(self.balances.balance);
        report.demand.saturating_sub(account.left()).min(most)
    }

    /// Time has passed: reservations that are surely over are in doubt, and doubt that lasted too long is settled.
    pub fn tick(&mut self, now: Instant) {
        let timeout = Span::from_micros(self.terms.in_doubt_timeout_us);
        let numbers: Vec<u64> = self.accounts.keys().copied().collect();
        for number in &numbers {
            let Some(account) = self.accounts.get_mut(number) else { continue };
            match account.in_doubt_since {
                // Nothing of it is left; it is remembered so that a late report is known as that.
                _ if account.settled => {}
                None if account.over_at <= now => {
                    account.in_doubt_since = Some(now);
                    self.balances.reserved -= account.left();
                    self.balances.in_doubt += account.left();
                }
                Some(since) if now - since >= timeout => self.settle_doubt(*number),
                _ => {}
            }
        }
        self.forget_settled(&numbers);
    }

    fn forget_settled(&mut self, numbers: &[u64]) {
        for number in numbers {
            let settled = self.accounts.get(number).is_some_and(|account| account.settled);
            if settled && self.accounts.len() > MAX_ACCOUNTS {
                self.accounts.remove(number);
            }
        }
    }

    /// Nobody accounted for an account in time: the terms decide.
    fn settle_doubt(&mut self, number: u64) {
        let Some(account) = self.accounts.get_mut(&number) else { return };
        let left = account.settle();
        self.balances.in_doubt -= left;
        match self.terms.in_doubt_policy {
            InDoubtPolicy::Return => self.balances.balance += left,
            InDoubtPolicy::Charge => {
                self.balances.charged += left;
                self.balances.charged_by_policy += left;
            }
        }
    }

    /// A process ends its session with its last report: what it did not charge is free. Without a report nothing is
    /// known of its reservation, which stays as it is.
    pub fn release(&mut self, incarnation: u64, report: Option<&WalletReport>) {
        let Some(report) = report else { return };
        let own = self.accounts.get(&report.account).filter(|own| !own.settled);
        if own.is_none_or(|own| own.incarnation != incarnation) {
            return;
        }
        self.book(report.account, report);
        if let Some(account) = self.accounts.remove(&report.account) {
            let left = account.left();
            *self.balances.place_of(&account) -= left;
            self.balances.balance += left;
        }
    }

    /// Another process has taken this one's name: it gets nothing more.
    pub fn fence(&mut self, incarnation: u64) {
        let own = self.accounts.values_mut().filter(|account| account.incarnation == incarnation);
        own.for_each(|account| account.fenced = true);
    }
}
