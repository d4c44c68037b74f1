//! A host for tests: settings, and a fake host that drives a policy without I/O.

use lynxtally::*;

/// A class of idempotent requests that may call downstream.
pub fn class(utility: f64) -> RequestClass {
    RequestClass {
        utility,
        late_utility_fraction: 0.0,
        latency_objective: Span::from_millis(1000),
        deadline: Span::from_millis(3000),
        effect: Effect::Idempotent,
        deduplication_window: Span::from_millis(5000),
        calls_downstream: true,
        degraded_utility_fraction: 0.0,
    }
}

/// Settings with two cores, a class 0 of low utility and a class 1 of high utility.
pub fn two_core_settings() -> Settings {
    Settings {
        cores: 2,
        memory_kb: 10_000.0,
        running_memory_factor: 4.0,
        idempotency_key_kb: 10.0,
        cold_start: false,
        cold_capacity_fraction: 0.2,
        warmup_time: Span::from_millis(10_000),
        max_running_per_core: 6.0,
        drain_grace: Span::from_millis(1000),
        classes: vec![class(1.0), class(5.0)],
        tenant_quotas: vec![],
        over_quota_utility_fraction: 0.1,
        utility_per_work: false,
        backends: 1,
        callers: 2,
        tier_depth: 0,
        downstream: Downstream::None,
        stoppable: false,
        capacity_format: CapacityFormat::None,
        capacity_ttl: Span::from_millis(1000),
        client_idle_timeout: Span::ZERO,
        coalescing_window: Span::ZERO,
        max_retry_after: Span::from_millis(1000),
    }
}

/// A shared dependency. This backend's share of it is `concurrent_calls`, as a mean over five seconds.
pub fn shared_dependency(concurrent_calls: f64) -> Downstream {
    Downstream::Shared {
        concurrent_calls,
        averaging_window: Span::from_millis(5000),
        cancellation_lag: Span::from_millis(200),
    }
}

/// A host without I/O: a clock in milliseconds, a policy, and the actions of the policy's latest decision.
pub struct FakeHost {
    policy: Policy,
    now_ms: u64,
    next_id: u32,
    /// The actions of the policy's latest decision.
    pub actions: Vec<Action>,
    /// The last capacity that the policy advertised.
    pub advertised_capacity: Option<f64>,
}

impl FakeHost {
    /// A host that starts at 0 ms.
    pub fn new(settings: Settings) -> Self {
        Self::started_at(settings, 0)
    }

    /// A host that starts at `ms`.
    pub fn started_at(settings: Settings, ms: u64) -> Self {
        Self {
            policy: Policy::new(settings, 1, Instant::from_micros(ms * 1000)),
            now_ms: ms,
            next_id: 0,
            actions: Vec::new(),
            advertised_capacity: None,
        }
    }

    pub fn instant(&self, ms: u64) -> Instant {
        Instant::from_micros(ms * 1000)
    }

    /// Passes the events of one moment to the policy, and keeps the actions that it returns.
    pub fn handle(&mut self, ms: u64, events: impl IntoIterator<Item = Event>) -> &[Action] {
        assert!(ms >= self.now_ms, "events come in order of time");
        self.now_ms = ms;
        self.actions = Vec::new();
        let now = self.instant(ms);
        for event in events {
            self.policy.handle(now, event);
        }
        self.policy.decide(now, &mut self.actions);
        let advertised = self.actions.iter().find_map(|action| match action {
            Action::AdvertiseCapacity(capacity) => Some(*capacity),
            _ => None,
        });
        self.advertised_capacity = advertised.or(self.advertised_capacity);
        &self.actions
    }

    /// Lets a request arrive, with the arrival changed by `customize`.
    pub fn arrive_with(&mut self, ms: u64, class: usize, customize: impl FnOnce(&mut Arrival)) -> RequestId {
        let request = RequestId(self.next_id);
        self.next_id += 1;
        let mut arrival = Arrival {
            request,
            class,
            tenant: None,
            caller: 1,
            expected_work: None,
            receive_delay: Span::ZERO,
            deadline: None,
            is_retry: false,
            duplicate: Duplicate::No,
            coalescable: false,
            memory_kb: 10.0,
            prepaid: true,
        };
        customize(&mut arrival);
        self.handle(ms, [Event::Arrived(arrival)]);
        request
    }

    /// Lets an ordinary request arrive.
    pub fn arrive(&mut self, ms: u64, class: usize) -> RequestId {
        self.arrive_with(ms, class, |_| {})
    }

    /// Whether an ordinary request starts on arrival.
    pub fn starts_on_arrival(&mut self, ms: u64, class: usize) -> bool {
        let request = self.arrive(ms, class);
        self.started(request)
    }

    /// Reports that a run ended after it sent its response.
    pub fn end_run(&mut self, ms: u64, request: RequestId) {
        self.handle(ms, [Event::RunEnded(request, RunOutcome::Responded)]);
    }

    /// Fires the timer with this CPU utilization.
    pub fn fire_timer(&mut self, ms: u64, cpu_utilization: f64) {
        let gauges = Gauges { cpu_utilization: Some(cpu_utilization), ..Gauges::default() };
        self.handle(ms, [Event::TimerFired(gauges)]);
    }

    /// Whether a request was started or resumed at the last moment.
    pub fn started(&self, request: RequestId) -> bool {
        self.actions.contains(&Action::Start(request))
    }

    /// Whether a request was rejected at the last moment.
    pub fn rejected(&self, id: RequestId) -> bool {
        let is_rejection =
            |action: &Action| matches!(action, Action::Reject { request, .. } if *request == id);
        self.actions.iter().any(is_rejection)
    }

    /// Whether a request failed at the last moment.
    pub fn failed(&self, request: RequestId) -> bool {
        self.actions.contains(&Action::Fail(request))
    }

    /// Whether a request's call was started at the last moment.
    pub fn call_started(&self, id: RequestId) -> bool {
        let is_call = |action: &Action| matches!(action, Action::Call { request, .. } if *request == id);
        self.actions.iter().any(is_call)
    }

    /// The number of calls that were started at the last moment.
    pub fn calls_started(&self) -> usize {
        self.actions.iter().filter(|action| matches!(action, Action::Call { .. })).count()
    }

    /// The timeout of the first call that was started at the last moment.
    pub fn call_timeout(&self) -> Option<Span> {
        self.actions.iter().find_map(|action| match action {
            Action::Call { timeout, .. } => Some(*timeout),
            _ => None,
        })
    }
}
