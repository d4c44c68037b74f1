//! Coordination of the fleet: what leases serve, how soon a part is in use again, and what they cost.

use lynxtally::{Instant, Pcg, Span};
use lynxtally_coordination::{Command, CoordinationState, LogPosition, Output, TimestampedCommand};
use lynxtally_fault_injection::http_client;
use lynxtally_fault_injection::process::{Process, TempFolder};
use lynxtally_lease_client::{
    BudgetSettings, LeaseClient, Settings, UsageCounts, WalletSettings, WalletUsage,
};
use lynxtally_messages::{
    AdminAction, AdminRequest, AdminResponse, BudgetKind, BudgetReport, BudgetTerms, IdempotencyKey,
    InDoubtPolicy, LeaseUpdate, NodeRequest, NodeResponse, WalletTerms,
};
use lynxtally_simulator::coordination::{
    run, AllocationRule, DemandPattern, FaultKind, Scenario, ScheduledFault,
};
use std::fmt::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant as Wall};

const SEEDS: [u64; 3] = [1, 2, 3];
const NODES: usize = 350;
const SECOND: u64 = 1_000_000;

/// Writes the table.
pub fn measure(out: &Path) -> std::io::Result<()> {
    let mut text = String::from(
        "# Shares of the fleet, measured\n\nMade by `cargo run --release -p lynxtally-benchmarks -- shares`. Figures of served calls \
         are simulated (the state and the holders themselves, in simulated time); the keepers' are of real processes on \
         loopback. Design: [../design/shares.md](../design/shares.md).\n",
    );
    served(&mut text);
    spans(&mut text);
    again(&mut text);
    stranded(&mut text);
    cost(&mut text);
    coordinators(&mut text)?;
    std::fs::write(out, text)
}

fn faults() -> Vec<(&'static str, Vec<ScheduledFault>)> {
    let one = |kind| vec![ScheduledFault { from_us: 10 * SECOND, until_us: 20 * SECOND, kind }];
    let each = |kind: fn(usize) -> FaultKind| {
        let fault = |node| ScheduledFault { from_us: 10 * SECOND, until_us: 20 * SECOND, kind: kind(node) };
        (0..NODES).step_by(8).map(fault).collect()
    };
    vec![
        ("none", Vec::new()),
        (
            "the leader lost for 2 s",
            vec![ScheduledFault { from_us: 10 * SECOND, until_us: 12 * SECOND, kind: FaultKind::LoseLeader }],
        ),
        ("all keepers gone for 10 s", one(FaultKind::StopCoordinators)),
        ("one message in five lost for 10 s", one(FaultKind::DropMessages(0.2))),
        (
            "one node of eight not heard for 10 s",
            each(|node| FaultKind::Partition { node, requests: true, responses: false }),
        ),
        (
            "one node of eight hears nothing for 10 s",
            each(|node| FaultKind::Partition { node, requests: false, responses: true }),
        ),
        ("one node of eight stopped for 10 s", each(|node| FaultKind::Pause { node })),
        ("one node of eight killed for 10 s", each(|node| FaultKind::Kill { node })),
        (
            "six in ten killed and started 1 s later",
            vec![ScheduledFault {
                from_us: 10 * SECOND,
                until_us: 11 * SECOND,
                kind: FaultKind::KillMany(60),
            }],
        ),
    ]
}

