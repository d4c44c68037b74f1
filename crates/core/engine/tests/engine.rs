//! Tests of the engine with lynxtally's policy and a fake executor, in simulated time.

use lynxtally::*;
use lynxtally_engine::*;

/// The number of a caller that can't be reached any more.
const GONE_CALLER: u32 = 99;

/// Records what the engine asks for. Runs end when the test reports their end.
#[derive(Default)]
struct FakeExecutor {
    running: Vec<RequestId>,
    cancelled_calls: Vec<u64>,
    calls: Vec<(RequestId, u64)>,
    released: usize,
}

impl Executor<&'static str> for FakeExecutor {
    fn start(&mut self, request: RequestId, _: &mut &'static str) {
        self.running.push(request);
    }
    fn stop(&mut self, _: RequestId, _: &mut &'static str) {}
    fn start_call(
        &mut self,
        request: RequestId,
        executor_state: &mut &'static str,
        number: u64,
        _: Span,
    ) -> bool {
        self.calls.push((request, number));
        *executor_state != "no call can be made"
    }
    fn cancel_call(&mut self, _: &mut &'static str, number: u64) {
        self.cancelled_calls.push(number);
    }
    fn release(&mut self, _: RequestId, _: &'static str) {
        self.released += 1;
    }
}

/// The responses delivered, with the number of the caller. Responses to [`GONE_CALLER`] can't be delivered.
#[derive(Default)]
struct Responses(Vec<(u32, FinalResponse)>);

impl Responder<u32> for Responses {
    fn respond(&mut self, caller: u32, response: FinalResponse) -> bool {
        self.0.push((caller, response));
        caller != GONE_CALLER
    }
}

/// An engine whose clock advances only when the test says so.
struct Harness {
    engine: Engine<Policy, &'static str, u32, u8>,
    executor: FakeExecutor,
    responses: Responses,
    now_micros: u64,
}

