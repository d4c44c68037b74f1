//! Wallets: units that a tenant bought in advance and that every node charges for requests.
//!
//! Safety rule: each unit is in exactly one of four categories: in the balance, reserved by a node, charged, or in
//! doubt ([`WalletBalances`]).
//!
//! A reservation is an escrow (O'Neil, 1986): for a limited time, a node admits requests against it without asking the
//! coordinators. The node reports what it charged as a count that only grows, so a report that arrives three times is
//! charged once. A reservation expires when no request that was admitted against it can still run. The units that
//! remain in it are then *in doubt*: the node may have charged them without having reported it. They stay in doubt until
//! the node reports, or until a timeout after which the wallet's policy decides. Only then can another node get them.

mod account;

use crate::clock::safe_expiry;
use crate::error::AdminError;
use account::Account;
use lynxtally::{Instant, Span};
use lynxtally_messages::{InDoubtPolicy, Reservation, WalletReport, WalletTerms, MAX_UNITS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most wallets that may exist.
pub const MAX_WALLETS: usize = 65_536;
/// If a wallet has more accounts than this, settled accounts are evicted, oldest first.
const MAX_ACCOUNTS: usize = 4096;
/// A renewal grants at most the balance divided by this number and by the number of nodes that share the wallet, unless
/// a single request costs more. Otherwise the last units could stay on nodes that don't use them.
const BALANCE_SHARE_DIVISOR: u64 = 4;

/// The number of units of a wallet in each category. `bought` is the sum of `balance`, `reserved`, `charged` and
/// `in_doubt`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct WalletBalances {
    /// Units that were bought, less those that were withdrawn.
    pub bought: u64,
    /// Units that no node holds and that can be reserved or withdrawn.
    pub balance: u64,
    /// Units in reservations of nodes.
    pub reserved: u64,
    /// Units charged for requests, including [`Self::charged_by_policy`].
    pub charged: u64,
    /// Units in expired reservations of nodes that have not reported what they charged.
    pub in_doubt: u64,
    /// Units that were in doubt and were charged by the wallet's policy, without a report of a node.
    #[serde(rename = "charged_for_doubt")]
    pub charged_by_policy: u64,
    /// Units that a node reported as charged only after its account was settled. They are not charged again.
    #[serde(rename = "told_late")]
    pub reported_late: u64,
}

impl WalletBalances {
    /// Whether every unit is in exactly one category: the four categories add up to what was bought.
    pub fn add_up(&self) -> bool {
        self.bought == self.balance + self.reserved + self.charged + self.in_doubt
    }

    /// The category that the remaining units of an account are in.
    fn category_of(&mut self, account: &Account) -> &mut u64 {
        if account.in_doubt_since.is_some() {
            &mut self.in_doubt
        } else {
            &mut self.reserved
        }
    }
}

