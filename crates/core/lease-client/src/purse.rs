//! A node's part of one wallet.

use crate::AskedWallet;
use lynxtally::{Instant, Span};
use lynxtally_messages::{Reservation, WalletReport as Told};
use std::collections::BTreeMap;

/// What may be let in against a wallet.
#[derive(Debug, Default)]
pub(crate) struct Purse {
    account: u64,
    given: u64,
    returned: u64,
    until: Option<Instant>,
    pub prices: BTreeMap<String, u64>,
    spent: u64,
    held: u64,
    wanted: u64,
    /// What was wanted up to the last message, and when that was.
    told: (u64, Option<Instant>),
    /// Units a second that are wanted, fading.
    rate: f64,
}

/// A reservation lasts this many times the time between two messages, by what is wanted lately.
const AHEAD: f64 = 3.0;

impl Purse {
    pub fn account(&self) -> u64 {
        self.account
    }

    /// The units of the account that may be spent, with what was spent.
    pub fn granted(&self) -> u64 {
        self.given - self.returned
    }

    pub fn in_force(&self) -> bool {
        self.until.is_some()
    }

    pub fn until(&self) -> Option<Instant> {
        self.until
    }

    /// What was charged and is held in this account, and what was wanted since the start. Whether that is more
    /// than there is, so that a message of its own is worth it.
    pub fn used(&mut self, account: u64, spent: u64, held: u64, wanted: u64) -> bool {
        if account == self.account {
            (self.spent, self.held) = (spent, held);
        }
        let more = wanted > self.wanted;
        self.wanted = wanted;
        more && self.granted().saturating_sub(self.spent + self.held) == 0
    }

    pub fn held(&self) -> u64 {
        self.held
    }

    /// What the next message says.
    pub fn tell(&mut self, now: Instant, period: Span, asked: &AskedWallet, leaving: bool) -> Told {
        let (before, at) = std::mem::replace(&mut self.told, (self.wanted, Some(now)));
        let past = at.map_or(period, |at| now - at).secs().max(1e-3);
        let rate = self.wanted.saturating_sub(before) as f64 / past;
        // Up at once, down slowly.
        self.rate = rate.max(self.rate * 0.7);
        // Less than half a unit is none, so that what nobody wants any more goes back to the last unit.
        let ahead = (self.rate * period.secs() * AHEAD).round() as u64;
        Told {
            wallet: asked.name.clone(),
            account: self.account,
            spent: self.spent,
            returned: self.returned,
            demand: if leaving { self.held } else { self.held + ahead },
            max_in_flight_us: asked.tail.micros(),
        }
    }

    /// A reservation comes; true where anything changes for the host.
    pub fn reserve(&mut self, now: Instant, reserve: &Reservation, until: Instant) -> bool {
        let before = (self.account, self.granted(), self.in_force());
        if reserve.account != self.account {
            // What was held in the one before was decided without this node.
            (self.account, self.returned, self.spent, self.held) = (reserve.account, 0, 0, 0);
            self.given = 0;
        }
        self.given = self.given.max(reserve.granted);
        self.prices.clone_from(&reserve.prices);
        self.until = (now < until).then_some(until);
        // What lies idle goes back: nothing is let in against it from here on, and the next message says so.
        let left = self.granted().saturating_sub(self.spent);
        let back = left.saturating_sub(reserve.retain.max(self.held));
        self.returned += back;
        (self.account, self.granted(), self.in_force()) != before
    }

    /// Whether its span is over now.
    pub fn lapse(&mut self, now: Instant) -> bool {
        self.until.take_if(|until| *until <= now).is_some()
    }
}