fn served(text: &mut String) {
    let _ = write!(
        text,
        "\n## Served, as shares of what one that sees everything at once serves\n\n{NODES} nodes, four calls a node in all, wanted \
         0.8 of that in the mean, calls of 0.2 s, spans of 15 s, tasks that wait for 0.5 s; the mean and the least of seeds {SEEDS:?}. \
         The most in hand is of the whole, over all seeds.\n\n| need | fault | equal parts for good | by grants: mean | least | most in \
         hand |\n| --- | --- | --- | --- | --- | --- |\n"
    );
    for need in [DemandPattern::Even, DemandPattern::Skewed] {
        for (name, faults) in faults() {
            let (mut equal, mut granted, mut most) = (Vec::new(), Vec::new(), 0.0_f64);
            for seed in SEEDS {
                let mut scenario = Scenario::without_faults(seed, NODES, 4 * NODES as u64, need);
                scenario.faults.clone_from(&faults);
                scenario.terms.lease_duration_us = 15 * SECOND;
                let play = |rule| run(&scenario, rule).map_err(|broken| broken.to_string());
                let figures =
                    [AllocationRule::EqualShares, AllocationRule::Leases, AllocationRule::Omniscient]
                        .map(play);
                let [Ok(fixed), Ok(divided), Ok(seeing)] = figures else {
                    let _ = writeln!(text, "| {need:?} | {name} | broken | | | |");
                    continue;
                };
                equal.push(fixed.served as f64 / seeing.served as f64);
                granted.push(divided.served as f64 / seeing.served as f64);
                most = most.max(divided.max_in_flight as f64 / scenario.terms.capacity as f64);
            }
            let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
            let least = granted.iter().copied().fold(f64::INFINITY, f64::min);
            let (equal, by_grants) = (mean(&equal), mean(&granted));
            let _ = writeln!(
                text,
                "| {need:?} | {name} | {equal:.3} | {by_grants:.3} | {least:.3} | {most:.2} |"
            );
        }
    }
}

/// Cut off, a node goes on with what it surely has: for how long is a matter of the span.
fn spans(text: &mut String) {
    let _ = write!(
        text,
        "\n## Longer spans\n\nThe same, even need, seed 1: what a longer span gains where keepers can't be reached, and costs where \
         nodes vanish, as shares of what one that sees everything serves.\n\n| span | none | all keepers gone for 10 s | one node \
         of eight hears nothing for 10 s | one node of eight killed for 10 s | six in ten killed and started 1 s later |\n| --- | \
         --- | --- | --- | --- | --- |\n"
    );
    let all = faults();
    for span in [1, 3, 15, 60] {
        let _ = write!(text, "| {span} s |");
        for fault in [0, 2, 5, 7, 8] {
            let mut scenario = Scenario::without_faults(1, NODES, 4 * NODES as u64, DemandPattern::Even);
            scenario.terms.lease_duration_us = span * SECOND;
            scenario.faults.clone_from(&all[fault].1);
            let served = |rule| run(&scenario, rule).map_or(f64::NAN, |figures| figures.served as f64);
            let _ =
                write!(text, " {:.3} |", served(AllocationRule::Leases) / served(AllocationRule::Omniscient));
        }
        text.push('\n');
    }
}

/// When as much is let go again, over half a second, as before the fault, less a tenth.
fn again(text: &mut String) {
    let _ = write!(
        text,
        "\n## Until a share is in use again\n\nTen nodes that want three times what there is; five of them go. From then until nine \
         tenths of what was let go before is let go again, over the two seconds that follow; spans of 3 s, calls of up to 1.2 s. Mean of seeds \
         {SEEDS:?}.\n\n| what | seconds |\n| --- | --- |\n"
    );
    let until_us = 35 * SECOND;
    let leave = (0..5)
        .map(|node| ScheduledFault { from_us: 10 * SECOND, until_us, kind: FaultKind::Leave { node } })
        .collect();
    let kill = (0..5)
        .map(|node| ScheduledFault { from_us: 10 * SECOND, until_us, kind: FaultKind::Kill { node } })
        .collect();
    let lost =
        vec![ScheduledFault { from_us: 10 * SECOND, until_us: 12 * SECOND, kind: FaultKind::LoseLeader }];
    for (name, faults) in [
        ("they leave properly", leave),
        ("they are killed", kill),
        ("the leader is lost for 2 s instead", lost),
    ] {
        let faults: Vec<ScheduledFault> = faults;
        let seconds: Vec<f64> = SEEDS
            .iter()
            .filter_map(|seed| {
                let mut scenario = Scenario::without_faults(*seed, 10, 40, DemandPattern::Even);
                (scenario.load, scenario.faults) = (3.0, faults.clone());
                let windows = run(&scenario, AllocationRule::Leases).ok()?.started_per_window;
                let before = windows[50..100].iter().sum::<u64>() as f64 / 50.0;
                let well =
                    |at: &usize| windows[*at..at + 20].iter().sum::<u64>() as f64 > 20.0 * 0.9 * before;
                let back = (100..windows.len() - 20).find(well)?;
                Some((back - 100) as f64 / 10.0)
            })
            .collect();
        let mean = seconds.iter().sum::<f64>() / seconds.len().max(1) as f64;
        let _ = writeln!(text, "| {name} | {mean:.1} |");
    }
}

