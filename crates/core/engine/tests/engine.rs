//! The engine with a toy executor in simulated time: what every frontend relies on.

use lynxtally::*;
use lynxtally_engine::*;

/// Runs that end when the test says so.
#[derive(Default)]
struct ToyExecutor {
    running: Vec<RequestId>,
    cancelled_calls: Vec<u64>,
    calls: Vec<(RequestId, u64)>,
    released: usize,
}

impl Executor<&'static str> for ToyExecutor {
    fn start(&mut self, request: RequestId, _: &mut &'static str) {
        self.running.push(request);
    }
    fn stop(&mut self, _: RequestId, _: &mut &'static str) {}
    fn start_call(&mut self, request: RequestId, work: &mut &'static str, number: u64, _: Span) -> bool {
        self.calls.push((request, number));
        *work != "no call can be made"
    }
    fn cancel_call(&mut self, _: &mut &'static str, number: u64) {
        self.cancelled_calls.push(number);
    }
    fn release(&mut self, _: RequestId, _: &'static str) {
        self.released += 1;
    }
}

/// Responses by the number of the caller that awaited them.
#[derive(Default)]
struct Responses(Vec<(u32, FinalResponse)>);

impl Responder<u32> for Responses {
    fn respond(&mut self, from: u32, response: FinalResponse) -> bool {
        self.0.push((from, response));
        from != 99
    }
}

struct Harness {
    engine: Engine<Policy, &'static str, u32, u8>,
    executor: ToyExecutor,
    responses: Responses,
    now_micros: u64,
}

impl Harness {
    fn new() -> Self {
        let mut harness = Self {
            engine: Engine::new(1000),
            executor: ToyExecutor::default(),
            responses: Responses::default(),
            now_micros: 1_000_000,
        };
        let now = harness.now();
        harness.engine.start(now, Policy::new(settings(), 1, now));
        harness.advance(0);
        harness
    }

    fn now(&self) -> Instant {
        Instant::from_micros(self.now_micros)
    }

    /// So many milliseconds pass, in steps no longer than the next timer.
    fn advance(&mut self, millis: u64) {
        let until = self.now_micros + millis * 1000;
        loop {
            let due = self.engine.next_timer().map_or(until, |at| (at - Instant::default()).micros());
            self.now_micros = due.clamp(self.now_micros, until);
            let now = self.now();
            while self.engine.expire_timers(now, &mut self.executor).is_some() {}
            self.engine.decide(now, &mut self.executor, &mut self.responses);
            if self.now_micros == until {
                return;
            }
        }
    }

    fn submit_to_class(
        &mut self,
        name: &str,
        from: u32,
        class: usize,
        key: Option<&str>,
    ) -> Result<RequestId, u32> {
        let key = key.map(|key| IdempotencyKey { class, value: key.to_owned() });
        let incoming =
            IncomingRequest { class, idempotency_key: key, memory_kb: 1.0, ..IncomingRequest::default() };
        self.submit(name, from, incoming).map_err(|rejection| rejection.reply_to)
    }

    fn submit(
        &mut self,
        name: &str,
        from: u32,
        incoming: IncomingRequest,
    ) -> Result<RequestId, Rejection<u32>> {
        self.engine.submit(self.now(), Some(name), incoming, "", from)
    }

    fn end(&mut self, request: RequestId, end: RunEnd) {
        let now = self.now();
        self.engine.run_ended(now, request, end, &mut self.executor, &mut self.responses);
        self.advance(0);
    }
}

