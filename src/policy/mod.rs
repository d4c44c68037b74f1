//! All decisions of lynxtally, one file per topic. Utility, demand and rate are terms of the paper "SLICE:
//! SLO-Driven Scheduling for LLM Inference on Edge Computing Devices" (docs/design.md).
//!
//! A host creates one [`Policy`] per backend, passes each event to [`Policy::handle`], and after the events
//! of one moment calls [`Policy::decide`], which appends the actions to carry out.
//!
//! | topic | file |
//! | --- | --- |
//! | Ranking of arrivals, and duplicates | `arrival` |
//! | Starting queued requests | `selection` |
//! | Capacity of the machine | `capacity` |
//! | Rejecting requests that can't respond in time, and ending late runs | `deadline` |
//! | Starting downstream calls | `downstream_calls`, `call_window`, `call_budget` |
//! | Timeouts and retries of downstream calls | `call_retry` |
//! | Final responses | `final_response` |
//! | Advertised capacity, health and Retry-After | `advertise` |
//! | Closing idle connections | `idle_connections` |
//! | Graceful shutdown | `shutdown` |
//! | Learned estimates | `learning` |
//!
//! The files only set the wanted state of requests in the request table. The outbox derives the actions from
//! the difference between that state and what the host was last told.

mod advertise;
mod arrival;
mod call_budget;
mod call_retry;
mod call_window;
mod capacity;
mod deadline;
mod downstream_calls;
mod final_response;
mod idle_connections;
mod learning;
mod selection;
mod shutdown;

use crate::outbox::Outbox;
use crate::request_table::RequestTable;
use crate::*;
use call_budget::CallBudget;
use call_window::CallWindow;
use idle_connections::IdleConnections;
use learning::Learned;
use shutdown::Shutdown;

/// The timer's period, as a fraction of the shortest latency objective.
const TIMER_PERIOD_FRACTION: f64 = 1.0 / 40.0;
/// The shortest period of the timer.
const MIN_TIMER_PERIOD: Span = Span::from_millis(5);
/// The policy's own responses precede the deadline by this many timer periods, as the timer may be late.
const RESPONSE_MARGIN_PERIODS: f64 = 2.0;
/// A class is dominant if its utility is more than this many times the mean of all classes.
const DOMINANT_CLASS_FACTOR: f64 = 2.0;

/// Values derived from the settings.
struct Profile {
    cores: f64,
    timer_period: Span,
    /// The mean latency objective of all classes, in seconds.
    mean_objective_secs: f64,
    /// Whether one class has far more utility than the mean. Callers that are told to hold off reject
    /// requests of every class. With a dominant class, that loses more utility than reading them all costs.
    has_dominant_class: bool,
}

impl Profile {
    fn new(settings: &Settings) -> Self {
        let classes = &settings.classes;
        let highest_utility = classes.iter().map(|class| class.utility).fold(0.0, f64::max);
        let utility_sum = classes.iter().map(|class| class.utility).sum::<f64>();
        let objectives = || classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives().min().unwrap_or_default();
        let objective_sum = objectives().map(Span::secs).sum::<f64>();
        Self {
            cores: f64::from(settings.cores),
            timer_period: (shortest_objective * TIMER_PERIOD_FRACTION).max(MIN_TIMER_PERIOD),
            mean_objective_secs: objective_sum / classes.len().max(1) as f64,
            has_dominant_class: highest_utility * classes.len() as f64 > utility_sum * DOMINANT_CLASS_FACTOR,
        }
    }

    /// How long before its deadline a request gets the policy's own response.
    fn response_margin(&self) -> Span {
        self.timer_period * RESPONSE_MARGIN_PERIODS
    }
}

/// The admission and scheduling policy of one backend. It does no I/O and reads no clock.
pub struct Policy {
    settings: Settings,
    profile: Profile,
    rng: Pcg,
    started: Instant,
    now: Instant,
    requests: RequestTable,
    /// The expected core time of all queued requests at the last decision, in seconds.
    queued_work_secs: f64,
    learned: Learned,
    call_window: CallWindow,
    call_budget: CallBudget,
    shutdown: Option<Shutdown>,
    idle_connections: IdleConnections,
    outbox: Outbox,
}

