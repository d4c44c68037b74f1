//! A quarter of a minute of the exchange of three nodes with a coordinator, recorded before the types were renamed: messages are lost, come
//! late, go to followers, a node leaves and another takes its name. What is sent when, and what is in force then, is the
//! same line for line: whoever changes a decision here sees where.

use lynxtally::{Instant, Pcg, Span};
use lynxtally_coordination::{Command, CoordinationState, LogPosition, Output, TimestampedCommand};
use lynxtally_lease_client::{
    BudgetSettings, LeaseClient, Settings, UsageCounts, WalletSettings, WalletUsage,
};
use lynxtally_messages::*;
use std::collections::BTreeMap;
use std::fmt::Write;

const STEP: u64 = 50_000;
const COORDINATORS: usize = 3;

/// One log in memory, and what is recorded of its exchange with nodes.
struct World {
    register: CoordinationState,
    number: u64,
    now: u64,
    chance: Pcg,
    lines: String,
}

struct Node {
    name: &'static str,
    holder: LeaseClient,
    /// When a reply comes, and to which message; none where it was lost.
    replies: Vec<(u64, u64, Option<NodeResponse>)>,
    begun: u64,
    leaving: bool,
}

impl World {
    fn write(&mut self, command: Command) -> Output {
        self.number += 1;
        let entry = TimestampedCommand { term: 1, leader_clock: Instant::from_micros(self.now), command };
        self.register.apply(LogPosition { index: self.number, term: 1 }, &entry)
    }

    fn order(&mut self, word: &str, what: AdminAction) {
        let id = IdempotencyKey { observed_index: self.number, token: word.to_owned() };
        let answer = self.write(Command::Admin(AdminRequest { key: id, action: what }));
        assert!(matches!(answer, Output::Admin(AdminResponse::Applied { .. })), "{answer:?}");
    }

    fn upto(&mut self, most: u64) -> u64 {
        u64::from(self.chance.next_u32()) % most
    }

    fn set_up() -> Self {
        let (register, chance) = (CoordinationState::default(), Pcg::new(11));
        let mut world = Self { register, number: 0, now: 1_000_000, chance, lines: String::new() };
        let terms = BudgetTerms {
            kind: BudgetKind::Concurrency,
            capacity: 20,
            min_per_node: 1,
            newcomer_reserve_permille: 50,
            lease_duration_us: 1_500_000,
            max_clock_drift_ppm: 10_000,
            pause_margin_us: 1000,
        };
        world.order("calls", AdminAction::SetBudget { name: "calls".into(), terms });
        let rate =
            BudgetTerms { kind: BudgetKind::Rate, capacity: 90, lease_duration_us: 4_000_000, ..terms };
        world.order("rate", AdminAction::SetBudget { name: "rate".into(), terms: rate });
        let prices = BTreeMap::from([("a".to_owned(), 1), ("b".to_owned(), 5)]);
        let terms = WalletTerms {
            prices,
            reservation_duration_us: 2_000_000,
            max_clock_drift_ppm: 10_000,
            pause_margin_us: 1000,
            in_doubt_timeout_us: 3_000_000,
            in_doubt_policy: InDoubtPolicy::Return,
        };
        world.order("acme", AdminAction::SetWallet { name: "acme".into(), terms });
        world.order("bought", AdminAction::TopUp { wallet: "acme".into(), units: 5000 });
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
        world.order("schema", AdminAction::ProposeSchema { schema });
        world
    }

    fn line(&mut self, text: std::fmt::Arguments) {
        writeln!(self.lines, "{} {text}", self.now).expect("a text");
    }

    /// A message arrives at a coordinator: lost, refused by a follower, or applied.
    fn carry(&mut self, node: &mut Node, to: usize, token: u64, message: NodeRequest) {
        let late = self.now + STEP * self.upto(4);
        match self.upto(10) {
            0 => node.replies.push((late, token, None)),
            1 => drop(self.write(Command::Node(message))),
            2 if to > 0 => {
                let leader = (self.upto(2) == 0).then_some(1);
                let refusal = NodeResponse::Rejected(Rejection::NotLeader { leader });
                node.replies.push((late, token, Some(refusal)));
            }
            _ => {
                let Output::Node(reply) = self.write(Command::Node(message)) else { panic!("a reply") };
                node.replies.push((late, token, Some(reply)));
            }
        }
    }

