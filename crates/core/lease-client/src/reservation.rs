//! A node's reservation on one wallet.

use crate::settings::WalletSettings;
use lynxtally::{Instant, Span};
use lynxtally_messages::{Reservation, WalletReport};
use std::collections::BTreeMap;

/// A report asks for the units that requests at the current demand rate need in this many demand periods.
const DEMAND_PERIODS_AHEAD: f64 = 3.0;
/// The demand rate rises at once, and falls at most to this fraction from one report to the next.
const RATE_DECAY_PER_REPORT: f64 = 0.7;
/// Two reports closer together than this count as this far apart, so that the rate stays finite.
const MIN_REPORT_INTERVAL_SECONDS: f64 = 1e-3;

/// What a node may admit against a wallet at present.
#[derive(Clone, Debug, PartialEq)]
pub struct CurrentReservation {
    /// The account number. A new number means that the coordinators settled the previous account.
    pub account: u64,
    /// The units that may be spent in the account in total, including those already spent.
    pub granted: u64,
    /// Whether requests may be admitted now. False before the first reservation and after the last one expired.
    pub in_force: bool,
    /// The price of a request in units, by request class.
    pub prices: BTreeMap<String, u64>,
}

/// A node's spending from a wallet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WalletUsage {
    /// The number of the account that `spent` and `held` belong to.
    pub account: u64,
    /// Units charged to the account.
    pub spent: u64,
    /// Units set aside for running requests, which have not been charged yet.
    pub held: u64,
    /// Units that requests asked for since the process started, whether or not they were admitted.
    pub requested: u64,
}

/// The count of requested units at the last report, and the time of that report.
#[derive(Debug, Default)]
struct LastReport {
    requested: u64,
    at: Option<Instant>,
}

/// The node's state for one wallet.
#[derive(Debug, Default)]
pub(crate) struct ReservedWallet {
    /// The usage that the driver reported last. Amounts for an account other than the current one are ignored.
    usage: WalletUsage,
    granted: u64,
    returned: u64,
    expires_at: Option<Instant>,
    prices: BTreeMap<String, u64>,
    last_report: LastReport,
    /// Requested units per second; see [`RATE_DECAY_PER_REPORT`].
    requested_per_second: f64,
}

impl ReservedWallet {
    pub fn current(&self) -> CurrentReservation {
        CurrentReservation {
            account: self.usage.account,
            granted: self.spendable(),
            in_force: self.is_in_force(),
            prices: self.prices.clone(),
        }
    }

    /// The units that may be spent in the account in total, including those already spent.
    fn spendable(&self) -> u64 {
        self.granted - self.returned
    }

    fn is_in_force(&self) -> bool {
        self.expires_at.is_some()
    }

    pub fn expires_at(&self) -> Option<Instant> {
        self.expires_at
    }

    pub fn held(&self) -> u64 {
        self.usage.held
    }

    /// Records the usage. Returns whether units were requested while none is left, which warrants a request to the
    /// coordinators ahead of schedule.
    pub fn report_usage(&mut self, usage: WalletUsage) -> bool {
        if usage.account == self.usage.account {
            self.usage.spent = usage.spent;
            self.usage.held = usage.held;
        }
        let requests_more = usage.requested > self.usage.requested;
        self.usage.requested = usage.requested;
        requests_more && self.spendable().saturating_sub(self.usage.spent + self.usage.held) == 0
    }

    /// Builds the report on this wallet for the next request to the coordinators.
    pub fn report(
        &mut self,
        now: Instant,
        demand_period: Span,
        settings: &WalletSettings,
        leaving: bool,
    ) -> WalletReport {
        self.update_rate(now, demand_period);
        // Rounding to the nearest integer lets the demand reach 0 when requests stop, so that every unit is returned.
        let expected_demand =
            (self.requested_per_second * demand_period.secs() * DEMAND_PERIODS_AHEAD).round() as u64;
        let held = self.usage.held;
        WalletReport {
            wallet: settings.name.clone(),
            account: self.usage.account,
            spent: self.usage.spent,
            returned: self.returned,
            demand: if leaving { held } else { held + expected_demand },
            max_in_flight_us: settings.max_in_flight.micros(),
        }
    }

    fn update_rate(&mut self, now: Instant, demand_period: Span) {
        let this_report = LastReport { requested: self.usage.requested, at: Some(now) };
        let last_report = std::mem::replace(&mut self.last_report, this_report);
        let seconds =
            last_report.at.map_or(demand_period, |at| now - at).secs().max(MIN_REPORT_INTERVAL_SECONDS);
        let rate = self.usage.requested.saturating_sub(last_report.requested) as f64 / seconds;
        self.requested_per_second = rate.max(self.requested_per_second * RATE_DECAY_PER_REPORT);
    }

    /// Replaces the reservation with a new one. Returns whether the account, the spendable units or the validity changed.
    pub fn renew(&mut self, now: Instant, reservation: &Reservation, expires_at: Instant) -> bool {
        let before = (self.usage.account, self.spendable(), self.is_in_force());
        if reservation.account != self.usage.account {
            self.open_account(reservation.account);
        }
        self.granted = self.granted.max(reservation.granted);
        self.prices.clone_from(&reservation.prices);
        self.expires_at = (now < expires_at).then_some(expires_at);
        self.return_unspent(reservation.retain);
        (self.usage.account, self.spendable(), self.is_in_force()) != before
    }

    /// Starts a new account. The coordinators settled the old account, including the units held in it, without this node.
    fn open_account(&mut self, account: u64) {
        let requested = self.usage.requested;
        self.usage = WalletUsage { account, spent: 0, held: 0, requested };
        self.granted = 0;
        self.returned = 0;
    }

    /// Returns unspent units above `retain`: the node admits nothing against them from now on, and its next report tells
    /// the coordinators. Units held for running requests are never returned.
    fn return_unspent(&mut self, retain: u64) {
        let unspent = self.spendable().saturating_sub(self.usage.spent);
        self.returned += unspent.saturating_sub(retain.max(self.usage.held));
    }

    /// Ends the reservation if it has expired. Returns whether it was in force until now.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.expires_at.take_if(|expires_at| *expires_at <= now).is_some()
    }

    /// Ends the reservation. Returns whether it was in force until now.
    pub fn drop_reservation(&mut self) -> bool {
        self.expires_at.take().is_some()
    }
}
