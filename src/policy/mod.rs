//! All decisions of lynxtally, a file for each question. Utility, demand and rate are the terms of the paper
//! "SLICE: SLO-Driven Scheduling for LLM Inference on Edge Computing Devices" (docs/design.md).
//!
//! A host makes one [`Policy`] for a backend, gives it each thing that happens with [`Policy::handle`], and
//! after the events of one moment calls [`Policy::decide`], which adds the actions to be carried out.
//!
//! | question | file |
//! | --- | --- |
//! | How is an arriving request ranked, and is it a duplicate? | `arrival` |
//! | May this request start? | `selection` |
//! | How much fits on this machine? | `capacity` |
//! | When is a request given up? | `deadline` |
//! | May this downstream call go now? | `downstream_calls`, `call_window`, `call_budget` |
//! | Is the call timed out, retried or left out? | `call_retry` |
//! | Which final response does a request get? | `final_response` |
//! | What are callers and health checks told? | `advertise` |
//! | When are idle connections closed? | `idle_connections` |
//! | How does a shutdown end? | `shutdown` |
//! | What is learned from arrivals and runs? | `learning` |
//!
//! Rules change only the state that a request is wanted in, in the request table; the outbox works out the
//! difference to what the host was told.

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
/// The policy's own responses go out this many timer periods before the deadline, as the timer may be late.
const RESPONSE_MARGIN_PERIODS: f64 = 2.0;
/// A class stands out if its utility is more than this many times the mean of all.
const STANDS_OUT_FACTOR: f64 = 2.0;

/// What follows from the settings alone.
struct Profile {
    cores: f64,
    timer_period: Span,
    /// The mean latency objective of all classes, in seconds.
    mean_objective_secs: f64,
    /// One class's utility stands so far above the others' that a caller which is kept away, and so rejects
    /// without looking at classes, loses more than reading a request here costs.
    one_class_stands_out: bool,
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
            one_class_stands_out: highest_utility * classes.len() as f64 > utility_sum * STANDS_OUT_FACTOR,
        }
    }

    /// How long before its deadline a request gets the policy's own response.
    fn response_margin(&self) -> Span {
        self.timer_period * RESPONSE_MARGIN_PERIODS
    }
}

/// The decisions of one backend.
pub struct Policy {
    settings: Settings,
    profile: Profile,
    rng: Pcg,
    started: Instant,
    now: Instant,
    requests: RequestTable,
    /// The expected core time of all queued requests, in seconds, at the last decision.
    queued_work_secs: f64,
    learned: Learned,
    call_window: CallWindow,
    call_budget: CallBudget,
    shutdown: Option<Shutdown>,
    idle_connections: IdleConnections,
    outbox: Outbox,
}

impl Policy {
    /// The policy of a backend that starts now. All its random choices follow from the seed.
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

    /// Takes in one event. Events come in the order of time; a `now` before the last one counts as that.
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
            _ => {} // It concerns a request that is over already.
        }
    }

    /// Decides on all that was handled since the last call, and adds the actions to be carried out.
    pub fn decide(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.advance(now);
        self.requests.arm_pending_timers();
        self.select_requests();
        while let Some(id) = self.requests.pop_due_timer(now) {
            self.check_deadlines(id);
        }
        self.reject_hopeless();
        self.start_queued_calls();
        self.outbox.emit_backend(&self.advertised_state(), actions);
        self.requests.emit_changes(self.now, self.call_budget.usage.cancellation_lag(), actions);
        self.outbox.emit_log_and_timer(self.idle_connections.action(), actions);
    }

    /// How this backend uses its dependency.
    pub fn downstream_usage(&mut self) -> CallUsage {
        self.call_budget.usage.counts(self.now, self.requests.usage().calls)
    }

    /// What a tenant sends here that is not rejected, in requests a second; 0 for an unknown one.
    pub fn tenant_rate(&self, tenant: usize) -> f64 {
        self.learned.tenants.rate(tenant)
    }

    /// Lets time pass for all that fades or accumulates with it. Within one moment nothing does.
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

    /// Leased quotas take the place of the settings'. What was begun under larger ones goes on; nothing more
    /// is begun until it fits under these.
    fn apply_quotas(&mut self, quotas: LeasedQuotas) {
        self.call_budget.lease = quotas.calls;
        self.learned.tenants.set_quotas(&quotas.tenants);
    }

    /// The host's one timer fired, with the gauges of this moment.
    fn timer_fired(&mut self, gauges: Gauges) {
        self.outbox.timer_fired();
        self.idle_connections.update(gauges, &self.settings, &self.profile);
        self.use_idle_room(gauges.cpu_utilization);
    }
}
