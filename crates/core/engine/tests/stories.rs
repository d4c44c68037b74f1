//! The host with a toy executor in simulated time: what every front relies on.

use lynxtally::*;
use lynxtally_engine::*;

/// Runs that end when the story says so.
#[derive(Default)]
struct Bench {
    running: Vec<RequestId>,
    given_up: Vec<u64>,
    calls: Vec<(RequestId, u64)>,
    released: usize,
}

impl Executor<&'static str> for Bench {
    fn start(&mut self, task: RequestId, _: &mut &'static str) {
        self.running.push(task);
    }
    fn stop(&mut self, _: RequestId, _: &mut &'static str) {}
    fn start_call(&mut self, task: RequestId, work: &mut &'static str, number: u64, _: Span) -> bool {
        self.calls.push((task, number));
        *work != "no call can be made"
    }
    fn cancel_call(&mut self, _: &mut &'static str, number: u64) {
        self.given_up.push(number);
    }
    fn release(&mut self, _: RequestId, _: &'static str) {
        self.released += 1;
    }
}

/// Answers by the caller's number.
#[derive(Default)]
struct Desk(Vec<(u32, FinalResponse)>);

impl Responder<u32> for Desk {
    fn respond(&mut self, from: u32, answer: FinalResponse) -> bool {
        self.0.push((from, answer));
        from != 99
    }
}

struct World {
    host: Engine<Policy, &'static str, u32, u8>,
    bench: Bench,
    desk: Desk,
    now: u64,
}

impl World {
    fn new() -> Self {
        let mut world =
            Self { host: Engine::new(1000), bench: Bench::default(), desk: Desk::default(), now: 1_000_000 };
        let now = world.at();
        world.host.start(now, Policy::new(settings(), 1, now));
        world.turn(0);
        world
    }

    fn at(&self) -> Instant {
        Instant::from_micros(self.now)
    }

    /// So many milliseconds pass, in steps no longer than the next due time.
    fn turn(&mut self, millis: u64) {
        let until = self.now + millis * 1000;
        loop {
            let due = self.host.next_timer().map_or(until, |at| (at - Instant::default()).micros());
            self.now = due.clamp(self.now, until);
            let now = self.at();
            while self.host.expire_timers(now, &mut self.bench).is_some() {}
            self.host.decide(now, &mut self.bench, &mut self.desk);
            if self.now == until {
                return;
            }
        }
    }

    fn enter(&mut self, name: &str, from: u32, stage: usize, key: Option<&str>) -> Result<RequestId, u32> {
        let key = key.map(|key| (stage, key.to_owned()));
        let entry = IncomingRequest { class: stage, key, memory_kb: 1.0, ..IncomingRequest::default() };
        self.take(name, from, entry).map_err(|denied| denied.reply_to)
    }

    fn take(&mut self, name: &str, from: u32, entry: IncomingRequest) -> Result<RequestId, Rejection<u32>> {
        self.host.submit(self.at(), Some(name), entry, "", from)
    }

    fn end(&mut self, task: RequestId, end: RunEnd) {
        let now = self.at();
        self.host.run_ended(now, task, end, &mut self.bench, &mut self.desk);
        self.turn(0);
    }
}

