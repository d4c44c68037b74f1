//! Connects the node to the coordinators: it leases downstream calls and tenants' quotas, and reserves units of
//! wallets. Used only if the configuration has coordinators.
//!
//! This module makes no decisions. It passes leases and reservations from the lease client to the scheduler, and
//! usage from the scheduler to the lease client. A separate thread ([`RequestSender`]) sends the requests to the
//! coordinators, so that the event loop never blocks on them.

mod sender;
mod settings;

pub use sender::RequestSender;
pub use settings::{validate, CoordinationSection, QuotaBudget, Settings, TenantWallet};

use lynxtally::{CallLease, Instant, LeasedQuotas, Policy, Span};
use lynxtally_engine::{Engine, WalletReservation};
use lynxtally_lease_client::{BudgetSettings, Event, LeaseClient, UsageCounts, WalletSettings, WalletUsage};
use lynxtally_messages::NodeResponse;
use rustix::time::{clock_gettime, ClockId};
use tracing::{debug, error, info, warn};

/// Reads the clock that lease durations are measured with. This clock is never set, and it keeps running while the
/// machine is suspended, so that a lease also expires during a suspension.
fn boot_clock_now() -> Instant {
    let at = clock_gettime(ClockId::Boottime);
    let micros = i128::from(at.tv_sec) * 1_000_000 + i128::from(at.tv_nsec) / 1000;
    Instant::from_micros(u64::try_from(micros).unwrap_or_default())
}

/// The event loop's interface to coordination. In the lease client, the budget of downstream calls has index 0 if it
/// is configured. The budgets of the quotas follow in the order of the settings.
pub struct Coordination {
    client: LeaseClient,
    sender: RequestSender,
    settings: Settings,
    /// Whether the leased quotas have been passed to the engine at least once.
    quotas_applied: bool,
    /// Whether the reservations have been passed to the engine at least once.
    reservations_applied: bool,
    /// The boot clock's time at the start of the current event loop iteration.
    now: Instant,
}

impl Coordination {
    /// Creates the state of a node that has not joined the coordinators yet.
    pub fn new(name: &str, settings: Settings, seed: u64, sender: RequestSender) -> Self {
        let now = boot_clock_now();
        let client = LeaseClient::new(client_settings(name, &settings), seed, now);
        Self { client, sender, settings, quotas_applied: false, reservations_applied: false, now }
    }

    /// Reads the clock and passes the leases and reservations in force to the engine. Must be called in each
    /// iteration of the event loop before the scheduler decides: otherwise, a node that was paused could start work
    /// under a lease that expired during the pause.
    pub fn apply_leases<W, F, D: Copy + Ord>(&mut self, now: Instant, engine: &mut Engine<Policy, W, F, D>) {
        self.now = boot_clock_now();
        self.client.advance(self.now);
        let mut leases_changed = !self.quotas_applied && engine.is_started();
        let mut changed_wallets = Vec::new();
        if !std::mem::replace(&mut self.reservations_applied, true) {
            changed_wallets.extend(0..self.settings.wallets.len());
        }
        for event in self.client.drain_events() {
            match event {
                Event::LeaseChanged { .. } => leases_changed = true,
                Event::ReservationChanged { wallet } => changed_wallets.push(wallet),
                _ => {}
            }
            log_event(&event);
        }
        if leases_changed && engine.is_started() {
            self.quotas_applied = true;
            engine.set_quotas(now, self.leased_quotas());
        }
        for wallet in changed_wallets {
            self.set_reservation(wallet, engine);
        }
    }

    fn set_reservation<W, F, D: Copy + Ord>(&self, wallet: usize, engine: &mut Engine<Policy, W, F, D>) {
        let Some(TenantWallet { wallet: name, tenant }) = self.settings.wallets.get(wallet) else { return };
        let Some(current) = self.client.reservation(wallet) else { return };
        let (account, granted, in_force) = (current.account, current.granted, current.in_force);
        debug!(wallet = name, reservation_id = account, granted, in_force, "reservation");
        let price = |class: &String| current.prices.get(class).copied().unwrap_or(0);
        // The prices are known only after the first reservation has been granted.
        let prices = (account > 0).then(|| self.settings.classes.iter().map(price).collect());
        let reservation = WalletReservation { reservation_id: account, granted, in_force, prices };
        engine.set_reservation(*tenant, reservation);
    }

