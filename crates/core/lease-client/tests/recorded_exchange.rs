//! Replays 16 seconds in which three nodes exchange messages with a coordinator, and compares them line by line with a
//! recording. Messages are lost, delayed, or sent to followers; a node leaves, and another process takes a node's name.
//! A difference shows the first request, lease or deadline that a change of the lease client affects.

use lynxtally::{Instant, Pcg, Span};
use lynxtally_coordination::{Command, CoordinationState, LogPosition, Output, TimestampedCommand};
use lynxtally_lease_client::{
    BudgetSettings, LeaseClient, Settings, UsageCounts, WalletSettings, WalletUsage,
};
use lynxtally_messages::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The simulated time of one step, in microseconds.
const STEP_US: u64 = 50_000;
const COORDINATORS: usize = 3;

/// The replicated state in memory, and the lines recorded so far.
struct World {
    state: CoordinationState,
    log_index: u64,
    now_us: u64,
    random: Pcg,
    lines: String,
}

/// A node, and the responses that are on their way to it.
struct Node {
    name: &'static str,
    client: LeaseClient,
    /// For each outstanding response: its arrival time, the token of its request, and `None` if it is lost.
    responses: Vec<(u64, u64, Option<NodeResponse>)>,
    /// The calls that the node has started so far.
    started: u64,
    leaving: bool,
}

impl World {
    fn write(&mut self, command: Command) -> Output {
        self.log_index += 1;
        let entry = TimestampedCommand { term: 1, leader_clock: Instant::from_micros(self.now_us), command };
        self.state.apply(LogPosition { index: self.log_index, term: 1 }, &entry)
    }

    fn admin_request(&mut self, token: &str, action: AdminAction) {
        let key = IdempotencyKey { observed_index: self.log_index, token: token.to_owned() };
        let output = self.write(Command::Admin(AdminRequest { key, action }));
        assert!(matches!(output, Output::Admin(AdminResponse::Applied { .. })), "{output:?}");
    }

    /// A random number below `bound`.
    fn random_below(&mut self, bound: u64) -> u64 {
        u64::from(self.random.next_u32()) % bound
    }

    fn set_up() -> Self {
        let (state, random) = (CoordinationState::default(), Pcg::new(11));
        let mut world = Self { state, log_index: 0, now_us: 1_000_000, random, lines: String::new() };
        let terms = BudgetTerms {
            kind: BudgetKind::Concurrency,
            capacity: 20,
            min_per_node: 1,
            newcomer_reserve_permille: 50,
            lease_duration_us: 1_500_000,
            max_clock_drift_ppm: 10_000,
            pause_margin_us: 1000,
        };
        world.admin_request("calls", AdminAction::SetBudget { name: "calls".into(), terms });
        let rate =
            BudgetTerms { kind: BudgetKind::Rate, capacity: 90, lease_duration_us: 4_000_000, ..terms };
        world.admin_request("rate", AdminAction::SetBudget { name: "rate".into(), terms: rate });
        let prices = BTreeMap::from([("a".to_owned(), 1), ("b".to_owned(), 5)]);
        let terms = WalletTerms {
            prices,
            reservation_duration_us: 2_000_000,
            max_clock_drift_ppm: 10_000,
            pause_margin_us: 1000,
            in_doubt_timeout_us: 3_000_000,
            in_doubt_policy: InDoubtPolicy::Return,
        };
        world.admin_request("acme", AdminAction::SetWallet { name: "acme".into(), terms });
        world.admin_request("bought", AdminAction::TopUp { wallet: "acme".into(), units: 5000 });
        let field = Field {
            kind: FieldKind::Boolean {},
            is_list: false,
            required: false,
            default: None,
            since_version: 1,
            must_understand: false,
            renamed_from: None,
        };
        let schema = Schema { version: 1, fields: [("on".to_owned(), field)].into() };
        world.admin_request("schema", AdminAction::ProposeSchema { schema });
        world
    }

    fn line(&mut self, text: std::fmt::Arguments) {
        writeln!(self.lines, "{} {text}", self.now_us).expect("writing to a string can't fail");
    }

    /// Delivers a request to a coordinator. At random the request or its response is lost, a follower rejects it, or it is
    /// applied.
    fn deliver(&mut self, node: &mut Node, to: usize, token: u64, message: NodeRequest) {
        let arrives_us = self.now_us + STEP_US * self.random_below(4);
        match self.random_below(10) {
            0 => node.responses.push((arrives_us, token, None)),
            1 => drop(self.write(Command::Node(message))),
            2 if to > 0 => {
                let leader = (self.random_below(2) == 0).then_some(1);
                let rejection = NodeResponse::Rejected(Rejection::NotLeader { leader });
                node.responses.push((arrives_us, token, Some(rejection)));
            }
            _ => {
                let Output::Node(response) = self.write(Command::Node(message)) else {
                    panic!("no response")
                };
                node.responses.push((arrives_us, token, Some(response)));
            }
        }
    }

