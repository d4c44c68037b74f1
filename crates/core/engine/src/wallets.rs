//! The prepaid units of each tenant that this node may spend. The price of a request is reserved when it is submitted
//! and settled with its final response. No decision is made here: the scheduler is told whether the price is covered.

/// The price that is reserved for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PriceHold {
    tenant: usize,
    units: u64,
    reservation_id: u64,
}

/// Whether a request's price is covered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PriceCoverage {
    /// The request costs nothing.
    Free,
    /// The price is reserved until the request is settled.
    Reserved(PriceHold),
    /// The tenant's reservation does not cover the price.
    NotCovered,
}

impl PriceCoverage {
    /// Whether the request may run: its price is reserved, or it costs nothing.
    pub fn is_covered(self) -> bool {
        self != Self::NotCovered
    }

    /// The reserved price; none if nothing was reserved.
    pub fn hold(self) -> Option<PriceHold> {
        match self {
            Self::Reserved(hold) => Some(hold),
            Self::Free | Self::NotCovered => None,
        }
    }
}

/// The reservation of one tenant's wallet that this node holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WalletReservation {
    /// Identifies the reservation. A new id is a new reservation, of which nothing has been spent yet.
    pub reservation_id: u64,
    /// The units that may be spent in total, including those already spent.
    pub granted: u64,
    /// Whether the lease of the reservation is still valid. If not, requests that cost something are not covered.
    pub in_force: bool,
    /// The price of a request of each class, in units, by class index. While the prices are unknown (none), no request of
    /// the tenant is covered.
    pub prices: Option<Vec<u64>>,
}

/// How much of a reservation has been used so far, in units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservationUsage {
    /// Identifies the reservation.
    pub reservation_id: u64,
    /// Charged for completed requests.
    pub spent: u64,
    /// Reserved for open requests.
    pub reserved: u64,
    /// The total price of all requests since the process started, over all reservations, covered or not.
    pub demand: u64,
}

#[derive(Clone, Debug)]
struct Wallet {
    reservation: WalletReservation,
    usage: ReservationUsage,
}

/// The wallets of all tenants that have one, by tenant index.
#[derive(Debug, Default)]
pub(crate) struct Wallets(Vec<Option<Wallet>>);

impl Wallets {
    /// Replaces a tenant's reservation. If its id is new, nothing has been spent or reserved of it yet.
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

    /// How much of a tenant's reservation has been used.
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

    /// Releases a reserved price, and charges it to the tenant if `charged` is true. Does nothing for a price reserved
    /// under an earlier reservation, because that reservation has already been accounted for.
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