impl Harness {
    fn new() -> Self {
        let mut harness = Self {
            engine: Engine::new(1000),
            executor: FakeExecutor::default(),
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

    /// Lets milliseconds pass. Stops at each timer on the way, so that it is handled on time.
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
        caller: u32,
        class: usize,
        key: Option<&str>,
    ) -> Result<RequestId, u32> {
        let identity = key.map(|key| identity(class, key, 0));
        let incoming = IncomingRequest { class, identity, memory_kb: 1.0, ..IncomingRequest::default() };
        self.submit(name, caller, incoming).map_err(|rejection| rejection.reply_to)
    }

    fn submit(
        &mut self,
        name: &str,
        caller: u32,
        incoming: IncomingRequest,
    ) -> Result<RequestId, Rejection<u32>> {
        self.engine.submit(self.now(), Some(name), incoming, "", caller)
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

/// Forty requests arrive at two cores. One run completes, one fails, one caller stops waiting, and the other requests do
/// not finish before their deadlines. Each waiting caller must get exactly one response, and the counts must add up.
#[test]
fn every_request_gets_exactly_one_response() {
    let mut harness = Harness::new();
    let requests: Vec<_> = (0..40).map(|n| harness.submit_to_class(&n.to_string(), n, 0, None)).collect();
    harness.advance(0);
    assert!(harness.executor.running.len() >= 2, "both cores are used");
    let first = harness.executor.running[0];
    let name = harness.engine.name(first).expect("the request has a name").to_owned();
    assert_eq!(harness.submit_to_class(&name, 50, 0, None), Err(50), "the name is in use");
    assert!(
        !harness.engine.caller_gone(harness.now(), first, |caller| *caller == 77),
        "caller 77 did not send this request"
    );
    let running = harness.executor.running.clone();
    harness.end(running[0], RunEnd::Completed(b"done".to_vec()));
    harness.end(running[1], RunEnd::Failed);
    let open = |n: &u32| harness.engine.reply_to(requests[*n as usize].expect("accepted")) == Some(n);
    let waiting_caller = (0..40).find(open).expect("a caller waits");
    assert!(harness.engine.caller_gone(
        harness.now(),
        requests[waiting_caller as usize].expect("accepted"),
        |caller| *caller == waiting_caller
    ));
    harness.advance(5000);
    let counts = harness.engine.counts();
    assert!(counts.is_consistent() && counts.in_flight == 0, "{counts:?}");
    let mut responded: Vec<u32> = harness.responses.0.iter().map(|(caller, _)| *caller).collect();
    responded.sort_unstable();
    assert_eq!(
        responded,
        (0..40).filter(|n| *n != waiting_caller).collect::<Vec<_>>(),
        "one response for each waiting caller, none for the caller that is gone"
    );
    assert_eq!((counts.completed, counts.caller_gone, counts.received), (1, 1, 41));
}

/// The caller of a duplicate waits for the first run's result and is gone when it is sent.
#[test]
fn a_duplicate_gets_the_first_runs_result_and_an_undelivered_response_is_counted() {
    let mut harness = Harness::new();
    let first = harness.submit_to_class("a", 1, 1, Some("key")).expect("accepted");
    harness.advance(0);
    harness.submit_to_class("b", GONE_CALLER, 1, Some("key")).expect("accepted");
    harness.advance(10);
    assert_eq!(harness.executor.running, [first], "the duplicate does not run");
    harness.end(first, RunEnd::Completed(b"r".to_vec()));
    assert_eq!(
        harness.responses.0,
        [
            (GONE_CALLER, FinalResponse::Completed(b"r".to_vec())),
            (1, FinalResponse::Completed(b"r".to_vec()))
        ]
    );
    assert_eq!((harness.engine.counts().completed, harness.engine.counts().undelivered), (2, 1));
}

/// The identity of a request without a tenant that has this idempotency key and content.
fn identity(class: usize, key: &str, content: u8) -> RequestIdentity {
    RequestIdentity::of_client_key(class, None, key, ContentFingerprint::Known([content; 32]))
}

/// A request with idempotency key "key" and this body, which waited unread for `receive_delay` milliseconds.
fn with_key(body: u8, receive_delay: u64) -> IncomingRequest {
    let identity = Some(identity(1, "key", body));
    let receive_delay = Span::from_millis(receive_delay);
    IncomingRequest { class: 1, identity, receive_delay, memory_kb: 1.0, ..IncomingRequest::default() }
}

/// A client copies the idempotency key of another client and sends another body. The request must neither run nor get the
/// first request's result, both while the first one runs and while its result is retained. If the copy arrives first and
/// is never executed, the other client's request must run.
#[test]
fn a_key_with_another_body_is_a_conflict_unless_the_first_request_was_not_executed() {
    let mut harness = Harness::new();
    let first = harness.submit("a", 1, with_key(1, 0)).expect("accepted");
    harness.advance(0);
    let conflict = |caller| Err(Rejection { reply_to: caller, reason: RejectionReason::KeyConflict });
    assert_eq!(harness.submit("b", 2, with_key(2, 0)), conflict(2), "the first request runs");
    harness.submit("c", 3, with_key(1, 0)).expect("a duplicate is accepted");
    harness.advance(0);
    harness.end(first, RunEnd::Completed(b"r".to_vec()));
    assert_eq!(
        harness.responses.0,
        [(3, FinalResponse::Completed(b"r".to_vec())), (1, FinalResponse::Completed(b"r".to_vec()))]
    );
    assert_eq!(harness.submit("d", 4, with_key(2, 0)), conflict(4), "the result is retained");
    harness.advance(20_000);
    // A request that was never executed must not block its key for the client that owns the key.
    let copy = harness.submit("e", 5, with_key(3, 0)).expect("accepted");
    harness.advance(0);
    harness.end(copy, RunEnd::NotStarted);
    let real = harness.submit("f", 6, with_key(4, 0)).expect("accepted");
    harness.advance(0);
    assert_eq!(harness.executor.running.last(), Some(&real));
    harness.end(real, RunEnd::Completed(b"s".to_vec()));
    assert_eq!(harness.responses.0.last(), Some(&(6, FinalResponse::Completed(b"s".to_vec()))));
    let counts = harness.engine.counts();
    assert!(counts.is_consistent() && counts.in_flight == 0 && counts.failed == 3, "{counts:?}");
}

/// A duplicate arrives while its key is retained and is read only after the key expired. It must not be executed again.
#[test]
fn a_duplicate_is_recognized_by_its_arrival_time_however_late_it_is_read() {
    // The deduplication window is 5 s. The policy retains a key for another two timer periods of 25 ms.
    for (later, receive_delay, runs_again) in
        [(5_000, 0, false), (5_600, 601, false), (7_900, 2_900, false), (5_600, 0, true)]
    {
        let mut harness = Harness::new();
        harness.engine.set_max_receive_delay(Span::from_millis(3_000));
        let first = harness.submit("a", 1, with_key(1, 0)).expect("accepted");
        harness.advance(0);
        harness.end(first, RunEnd::Completed(b"r".to_vec()));
        harness.advance(later);
        harness.submit("b", 2, with_key(1, receive_delay)).expect("accepted");
        harness.advance(0);
        assert_eq!(
            harness.executor.running.len() == 2,
            runs_again,
            "{later} ms later, unread for {receive_delay} ms"
        );
    }
}

/// The executor is unavailable, so a request with an idempotency key is rejected. A duplicate must run, because there is
/// no result for it.
#[test]
fn an_unavailable_executor_releases_the_key_and_a_duplicate_runs() {
    let mut harness = Harness::new();
    let request = harness.submit_to_class("a", 1, 1, Some("key")).expect("accepted");
    harness.advance(0);
    harness.end(request, RunEnd::Unavailable(Span::from_millis(300)));
    let rejected = FinalResponse::Rejected { retry_after: Span::from_millis(300), no_retry: false };
    assert_eq!(harness.responses.0, [(1, rejected)]);
    let again = harness.submit_to_class("b", 2, 1, Some("key")).expect("accepted");
    harness.advance(0);
    assert_eq!(harness.executor.running.last(), Some(&again), "the first request was not executed");
    harness.end(again, RunEnd::Completed(b"r".to_vec()));
    harness.advance(20_000);
    let counts = harness.engine.counts();
    assert!(
        counts.is_consistent() && counts.in_flight == 0 && (counts.rejected, counts.completed) == (1, 1),
        "{counts:?}"
    );
}

/// Calls to separate peers are independent, so a limit on concurrent calls must not apply to them.
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
        let request = harness.submit_to_class(&n.to_string(), n, 0, None).expect("accepted");
        harness.advance(0);
        harness.engine.call_requested(now, request);
        harness.advance(0);
    }
    assert_eq!(harness.executor.calls.len(), 100, "all calls are in flight at once, on two cores");
}

/// A downstream call exceeds its timeout and is cancelled. Its end is reported late, and then a second time; the second
/// report must have no effect.
#[test]
fn a_call_that_times_out_is_cancelled_and_its_end_counts_once() {
    let mut harness = Harness::new();
    let request = harness.submit_to_class("a", 1, 0, None).expect("accepted");
    harness.advance(0);
    harness.engine.call_requested(harness.now(), request);
    harness.advance(0);
    let (_, number) = harness.executor.calls[0];
    harness.advance(2000);
    assert!(harness.executor.cancelled_calls.contains(&number));
    assert!(harness.engine.call_ended(harness.now(), request, number, CallOutcome::MaybeExecuted));
    assert!(
        !harness.engine.call_ended(harness.now(), request, number, CallOutcome::Succeeded),
        "the call has already ended"
    );
    harness.advance(4000);
    assert!(harness.engine.counts().is_consistent() && harness.engine.counts().in_flight == 0);
}

/// A request and the start of a graceful shutdown arrive before the scheduler is set. The request must be rejected at
/// once, and the scheduler must be told about the shutdown, so that it rejects requests after the grace period.
#[test]
fn before_start_requests_are_rejected_and_a_graceful_shutdown_is_remembered() {
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
    let (mut executor, mut responses) = (FakeExecutor::default(), Responses::default());
    engine.decide(late, &mut executor, &mut responses);
    assert!(
        matches!(responses.0[..], [(2, FinalResponse::Rejected { .. })]) && executor.running.is_empty(),
        "the grace period is over"
    );
    assert_eq!(executor.released, 1);
}

/// Grants units to the only tenant. A request of class 0 costs two units, one of class 1 costs one.
fn set_wallet(harness: &mut Harness, reservation_id: u64, granted: u64, in_force: bool) {
    harness.engine.set_reservation(
        0,
        WalletReservation { reservation_id, granted, in_force, prices: Some(vec![2, 1]) },
    );
}

/// Submits a request of the only tenant, which has a price.
fn submit_priced(
    harness: &mut Harness,
    name: &str,
    caller: u32,
    class: usize,
    key: Option<&str>,
) -> RequestId {
    let identity = key.map(|key| identity(class, key, 0));
    let incoming =
        IncomingRequest { class, identity, tenant: Some(0), memory_kb: 1.0, ..IncomingRequest::default() };
    harness.engine.submit(harness.now(), Some(name), incoming, "", caller).expect("accepted")
}

/// The spent and the reserved units of the only tenant.
fn wallet_usage(harness: &Harness) -> (u64, u64) {
    let usage = harness.engine.reservation_usage(0);
    (usage.spent, usage.reserved)
}

/// A tenant has units for four requests and sends five: one completes, one fails, one caller stops waiting, one exceeds
/// its deadline and one is rejected. Only the completed request may be charged.
#[test]
fn only_completed_requests_are_charged() {
    let mut harness = Harness::new();
    set_wallet(&mut harness, 1, 8, true);
    let requests: Vec<RequestId> =
        (0..5).map(|n| submit_priced(&mut harness, &n.to_string(), n, 0, None)).collect();
    assert_eq!(wallet_usage(&harness), (0, 8), "the price is reserved on submission");
    harness.advance(0);
    let is_rejection_of_fifth = |caller, response: &FinalResponse| {
        caller == 4
            && matches!(response, FinalResponse::Rejected { retry_after, .. } if *retry_after > Span::ZERO)
    };
    assert!(
        harness.responses.0.iter().any(|(caller, response)| is_rejection_of_fifth(*caller, response)),
        "the price of the fifth request is not covered"
    );
    harness.end(requests[0], RunEnd::Completed(vec![]));
    harness.end(requests[1], RunEnd::Failed);
    assert!(harness.engine.caller_gone(harness.now(), requests[2], |caller| *caller == 2));
    harness.advance(5000);
    assert_eq!(wallet_usage(&harness), (2, 0));
}

/// Three requests with one idempotency key get the result of one run. Only one of them may be charged.
#[test]
fn an_idempotency_key_is_charged_once_however_many_responses_it_gets() {
    let mut harness = Harness::new();
    set_wallet(&mut harness, 1, 10, true);
    let first = submit_priced(&mut harness, "a", 1, 1, Some("key"));
    harness.advance(0);
    submit_priced(&mut harness, "b", 2, 1, Some("key"));
    harness.advance(0);
    harness.end(first, RunEnd::Completed(b"r".to_vec()));
    submit_priced(&mut harness, "c", 3, 1, Some("key"));
    harness.advance(0);
    assert_eq!(harness.engine.counts().completed, 3);
    assert_eq!(wallet_usage(&harness), (1, 0));
}

/// Requests that cost units are rejected while prices are unknown, and once the lease of the reservation has expired. A
/// later reservation must not be charged for a request that was accepted under the earlier one.
#[test]
fn without_a_reservation_in_force_nothing_is_accepted_and_a_new_reservation_starts_at_zero() {
    let mut harness = Harness::new();
    harness.engine.set_reservation(0, WalletReservation::default());
    submit_priced(&mut harness, "a", 1, 0, None);
    set_wallet(&mut harness, 1, 8, true);
    let old = submit_priced(&mut harness, "b", 2, 0, None);
    set_wallet(&mut harness, 1, 8, false);
    submit_priced(&mut harness, "c", 3, 0, None);
    set_wallet(&mut harness, 2, 6, true);
    harness.advance(0);
    let is_rejected = |caller| {
        harness
            .responses
            .0
            .iter()
            .any(|(to, response)| *to == caller && matches!(response, FinalResponse::Rejected { .. }))
    };
    assert!(is_rejected(1) && is_rejected(3) && !is_rejected(2));
    harness.end(old, RunEnd::Completed(vec![]));
    assert_eq!(
        wallet_usage(&harness),
        (0, 0),
        "a request accepted under the earlier reservation is not charged to the new one"
    );
}

/// A caller leaves while its request runs; the run ends, and a copy of the request arrives. The name must not be executed
/// a second time, also if the copy is late. A request that was never started may come again.
#[test]
fn the_name_of_a_started_request_outlasts_it() {
    let mut harness = Harness::new();
    let request = harness.submit_to_class("a", 1, 0, None).expect("accepted");
    harness.advance(0);
    assert_eq!(harness.executor.running, [request]);
    let now = harness.now();
    assert!(harness.engine.caller_gone(now, request, |caller| *caller == 1));
    harness.end(request, RunEnd::Completed(b"done".to_vec()));
    let copy = |harness: &mut Harness| {
        let incoming = IncomingRequest { class: 0, memory_kb: 1.0, ..IncomingRequest::default() };
        harness.submit("a", 2, incoming).map_err(|rejection| rejection.reason)
    };
    assert_eq!(copy(&mut harness), Err(RejectionReason::NameInUse));
    harness.advance(60_000);
    assert_eq!(copy(&mut harness), Err(RejectionReason::NameInUse));
    harness.advance(70_000);
    assert!(copy(&mut harness).is_ok(), "names are kept for a limited time");
    let never_started = harness.submit_to_class("b", 3, 0, None).expect("accepted");
    let now = harness.now();
    assert!(harness.engine.caller_gone(now, never_started, |caller| *caller == 3));
    harness.advance(0);
    assert!(harness.submit_to_class("b", 4, 0, None).is_ok());
}

/// Guards against memory that grows with ever new idempotency keys. A key that was accepted is remembered, so further
/// ones are rejected until others have expired.
#[test]
fn further_idempotency_keys_are_rejected_when_their_memory_is_full() {
    let mut harness = Harness::new();
    harness.engine.set_max_key_bytes(2000);
    let keyed = |harness: &mut Harness, key: &str| {
        let incoming = IncomingRequest {
            class: 1,
            identity: Some(identity(1, key, 0)),
            memory_kb: 1.0,
            ..IncomingRequest::default()
        };
        harness.advance(1);
        let name = format!("{key} at {}", harness.now_micros);
        let submitted = harness.submit(&name, 1, incoming).map_err(|rejection| rejection.reason);
        harness.advance(0);
        while let Some(running) = harness.executor.running.pop() {
            harness.end(running, RunEnd::Completed(b"done".to_vec()));
        }
        submitted.map(drop)
    };
    let accepted = (0..10).take_while(|n| keyed(&mut harness, &format!("key {n}")).is_ok()).count();
    assert_eq!(accepted, 3, "a key takes a little over 512 bytes");
    assert_eq!(keyed(&mut harness, "another"), Err(RejectionReason::TooManyKeys));
    assert_eq!(keyed(&mut harness, "key 0"), Ok(()), "a known key is a duplicate");
    harness.advance(20_000);
    assert_eq!(keyed(&mut harness, "another"), Ok(()), "the earlier keys have expired");
}

/// Guards against a second execution of a request whose content arrived in parts, so that it got its identity after it was
/// started: the duplicate waits for the first run, and gets its result.
#[test]
fn a_started_request_that_gets_a_known_identity_gets_the_response_of_the_first_run() {
    let mut harness = Harness::new();
    let retained_for = Span::from_millis(5000);
    let identify = |harness: &mut Harness, request, content| {
        let (now, identity) = (harness.now(), identity(0, "k", content));
        harness.engine.identify(now, request, identity, retained_for, &mut harness.responses)
    };
    let start = |harness: &mut Harness, caller: u32| {
        let request = harness.submit_to_class(&format!("r{caller}"), caller, 0, None).expect("accepted");
        harness.advance(0);
        assert_eq!(harness.executor.running.last(), Some(&request));
        request
    };
    let (first, second) = (start(&mut harness, 0), start(&mut harness, 1));
    assert_eq!(identify(&mut harness, first, 1), Ok(Identified::FirstRun));
    assert_eq!(identify(&mut harness, first, 1), Err(IdentityRefusal::NotOpen), "it has an identity");
    assert_eq!(identify(&mut harness, second, 1), Ok(Identified::Duplicate));
    assert!(harness.engine.is_identity_known(harness.now(), &identity(0, "k", 1)));
    harness.end(first, RunEnd::Completed(b"r".to_vec()));
    let result = || FinalResponse::Completed(b"r".to_vec());
    assert_eq!(harness.responses.0, [(1, result()), (0, result())]);
    // Later ones get the result too, but not one with other content.
    let (other, third) = (start(&mut harness, 2), start(&mut harness, 3));
    assert_eq!(identify(&mut harness, other, 2), Err(IdentityRefusal::KeyConflict));
    assert_eq!(identify(&mut harness, third, 1), Ok(Identified::Duplicate));
    assert_eq!(harness.responses.0.last(), Some(&(3, result())));
    assert_eq!(harness.engine.counts().completed, 3);
}

/// Guards against a client that can't get its request executed any more, although nothing was: the run with its key ended
/// without reaching its executor, or its result was forgotten on purpose.
#[test]
fn a_key_whose_run_did_nothing_or_was_forgotten_may_be_used_again() {
    let mut harness = Harness::new();
    let mut identify_next = |end: Option<RunEnd>| {
        let request = harness.submit_to_class("r", 1, 0, None).expect("accepted");
        harness.advance(0);
        let now = harness.now();
        let retained_for = Span::from_millis(5000);
        let identified =
            harness.engine.identify(now, request, identity(0, "k", 1), retained_for, &mut harness.responses);
        let is_first = identified == Ok(Identified::FirstRun);
        match end {
            Some(end) => harness.end(request, end),
            None => {
                harness.engine.forget_result(&identity(0, "k", 1));
                assert!(harness.engine.is_identity_known(now, &identity(0, "k", 1)), "the run is open");
                harness.end(request, RunEnd::Failed);
                harness.engine.forget_result(&identity(0, "k", 1));
            }
        }
        // The name of a started request is in use for two minutes.
        harness.advance(130_000);
        is_first
    };
    assert!(identify_next(Some(RunEnd::Unavailable(Span::from_millis(1)))));
    assert!(identify_next(Some(RunEnd::NotStarted)));
    assert!(identify_next(None));
    assert!(identify_next(Some(RunEnd::Failed)));
}

/// Guards against a wait for a result that will never come: a run is stopped, and the duplicates of its request, those that
/// wait and those that come later, got their responses at their own deadlines.
#[test]
fn the_duplicates_of_a_stopped_run_are_answered_at_once() {
    let mut harness = Harness::new();
    let first = harness.submit_to_class("first", 1, 1, Some("k")).expect("accepted");
    harness.advance(0);
    harness.submit_to_class("waiting", 2, 1, Some("k")).expect("accepted");
    harness.advance(0);
    assert_eq!(harness.responses.0, [], "the first run is open");
    harness.engine.caller_gone(harness.now(), first, |_| true);
    harness.end(first, RunEnd::Stopped);
    harness.submit_to_class("later", 3, 1, Some("k")).expect("accepted");
    harness.advance(0);
    assert_eq!(harness.responses.0, [2, 3].map(|caller| (caller, FinalResponse::WithoutResult)));
    assert_eq!(harness.executor.running, [first], "no duplicate is executed");
}

/// Guards against a client that is told that its request may have had an effect, so that it doesn't repeat it, although
/// nothing was executed: its request waited for an earlier one with its key that did not reach its executor.
#[test]
fn the_duplicates_of_a_run_that_did_nothing_are_rejected_and_may_come_again() {
    for end in [RunEnd::NotStarted, RunEnd::Unavailable(Span::from_millis(1))] {
        let mut harness = Harness::new();
        let first = harness.submit_to_class("first", 1, 1, Some("k")).expect("accepted");
        harness.advance(0);
        harness.submit_to_class("waiting", 2, 1, Some("k")).expect("accepted");
        harness.advance(0);
        harness.end(first, end);
        let rejected = FinalResponse::Rejected { retry_after: Span::ZERO, no_retry: false };
        assert!(harness.responses.0.contains(&(2, rejected)), "{:?}", harness.responses.0);
        let again = harness.submit_to_class("again", 2, 1, Some("k")).expect("accepted");
        harness.advance(0);
        assert_eq!(harness.executor.running, [first, again]);
    }
}
