//! This node's shares of what the fleet has together. Nothing of it is there unless the configuration names
//! keepers. The choices are the holder's and the module's; here they are told to each other, and messages go to a
//! thread of their own ([`carrier`]), so that the owner waits for nobody.

mod carrier;
mod settings;

pub use carrier::Carrier;
pub use settings::{read, File, Settings};

use lynxtally::{CallLease, Instant, LeasedQuotas as Told, Policy, Span};
use lynxtally_engine::{Engine, WalletReservation};
use lynxtally_lease_client::{Asked, AskedWallet, Counts, Event, Holder};
use lynxtally_messages::NodeResponse;
use rustix::time::{clock_gettime, ClockId};
use tracing::{debug, error, info, warn};

/// A clock that counts up while the machine sleeps, too, and that nobody sets: spans of grants are told by it.
fn boot_clock() -> Instant {
    let at = clock_gettime(ClockId::Boottime);
    let micros = i128::from(at.tv_sec) * 1_000_000 + i128::from(at.tv_nsec) / 1000;
    Instant::from_micros(u64::try_from(micros).unwrap_or_default())
}

/// What the owner holds of it.
pub struct Shares {
    holder: Holder,
    carrier: Carrier,
    settings: Settings,
    /// Whether the module has been told anything yet, and the host of its purses.
    told: bool,
    met: bool,
    /// The clock at the last look, in this turn.
    now: Instant,
}

impl Shares {
    /// A node that has no part in anything yet.
    pub fn new(name: &str, settings: Settings, seed: u64, carrier: Carrier) -> Self {
        let now = boot_clock();
        let asked = |(name, tail): (&String, Span)| Asked { name: name.clone(), tail };
        let calls = settings.calls.iter().map(|name| (name, settings.longest));
        let quotas = settings.quotas.iter().map(|(name, _)| (name, Span::ZERO));
        let holder = Holder::new(
            lynxtally_lease_client::Settings {
                name: name.to_owned(),
                program: env!("CARGO_PKG_VERSION").to_owned(),
                schemas: Vec::new(),
                budgets: calls.chain(quotas).map(asked).collect(),
                wallets: settings
                    .wallets
                    .iter()
                    .map(|(name, _)| AskedWallet { name: name.clone(), tail: settings.longest })
                    .collect(),
                keepers: settings.keepers.len(),
                patience: settings.patience,
            },
            seed,
            now,
        );
        Self { holder, carrier, settings, told: false, met: false, now }
    }

    /// Before anything is decided in a turn: looks at the clock, and tells the module what is in force now.
    pub fn before<W, F, D: Copy + Ord>(&mut self, now: Instant, host: &mut Engine<Policy, W, F, D>) {
        self.now = boot_clock();
        self.holder.advance(self.now);
        let mut changed = !self.told && host.is_started();
        let first = !std::mem::replace(&mut self.met, true);
        let mut purses: Vec<usize> = (0..self.settings.wallets.len()).filter(|_| first).collect();
        for event in self.holder.events() {
            match event {
                Event::Share { budget, amount } => {
                    info!(budget, amount, "share in force");
                    changed = true;
                }
                Event::Purse(wallet) => purses.push(wallet),
                Event::Document(document) => {
                    debug!(number = document.index, "a document that nobody reads here")
                }
                Event::Unreadable(why) => warn!(why, "no route document can be read here"),
                Event::Joined { incarnation } => info!(incarnation, "joined the register"),
                Event::Replaced => error!("another process has this name: this one has no part any more"),
                Event::Refused(refusal) => warn!(?refusal, "a keeper refused a message"),
            }
        }
        if changed && host.is_started() {
            self.told = true;
            host.set_quotas(now, self.in_force());
        }
        for wallet in purses {
            self.put_purse(wallet, host);
        }
    }

    fn put_purse<W, F, D: Copy + Ord>(&self, wallet: usize, host: &mut Engine<Policy, W, F, D>) {
        let Some((name, customer)) = self.settings.wallets.get(wallet) else { return };
        let Some(own) = self.holder.in_hand(wallet) else { return };
        debug!(name, account = own.account, granted = own.granted, in_force = own.in_force, "purse");
        let price = |stage: &String| own.prices.get(stage).copied().unwrap_or(0);
        let prices = (own.account > 0).then(|| self.settings.stages.iter().map(price).collect());
        let reservation = WalletReservation {
            reservation_id: own.account,
            granted: own.granted,
            in_force: own.in_force,
            prices,
        };
        host.set_reservation(*customer, reservation);
    }

    fn in_force(&self) -> Told {
        let calls = self
            .settings
            .calls
            .as_ref()
            .map(|_| CallLease { max_in_flight: self.holder.amount(0), max_duration: self.settings.longest });
        let first = usize::from(calls.is_some());
        let mut quotas = vec![None; self.settings.customers];
        for (n, (_, customer)) in self.settings.quotas.iter().enumerate() {
            quotas[*customer] = Some(self.holder.amount(first + n) as f64);
        }
        Told { calls, tenants: quotas }
    }

    /// Tells the holder what is in use now.
    fn tell<W, F, D: Copy + Ord>(&mut self, host: &mut Engine<Policy, W, F, D>) {
        if let Some(decides) = host.scheduler_mut() {
            let first = usize::from(self.settings.calls.is_some());
            if first > 0 {
                let usage = decides.downstream_usage();
                self.holder.used(
                    0,
                    usage.in_flight,
                    Counts { wanted: usage.requested, begun: usage.started },
                );
            }
            for (n, (_, customer)) in self.settings.quotas.iter().enumerate() {
                self.holder.used(first + n, decides.tenant_rate(*customer).ceil() as u64, Counts::default());
            }
        }
        for (wallet, (_, customer)) in self.settings.wallets.iter().enumerate() {
            let own = host.reservation_usage(*customer);
            self.holder.spent(wallet, own.reservation_id, own.spent, own.reserved, own.demand);
        }
    }

    /// After a turn's decisions: tells the holder what is in use, and sends what it has to say.
    pub fn after<W, F, D: Copy + Ord>(&mut self, host: &mut Engine<Policy, W, F, D>) {
        self.tell(host);
        if let Some(outgoing) = self.holder.speak(self.now) {
            self.carrier.carry(outgoing);
        }
    }

    /// A message's reply came, or surely none will.
    pub fn heard<W, F, D: Copy + Ord>(
        &mut self,
        host: &mut Engine<Policy, W, F, D>,
        token: u64,
        reply: Option<NodeResponse>,
    ) {
        // Tasks may have been let in earlier in this turn: what they hold must not be given back as idle.
        self.tell(host);
        self.holder.heard(boot_clock(), token, reply);
    }

    /// The notice to leave came.
    pub fn leave(&mut self) {
        self.holder.leave();
    }

    /// How long until something is to be done here by itself.
    pub fn wait(&self) -> Option<Span> {
        self.holder.next_due().map(|due| due - self.now)
    }
}
