//! One tiny fake host: a clock, a policy, and the actions of the last moment.

use lynxtally::*;

pub fn stage(utility: f64) -> RequestClass {
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

/// Two cores, a cheap stage 0 and a dear stage 1.
pub fn settings() -> Settings {
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
        classes: vec![stage(1.0), stage(5.0)],
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

pub struct Host {
    policy: Policy,
    now: u64,
    next: u32,
    pub did: Vec<Action>,
    /// The free value last told.
    pub credit: Option<f64>,
}

impl Host {
    pub fn new(set: Settings) -> Self {
        Self::from(set, 0)
    }

    /// One that starts then.
    pub fn from(set: Settings, ms: u64) -> Self {
        Self {
            policy: Policy::new(set, 1, Instant::from_micros(ms * 1000)),
            now: ms,
            next: 0,
            did: Vec::new(),
            credit: None,
        }
    }

    pub fn at(&self, ms: u64) -> Instant {
        Instant::from_micros(ms * 1000)
    }

    /// Lets events happen at one moment and keeps what the policy then wants done.
    pub fn happen(&mut self, ms: u64, events: impl IntoIterator<Item = Event>) -> &[Action] {
        assert!(ms >= self.now, "the clock only goes forward");
        (self.now, self.did) = (ms, Vec::new());
        let now = self.at(ms);
        for event in events {
            self.policy.handle(now, event);
        }
        self.policy.decide(now, &mut self.did);
        let said =
            self.did.iter().find_map(|a| if let Action::AdvertiseCapacity(x) = a { Some(*x) } else { None });
        self.credit = said.or(self.credit);
        &self.did
    }

    /// One task arrives; what is special about it is set by the closure.
    pub fn arrive(&mut self, ms: u64, stage: usize, special: impl FnOnce(&mut Arrival)) -> RequestId {
        let task = RequestId(self.next);
        self.next += 1;
        let mut arrival = Arrival {
            request: task,
            class: stage,
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
        special(&mut arrival);
        self.happen(ms, [Event::Arrived(arrival)]);
        task
    }

    pub fn plain(&mut self, ms: u64, stage: usize) -> RequestId {
        self.arrive(ms, stage, |_| {})
    }

    /// Whether a plain task starts as it arrives.
    pub fn starts(&mut self, ms: u64, stage: usize) -> bool {
        let task = self.plain(ms, stage);
        self.ran(task)
    }

    pub fn end(&mut self, ms: u64, task: RequestId) {
        self.happen(ms, [Event::RunEnded(task, RunOutcome::Responded)]);
    }

    pub fn tick(&mut self, ms: u64, busy: f64) {
        self.happen(ms, [Event::TimerFired(Gauges { cpu_utilization: Some(busy), ..Gauges::default() })]);
    }

    pub fn ran(&self, task: RequestId) -> bool {
        self.did.contains(&Action::Start(task))
    }

    pub fn rejected(&self, task: RequestId) -> bool {
        self.did.iter().any(|a| matches!(a, Action::Reject { request: t, .. } if *t == task))
    }

    pub fn abandoned(&self, task: RequestId) -> bool {
        self.did.contains(&Action::Fail(task))
    }

    pub fn called(&self, task: RequestId) -> bool {
        self.did.iter().any(|a| matches!(a, Action::Call { request: t, .. } if *t == task))
    }
}