/// One node's spending, with the state's entries applied at once.
struct Spender {
    client: LeaseClient,
    spent: u64,
    account: u64,
    wanted: u64,
    /// Tasks a second.
    rate: f64,
}

fn stranded(text: &mut String) {
    const BOUGHT: u64 = 30_000;
    const MS: u64 = 1000;
    let _ = write!(
        text,
        "\n## The end of a balance\n\n300 nodes spend {BOUGHT} units, one a task, a tenth of them half of it; spans of 3 s, replies at \
         once, steps of 10 ms (simulated). From the state's balance at 0 to the last task that is let in, and what is with nodes \
         and never spent, as a share of what was bought.\n\n| seed | last task after, s | stranded | served |\n| --- | --- | --- | --- |\n"
    );
    for seed in SEEDS {
        let mut random = Pcg::new(seed);
        let mut state = CoordinationState::default();
        let mut number = 0;
        let mut write = |state: &mut CoordinationState, at: Instant, command: Command| {
            number += 1;
            state.apply(
                LogPosition { index: number, term: 1 },
                &TimestampedCommand { term: 1, leader_clock: at, command },
            )
        };
        let at = |micros: u64| Instant::from_micros(1_000_000 + micros);
        let terms = WalletTerms {
            prices: [("a".to_owned(), 1)].into(),
            reservation_duration_us: 3 * SECOND,
            max_clock_drift_ppm: 10_000,
            pause_margin_us: 100_000,
            in_doubt_timeout_us: 60 * SECOND,
            in_doubt_policy: InDoubtPolicy::Return,
        };
        let order = |word: &str, what| {
            Command::Admin(AdminRequest {
                key: IdempotencyKey { observed_index: 0, token: word.into() },
                action: what,
            })
        };
        write(&mut state, at(0), order("wallet", AdminAction::SetWallet { name: "w".into(), terms }));
        write(&mut state, at(0), order("bought", AdminAction::TopUp { wallet: "w".into(), units: BOUGHT }));
        let mut nodes: Vec<Spender> = (0..300)
            .map(|n| {
                let settings = Settings {
                    name: format!("n{n}"),
                    program_version: "1".to_owned(),
                    schema_versions: Vec::new(),
                    budgets: Vec::new(),
                    wallets: vec![WalletSettings {
                        name: "w".to_owned(),
                        max_in_flight: Span::from_millis(3000),
                    }],
                    coordinators: 3,
                    response_timeout: Span::from_millis(500),
                };
                let rate = if n < 30 { 50.0 } else { 50.0 / 9.0 };
                Spender {
                    client: LeaseClient::new(settings, n + seed * 1000, at(0)),
                    spent: 0,
                    account: 0,
                    wanted: 0,
                    rate,
                }
            })
            .collect();
        let (mut out, mut last, mut served) = (None, 0, 0);
        for step in 0..6000_u64 {
            let micros = step * 10 * MS;
            let now = at(micros);
            if step % 25 == 0 {
                write(&mut state, now, Command::Tick { acknowledged_indexes: Default::default() });
            }
            for node in &mut nodes {
                node.client.advance(now);
                if let Some(own) = node.client.reservation(0) {
                    if own.account != node.account {
                        (node.account, node.spent) = (own.account, 0);
                    }
                    if random.unit() < node.rate * 0.01 {
                        node.wanted += 1;
                        if own.in_force && own.granted > node.spent {
                            node.spent += 1;
                            served += 1;
                            last = micros;
                        }
                    }
                }
                let usage =
                    WalletUsage { account: node.account, spent: node.spent, held: 0, requested: node.wanted };
                node.client.report_wallet_usage(0, usage);
                if let Some(sent) = node.client.next_request(now) {
                    if let Output::Node(reply) = write(&mut state, now, Command::Node(sent.request)) {
                        node.client.on_response(now, sent.token, Some(reply));
                    }
                }
                node.client.drain_events().for_each(drop);
            }
            let balance = state.wallet_balances("w").map_or(0, |books| books.balance);
            if balance == 0 && out.is_none() {
                out = Some(micros);
            }
        }
        let books = state.wallet_balances("w").unwrap_or_default();
        let after = out.map_or(f64::NAN, |out| last.saturating_sub(out) as f64 / 1e6);
        let stranded = (books.balance + books.reserved + books.in_doubt) as f64 / BOUGHT as f64;
        let _ = writeln!(text, "| {seed} | {after:.1} | {stranded:.4} | {served} |");
    }
}