fn settings() -> Settings {
    let class = |effect| RequestClass {
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
        classes: vec![class(Effect::Idempotent), class(Effect::Deduplicated)],
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

/// Forty requests arrive at two cores: runs complete and fail, a caller leaves, the rest run out of time. Each caller that
/// stayed gets exactly one response, the one that left gets none, and the counts add up.
#[test]
fn every_request_gets_one_response_whatever_becomes_of_it() {
    let mut harness = Harness::new();
    let requests: Vec<_> = (0..40).map(|n| harness.submit_to_class(&n.to_string(), n, 0, None)).collect();
    harness.advance(0);
    assert!(harness.executor.running.len() >= 2, "the cores are used");
    let first = harness.executor.running[0];
    let name = harness.engine.name(first).expect("it has one").to_owned();
    assert_eq!(harness.submit_to_class(&name, 50, 0, None), Err(50), "a name in use");
    assert!(
        !harness.engine.caller_gone(harness.now(), first, |from| *from == 77),
        "another caller's going is not its own"
    );
    let running = harness.executor.running.clone();
    harness.end(running[0], RunEnd::Completed(b"done".to_vec()));
    harness.end(running[1], RunEnd::Failed);
    let open = |n: &u32| harness.engine.reply_to(requests[*n as usize].expect("taken")) == Some(n);
    let waits = (0..40).find(open).expect("one waits");
    assert!(harness.engine.caller_gone(
        harness.now(),
        requests[waits as usize].expect("taken"),
        |from| *from == waits
    ));
    harness.advance(5000);
    let counts = harness.engine.counts();
    assert!(counts.is_consistent() && counts.in_flight == 0, "{counts:?}");
    let mut responded: Vec<u32> = harness.responses.0.iter().map(|(from, _)| *from).collect();
    responded.sort_unstable();
    assert_eq!(
        responded,
        (0..40).filter(|n| *n != waits).collect::<Vec<_>>(),
        "one response each, none to whom is gone"
    );
    assert_eq!((counts.completed, counts.caller_gone, counts.received), (1, 1, 41));
}

#[test]
fn a_duplicate_gets_the_first_runs_result_and_an_undelivered_response_is_counted() {
    let mut harness = Harness::new();
    let first = harness.submit_to_class("a", 1, 1, Some("mark")).expect("taken");
    harness.advance(0);
    harness.submit_to_class("b", 99, 1, Some("mark")).expect("taken");
    harness.advance(10);
    assert_eq!(harness.executor.running, [first], "the duplicate does not run");
    harness.end(first, RunEnd::Completed(b"r".to_vec()));
    assert_eq!(
        harness.responses.0,
        [(99, FinalResponse::Completed(b"r".to_vec())), (1, FinalResponse::Completed(b"r".to_vec()))]
    );
    assert_eq!((harness.engine.counts().completed, harness.engine.counts().undelivered), (2, 1));
}

/// A request with the same key, a body of its own, that was unread for so long.
fn with_key(body: u8, receive_delay: u64) -> IncomingRequest {
    let key = Some(IdempotencyKey { class: 1, value: "mark".to_owned() });
    let receive_delay = Span::from_millis(receive_delay);
    IncomingRequest {
        class: 1,
        idempotency_key: key,
        fingerprint: [body; 32],
        receive_delay,
        memory_kb: 1.0,
        ..IncomingRequest::default()
    }
}

/// Somebody copies the idempotency key of another caller and sends a body of his own. He neither runs nor sees the
/// result, while the first runs and while its result is retained. Where the copy came first and was never executed, the
/// rightful request runs as the first.
#[test]
fn another_body_under_a_key_neither_runs_nor_gets_the_result_and_is_first_once_the_first_never_ran() {
    let mut harness = Harness::new();
    let first = harness.submit("a", 1, with_key(1, 0)).expect("taken");
    harness.advance(0);
    let conflict = |from| Err(Rejection { reply_to: from, reason: RejectionReason::KeyConflict });
    assert_eq!(harness.submit("b", 2, with_key(2, 0)), conflict(2), "while it runs");
    harness.submit("c", 3, with_key(1, 0)).expect("the same once more");
    harness.advance(0);
    harness.end(first, RunEnd::Completed(b"r".to_vec()));
    assert_eq!(
        harness.responses.0,
        [(3, FinalResponse::Completed(b"r".to_vec())), (1, FinalResponse::Completed(b"r".to_vec()))]
    );
    assert_eq!(harness.submit("d", 4, with_key(2, 0)), conflict(4), "and while the result is retained");
    harness.advance(20_000);
    // Whose key was copied before it came is not kept out by what never ran.
    let copy = harness.submit("e", 5, with_key(3, 0)).expect("taken");
    harness.advance(0);
    harness.end(copy, RunEnd::NotStarted);
    let real = harness.submit("f", 6, with_key(4, 0)).expect("taken");
    harness.advance(0);
    assert_eq!(harness.executor.running.last(), Some(&real));
    harness.end(real, RunEnd::Completed(b"s".to_vec()));
    assert_eq!(harness.responses.0.last(), Some(&(6, FinalResponse::Completed(b"s".to_vec()))));
    let counts = harness.engine.counts();
    assert!(counts.is_consistent() && counts.in_flight == 0 && counts.failed == 3, "{counts:?}");
}

/// A duplicate arrives while the key is retained and lies unread until its time is over. It must not be executed again.
#[test]
fn a_duplicate_is_one_by_when_it_arrived_however_late_it_is_read() {
    // The window is 5 s, and the module keeps a key two periods (of 25 ms) longer.
    for (later, receive_delay, again) in
        [(5_000, 0, false), (5_600, 601, false), (7_900, 2_900, false), (5_600, 0, true)]
    {
        let mut harness = Harness::new();
        harness.engine.set_max_receive_delay(Span::from_millis(3_000));
        let first = harness.submit("a", 1, with_key(1, 0)).expect("taken");
        harness.advance(0);
        harness.end(first, RunEnd::Completed(b"r".to_vec()));
        harness.advance(later);
        harness.submit("b", 2, with_key(1, receive_delay)).expect("taken");
        harness.advance(0);
        assert_eq!(
            harness.executor.running.len() == 2,
            again,
            "{later} ms later, unread for {receive_delay} ms"
        );
    }
}

/// The executor is unavailable, so that a request with an idempotency key is rejected. Its duplicate must run: there is
/// no result that it could share.
#[test]
fn an_unavailable_executor_leaves_the_key_free_and_a_duplicate_runs_as_the_first() {
    let mut harness = Harness::new();
    let request = harness.submit_to_class("a", 1, 1, Some("mark")).expect("taken");
    harness.advance(0);
    harness.end(request, RunEnd::Unavailable(Span::from_millis(300)));
    let rejected = FinalResponse::Rejected { retry_after: Span::from_millis(300), no_retry: false };
    assert_eq!(harness.responses.0, [(1, rejected)]);
    let again = harness.submit_to_class("b", 2, 1, Some("mark")).expect("taken");
    harness.advance(0);
    assert_eq!(harness.executor.running.last(), Some(&again), "nothing of the first was done");
    harness.end(again, RunEnd::Completed(b"r".to_vec()));
    harness.advance(20_000);
    let counts = harness.engine.counts();
    assert!(
        counts.is_consistent() && counts.in_flight == 0 && (counts.rejected, counts.completed) == (1, 1),
        "{counts:?}"
    );
}

#[test]
fn calls_to_separate_peers_never_wait_for_each_other() {
    let mut harness = Harness::new();
    let now = harness.now();
    let policy = Policy::new(
        Settings { downstream: Downstream::Peers, max_running_per_core: 1000.0, ..settings() },
        1,
        now,
    );
    harness.engine = Engine::new(0);
    harness.engine.start(now, policy);
    for n in 0..100 {
        let request = harness.submit_to_class(&n.to_string(), n, 0, None).expect("taken");
        harness.advance(0);
        harness.engine.call_requested(now, request);
        harness.advance(0);
    }
    assert_eq!(harness.executor.calls.len(), 100, "all wait at once, on two cores");
}

/// A downstream call takes longer than its timeout. It is cancelled; its end is reported late and then once more, and
/// the second report changes nothing.
#[test]
fn a_call_that_times_out_is_cancelled_and_its_end_counts_once() {
    let mut harness = Harness::new();
    let request = harness.submit_to_class("a", 1, 0, None).expect("taken");
    harness.advance(0);
    harness.engine.call_requested(harness.now(), request);
    harness.advance(0);
    let (_, number) = harness.executor.calls[0];
    harness.advance(2000);
    assert!(harness.executor.cancelled_calls.contains(&number));
    assert!(harness.engine.call_ended(harness.now(), request, number, CallOutcome::MaybeExecuted));
    assert!(
        !harness.engine.call_ended(harness.now(), request, number, CallOutcome::Succeeded),
        "it ended once"
    );
    harness.advance(4000);
    assert!(harness.engine.counts().is_consistent() && harness.engine.counts().in_flight == 0);
}

/// A request and the notice to shut down come while the process still starts. The request is rejected at once, and the
/// scheduler learns of the shutdown when it starts, so that late requests do not run.
#[test]
fn without_a_scheduler_requests_are_rejected_and_a_graceful_shutdown_is_not_forgotten() {
    let mut engine: Engine<Policy, &'static str, u32, u8> = Engine::new(0);
    let now = Instant::from_micros(5);
    assert_eq!(
        engine.submit(now, None, IncomingRequest::default(), "", 1),
        Err(Rejection { reply_to: 1, reason: RejectionReason::NotReady })
    );
    assert!(
        engine.begin_drain(now, Span::from_millis(100)) && !engine.begin_drain(now, Span::from_millis(100))
    );
    engine.start(now, Policy::new(settings(), 1, now));
    let late = now + Span::from_millis(600);
    assert!(engine
        .submit(late, None, IncomingRequest { memory_kb: 1.0, ..IncomingRequest::default() }, "", 2)
        .is_ok());
    let (mut executor, mut responses) = (ToyExecutor::default(), Responses::default());
    engine.decide(late, &mut executor, &mut responses);
    assert!(
        matches!(responses.0[..], [(2, FinalResponse::Rejected { .. })]) && executor.running.is_empty(),
        "past the grace"
    );
    assert_eq!(executor.released, 1);
}

/// Gives the only tenant so many units, at two a request of class 0 and one of class 1.
fn set_wallet(harness: &mut Harness, account: u64, granted: u64, in_force: bool) {
    harness.engine.set_reservation(
        0,
        WalletReservation { reservation_id: account, granted, in_force, prices: Some(vec![2, 1]) },
    );
}

fn submit_priced(harness: &mut Harness, name: &str, from: u32, class: usize, key: Option<&str>) -> RequestId {
    let key = key.map(|key| IdempotencyKey { class, value: key.to_owned() });
    let incoming = IncomingRequest {
        class,
        idempotency_key: key,
        tenant: Some(0),
        memory_kb: 1.0,
        ..IncomingRequest::default()
    };
    harness.engine.submit(harness.now(), Some(name), incoming, "", from).expect("taken")
}

fn wallet_usage(harness: &Harness) -> (u64, u64) {
    let spent = harness.engine.reservation_usage(0);
    (spent.spent, spent.reserved)
}

#[test]
fn completed_requests_cost_and_rejected_failed_and_gone_ones_do_not() {
    let mut harness = Harness::new();
    set_wallet(&mut harness, 1, 8, true);
    let requests: Vec<RequestId> =
        (0..5).map(|n| submit_priced(&mut harness, &n.to_string(), n, 0, None)).collect();
    assert_eq!(wallet_usage(&harness), (0, 8), "what is let in is reserved at that moment");
    harness.advance(0);
    let refused = |from, response: &FinalResponse| {
        from == 4
            && matches!(response, FinalResponse::Rejected { retry_after: hold_off, .. } if *hold_off > Span::ZERO)
    };
    assert!(
        harness.responses.0.iter().any(|(from, response)| refused(*from, response)),
        "the fifth is not covered"
    );
    harness.end(requests[0], RunEnd::Completed(vec![]));
    harness.end(requests[1], RunEnd::Failed);
    assert!(harness.engine.caller_gone(harness.now(), requests[2], |from| *from == 2));
    harness.advance(5000);
    assert_eq!(wallet_usage(&harness), (2, 0));
}

#[test]
fn an_idempotency_key_is_charged_once_however_many_responses_it_gets() {
    let mut harness = Harness::new();
    set_wallet(&mut harness, 1, 10, true);
    let first = submit_priced(&mut harness, "a", 1, 1, Some("mark"));
    harness.advance(0);
    submit_priced(&mut harness, "b", 2, 1, Some("mark"));
    harness.advance(0);
    harness.end(first, RunEnd::Completed(b"r".to_vec()));
    submit_priced(&mut harness, "c", 3, 1, Some("mark"));
    harness.advance(0);
    assert_eq!(harness.engine.counts().completed, 3);
    assert_eq!(wallet_usage(&harness), (1, 0));
}

/// The lease of a reservation is over, or its prices are not known yet: priced requests are rejected. Another reservation
/// follows, and is not charged for what was accepted against the one before.
#[test]
fn without_a_reservation_in_force_nothing_is_accepted_and_another_reservation_begins_anew() {
    let mut harness = Harness::new();
    harness.engine.set_reservation(0, WalletReservation::default());
    submit_priced(&mut harness, "a", 1, 0, None);
    set_wallet(&mut harness, 1, 8, true);
    let old = submit_priced(&mut harness, "b", 2, 0, None);
    set_wallet(&mut harness, 1, 8, false);
    submit_priced(&mut harness, "c", 3, 0, None);
    set_wallet(&mut harness, 2, 6, true);
    harness.advance(0);
    let rejected = |from| {
        harness
            .responses
            .0
            .iter()
            .any(|(to, response)| *to == from && matches!(response, FinalResponse::Rejected { .. }))
    };
    assert!(rejected(1) && rejected(3) && !rejected(2));
    harness.end(old, RunEnd::Completed(vec![]));
    assert_eq!(
        wallet_usage(&harness),
        (0, 0),
        "what was let in against the one before was decided without it"
    );
}
