//! The lease client: decides when to send a request and applies the responses.

use crate::demand::UsageCounts;
use crate::event::{Event, OutgoingRequest};
use crate::exchange::{Attempt, Exchange, MatchedRequest};
use crate::lease::LeasedBudget;
use crate::reservation::{CurrentReservation, ReservedWallet, WalletUsage};
use crate::session::SessionState;
use crate::settings::Settings;
use lynxtally::{Instant, Pcg, Span};
use lynxtally_messages::{
    AppliedDocument, BudgetReport, Lease, LeaseUpdate, NodeRequest, NodeResponse, Rejection, Reservation,
    WalletReport,
};

/// Leases are renewed after this fraction of their duration.
const RENEWAL_FRACTION: f64 = 1.0 / 3.0;
/// The demand period, in renewal periods. It equals the shortest lease duration, unless `MAX_RENEWAL_PERIOD_TIMEOUTS`
/// shortens the renewal period.
const DEMAND_RENEWAL_PERIODS: f64 = 1.0 / RENEWAL_FRACTION;
/// The longest renewal period, in response timeouts. Long leases are renewed this often too, because demand changes.
const MAX_RENEWAL_PERIOD_TIMEOUTS: f64 = 3.0;
/// Renewals are sent earlier, and retries later, by a random fraction of up to this value, so that nodes that started
/// together do not send at the same times.
const JITTER: f64 = 0.25;

/// The leases and reservations of one node, and its session with the coordinators.
pub struct LeaseClient {
    settings: Settings,
    random: Pcg,
    /// The latest clock reading.
    now: Instant,
    session: SessionState,
    budgets: Vec<LeasedBudget>,
    wallets: Vec<ReservedWallet>,
    exchange: Exchange,
    /// The route document that the node applied last.
    applied_document: AppliedDocument,
    /// The duration of the last reservation that was granted.
    reservation_duration: Option<Span>,
    /// When the next request is due if none is pending.
    next_request_at: Instant,
    events: Vec<Event>,
    /// Whether the node drains. It then reports no demand beyond what its running requests hold.
    leaving: bool,
}

