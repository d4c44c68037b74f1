//! What tenants have bought in advance and this node may let in: state, no choice. Each request's price is reserved
//! as it is let in, and settled with its one final answer.

/// What is reserved for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PriceHold {
    tenant: usize,
    units: u64,
    account: u64,
}

/// One tenant's reservation on this node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WalletReservation {
    /// Which reservation it holds; another number is another reservation, for which nothing was spent yet.
    pub account: u64,
    /// The units of it that may be spent, with what was spent; none while its span is over.
    pub granted: u64,
    /// Whether requests may be let in against it.
    pub in_force: bool,
    /// What each class costs, by its index; none while nobody knows, and nothing is let in then.
    pub prices: Option<Vec<u64>>,
}

/// What became of a reservation so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservationUsage {
    /// Which reservation.
    pub account: u64,
    /// Charged against it.
    pub spent: u64,
    /// Reserved for requests that are inside.
    pub held: u64,
    /// Wanted since the start, whether it was let in or not.
    pub wanted: u64,
}

/// The reservations of all tenants that have one.
#[derive(Debug, Default)]
pub(crate) struct Wallets(Vec<Option<(WalletReservation, ReservationUsage)>>);

impl Wallets {
    /// A tenant's reservation, as it is from now on.
    pub fn set(&mut self, tenant: usize, reservation: WalletReservation) {
        if self.0.len() <= tenant {
            self.0.resize(tenant + 1, None);
        }
        let before = self.0[tenant].take().map(|(_, spent)| spent).unwrap_or_default();
        let same = before.account == reservation.account;
        let (spent, held) = if same { (before.spent, before.held) } else { (0, 0) };
        let spent = ReservationUsage { account: reservation.account, spent, held, wanted: before.wanted };
        self.0[tenant] = Some((reservation, spent));
    }

    /// What became of a tenant's reservation.
    pub fn spent(&self, tenant: usize) -> ReservationUsage {
        self.0.get(tenant).and_then(Option::as_ref).map(|(_, spent)| *spent).unwrap_or_default()
    }

    /// Reserves a request's price. The outer is none where the reservation does not cover it, the inner where nothing is to be
    /// paid.
    pub fn cover(&mut self, tenant: Option<usize>, class: usize) -> Option<Option<PriceHold>> {
        let own = tenant.and_then(|at| Some((at, self.0.get_mut(at)?.as_mut()?)));
        let Some((tenant, (reservation, spent))) = own else { return Some(None) };
        let units = reservation.prices.as_ref()?.get(class).copied().unwrap_or(0);
        spent.wanted += units;
        if units == 0 {
            return Some(None);
        }
        let left = reservation.granted.saturating_sub(spent.spent + spent.held);
        if !reservation.in_force || left < units {
            return None;
        }
        spent.held += units;
        Some(Some(PriceHold { tenant, units, account: reservation.account }))
    }

    /// A request has its final answer, and was charged or not. What was reserved against a reservation that is not held
    /// any more was decided without it.
    pub fn settle(&mut self, held: PriceHold, charged: bool) {
        let Some(Some((_, spent))) = self.0.get_mut(held.tenant) else { return };
        if spent.account == held.account {
            spent.held -= held.units;
            spent.spent += if charged { held.units } else { 0 };
        }
    }
}