fn cost(text: &mut String) {
    const TURNS: u32 = 1_000_000;
    let settings = Settings {
        name: "n".to_owned(),
        program_version: "1".to_owned(),
        schema_versions: Vec::new(),
        budgets: vec![BudgetSettings { name: "calls".to_owned(), max_in_flight: Span::from_millis(3000) }],
        wallets: Vec::new(),
        coordinators: 3,
        response_timeout: Span::from_millis(500),
    };
    let at = |micros: u64| Instant::from_micros(1_000_000 + micros);
    let mut client = LeaseClient::new(settings, 1, at(0));
    let mut incarnation = 0;
    let start = Wall::now();
    for turn in 0..TURNS {
        let now = at(u64::from(turn) * 100);
        client.advance(now);
        client.report_usage(
            0,
            u64::from(turn % 3),
            UsageCounts { requested: turn.into(), started: turn.into() },
        );
        if let Some(out) = client.next_request(now) {
            incarnation = out.request.incarnation.max(1);
            let grants = out.request.budgets.iter().map(|want| lynxtally_messages::Lease {
                budget: want.budget.clone(),
                version: out.request.sequence,
                amount: 4,
                duration_us: 3_000_000,
            });
            let granted = LeaseUpdate {
                incarnation,
                sequence: out.request.sequence,
                leases: grants.collect(),
                reservations: Vec::new(),
                document: None,
                unreadable_reason: None,
            };
            client.on_response(now, out.token, Some(NodeResponse::Accepted(granted)));
        }
        client.drain_events().for_each(drop);
    }
    let nanos = start.elapsed().as_nanos() / u128::from(TURNS);
    // 0.12 ms a task, measured on sockets (docs/standing.md); a turn is at most a few a task.
    let _ = write!(
        text,
        "\n## What the holder adds to a turn of the owner\n\n{nanos} ns (a million turns, its messages and their replies among them; \
         incarnation {incarnation}): {:.4} of the 0.12 ms that a served task takes ([standing](../standing.md)).\n",
        nanos as f64 / 120_000.0
    );
}

fn coordinators(text: &mut String) -> std::io::Result<()> {
    let _ = write!(
        text,
        "\n## The keepers\n\nThree keepers as processes on loopback, one folder each on one disk; so many nodes, each of which speaks \
         once a second, by 32 threads with a connection for each message; 5 s. Log octets are those of the leader's folder.\n\n| nodes \
         | messages a second | reply: median, ms | 99th, ms | log octets a message |\n| --- | --- | --- | --- | --- |\n"
    );
    let beside = std::env::current_exe()?.with_file_name("lynxtally-coordinator");
    if !beside.exists() {
        let _ = writeln!(text, "| not measured: {} is not built | | | | |", beside.display());
        return Ok(());
    }
    for nodes in [50_u64, 350, 1024] {
        let row = with_coordinators(&beside.display().to_string(), nodes)?;
        text.push_str(&row);
    }
    Ok(())
}