/// A tenant's wallet with the accounts of the nodes that hold reservations.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub(crate) struct Wallet {
    pub terms: WalletTerms,
    #[serde(rename = "books")]
    balances: WalletBalances,
    /// The accounts by number. The number of an account is the log index at which it was opened.
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

    /// Removes units from the balance. Fails if the balance has fewer.
    pub fn withdraw(&mut self, units: u64) -> Result<(), AdminError> {
        let balance = self.balances.balance;
        let remaining = balance.checked_sub(units);
        self.balances.balance = remaining.ok_or(AdminError::InsufficientBalance { units, balance })?;
        self.balances.bought -= units;
        Ok(())
    }

    /// Records what a node reports as charged and returned, and grants its next reservation. `index` is the log index
    /// of the request; it becomes the number of the account if a new one is opened.
    pub fn renew(
        &mut self,
        now: Instant,
        index: u64,
        incarnation: u64,
        report: &WalletReport,
    ) -> Reservation {
        let account_number = self.current_account(index, incarnation, report);
        let units = self.units_to_grant(account_number, report);
        let expires_at = safe_expiry(
            now,
            self.terms.reservation_duration_us,
            report.max_in_flight_us,
            self.terms.max_clock_drift_ppm,
            self.terms.pause_margin_us,
        );
        let Some(account) = self.accounts.get_mut(&account_number) else { return Reservation::default() };
        if account.in_doubt_since.take().is_some() {
            // The node has returned before its account was settled, so its remaining units are reserved again.
            self.balances.in_doubt -= account.remaining();
            self.balances.reserved += account.remaining();
        }
        account.grant(units, expires_at);
        self.balances.balance -= units;
        self.balances.reserved += units;
        Reservation {
            wallet: report.wallet.clone(),
            account: account_number,
            granted: account.granted,
            retain: account.retainable(report.demand),
            duration_us: self.terms.reservation_duration_us,
            exhausted: self.balances.balance == 0,
            prices: self.terms.prices.clone(),
        }
    }

    /// Records a report and returns the number of the node's account. Opens a new account if the node has none, or if
    /// the one in the report is already settled.
    fn current_account(&mut self, index: u64, incarnation: u64, report: &WalletReport) -> u64 {
        let reported = self.accounts.get(&report.account);
        match reported.filter(|account| account.incarnation == incarnation) {
            Some(open) if !open.settled => {
                self.record_report(report.account, report);
                return report.account;
            }
            Some(settled) => {
                // The wallet's policy has already decided about the units that the node reports now, so they are only
                // counted.
                self.balances.reported_late += report.spent.saturating_sub(settled.spent);
                self.accounts.remove(&report.account);
            }
            None => {}
        }
        self.accounts.insert(index, Account::new(incarnation));
        index
    }

    /// Records what a node charged and returned since its last report. The counts in reports only grow, so a repeated
    /// report changes nothing.
    fn record_report(&mut self, account_number: u64, report: &WalletReport) {
        let Some(account) = self.accounts.get_mut(&account_number) else { return };
        let remaining = account.remaining();
        let charged = report.spent.saturating_sub(account.spent).min(remaining);
        let returned = report.returned.saturating_sub(account.returned).min(remaining - charged);
        account.spent += charged;
        account.returned += returned;
        *self.balances.category_of(account) -= charged + returned;
        self.balances.charged += charged;
        self.balances.balance += returned;
    }

    /// The number of units to grant to a node in addition to its remaining units: as many as it demands, but no more
    /// than its part of the balance. That part is at least the highest price of a request, as far as the balance allows.
    fn units_to_grant(&self, account_number: u64, report: &WalletReport) -> u64 {
        let Some(account) = self.accounts.get(&account_number).filter(|account| !account.fenced) else {
            return 0;
        };
        let is_sharing = |account: &&Account| account.in_doubt_since.is_none() && !account.settled;
        let sharing = self.accounts.values().filter(is_sharing).count().max(1) as u64;
        let part = self.balances.balance / BALANCE_SHARE_DIVISOR / sharing;
        let highest_price = self.terms.prices.values().copied().max().unwrap_or(1);
        let max_units = part.max(highest_price).min(self.balances.balance);
        report.demand.saturating_sub(account.remaining()).min(max_units)
    }

    /// Moves the units of expired reservations into doubt, and settles accounts that have been in doubt for too long.
    pub fn tick(&mut self, now: Instant) {
        let timeout = Span::from_micros(self.terms.in_doubt_timeout_us);
        let account_numbers: Vec<u64> = self.accounts.keys().copied().collect();
        for account_number in &account_numbers {
            let Some(account) = self.accounts.get_mut(account_number) else { continue };
            match account.in_doubt_since {
                // A settled account has no remaining units. It is kept to recognize a late report on it.
                _ if account.settled => {}
                None if account.expires_at <= now => {
                    account.in_doubt_since = Some(now);
                    self.balances.reserved -= account.remaining();
                    self.balances.in_doubt += account.remaining();
                }
                Some(since) if now - since >= timeout => self.settle(*account_number),
                _ => {}
            }
        }
        self.evict_settled(&account_numbers);
    }

    fn evict_settled(&mut self, account_numbers: &[u64]) {
        for account_number in account_numbers {
            let settled = self.accounts.get(account_number).is_some_and(|account| account.settled);
            if settled && self.accounts.len() > MAX_ACCOUNTS {
                self.accounts.remove(account_number);
            }
        }
    }

    /// Settles an account that has been in doubt for too long, according to the wallet's policy.
    fn settle(&mut self, account_number: u64) {
        let Some(account) = self.accounts.get_mut(&account_number) else { return };
        let remaining = account.settle();
        self.balances.in_doubt -= remaining;
        match self.terms.in_doubt_policy {
            InDoubtPolicy::Return => self.balances.balance += remaining,
            InDoubtPolicy::Charge => {
                self.balances.charged += remaining;
                self.balances.charged_by_policy += remaining;
            }
        }
    }

    /// Closes the account of a process that ends its session: records the final report and returns the remaining units
    /// to the balance. Without a report, it is unknown what the process charged, so the account stays open.
    pub fn release(&mut self, incarnation: u64, report: Option<&WalletReport>) {
        let Some(report) = report else { return };
        let open = self.accounts.get(&report.account).filter(|account| !account.settled);
        if open.is_none_or(|account| account.incarnation != incarnation) {
            return;
        }
        self.record_report(report.account, report);
        if let Some(account) = self.accounts.remove(&report.account) {
            let remaining = account.remaining();
            *self.balances.category_of(&account) -= remaining;
            self.balances.balance += remaining;
        }
    }

    /// Fences the accounts of a process whose name another process has taken: it gets no new units.
    pub fn fence(&mut self, incarnation: u64) {
        let fenced = self.accounts.values_mut().filter(|account| account.incarnation == incarnation);
        fenced.for_each(|account| account.fenced = true);
    }
}