    /// Delivers the responses that are due to a node, reports random usage, and records the node's leases, reservation and
    /// next request.
    fn step(&mut self, node: &mut Node) {
        let now = Instant::from_micros(self.now_us);
        node.client.advance(now);
        let (due, waiting): (Vec<_>, Vec<_>) =
            node.responses.drain(..).partition(|(at, ..)| *at <= self.now_us);
        node.responses = waiting;
        due.into_iter().for_each(|(_, token, response)| node.client.on_response(now, token, response));
        let amount = node.client.leased_amount(0);
        let in_use = if node.leaving { 0 } else { self.random_below(amount + 1) };
        node.started += in_use;
        let counts = UsageCounts { requested: node.started + self.random_below(3), started: node.started };
        node.client.report_usage(0, in_use, counts);
        let rate = self.random_below(40);
        node.client.report_usage(1, rate, UsageCounts::default());
        if let Some(reservation) = node.client.reservation(0) {
            let spent = reservation.granted / 2;
            let held = if node.leaving { 0 } else { self.random_below(3).min(reservation.granted - spent) };
            node.client.report_wallet_usage(
                0,
                WalletUsage { account: reservation.account, spent, held, requested: node.started },
            );
        }
        let events = node.client.drain_events().count();
        let (calls, rate) = (node.client.leased_amount(0), node.client.leased_amount(1));
        let expires_us = node.client.lease_expires_at(0).map(|at| (at - Instant::default()).micros());
        let reservation = node
            .client
            .reservation(0)
            .map(|reservation| (reservation.account, reservation.granted, reservation.in_force));
        let due = node.client.next_deadline().map(|at| (at - Instant::default()).micros());
        if events > 0 {
            self.line(format_args!(
                "{} {events} {calls} {rate} {expires_us:?} {reservation:?} {due:?}",
                node.name
            ));
        }
        if let Some(outgoing) = node.client.next_request(now) {
            let text = String::from_utf8(encode(&outgoing.request)).expect("JSON");
            self.line(format_args!(
                "{} to {} token {} {text}",
                node.name, outgoing.coordinator, outgoing.token
            ));
            self.deliver(node, outgoing.coordinator, outgoing.token, outgoing.request);
        }
    }
}

fn node(name: &'static str, seed: u64, now: u64) -> Node {
    let budget = |name: &str, max_in_flight_ms| BudgetSettings {
        name: name.into(),
        max_in_flight: Span::from_millis(max_in_flight_ms),
    };
    let settings = Settings {
        name: name.into(),
        program_version: "1".into(),
        schema_versions: if seed == 1 { vec![1] } else { vec![] },
        budgets: vec![budget("calls", 500), budget("rate", 0)],
        wallets: vec![WalletSettings { name: "acme".into(), max_in_flight: Span::from_millis(700) }],
        coordinators: COORDINATORS,
        response_timeout: Span::from_millis(200),
    };
    let client = LeaseClient::new(settings, seed, Instant::from_micros(now));
    Node { name, client, responses: Vec::new(), started: 0, leaving: false }
}

#[test]
fn requests_leases_and_deadlines_match_the_recording() {
    let mut world = World::set_up();
    let mut nodes: Vec<Node> =
        ["n1", "n2", "n3"].into_iter().zip(1..).map(|(name, seed)| node(name, seed, world.now_us)).collect();
    for round in 0..330 {
        world.now_us += STEP_US;
        match round {
            60 => world.admin_request(
                "document",
                AdminAction::PublishDocument { version: 1, body: serde_json::json!({}) },
            ),
            120 => {
                nodes[1].leaving = true;
                nodes[1].client.leave();
            }
            // Another process takes the name of the third node, which keeps sending requests and is told that it was
            // replaced.
            160 => nodes.push(node("n3", 9, world.now_us)),
            // The first node sends nothing for longer than its leases last.
            200 => nodes[0].responses.clear(),
            250 => nodes[0].client.document_applied(105, 1),
            _ => {}
        }
        if round % 5 == 0 {
            world.write(Command::Tick { acknowledged_indexes: BTreeMap::new() });
        }
        for (n, node) in nodes.iter_mut().enumerate() {
            if n > 0 || !(200..250).contains(&round) {
                world.step(node);
            }
        }
    }
    let digest = world.state.digest();
    world.line(format_args!("{digest} {} {}", nodes[1].client.has_ended(), nodes[2].client.has_ended()));
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/exchange.txt");
    let recorded = std::fs::read_to_string(path).expect("the fixture is readable");
    for (line, recorded_line) in world.lines.lines().zip(recorded.lines()) {
        assert_eq!(line, recorded_line);
    }
    assert_eq!(world.lines, recorded);
}