fn settings() -> Settings {
    let stage = |effect| RequestClass {
        utility: 1.0,
        late_utility_fraction: 0.0,
        latency_objective: Span::from_millis(1000),
        deadline: Span::from_millis(3000),
        effect,
        deduplication_window: Span::from_millis(5000),
        calls_downstream: true,
        degraded_utility_fraction: 0.0,
    };
    Settings {
        cores: 2,
        memory_kb: 10_000.0,
        running_memory_factor: 4.0,
        idempotency_key_kb: 1.0,
        cold_start: false,
        cold_capacity_fraction: 0.2,
        warmup_time: Span::from_millis(1000),
        max_running_per_core: 6.0,
        drain_grace: Span::from_millis(500),
        classes: vec![stage(Effect::Idempotent), stage(Effect::Deduplicated)],
        tenant_quotas: vec![1000.0],
        over_quota_utility_fraction: 1.0,
        utility_per_work: false,
        backends: 1,
        callers: 1,
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

#[test]
fn every_task_read_gets_one_answer_whatever_becomes_of_it() {
    let mut world = World::new();
    let tasks: Vec<_> = (0..40).map(|n| world.enter(&n.to_string(), n, 0, None)).collect();
    world.turn(0);
    assert!(world.bench.running.len() >= 2, "the cores are used");
    let first = world.bench.running[0];
    let name = world.host.name(first).expect("it has one").to_owned();
    assert_eq!(world.enter(&name, 50, 0, None), Err(50), "a name in use");
    assert!(
        !world.host.caller_gone(world.at(), first, |from| *from == 77),
        "another caller's going is not its own"
    );
    let running = world.bench.running.clone();
    world.end(running[0], RunEnd::Completed(b"done".to_vec()));
    world.end(running[1], RunEnd::Failed);
    let open = |n: &u32| world.host.reply_to(tasks[*n as usize].expect("taken")) == Some(n);
    let waits = (0..40).find(open).expect("one waits");
    assert!(world.host.caller_gone(world.at(), tasks[waits as usize].expect("taken"), |from| *from == waits));
    world.turn(5000);
    let tally = world.host.counts();
    assert!(tally.is_consistent() && tally.in_flight == 0, "{tally:?}");
    let mut answered: Vec<u32> = world.desk.0.iter().map(|(from, _)| *from).collect();
    answered.sort_unstable();
    assert_eq!(
        answered,
        (0..40).filter(|n| *n != waits).collect::<Vec<_>>(),
        "one answer each, none to whom is gone"
    );
    assert_eq!((tally.completed, tally.caller_gone, tally.received), (1, 1, 41));
}

#[test]
fn a_repeat_is_answered_from_the_first_run_and_an_answer_nobody_takes_is_counted() {
    let mut world = World::new();
    let first = world.enter("a", 1, 1, Some("mark")).expect("taken");
    world.turn(0);
    world.enter("b", 99, 1, Some("mark")).expect("taken");
    world.turn(10);
    assert_eq!(world.bench.running, [first], "the repeat does not run");
    world.end(first, RunEnd::Completed(b"r".to_vec()));
    assert_eq!(
        world.desk.0,
        [(99, FinalResponse::Completed(b"r".to_vec())), (1, FinalResponse::Completed(b"r".to_vec()))]
    );
    assert_eq!((world.host.counts().completed, world.host.counts().undelivered), (2, 1));
}

/// A marked task with a body of its own that lay unread for so long.
fn marked(body: u8, unread: u64) -> IncomingRequest {
    let key = Some((1, "mark".to_owned()));
    let unread = Span::from_millis(unread);
    IncomingRequest {
        class: 1,
        key,
        fingerprint: [body; 32],
        receive_delay: unread,
        memory_kb: 1.0,
        ..IncomingRequest::default()
    }
}

#[test]
fn another_body_under_a_mark_neither_runs_nor_gets_the_result_and_is_the_first_once_the_first_never_ran() {
    let mut world = World::new();
    let first = world.take("a", 1, marked(1, 0)).expect("taken");
    world.turn(0);
    let conflict = |from| Err(Rejection { reply_to: from, reason: RejectionReason::KeyConflict });
    assert_eq!(world.take("b", 2, marked(2, 0)), conflict(2), "while it runs");
    world.take("c", 3, marked(1, 0)).expect("the same once more");
    world.turn(0);
    world.end(first, RunEnd::Completed(b"r".to_vec()));
    assert_eq!(
        world.desk.0,
        [(3, FinalResponse::Completed(b"r".to_vec())), (1, FinalResponse::Completed(b"r".to_vec()))]
    );
    assert_eq!(world.take("d", 4, marked(2, 0)), conflict(4), "and from the kept result");
    world.turn(20_000);
    // Whose mark was taken before it came is not kept out by what never ran.
    let copy = world.take("e", 5, marked(3, 0)).expect("taken");
    world.turn(0);
    world.end(copy, RunEnd::NotStarted);
    let real = world.take("f", 6, marked(4, 0)).expect("taken");
    world.turn(0);
    assert_eq!(world.bench.running.last(), Some(&real));
    world.end(real, RunEnd::Completed(b"s".to_vec()));
    assert_eq!(world.desk.0.last(), Some(&(6, FinalResponse::Completed(b"s".to_vec()))));
    let tally = world.host.counts();
    assert!(tally.is_consistent() && tally.in_flight == 0 && tally.failed == 3, "{tally:?}");
}

#[test]
fn a_repeat_is_one_by_when_it_came_however_late_it_is_read() {
    // The window is 5 s, and the module keeps a key two periods (of 25 ms) longer.
    for (later, unread, again) in
        [(5_000, 0, false), (5_600, 601, false), (7_900, 2_900, false), (5_600, 0, true)]
    {
        let mut world = World::new();
        world.host.set_max_receive_delay(Span::from_millis(3_000));
        let first = world.take("a", 1, marked(1, 0)).expect("taken");
        world.turn(0);
        world.end(first, RunEnd::Completed(b"r".to_vec()));
        world.turn(later);
        world.take("b", 2, marked(1, unread)).expect("taken");
        world.turn(0);
        assert_eq!(world.bench.running.len() == 2, again, "{later} ms later, unread for {unread} ms");
    }
}

#[test]
fn one_that_found_nobody_to_do_it_never_ran_and_its_repeat_is_the_first() {
    let mut world = World::new();
    let task = world.enter("a", 1, 1, Some("mark")).expect("taken");
    world.turn(0);
    world.end(task, RunEnd::Unavailable(Span::from_millis(300)));
    let rejected = FinalResponse::Rejected { retry_after: Span::from_millis(300), no_retry: false };
    assert_eq!(world.desk.0, [(1, rejected)]);
    let again = world.enter("b", 2, 1, Some("mark")).expect("taken");
    world.turn(0);
    assert_eq!(world.bench.running.last(), Some(&again), "nothing of the first was done");
    world.end(again, RunEnd::Completed(b"r".to_vec()));
    world.turn(20_000);
    let tally = world.host.counts();
    assert!(
        tally.is_consistent() && tally.in_flight == 0 && (tally.rejected, tally.completed) == (1, 1),
        "{tally:?}"
    );
}

#[test]
fn waits_for_peers_of_their_own_never_stand_in_each_others_way() {
    let mut world = World::new();
    let now = world.at();
    let policy = Policy::new(
        Settings { downstream: Downstream::Peers, max_running_per_core: 1000.0, ..settings() },
        1,
        now,
    );
    world.host = Engine::new(0);
    world.host.start(now, policy);
    for n in 0..100 {
        let task = world.enter(&n.to_string(), n, 0, None).expect("taken");
        world.turn(0);
        world.host.call_requested(now, task);
        world.turn(0);
    }
    assert_eq!(world.bench.calls.len(), 100, "all wait at once, on two cores");
}

#[test]
fn a_call_whose_time_is_over_is_given_up_and_a_late_end_of_it_is_nobodys() {
    let mut world = World::new();
    let task = world.enter("a", 1, 0, None).expect("taken");
    world.turn(0);
    world.host.call_requested(world.at(), task);
    world.turn(0);
    let (_, number) = world.bench.calls[0];
    world.turn(2000);
    assert!(world.bench.given_up.contains(&number));
    assert!(world.host.call_ended(world.at(), task, number, CallOutcome::MaybeExecuted));
    assert!(!world.host.call_ended(world.at(), task, number, CallOutcome::Succeeded), "it ended once");
    world.turn(4000);
    assert!(world.host.counts().is_consistent() && world.host.counts().in_flight == 0);
}

#[test]
fn before_anything_decides_a_task_is_refused_and_a_notice_to_leave_is_not_forgotten() {
    let mut host: Engine<Policy, &'static str, u32, u8> = Engine::new(0);
    let now = Instant::from_micros(5);
    assert_eq!(
        host.submit(now, None, IncomingRequest::default(), "", 1),
        Err(Rejection { reply_to: 1, reason: RejectionReason::NotStarted })
    );
    assert!(host.begin_drain(now, Span::from_millis(100)) && !host.begin_drain(now, Span::from_millis(100)));
    host.start(now, Policy::new(settings(), 1, now));
    let late = now + Span::from_millis(600);
    assert!(host
        .submit(late, None, IncomingRequest { memory_kb: 1.0, ..IncomingRequest::default() }, "", 2)
        .is_ok());
    let (mut bench, mut desk) = (Bench::default(), Desk::default());
    host.decide(late, &mut bench, &mut desk);
    assert!(
        matches!(desk.0[..], [(2, FinalResponse::Rejected { .. })]) && bench.running.is_empty(),
        "past the grace"
    );
    assert_eq!(bench.released, 1);
}

/// A host whose only customer has so many units, at two a task of stage 0 and one of stage 1.
fn purse(world: &mut World, account: u64, granted: u64, in_force: bool) {
    world.host.set_reservation(0, WalletReservation { account, granted, in_force, prices: Some(vec![2, 1]) });
}

fn buy(world: &mut World, name: &str, from: u32, stage: usize, key: Option<&str>) -> RequestId {
    let key = key.map(|key| (stage, key.to_owned()));
    let entry =
        IncomingRequest { class: stage, key, tenant: Some(0), memory_kb: 1.0, ..IncomingRequest::default() };
    world.host.submit(world.at(), Some(name), entry, "", from).expect("taken")
}

fn spent(world: &World) -> (u64, u64) {
    let spent = world.host.reservation_usage(0);
    (spent.spent, spent.held)
}

#[test]
fn finished_costs_and_rejected_failed_and_gone_cost_nothing() {
    let mut world = World::new();
    purse(&mut world, 1, 8, true);
    let tasks: Vec<RequestId> = (0..5).map(|n| buy(&mut world, &n.to_string(), n, 0, None)).collect();
    assert_eq!(spent(&world), (0, 8), "what is let in is reserved at that moment");
    world.turn(0);
    let refused = |from, answer: &FinalResponse| {
        from == 4
            && matches!(answer, FinalResponse::Rejected { retry_after: hold_off, .. } if *hold_off > Span::ZERO)
    };
    assert!(world.desk.0.iter().any(|(from, answer)| refused(*from, answer)), "the fifth is not covered");
    world.end(tasks[0], RunEnd::Completed(vec![]));
    world.end(tasks[1], RunEnd::Failed);
    assert!(world.host.caller_gone(world.at(), tasks[2], |from| *from == 2));
    world.turn(5000);
    assert_eq!(spent(&world), (2, 0));
}

#[test]
fn a_mark_is_charged_once_however_many_answers_it_gets() {
    let mut world = World::new();
    purse(&mut world, 1, 10, true);
    let first = buy(&mut world, "a", 1, 1, Some("mark"));
    world.turn(0);
    buy(&mut world, "b", 2, 1, Some("mark"));
    world.turn(0);
    world.end(first, RunEnd::Completed(b"r".to_vec()));
    buy(&mut world, "c", 3, 1, Some("mark"));
    world.turn(0);
    assert_eq!(world.host.counts().completed, 3);
    assert_eq!(spent(&world), (1, 0));
}

#[test]
fn with_its_span_over_or_before_anything_is_known_nothing_is_let_in_and_another_account_begins_anew() {
    let mut world = World::new();
    world.host.set_reservation(0, WalletReservation::default());
    buy(&mut world, "a", 1, 0, None);
    purse(&mut world, 1, 8, true);
    let old = buy(&mut world, "b", 2, 0, None);
    purse(&mut world, 1, 8, false);
    buy(&mut world, "c", 3, 0, None);
    purse(&mut world, 2, 6, true);
    world.turn(0);
    let rejected = |from| {
        world
            .desk
            .0
            .iter()
            .any(|(to, answer)| *to == from && matches!(answer, FinalResponse::Rejected { .. }))
    };
    assert!(rejected(1) && rejected(3) && !rejected(2));
    world.end(old, RunEnd::Completed(vec![]));
    assert_eq!(spent(&world), (0, 0), "what was let in against the one before was decided without it");
}