    fn leased_quotas(&self) -> LeasedQuotas {
        let calls = self.settings.calls.as_ref().map(|_| CallLease {
            max_in_flight: self.client.leased_amount(0),
            max_duration: self.settings.max_call_duration,
        });
        let mut tenants = vec![None; self.settings.tenants];
        for (n, quota) in self.settings.quotas.iter().enumerate() {
            tenants[quota.tenant] = Some(self.client.leased_amount(self.first_quota() + n) as f64);
        }
        LeasedQuotas { calls, tenants }
    }

    /// The lease client's index of the first quota's budget.
    fn first_quota(&self) -> usize {
        usize::from(self.settings.calls.is_some())
    }

    /// Reports the current usage of budgets and wallets to the lease client.
    fn report_usage<W, F, D: Copy + Ord>(&mut self, engine: &mut Engine<Policy, W, F, D>) {
        if let Some(policy) = engine.scheduler_mut() {
            if self.settings.calls.is_some() {
                let usage = policy.downstream_usage();
                let counts = UsageCounts { requested: usage.requested, started: usage.started };
                self.client.report_usage(0, usage.in_flight, counts);
            }
            let first_quota = self.first_quota();
            for (n, quota) in self.settings.quotas.iter().enumerate() {
                let rate = policy.tenant_rate(quota.tenant).ceil() as u64;
                self.client.report_usage(first_quota + n, rate, UsageCounts::default());
            }
        }
        for (n, wallet) in self.settings.wallets.iter().enumerate() {
            let usage = engine.reservation_usage(wallet.tenant);
            let usage = WalletUsage {
                account: usage.reservation_id,
                spent: usage.spent,
                held: usage.reserved,
                requested: usage.demand,
            };
            self.client.report_wallet_usage(n, usage);
        }
    }

    /// Reports usage to the lease client, and sends its next request if one is due. Called in each iteration of the
    /// event loop after the scheduler has decided.
    pub fn report_and_send<W, F, D: Copy + Ord>(&mut self, engine: &mut Engine<Policy, W, F, D>) {
        self.report_usage(engine);
        if let Some(request) = self.client.next_request(self.now) {
            self.sender.send(request);
        }
    }

    /// Passes the outcome of a request to the lease client: the response, or `None` if no response can follow.
    pub fn on_response<W, F, D: Copy + Ord>(
        &mut self,
        engine: &mut Engine<Policy, W, F, D>,
        token: u64,
        response: Option<NodeResponse>,
    ) {
        // Usage is reported first because requests may have been admitted earlier in this iteration. The lease client
        // must not return the units that they hold as unused.
        self.report_usage(engine);
        self.client.on_response(boot_clock_now(), token, response);
    }

    /// Begins to leave the coordinators at a graceful shutdown. The session ends when no leased unit is in use.
    pub fn leave(&mut self) {
        self.client.leave();
    }

    /// The time until the lease client next needs to act without a message.
    pub fn time_to_deadline(&self) -> Option<Span> {
        self.client.next_deadline().map(|deadline| deadline - self.now)
    }
}

fn client_settings(name: &str, settings: &Settings) -> lynxtally_lease_client::Settings {
    let budget = |name: &String, max_in_flight| BudgetSettings { name: name.clone(), max_in_flight };
    let calls = settings.calls.iter().map(|name| budget(name, settings.max_call_duration));
    // A quota limits the rate at which requests start. Nothing is in flight under it, so its maximum duration is
    // zero.
    let quotas = settings.quotas.iter().map(|quota| budget(&quota.budget, Span::ZERO));
    let wallet = |of_tenant: &TenantWallet| WalletSettings {
        name: of_tenant.wallet.clone(),
        max_in_flight: settings.max_call_duration,
    };
    lynxtally_lease_client::Settings {
        name: name.to_owned(),
        program_version: env!("CARGO_PKG_VERSION").to_owned(),
        schema_versions: Vec::new(),
        budgets: calls.chain(quotas).collect(),
        wallets: settings.wallets.iter().map(wallet).collect(),
        coordinators: settings.coordinators.len(),
        response_timeout: settings.response_timeout,
    }
}

fn log_event(event: &Event) {
    match event {
        Event::LeaseChanged { budget, amount } => info!(budget, amount, "lease in force"),
        Event::ReservationChanged { .. } => {}
        Event::Document(document) => {
            debug!(index = document.index, "ignored a route document, which this program does not use");
        }
        Event::DocumentUnreadable { reason } => warn!(reason, "no version of the route document can be read"),
        Event::Joined { incarnation } => info!(incarnation, "joined the coordinators"),
        Event::Replaced => {
            error!("another process joined under this node's name; this process gets no more leases");
        }
        Event::Rejected(rejection) => warn!(?rejection, "a coordinator rejected a request"),
    }
}