impl LeaseClient {
    /// Creates the client of a process that is not a member yet. Its first request, which joins, is due at `now`. `seed`
    /// should differ between processes: it determines the join nonce and the jitter.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        let mut random = Pcg::new(seed);
        let nonce = random_nonce(&mut random);
        let exchange = Exchange::new(settings.coordinators, random.next_u32() as usize);
        Self {
            budgets: settings.budgets.iter().map(|_| LeasedBudget::default()).collect(),
            wallets: settings.wallets.iter().map(|_| ReservedWallet::default()).collect(),
            settings,
            random,
            now,
            session: SessionState::Joining { nonce },
            exchange,
            applied_document: AppliedDocument { index: 0, version: 0 },
            reservation_duration: None,
            next_request_at: now,
            events: Vec::new(),
            leaving: false,
        }
    }

    /// Ends the leases and reservations that have expired. Call it before anything is started, with a clock reading of the
    /// current iteration of the driver's loop; see the safety rule of this package.
    pub fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
        for (budget, leased) in self.budgets.iter_mut().enumerate() {
            if leased.expire(self.now) {
                self.events.push(Event::LeaseChanged { budget, amount: 0 });
            }
        }
        for (wallet, reserved) in self.wallets.iter_mut().enumerate() {
            if reserved.expire(self.now) {
                self.events.push(Event::ReservationChanged { wallet });
            }
        }
    }

    /// The units of a budget that may be in use now.
    pub fn leased_amount(&self, budget: usize) -> u64 {
        self.budgets.get(budget).map_or(0, LeasedBudget::amount)
    }

    /// When the lease on a budget expires, on the driver's clock.
    pub fn lease_expires_at(&self, budget: usize) -> Option<Instant> {
        self.budgets.get(budget).and_then(LeasedBudget::expires_at)
    }

    /// The reservation of a wallet: what may be admitted against it now.
    pub fn reservation(&self, wallet: usize) -> Option<CurrentReservation> {
        self.wallets.get(wallet).map(ReservedWallet::current)
    }

    /// Records the units of a budget that are in use, including those of cancelled work that still runs, and the counts of
    /// requested and started units. Call it in the loop iteration in which something was started, before
    /// [`Self::next_request`]; otherwise the coordinators are told of less than is in use.
    pub fn report_usage(&mut self, budget: usize, in_use: u64, counts: UsageCounts) {
        let demand_period = self.demand_period();
        let Some(leased) = self.budgets.get_mut(budget) else { return };
        if leased.report_usage(self.now, in_use, counts, demand_period) {
            self.request_soon();
        }
        if self.leaving && in_use == 0 {
            self.next_request_at = self.next_request_at.min(self.now);
        }
    }

    /// Records the spending from a wallet. Call it in the loop iteration in which it changed, before
    /// [`Self::next_request`].
    pub fn report_wallet_usage(&mut self, wallet: usize, usage: WalletUsage) {
        let Some(reserved) = self.wallets.get_mut(wallet) else { return };
        if reserved.report_usage(usage) {
            self.request_soon();
        }
    }

    /// Moves the next request forward because units are lacking. At least a third of a renewal period stays between two
    /// requests, so that a lasting shortage does not cause a flood of them.
    fn request_soon(&mut self) {
        if matches!(self.session, SessionState::Active { .. }) {
            let soon = self.exchange.last_sent() + self.renewal_period() * RENEWAL_FRACTION;
            self.next_request_at = self.next_request_at.min(soon.max(self.now));
        }
    }

    /// Records that the node applied a route document. The next request reports it.
    pub fn document_applied(&mut self, index: u64, version: u32) {
        self.applied_document = AppliedDocument { index, version };
    }

    /// Starts draining: the node reports no new demand, and keeps its leases and reservations until nothing is in use. The
    /// next request then ends the session, and all leases and reservations are dropped when that request is built.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.next_request_at = self.next_request_at.min(self.now);
    }

    /// Whether the session has ended. No further requests are sent then.
    pub fn has_ended(&self) -> bool {
        self.session == SessionState::Ended
    }

    /// Removes and returns the events since the last call.
    pub fn drain_events(&mut self) -> impl Iterator<Item = Event> + '_ {
        self.events.drain(..)
    }

    /// The time of the next request, or of the next expiry of a lease or reservation, whichever is earlier.
    pub fn next_deadline(&self) -> Option<Instant> {
        let leases = self.budgets.iter().filter_map(LeasedBudget::expires_at);
        let reservations = self.wallets.iter().filter_map(ReservedWallet::expires_at);
        let next_expiry = leases.chain(reservations).min();
        let next_request = (!self.has_ended()).then_some(self.next_request_at);
        let next_message = self.exchange.retry_at().or(next_request);
        [next_expiry, next_message].into_iter().flatten().min()
    }

    /// The request that is due now: a new request, or the next attempt of the pending one.
    pub fn next_request(&mut self, now: Instant) -> Option<OutgoingRequest> {
        self.advance(now);
        let timeout = self.settings.response_timeout;
        if let Some((Attempt { coordinator, token }, request)) = self.exchange.retry(self.now, timeout) {
            return Some(OutgoingRequest { coordinator, token, request });
        }
        let is_due = !self.exchange.has_pending() && self.now >= self.next_request_at;
        if !is_due || self.has_ended() || !self.exchange.has_coordinators() {
            return None;
        }
        let request = self.build_request();
        let Attempt { coordinator, token } = self.exchange.start(self.now, request.clone(), timeout);
        Some(OutgoingRequest { coordinator, token, request })
    }

    fn build_request(&mut self) -> NodeRequest {
        let reads_documents = !self.settings.schema_versions.is_empty();
        let mut request = NodeRequest {
            name: self.settings.name.clone(),
            incarnation: 0,
            sequence: 0,
            program_version: self.settings.program_version.clone(),
            schema_versions: self.settings.schema_versions.clone(),
            budgets: Vec::new(),
            wallets: Vec::new(),
            applied_document: reads_documents.then(|| self.applied_document.clone()),
            ends_session: false,
        };
        match self.session {
            SessionState::Joining { nonce } => request.sequence = nonce,
            SessionState::Active { incarnation } | SessionState::Leaving { incarnation } => {
                request.incarnation = incarnation;
                request.sequence = self.exchange.next_sequence();
                request.ends_session = self.leaving && self.nothing_in_use();
                request.wallets = self.wallet_reports();
                if request.ends_session {
                    self.session = SessionState::Leaving { incarnation };
                    // The coordinators may grant everything to other nodes as soon as they apply this request, long before
                    // its response arrives. Requests that a draining node still starts must not use the returned units.
                    self.drop_all_grants();
                } else {
                    request.budgets = self.budget_reports();
                }
            }
            SessionState::Ended => {}
        }
        request
    }

    fn nothing_in_use(&self) -> bool {
        self.budgets.iter().all(|leased| leased.in_use() == 0)
            && self.wallets.iter().all(|reserved| reserved.held() == 0)
    }

    fn wallet_reports(&mut self) -> Vec<WalletReport> {
        let (now, leaving, demand_period) = (self.now, self.leaving, self.demand_period());
        let wallets = self.wallets.iter_mut().zip(&self.settings.wallets);
        wallets.map(|(reserved, settings)| reserved.report(now, demand_period, settings, leaving)).collect()
    }

    fn budget_reports(&mut self) -> Vec<BudgetReport> {
        let (now, leaving, demand_period) = (self.now, self.leaving, self.demand_period());
        let budgets = self.budgets.iter_mut().zip(&self.settings.budgets);
        budgets.map(|(leased, settings)| leased.report(now, demand_period, settings, leaving)).collect()
    }

    /// Handles the response to the attempt with this token, or `None` if that attempt will get no response. A response that
    /// does not belong to the pending request is ignored.
    pub fn on_response(&mut self, now: Instant, token: u64, response: Option<NodeResponse>) {
        self.advance(now);
        let retry_delay = self.random_retry_delay();
        let Some(response) = response else {
            self.exchange.attempt_failed(self.now, token, retry_delay);
            return;
        };
        let Some(MatchedRequest { request, first_sent }) = self.exchange.match_response(token) else {
            return;
        };
        match response {
            NodeResponse::Accepted(update) if update.sequence == request.sequence => {
                self.exchange.finish();
                self.on_accepted(first_sent, &request, update);
            }
            NodeResponse::Rejected(Rejection::NotLeader { leader }) => {
                self.exchange.redirected(self.now, leader.and_then(coordinator_index), retry_delay);
            }
            NodeResponse::Rejected(rejection) => self.on_rejected(&request, rejection),
            // The sequence number is that of another request, so the attempt counts as failed.
            NodeResponse::Accepted(_) => self.exchange.attempt_failed(self.now, token, retry_delay),
        }
    }

    fn on_accepted(&mut self, first_sent: Instant, request: &NodeRequest, update: LeaseUpdate) {
        if let SessionState::Joining { .. } = self.session {
            let incarnation = update.incarnation;
            self.session = SessionState::Active { incarnation };
            self.next_request_at = self.now;
            self.events.push(Event::Joined { incarnation });
            return;
        }
        if request.ends_session {
            self.session = SessionState::Ended;
            self.drop_all_grants();
            return;
        }
        for lease in &update.leases {
            self.renew_lease(first_sent, lease);
        }
        for reservation in &update.reservations {
            self.renew_reservation(first_sent, reservation);
        }
        self.events.extend(update.document.map(Event::Document));
        let unreadable = update.unreadable_reason.map(|reason| Event::DocumentUnreadable { reason });
        self.events.extend(unreadable);
        let jitter = 1.0 - JITTER * self.random.unit();
        self.next_request_at = (first_sent + self.renewal_period() * jitter).max(self.now);
    }

    fn renew_lease(&mut self, first_sent: Instant, lease: &Lease) {
        let index = self.settings.budgets.iter().position(|settings| settings.name == lease.budget);
        let Some(budget) = index else { return };
        let expires_at = first_sent + Span::from_micros(lease.duration_us);
        if self.budgets[budget].renew(self.now, lease, expires_at) {
            let amount = self.budgets[budget].amount();
            self.events.push(Event::LeaseChanged { budget, amount });
        }
    }

    fn renew_reservation(&mut self, first_sent: Instant, reservation: &Reservation) {
        let index = self.settings.wallets.iter().position(|settings| settings.name == reservation.wallet);
        let Some(wallet) = index else { return };
        let duration = Span::from_micros(reservation.duration_us);
        if self.wallets[wallet].renew(self.now, reservation, first_sent + duration) {
            self.events.push(Event::ReservationChanged { wallet });
        }
        self.reservation_duration = Some(duration);
    }

    fn on_rejected(&mut self, request: &NodeRequest, rejection: Rejection) {
        self.exchange.finish();
        self.next_request_at = self.now + self.random_retry_delay();
        match &rejection {
            _ if request.ends_session => self.session = SessionState::Ended,
            Rejection::Replaced => {
                self.drop_all_grants();
                self.session = SessionState::Ended;
                self.events.push(Event::Replaced);
                return;
            }
            Rejection::UnknownIncarnation => {
                // The coordinators may have granted this process's units to other nodes by now.
                self.drop_all_grants();
                self.session = SessionState::Joining { nonce: random_nonce(&mut self.random) };
            }
            _ => {}
        }
        self.events.push(Event::Rejected(rejection));
    }

    /// Drops all leases and reservations.
    fn drop_all_grants(&mut self) {
        for (budget, leased) in self.budgets.iter_mut().enumerate() {
            if leased.drop_lease() {
                self.events.push(Event::LeaseChanged { budget, amount: 0 });
            }
        }
        for (wallet, reserved) in self.wallets.iter_mut().enumerate() {
            if reserved.drop_reservation() {
                self.events.push(Event::ReservationChanged { wallet });
            }
        }
    }

    /// The time between two regular requests.
    fn renewal_period(&self) -> Span {
        let shortest = self.shortest_duration();
        (shortest * RENEWAL_FRACTION).min(self.settings.response_timeout * MAX_RENEWAL_PERIOD_TIMEOUTS)
    }

    /// The shortest duration of the leases and the last reservation; the response timeout if there are none.
    fn shortest_duration(&self) -> Span {
        let leases = self.budgets.iter().filter_map(LeasedBudget::duration);
        leases.chain(self.reservation_duration).min().unwrap_or(self.settings.response_timeout)
    }

    /// The time constant of the demand estimates, and the unit of time for the demand in wallet reports.
    fn demand_period(&self) -> Span {
        self.renewal_period() * DEMAND_RENEWAL_PERIODS
    }

    /// A random delay before the next attempt.
    fn random_retry_delay(&mut self) -> Span {
        self.settings.response_timeout * (RENEWAL_FRACTION * (1.0 + JITTER * self.random.unit()))
    }
}

/// A random number that distinguishes this process's request to join from those of other processes; never 0.
fn random_nonce(random: &mut Pcg) -> u64 {
    let high = u64::from(random.next_u32());
    let low = u64::from(random.next_u32());
    (high << 32 | low).max(1)
}

/// Converts a coordinator's number, which counts from 1, to its index in the list, which counts from 0.
fn coordinator_index(number: u64) -> Option<usize> {
    usize::try_from(number).ok()?.checked_sub(1)
}
