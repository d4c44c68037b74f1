//! The lease client: what is in force, what is sent when, and what a response changes.

use crate::demand::UsageCounts;
use crate::event::{Event, OutgoingRequest};
use crate::exchange::{AnsweredRequest, Attempt, Exchange};
use crate::lease::LeasedBudget;
use crate::reservation::{CurrentReservation, ReservedWallet, WalletUsage};
use crate::session::SessionState;
use crate::settings::Settings;
use lynxtally::{Instant, Pcg, Span};
use lynxtally_messages::{
    AppliedDocument, BudgetReport, Lease, LeaseUpdate, NodeRequest, NodeResponse, Rejection, Reservation,
    WalletReport,
};

/// Leases are renewed after this part of their duration.
const RENEWAL_FRACTION: f64 = 1.0 / 3.0;
/// Demand fades over this many renewal periods: one lease duration.
const FADING_PERIODS: f64 = 1.0 / RENEWAL_FRACTION;
/// However long leases are, they are renewed after this many times the response timeout, as demand changes meanwhile.
const MAX_PERIOD_TIMEOUTS: f64 = 3.0;
/// Regular requests vary by this part, so that a fleet that started together does not stay in step.
const JITTER: f64 = 0.25;

/// One node's leases and reservations.
pub struct LeaseClient {
    settings: Settings,
    random: Pcg,
    /// The latest clock reading.
    now: Instant,
    session: SessionState,
    budgets: Vec<LeasedBudget>,
    wallets: Vec<ReservedWallet>,
    exchange: Exchange,
    /// The route document that the node applied.
    applied_document: AppliedDocument,
    /// How long the last reservation lasts.
    reservation_duration: Option<Span>,
    /// When the next request is due, unless one is under way.
    next_request_at: Instant,
    events: Vec<Event>,
    /// The node drains: it asks for nothing more.
    leaving: bool,
}

impl LeaseClient {
    /// A process that is no member yet and asks to join at once.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        let mut random = Pcg::new(seed);
        let nonce = draw_nonce(&mut random);
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

    /// Time has passed: leases and reservations that expired are not in force any more. To be called before anything
    /// is started, with a clock reading of the present pass of the loop; see the safety rule of this package.
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

    /// How many units of a budget may be in use now.
    pub fn leased_amount(&self, budget: usize) -> u64 {
        self.budgets.get(budget).map_or(0, LeasedBudget::amount)
    }

    /// When the lease of a budget expires, by the clock that is told here.
    pub fn lease_expires_at(&self, budget: usize) -> Option<Instant> {
        self.budgets.get(budget).and_then(LeasedBudget::expires_at)
    }

    /// What may be admitted against a wallet now.
    pub fn reservation(&self, wallet: usize) -> Option<CurrentReservation> {
        self.wallets.get(wallet).map(ReservedWallet::current)
    }

    /// What is in use of a budget, with what was cancelled and still runs, and what was requested and started so far.
    /// To be told in the pass in which something was started, before a request is sent.
    pub fn report_usage(&mut self, budget: usize, in_use: u64, counts: UsageCounts) {
        let fading = self.demand_fading();
        let Some(leased) = self.budgets.get_mut(budget) else { return };
        if leased.report_usage(self.now, in_use, counts, fading) {
            self.request_soon();
        }
        if self.leaving && in_use == 0 {
            self.next_request_at = self.next_request_at.min(self.now);
        }
    }

    /// What was done with a wallet. To be told in the pass in which it changed, before a request is sent.
    pub fn report_wallet_usage(&mut self, wallet: usize, usage: WalletUsage) {
        let Some(reserved) = self.wallets.get_mut(wallet) else { return };
        if reserved.report_usage(usage) {
            self.request_soon();
        }
    }

    /// Something is lacked: that is worth a request of its own, but not many.
    fn request_soon(&mut self) {
        if matches!(self.session, SessionState::Active { .. }) {
            let soon = self.exchange.last_sent() + self.renewal_period() * RENEWAL_FRACTION;
            self.next_request_at = self.next_request_at.min(soon.max(self.now));
        }
    }

    /// The node has applied a route document.
    pub fn document_applied(&mut self, index: u64, version: u32) {
        self.applied_document = AppliedDocument { index, version };
    }

