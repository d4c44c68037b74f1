//! A node's reservation of one wallet.

use crate::settings::WalletSettings;
use lynxtally::{Instant, Span};
use lynxtally_messages::{Reservation, WalletReport};
use std::collections::BTreeMap;

/// A reservation covers this many times the time between two requests, by the recent demand.
const PERIODS_AHEAD: f64 = 3.0;
/// The demand rate rises at once and falls by this factor at each report.
const RATE_DECAY: f64 = 0.7;
/// Reports closer to each other than this, in seconds, count as this far apart.
const MIN_REPORT_SECONDS: f64 = 1e-3;

/// What may be admitted against a wallet now.
#[derive(Clone, Debug, PartialEq)]
pub struct CurrentReservation {
    /// The number of the account.
    pub account: u64,
    /// The units that may be spent in the account, with what was spent in it.
    pub granted: u64,
    /// Whether requests may be admitted against it now.
    pub in_force: bool,
    /// The price of a request by its class.
    pub prices: BTreeMap<String, u64>,
}

/// What a node did with a wallet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WalletUsage {
    /// The number of the account that it was done in.
    pub account: u64,
    /// Units that were charged in it.
    pub spent: u64,
    /// Units that running requests hold.
    pub held: u64,
    /// Units that requests asked for since the start of the process, whether they were admitted or not.
    pub requested: u64,
}

/// What was requested up to the last report, and when that was.
#[derive(Debug, Default)]
struct LastReport {
    requested: u64,
    at: Option<Instant>,
}

/// A wallet as the node has it.
#[derive(Debug, Default)]
pub(crate) struct ReservedWallet {
    /// As the node told it last; counts of another account than the current one are not taken over.
    usage: WalletUsage,
    granted: u64,
    returned: u64,
    expires_at: Option<Instant>,
    prices: BTreeMap<String, u64>,
    last_report: LastReport,
    /// Units a second that requests ask for, fading.
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

    /// The units of the account that may be spent, with what was spent.
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

    /// Notes what the node did; whether more is requested than there is, so that a request of its own is worth it.
    pub fn report_usage(&mut self, usage: WalletUsage) -> bool {
        if usage.account == self.usage.account {
            self.usage.spent = usage.spent;
            self.usage.held = usage.held;
        }
        let requests_more = usage.requested > self.usage.requested;
        self.usage.requested = usage.requested;
        requests_more && self.spendable().saturating_sub(self.usage.spent + self.usage.held) == 0
    }

    /// The report for the next request.
    pub fn report(
        &mut self,
        now: Instant,
        period: Span,
        settings: &WalletSettings,
        leaving: bool,
    ) -> WalletReport {
        self.update_rate(now, period);
        // Less than half a unit is none, so that what nobody requests any more goes back to the last unit.
        let ahead = (self.requested_per_second * period.secs() * PERIODS_AHEAD).round() as u64;
        let held = self.usage.held;
        WalletReport {
            wallet: settings.name.clone(),
            account: self.usage.account,
            spent: self.usage.spent,
            returned: self.returned,
            demand: if leaving { held } else { held + ahead },
            max_in_flight_us: settings.max_in_flight.micros(),
        }
    }

    fn update_rate(&mut self, now: Instant, period: Span) {
        let this_report = LastReport { requested: self.usage.requested, at: Some(now) };
        let last_report = std::mem::replace(&mut self.last_report, this_report);
        let seconds = last_report.at.map_or(period, |at| now - at).secs().max(MIN_REPORT_SECONDS);
        let rate = self.usage.requested.saturating_sub(last_report.requested) as f64 / seconds;
        self.requested_per_second = rate.max(self.requested_per_second * RATE_DECAY);
    }

    /// Takes a new reservation; whether anything changes for the node.
    pub fn renew(&mut self, now: Instant, reservation: &Reservation, expires_at: Instant) -> bool {
        let before = (self.usage.account, self.spendable(), self.is_in_force());
        if reservation.account != self.usage.account {
            self.open_account(reservation.account);
        }
        self.granted = self.granted.max(reservation.granted);
        self.prices.clone_from(&reservation.prices);
        self.expires_at = (now < expires_at).then_some(expires_at);
        self.return_idle(reservation.retain);
        (self.usage.account, self.spendable(), self.is_in_force()) != before
    }

    /// Starts a new account. What was held in the one before was settled without this node.
    fn open_account(&mut self, account: u64) {
        let requested = self.usage.requested;
        self.usage = WalletUsage { account, spent: 0, held: 0, requested };
        self.granted = 0;
        self.returned = 0;
    }

    /// Returns what lies idle: nothing is admitted against it from here on, and the next report says so. What running
    /// requests hold is never returned.
    fn return_idle(&mut self, retain: u64) {
        let left = self.spendable().saturating_sub(self.usage.spent);
        self.returned += left.saturating_sub(retain.max(self.usage.held));
    }

    /// Ends the reservation where it expired; whether it was in force until now.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.expires_at.take_if(|expires_at| *expires_at <= now).is_some()
    }

    /// Ends the reservation; whether it was in force until now.
    pub fn drop_reservation(&mut self) -> bool {
        self.expires_at.take().is_some()
    }
}