    fn step(&mut self, node: &mut Node) {
        let now = Instant::from_micros(self.now);
        node.holder.advance(now);
        let (due, waiting): (Vec<_>, Vec<_>) = node.replies.drain(..).partition(|(at, ..)| *at <= self.now);
        node.replies = waiting;
        due.into_iter().for_each(|(_, token, reply)| node.holder.on_response(now, token, reply));
        let amount = node.holder.leased_amount(0);
        let in_use = if node.leaving { 0 } else { self.upto(amount + 1) };
        node.begun += in_use;
        let counts = UsageCounts { requested: node.begun + self.upto(3), started: node.begun };
        node.holder.report_usage(0, in_use, counts);
        let rate = self.upto(40);
        node.holder.report_usage(1, rate, UsageCounts::default());
        if let Some(own) = node.holder.reservation(0) {
            let spent = own.granted / 2;
            let held = if node.leaving { 0 } else { self.upto(3).min(own.granted - spent) };
            node.holder.report_wallet_usage(
                0,
                WalletUsage { account: own.account, spent, held, requested: node.begun },
            );
        }
        let events = node.holder.drain_events().count();
        let (calls, rate) = (node.holder.leased_amount(0), node.holder.leased_amount(1));
        let until = node.holder.lease_expires_at(0).map(|at| (at - Instant::default()).micros());
        let own = node.holder.reservation(0).map(|own| (own.account, own.granted, own.in_force));
        let due = node.holder.next_deadline().map(|at| (at - Instant::default()).micros());
        if events > 0 {
            self.line(format_args!("{} {events} {calls} {rate} {until:?} {own:?} {due:?}", node.name));
        }
        if let Some(outgoing) = node.holder.next_request(now) {
            let text = String::from_utf8(encode(&outgoing.request)).expect("JSON");
            self.line(format_args!(
                "{} to {} token {} {text}",
                node.name, outgoing.coordinator, outgoing.token
            ));
            self.carry(node, outgoing.coordinator, outgoing.token, outgoing.request);
        }
    }
}

fn node(name: &'static str, seed: u64, now: u64) -> Node {
    let asked =
        |name: &str, tail| BudgetSettings { name: name.into(), max_in_flight: Span::from_millis(tail) };
    let settings = Settings {
        name: name.into(),
        program_version: "1".into(),
        schema_versions: if seed == 1 { vec![1] } else { vec![] },
        budgets: vec![asked("calls", 500), asked("rate", 0)],
        wallets: vec![WalletSettings { name: "acme".into(), max_in_flight: Span::from_millis(700) }],
        coordinators: COORDINATORS,
        response_timeout: Span::from_millis(200),
    };
    let holder = LeaseClient::new(settings, seed, Instant::from_micros(now));
    Node { name, holder, replies: Vec::new(), begun: 0, leaving: false }
}

#[test]
fn what_is_sent_and_what_is_in_force_is_as_it_was_recorded() {
    let mut world = World::set_up();
    let mut nodes: Vec<Node> =
        ["n1", "n2", "n3"].into_iter().zip(1..).map(|(name, seed)| node(name, seed, world.now)).collect();
    for round in 0..330 {
        world.now += STEP;
        match round {
            60 => world
                .order("document", AdminAction::PublishDocument { version: 1, body: serde_json::json!({}) }),
            120 => {
                nodes[1].leaving = true;
                nodes[1].holder.leave();
            }
            // Another process takes the third's name; the third goes on speaking and learns of it.
            160 => nodes.push(node("n3", 9, world.now)),
            // Nobody hears the first for longer than its leases last.
            200 => nodes[0].replies.clear(),
            250 => nodes[0].holder.document_applied(105, 1),
            _ => {}
        }
        if round % 5 == 0 {
            world.write(Command::Tick { acknowledged_indexes: BTreeMap::new() });
        }
        for (n, own) in nodes.iter_mut().enumerate() {
            if n > 0 || !(200..250).contains(&round) {
                world.step(own);
            }
        }
    }
    let digest = world.register.digest();
    world.line(format_args!("{digest} {} {}", nodes[1].holder.has_ended(), nodes[2].holder.has_ended()));
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/exchange.txt");
    let recorded = std::fs::read_to_string(path).expect("a fixture");
    for (now, before) in world.lines.lines().zip(recorded.lines()) {
        assert_eq!(now, before);
    }
    assert_eq!(world.lines, recorded);
}