impl Policy {
    /// Creates the policy of a backend that starts now. The seed determines all its random choices.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        let profile = Profile::new(&settings);
        Self {
            rng: Pcg::new(seed),
            started: now,
            now,
            requests: RequestTable::new(&settings, now),
            queued_work_secs: 0.0,
            learned: Learned::new(&settings, profile.mean_objective_secs),
            call_window: CallWindow::new(&settings, now),
            call_budget: CallBudget::new(&settings, profile.mean_objective_secs),
            shutdown: None,
            idle_connections: IdleConnections::new(&settings, profile.mean_objective_secs),
            outbox: Outbox::new(profile.timer_period),
            profile,
            settings,
        }
    }

    /// Handles one event. Events come in order of time; a `now` before the last one counts as the last one.
    pub fn handle(&mut self, now: Instant, event: Event) {
        self.advance(now);
        match event {
            Event::Arrived(arrival) => self.request_arrived(arrival),
            Event::CallerGone(id) if self.requests.contains(id) => self.caller_gone(id),
            Event::CallRequested(id) if self.requests.contains(id) => self.queue_call(id),
            Event::CallEnded(id, outcome) if self.requests.contains(id) => self.call_ended(id, outcome),
            Event::RunEnded(id, outcome) if self.requests.contains(id) => self.run_ended(id, outcome),
            Event::TimerFired(gauges) => self.timer_fired(gauges),
            Event::Drain(deadline) => self.begin_shutdown(deadline),
            Event::QuotasChanged(quotas) => self.apply_quotas(quotas),
            _ => {} // The request has already ended.
        }
    }

    /// Decides on all events since the last call, and appends the actions to carry out.
    pub fn decide(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.advance(now);
        self.requests.arm_pending_timers();
        self.select_requests();
        while let Some(id) = self.requests.pop_due_timer(now) {
            self.check_deadlines(id);
        }
        self.reject_infeasible();
        self.start_queued_calls();
        self.outbox.emit_backend(&self.advertised_state(), actions);
        self.requests.emit_changes(self.now, self.call_budget.usage.cancellation_lag(), actions);
        self.outbox.emit_log_and_timer(self.idle_connections.action(), actions);
    }

    /// This backend's usage of its dependency.
    pub fn downstream_usage(&mut self) -> CallUsage {
        self.call_budget.usage.counts(self.now, self.requests.usage().calls)
    }

    /// The rate of a tenant's requests that this backend didn't reject, in requests a second; 0 for an
    /// unknown tenant.
    pub fn tenant_rate(&self, tenant: usize) -> f64 {
        self.learned.tenants.rate(tenant)
    }

    /// Advances all that decays or accumulates with time. Does nothing if no time has passed.
    fn advance(&mut self, now: Instant) {
        if now <= self.now {
            return;
        }
        let elapsed_secs = (now - self.now).secs();
        self.now = now;
        self.requests.advance_core_clock(elapsed_secs, self.profile.cores);
        self.call_budget.usage.advance(now, elapsed_secs, self.requests.usage().calls);
        self.learned.tenants.advance(elapsed_secs);
        self.learned.receive_delay.advance(elapsed_secs);
    }

    /// Replaces the settings' quotas by leased ones. Work that was started under larger quotas
    /// continues; no more is started until it fits the new ones.
    fn apply_quotas(&mut self, quotas: LeasedQuotas) {
        self.call_budget.lease = quotas.calls;
        self.learned.tenants.set_quotas(&quotas.tenants);
    }

    /// Handles the timer, with the gauges of this moment.
    fn timer_fired(&mut self, gauges: Gauges) {
        self.outbox.timer_fired();
        self.idle_connections.update(gauges, &self.settings, &self.profile);
        self.use_idle_cores(gauges.cpu_utilization);
    }
}
