//! One tiny fake host: a clock, a policy, and the actions of the last moment.

use lynxtally::*;

pub fn stage(utility: f64) -> StageSettings {
    StageSettings {
        utility,
        late_part: 0.0,
        due: Span::from_millis(1000),
        limit: Span::from_millis(3000),
        effect: Effect::Restartable,
        repeat_window: Span::from_millis(5000),
        calls: true,
        skip_part: 0.0,
    }
}

/// Two cores, a cheap stage 0 and a dear stage 1.
pub fn settings() -> Settings {
    Settings {
        cores: 2,
        memory_kb: 10_000.0,
        run_memory: 4.0,
        key_kb: 10.0,
        cold: false,
        cold_share: 0.2,
        warm_after: Span::from_millis(10_000),
        crowd_limit: 6.0,
        drain_grace: Span::from_millis(1000),
        stages: vec![stage(1.0), stage(5.0)],
        quotas: vec![],
        over_share: 0.1,
        by_work: false,
        backends: 1,
        callers: 2,
        depth: 0,
        below: Below::Nothing,
        stoppable: false,
        free_value: FreeValue::Silent,
        heeded: Span::from_millis(1000),
        idle_after: Span::ZERO,
        share_for: Span::ZERO,
        hold_off: Span::from_millis(1000),
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
            self.policy.on(now, event);
        }
        self.policy.settle(now, &mut self.did);
        let said = self.did.iter().find_map(|a| if let Action::Say(x) = a { Some(*x) } else { None });
        self.credit = said.or(self.credit);
        &self.did
    }

    /// One task arrives; what is special about it is set by the closure.
    pub fn arrive(&mut self, ms: u64, stage: usize, special: impl FnOnce(&mut Arrival)) -> TaskId {
        let task = TaskId(self.next);
        self.next += 1;
        let mut arrival = Arrival {
            task,
            stage,
            customer: None,
            caller: 1,
            hint: None,
            unread: Span::ZERO,
            limit: None,
            further: false,
            repeat: Repeat::No,
            shareable: false,
            kb: 10.0,
            place: 0.0,
            covered: true,
        };
        special(&mut arrival);
        self.happen(ms, [Event::Arrived(arrival)]);
        task
    }

    pub fn plain(&mut self, ms: u64, stage: usize) -> TaskId {
        self.arrive(ms, stage, |_| {})
    }

    /// Whether a plain task starts as it arrives.
    pub fn starts(&mut self, ms: u64, stage: usize) -> bool {
        let task = self.plain(ms, stage);
        self.ran(task)
    }

    pub fn end(&mut self, ms: u64, task: TaskId) {
        self.happen(ms, [Event::RunEnded(task, RunOutcome::Answered)]);
    }

    pub fn tick(&mut self, ms: u64, busy: f64) {
        self.happen(ms, [Event::Timer(Gauges { cores_busy: Some(busy), ..Gauges::default() })]);
    }

    pub fn ran(&self, task: TaskId) -> bool {
        self.did.contains(&Action::Run(task))
    }

    pub fn rejected(&self, task: TaskId) -> bool {
        self.did.iter().any(|a| matches!(a, Action::Reject { task: t, .. } if *t == task))
    }

    pub fn abandoned(&self, task: TaskId) -> bool {
        self.did.contains(&Action::Abandon(task))
    }

    pub fn called(&self, task: TaskId) -> bool {
        self.did.iter().any(|a| matches!(a, Action::Call { task: t, .. } if *t == task))
    }
}

/// Stand-ins for those that a node talks to, on loopback, and the node itself as a program.
pub mod world;