    /// The node drains: it asks for nothing more, and uses what it has until nothing is in use. Then the session is ended,
    /// and with the request that says so nothing is in force here any more.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.next_request_at = self.next_request_at.min(self.now);
    }

    /// Whether the session has ended: nothing is left to be sent.
    pub fn has_ended(&self) -> bool {
        self.session == SessionState::Ended
    }

    /// What happened since the last call.
    pub fn drain_events(&mut self) -> impl Iterator<Item = Event> + '_ {
        self.events.drain(..)
    }

    /// When something is to be done without being asked: a request, or the end of a lease or reservation.
    pub fn next_deadline(&self) -> Option<Instant> {
        let leases = self.budgets.iter().filter_map(LeasedBudget::expires_at);
        let reservations = self.wallets.iter().filter_map(ReservedWallet::expires_at);
        let next_expiry = leases.chain(reservations).min();
        let next_request = (!self.has_ended()).then_some(self.next_request_at);
        let next_message = self.exchange.retry_at().or(next_request);
        [next_expiry, next_message].into_iter().flatten().min()
    }

    /// The request that is due now: a new one, or the one under way to another coordinator.
    pub fn next_request(&mut self, now: Instant) -> Option<OutgoingRequest> {
        self.advance(now);
        let timeout = self.settings.response_timeout;
        if let Some((Attempt { coordinator, token }, request)) = self.exchange.retry(self.now, timeout) {
            return Some(OutgoingRequest { coordinator, token, request });
        }
        let is_due = !self.exchange.is_under_way() && self.now >= self.next_request_at;
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
                    // The coordinators grant everything to others as soon as they apply this request, long before its
                    // response is here. A drain may still start requests: none of them may use what is given back.
                    self.drop_all();
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
        let (now, leaving, period) = (self.now, self.leaving, self.demand_fading());
        let wallets = self.wallets.iter_mut().zip(&self.settings.wallets);
        wallets.map(|(reserved, settings)| reserved.report(now, period, settings, leaving)).collect()
    }

    fn budget_reports(&mut self) -> Vec<BudgetReport> {
        let (now, leaving, fading) = (self.now, self.leaving, self.demand_fading());
        let budgets = self.budgets.iter_mut().zip(&self.settings.budgets);
        budgets.map(|(leased, settings)| leased.report(now, fading, settings, leaving)).collect()
    }

    /// A response came, or surely none will. One that belongs to no request under way is passed over.
    pub fn on_response(&mut self, now: Instant, token: u64, response: Option<NodeResponse>) {
        self.advance(now);
        let pause = self.draw_pause();
        let Some(response) = response else {
            self.exchange.attempt_failed(self.now, token, pause);
            return;
        };
        let Some(AnsweredRequest { request, first_sent }) = self.exchange.answered(token) else { return };
        match response {
            NodeResponse::Accepted(update) if update.sequence == request.sequence => {
                self.exchange.finish();
                self.accepted(first_sent, &request, update);
            }
            NodeResponse::Rejected(Rejection::NotLeader { leader }) => {
                self.exchange.redirected(self.now, leader.and_then(place_of_coordinator), pause);
            }
            NodeResponse::Rejected(rejection) => self.rejected(&request, rejection),
            // A response to something else counts as none.
            NodeResponse::Accepted(_) => self.exchange.attempt_failed(self.now, token, pause),
        }
    }

    fn accepted(&mut self, first_sent: Instant, request: &NodeRequest, update: LeaseUpdate) {
        if let SessionState::Joining { .. } = self.session {
            let incarnation = update.incarnation;
            self.session = SessionState::Active { incarnation };
            self.next_request_at = self.now;
            self.events.push(Event::Joined { incarnation });
            return;
        }
        if request.ends_session {
            self.session = SessionState::Ended;
            self.drop_all();
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
        let place = self.settings.budgets.iter().position(|settings| settings.name == lease.budget);
        let Some(budget) = place else { return };
        let expires_at = first_sent + Span::from_micros(lease.duration_us);
        if self.budgets[budget].renew(self.now, lease, expires_at) {
            let amount = self.budgets[budget].amount();
            self.events.push(Event::LeaseChanged { budget, amount });
        }
    }

    fn renew_reservation(&mut self, first_sent: Instant, reservation: &Reservation) {
        let place = self.settings.wallets.iter().position(|settings| settings.name == reservation.wallet);
        let Some(wallet) = place else { return };
        let duration = Span::from_micros(reservation.duration_us);
        if self.wallets[wallet].renew(self.now, reservation, first_sent + duration) {
            self.events.push(Event::ReservationChanged { wallet });
        }
        self.reservation_duration = Some(duration);
    }

    fn rejected(&mut self, request: &NodeRequest, rejection: Rejection) {
        self.exchange.finish();
        self.next_request_at = self.now + self.draw_pause();
        match &rejection {
            _ if request.ends_session => self.session = SessionState::Ended,
            Rejection::Replaced => {
                self.drop_all();
                self.session = SessionState::Ended;
                self.events.push(Event::Replaced);
                return;
            }
            Rejection::UnknownIncarnation => {
                // What this process had may be granted to others by now.
                self.drop_all();
                self.session = SessionState::Joining { nonce: draw_nonce(&mut self.random) };
            }
            _ => {}
        }
        self.events.push(Event::Rejected(rejection));
    }

    /// Nothing is in force any more.
    fn drop_all(&mut self) {
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

    /// How often leases are renewed.
    fn renewal_period(&self) -> Span {
        let shortest = self.shortest_duration();
        (shortest * RENEWAL_FRACTION).min(self.settings.response_timeout * MAX_PERIOD_TIMEOUTS)
    }

    /// The shortest duration of what is in force; the response timeout before there is any.
    fn shortest_duration(&self) -> Span {
        let leases = self.budgets.iter().filter_map(LeasedBudget::duration);
        leases.chain(self.reservation_duration).min().unwrap_or(self.settings.response_timeout)
    }

    fn demand_fading(&self) -> Span {
        self.renewal_period() * FADING_PERIODS
    }

    /// A random pause before another attempt.
    fn draw_pause(&mut self) -> Span {
        self.settings.response_timeout * (RENEWAL_FRACTION * (1.0 + JITTER * self.random.unit()))
    }
}

/// A random number that makes a question to join this process's own; never 0.
fn draw_nonce(random: &mut Pcg) -> u64 {
    let high = u64::from(random.next_u32());
    let low = u64::from(random.next_u32());
    (high << 32 | low).max(1)
}

/// Coordinators are numbered from 1, and their list counts from 0.
fn place_of_coordinator(number: u64) -> Option<usize> {
    usize::try_from(number).ok()?.checked_sub(1)
}
