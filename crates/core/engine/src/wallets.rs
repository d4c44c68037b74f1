//! What tenants have bought in advance and this node may spend. Each request's price is reserved as it is submitted, and
//! settled with its one final response. No decision is made here: the scheduler learns whether the price is covered.

/// A price reserved for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PriceHold {
    tenant: usize,
    units: u64,
    reservation_id: u64,
}

/// Whether a request's price is covered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PriceCoverage {
    /// Nothing is to be paid.
    Free,
    /// The price is reserved until it is settled.
    Reserved(PriceHold),
    /// The tenant's reservation does not cover it.
    NotCovered,
}

impl PriceCoverage {
    /// Whether the request may run as far as its price is concerned.
    pub fn is_covered(self) -> bool {
        self != Self::NotCovered
    }

    /// What was reserved.
    pub fn hold(self) -> Option<PriceHold> {
        match self {
            Self::Reserved(hold) => Some(hold),
            Self::Free | Self::NotCovered => None,
        }
    }
}

/// One tenant's reservation on this node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WalletReservation {
    /// Which reservation it is; another number is another reservation, for which nothing was spent yet.
    pub reservation_id: u64,
    /// The units of it that may be spent, including those already spent.
    pub granted: u64,
    /// Whether requests may be accepted against it: not once its lease is over.
    pub in_force: bool,
    /// What each class costs, by its index; none while the prices are unknown, and nothing is accepted then.
    pub prices: Option<Vec<u64>>,
}

/// What was used of a reservation so far, in units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservationUsage {
    /// Which reservation.
    pub reservation_id: u64,
    /// Charged against it.
    pub spent: u64,
    /// Reserved for requests that are open.
    pub reserved: u64,
    /// The price of all requests since the start, whether they were covered or not.
    pub demand: u64,
}

#[derive(Clone, Debug)]
struct Wallet {
    reservation: WalletReservation,
    usage: ReservationUsage,
}

/// The wallets of all tenants that have one, by the tenant's index.
#[derive(Debug, Default)]
pub(crate) struct Wallets(Vec<Option<Wallet>>);

impl Wallets {
    /// Sets a tenant's reservation, as it is from now on.
    pub fn set(&mut self, tenant: usize, reservation: WalletReservation) {
        if self.0.len() <= tenant {
            self.0.resize(tenant + 1, None);
        }
        let before = self.usage(tenant);
        let usage = if before.reservation_id == reservation.reservation_id {
            before
        } else {
            ReservationUsage {
                reservation_id: reservation.reservation_id,
                spent: 0,
                reserved: 0,
                demand: before.demand,
            }
        };
        self.0[tenant] = Some(Wallet { reservation, usage });
    }

    /// What was used of a tenant's reservation.
    pub fn usage(&self, tenant: usize) -> ReservationUsage {
        self.0.get(tenant).and_then(Option::as_ref).map(|wallet| wallet.usage).unwrap_or_default()
    }

    /// Reserves the price of a request of this class. A tenant without a wallet pays nothing.
    pub fn reserve(&mut self, tenant: Option<usize>, class: usize) -> PriceCoverage {
        let Some(tenant) = tenant else { return PriceCoverage::Free };
        let Some(Some(Wallet { reservation, usage })) = self.0.get_mut(tenant) else {
            return PriceCoverage::Free;
        };
        let Some(prices) = &reservation.prices else { return PriceCoverage::NotCovered };
        let units = prices.get(class).copied().unwrap_or(0);
        usage.demand += units;
        if units == 0 {
            return PriceCoverage::Free;
        }
        let available = reservation.granted.saturating_sub(usage.spent + usage.reserved);
        if !reservation.in_force || available < units {
            return PriceCoverage::NotCovered;
        }
        usage.reserved += units;
        PriceCoverage::Reserved(PriceHold { tenant, units, reservation_id: reservation.reservation_id })
    }

    /// Settles a hold: its request has its final response, and is charged or not. A hold against an earlier reservation
    /// is dropped: that reservation was accounted for without it.
    pub fn settle(&mut self, hold: PriceHold, charged: bool) {
        let Some(Some(Wallet { usage, .. })) = self.0.get_mut(hold.tenant) else { return };
        if usage.reservation_id != hold.reservation_id {
            return;
        }
        usage.reserved -= hold.units;
        if charged {
            usage.spent += hold.units;
        }
    }
}
