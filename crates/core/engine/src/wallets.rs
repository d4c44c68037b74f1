//! What customers have bought in advance and this node may let in: state, no choice. Each task's price is reserved
//! as it is let in, and settled with its one final answer.

/// What is reserved for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Held {
    customer: usize,
    units: u64,
    account: u64,
}

/// One customer's purse on this node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Purse {
    /// Which reservation it holds; another number is another reservation, for which nothing was spent yet.
    pub account: u64,
    /// The units of it that may be spent, with what was spent; none while its span is over.
    pub granted: u64,
    /// Whether tasks may be let in against it.
    pub in_force: bool,
    /// What each stage costs, by its index; none while nobody knows, and nothing is let in then.
    pub prices: Option<Vec<u64>>,
}

/// What became of a purse so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spent {
    /// Which reservation.
    pub account: u64,
    /// Charged against it.
    pub spent: u64,
    /// Reserved for tasks that are inside.
    pub held: u64,
    /// Wanted since the start, whether it was let in or not.
    pub wanted: u64,
}

/// The purses of all customers that have one.
#[derive(Debug, Default)]
pub(crate) struct Purses(Vec<Option<(Purse, Spent)>>);

impl Purses {
    /// A customer's purse, as it is from now on.
    pub fn set(&mut self, customer: usize, purse: Purse) {
        if self.0.len() <= customer {
            self.0.resize(customer + 1, None);
        }
        let before = self.0[customer].take().map(|(_, spent)| spent).unwrap_or_default();
        let same = before.account == purse.account;
        let (spent, held) = if same { (before.spent, before.held) } else { (0, 0) };
        let spent = Spent { account: purse.account, spent, held, wanted: before.wanted };
        self.0[customer] = Some((purse, spent));
    }

    /// What became of a customer's purse.
    pub fn spent(&self, customer: usize) -> Spent {
        self.0.get(customer).and_then(Option::as_ref).map(|(_, spent)| *spent).unwrap_or_default()
    }

    /// Reserves a task's price. The outer is none where the purse does not cover it, the inner where nothing is to be
    /// paid.
    pub fn cover(&mut self, customer: Option<usize>, stage: usize) -> Option<Option<Held>> {
        let own = customer.and_then(|at| Some((at, self.0.get_mut(at)?.as_mut()?)));
        let Some((customer, (purse, spent))) = own else { return Some(None) };
        let units = purse.prices.as_ref()?.get(stage).copied().unwrap_or(0);
        spent.wanted += units;
        if units == 0 {
            return Some(None);
        }
        let left = purse.granted.saturating_sub(spent.spent + spent.held);
        if !purse.in_force || left < units {
            return None;
        }
        spent.held += units;
        Some(Some(Held { customer, units, account: purse.account }))
    }

    /// A task has its final answer, and was charged or not. What was reserved against a reservation that is not held
    /// any more was decided without it.
    pub fn settle(&mut self, held: Held, charged: bool) {
        let Some(Some((_, spent))) = self.0.get_mut(held.customer) else { return };
        if spent.account == held.account {
            spent.held -= held.units;
            spent.spent += if charged { held.units } else { 0 };
        }
    }
}