fn with_coordinators(program: &str, nodes: u64) -> std::io::Result<String> {
    let folder = TempFolder::new("measure");
    let at: Vec<_> = (0..3).map(|_| lynxtally_fault_injection::free_address()).collect();
    let all: Vec<String> = at.iter().map(|at| format!("'{at}'")).collect();
    let mut processes = Vec::new();
    for n in 0..3 {
        let path = folder.0.join(format!("k{n}.jsonnet"));
        let state = folder.0.join(format!("state{n}"));
        let text =
            format!("{{ id: {}, keepers: [{}], folder: '{}' }}", n + 1, all.join(", "), state.display());
        std::fs::write(&path, text)?;
        processes.push(Process::start(program, &path, &folder.0.join(format!("log{n}"))));
    }
    let terms = BudgetTerms {
        kind: BudgetKind::Concurrency,
        capacity: nodes,
        min_per_node: 0,
        newcomer_reserve_permille: 30,
        lease_duration_us: 3_000_000,
        max_clock_drift_ppm: 10_000,
        pause_margin_us: 100_000,
    };
    let what = AdminAction::SetBudget { name: "calls".into(), terms };
    let order =
        AdminRequest { key: IdempotencyKey { observed_index: 0, token: "first".into() }, action: what };
    let mut leader = None;
    lynxtally_fault_injection::wait_until("a leader takes the order", || {
        let took = |at: &&std::net::SocketAddr| {
            http_client::post::<_, AdminResponse>(**at, "/v1/order", &order, Duration::from_secs(2))
                .is_ok_and(|outcome| matches!(outcome, AdminResponse::Applied { .. }))
        };
        leader = at.iter().position(|at| took(&at));
        leader.is_some()
    });
    let leader = leader.unwrap_or(0);
    let say = |name: u64, incarnation, number, wants| NodeRequest {
        name: format!("n{name}"),
        incarnation,
        sequence: number,
        program_version: "1".into(),
        schema_versions: Vec::new(),
        budgets: wants,
        wallets: Vec::new(),
        applied_document: None,
        ends_session: false,
    };
    let post = |message: &NodeRequest| {
        http_client::post::<_, NodeResponse>(at[leader], "/v1/say", message, Duration::from_secs(5))
    };
    let size = || -> u64 {
        let files =
            std::fs::read_dir(folder.0.join(format!("state{leader}"))).into_iter().flatten().flatten();
        files.filter_map(|file| file.metadata().ok()).map(|data| data.len()).sum()
    };
    let sent = AtomicU64::new(0);
    let before = AtomicU64::new(0);
    let began = AtomicU64::new(0);
    let threads = 32.min(nodes);
    let times: Vec<Duration> = std::thread::scope(|scope| {
        let part = |thread: u64| {
            let (sent, before, began, post, say, size) = (&sent, &before, &began, &post, &say, &size);
            scope.spawn(move || {
                let own: Vec<u64> = (0..nodes).filter(|node| node % threads == thread).collect();
                let mut processes = Vec::new();
                for node in &own {
                    if let Ok(NodeResponse::Accepted(granted)) = post(&say(*node, 0, node + 1, Vec::new())) {
                        processes.push((*node, granted.incarnation));
                    }
                }
                if began.fetch_add(1, Ordering::SeqCst) + 1 == threads {
                    before.store(size(), Ordering::SeqCst);
                }
                while began.load(Ordering::SeqCst) < threads {
                    std::thread::sleep(Duration::from_millis(1));
                }
                let mut times = Vec::new();
                for round in 1..=5 {
                    let start = Wall::now();
                    for (node, incarnation) in &processes {
                        let want = BudgetReport {
                            budget: "calls".into(),
                            lease_version: 0,
                            in_use: 0,
                            demand_milliunits: 1000,
                            max_in_flight_us: 1_200_000,
                        };
                        let asked = Wall::now();
                        if post(&say(*node, *incarnation, round, vec![want])).is_ok() {
                            sent.fetch_add(1, Ordering::Relaxed);
                            times.push(asked.elapsed());
                        }
                    }
                    std::thread::sleep(Duration::from_secs(1).saturating_sub(start.elapsed()));
                }
                times
            })
        };
        let all: Vec<_> = (0..threads).map(part).collect();
        all.into_iter().flat_map(|one| one.join().unwrap_or_default()).collect()
    });
    let sent = sent.load(Ordering::Relaxed);
    let octets = size().saturating_sub(before.load(Ordering::SeqCst)) / sent.max(1);
    let mut times = times;
    times.sort_unstable();
    let at = |part: f64| {
        times.get((times.len() as f64 * part) as usize).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
    };
    drop(processes);
    Ok(format!("| {nodes} | {} | {:.1} | {:.1} | {octets} |\n", sent / 5, at(0.5), at(0.99)))
}
