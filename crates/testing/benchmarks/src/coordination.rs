//! Benchmarks of the coordination of a fleet: the calls that leases serve under faults, the time until capacity is in use
//! again after nodes left, and the cost of leases for nodes and coordinators.

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
const SECOND_US: u64 = 1_000_000;

/// Runs all coordination benchmarks and writes the Markdown page to `out`.
pub fn measure(out: &Path) -> std::io::Result<()> {
    let mut text = String::from(
        "# Shares of the fleet, measured\n\nMade by `cargo run --release -p lynxtally-benchmarks -- shares`. Figures of served calls \
         are simulated (the state and the holders themselves, in simulated time); the keepers' are of real processes on \
         loopback. Design: [../design/shares.md](../design/shares.md).\n",
    );
    measure_served_calls(&mut text);
    measure_lease_durations(&mut text);
    measure_recovery(&mut text);
    measure_wallet_exhaustion(&mut text);
    measure_client_cost(&mut text);
    measure_coordinators(&mut text)?;
    std::fs::write(out, text)
}

/// The fault scenarios with their names in the tables. [`measure_lease_durations`] selects some of them by index.
fn fault_scenarios() -> Vec<(&'static str, Vec<ScheduledFault>)> {
    let single = |kind| vec![ScheduledFault { from_us: 10 * SECOND_US, until_us: 20 * SECOND_US, kind }];
    let every_eighth_node = |kind: fn(usize) -> FaultKind| {
        let fault =
            |node| ScheduledFault { from_us: 10 * SECOND_US, until_us: 20 * SECOND_US, kind: kind(node) };
        (0..NODES).step_by(8).map(fault).collect()
    };
    vec![
        ("none", Vec::new()),
        (
            "the leader lost for 2 s",
            vec![ScheduledFault {
                from_us: 10 * SECOND_US,
                until_us: 12 * SECOND_US,
                kind: FaultKind::LoseLeader,
            }],
        ),
        ("all keepers gone for 10 s", single(FaultKind::StopCoordinators)),
        ("one message in five lost for 10 s", single(FaultKind::DropMessages(0.2))),
        (
            "one node of eight not heard for 10 s",
            every_eighth_node(|node| FaultKind::Partition { node, requests: true, responses: false }),
        ),
        (
            "one node of eight hears nothing for 10 s",
            every_eighth_node(|node| FaultKind::Partition { node, requests: false, responses: true }),
        ),
        ("one node of eight stopped for 10 s", every_eighth_node(|node| FaultKind::Pause { node })),
        ("one node of eight killed for 10 s", every_eighth_node(|node| FaultKind::Kill { node })),
        (
            "six in ten killed and started 1 s later",
            vec![ScheduledFault {
                from_us: 10 * SECOND_US,
                until_us: 11 * SECOND_US,
                kind: FaultKind::KillMany(60),
            }],
        ),
    ]
}

/// Compares fixed parts and leases with an allocator that knows the demand of all nodes at once.
fn measure_served_calls(text: &mut String) {
    let _ = write!(
        text,
        "\n## Served, as shares of what one that sees everything at once serves\n\n{NODES} nodes, four calls a node in all, wanted \
         0.8 of that in the mean, calls of 0.2 s, spans of 15 s, tasks that wait for 0.5 s; the mean and the least of seeds {SEEDS:?}. \
         The most in hand is of the whole, over all seeds.\n\n| need | fault | equal parts for good | by grants: mean | least | most in \
         hand |\n| --- | --- | --- | --- | --- | --- |\n"
    );
    for demand in [DemandPattern::Even, DemandPattern::Skewed] {
        for (name, faults) in fault_scenarios() {
            let (mut static_shares, mut lease_shares, mut max_in_flight) = (Vec::new(), Vec::new(), 0.0_f64);
            for seed in SEEDS {
                let mut scenario = Scenario::without_faults(seed, NODES, 4 * NODES as u64, demand);
                scenario.faults.clone_from(&faults);
                scenario.terms.lease_duration_us = 15 * SECOND_US;
                let simulate = |rule| run(&scenario, rule).map_err(|violation| violation.to_string());
                let figures =
                    [AllocationRule::EqualShares, AllocationRule::Leases, AllocationRule::Omniscient]
                        .map(simulate);
                let [Ok(static_parts), Ok(leases), Ok(omniscient)] = figures else {
                    let _ = writeln!(text, "| {demand:?} | {name} | broken | | | |");
                    continue;
                };
                static_shares.push(static_parts.served as f64 / omniscient.served as f64);
                lease_shares.push(leases.served as f64 / omniscient.served as f64);
                max_in_flight =
                    max_in_flight.max(leases.max_in_flight as f64 / scenario.terms.capacity as f64);
            }
            let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
            let least = lease_shares.iter().copied().fold(f64::INFINITY, f64::min);
            let (static_mean, lease_mean) = (mean(&static_shares), mean(&lease_shares));
            let _ = writeln!(
                text,
                "| {demand:?} | {name} | {static_mean:.3} | {lease_mean:.3} | {least:.3} | {max_in_flight:.2} |"
            );
        }
    }
}

/// Varies the lease duration. A node that can't reach a coordinator uses its leases until they expire: longer leases bridge
/// longer outages, but capacity leased to a lost node returns later.
fn measure_lease_durations(text: &mut String) {
    let _ = write!(
        text,
        "\n## Longer spans\n\nThe same, even need, seed 1: what a longer span gains where keepers can't be reached, and costs where \
         nodes vanish, as shares of what one that sees everything serves.\n\n| span | none | all keepers gone for 10 s | one node \
         of eight hears nothing for 10 s | one node of eight killed for 10 s | six in ten killed and started 1 s later |\n| --- | \
         --- | --- | --- | --- | --- |\n"
    );
    let scenarios = fault_scenarios();
    for duration_s in [1, 3, 15, 60] {
        let _ = write!(text, "| {duration_s} s |");
        for fault in [0, 2, 5, 7, 8] {
            let mut scenario = Scenario::without_faults(1, NODES, 4 * NODES as u64, DemandPattern::Even);
            scenario.terms.lease_duration_us = duration_s * SECOND_US;
            scenario.faults.clone_from(&scenarios[fault].1);
            let served = |rule| run(&scenario, rule).map_or(f64::NAN, |figures| figures.served as f64);
            let _ =
                write!(text, " {:.3} |", served(AllocationRule::Leases) / served(AllocationRule::Omniscient));
        }
        text.push('\n');
    }
}

/// Measures the time from a fault until the calls started over two seconds reach 90 % of the rate of the five seconds before
/// the fault.
fn measure_recovery(text: &mut String) {
    let _ = write!(
        text,
        "\n## Until a share is in use again\n\nTen nodes that want three times what there is; five of them go. From then until nine \
         tenths of what was let go before is let go again, over the two seconds that follow; spans of 3 s, calls of up to 1.2 s. Mean of seeds \
         {SEEDS:?}.\n\n| what | seconds |\n| --- | --- |\n"
    );
    let until_us = 35 * SECOND_US;
    let leave_faults = (0..5)
        .map(|node| ScheduledFault { from_us: 10 * SECOND_US, until_us, kind: FaultKind::Leave { node } })
        .collect();
    let kill_faults = (0..5)
        .map(|node| ScheduledFault { from_us: 10 * SECOND_US, until_us, kind: FaultKind::Kill { node } })
        .collect();
    let leader_faults = vec![ScheduledFault {
        from_us: 10 * SECOND_US,
        until_us: 12 * SECOND_US,
        kind: FaultKind::LoseLeader,
    }];
    for (name, faults) in [
        ("they leave properly", leave_faults),
        ("they are killed", kill_faults),
        ("the leader is lost for 2 s instead", leader_faults),
    ] {
        let faults: Vec<ScheduledFault> = faults;
        let seconds: Vec<f64> = SEEDS
            .iter()
            .filter_map(|seed| {
                let mut scenario = Scenario::without_faults(*seed, 10, 40, DemandPattern::Even);
                (scenario.load, scenario.faults) = (3.0, faults.clone());
                // A window is 100 ms long; the fault comes at window 100.
                let windows = run(&scenario, AllocationRule::Leases).ok()?.started_per_window;
                let before = windows[50..100].iter().sum::<u64>() as f64 / 50.0;
                let has_recovered = |window: &usize| {
                    windows[*window..window + 20].iter().sum::<u64>() as f64 > 20.0 * 0.9 * before
                };
                let recovered = (100..windows.len() - 20).find(has_recovered)?;
                Some((recovered - 100) as f64 / 10.0)
            })
            .collect();
        let mean = seconds.iter().sum::<f64>() / seconds.len().max(1) as f64;
        let _ = writeln!(text, "| {name} | {mean:.1} |");
    }
}

/// A node that spends units of a wallet.
struct SpendingNode {
    client: LeaseClient,
    /// Units spent from the current reservation.
    spent: u64,
    /// Identifies the current reservation; `spent` starts at 0 when it changes.
    account: u64,
    /// Units requested since the start.
    requested: u64,
    /// Requests per second.
    rate: f64,
}

/// Measures how much of an exhausted wallet stays reserved at nodes that no longer spend it. Commands are applied to the state
/// at once, without coordinators or network.
fn measure_wallet_exhaustion(text: &mut String) {
    const BOUGHT_UNITS: u64 = 30_000;
    const MILLISECOND_US: u64 = 1000;
    let _ = write!(
        text,
        "\n## The end of a balance\n\n300 nodes spend {BOUGHT_UNITS} units, one a task, a tenth of them half of it; spans of 3 s, replies at \
         once, steps of 10 ms (simulated). From the state's balance at 0 to the last task that is let in, and what is with nodes \
         and never spent, as a share of what was bought.\n\n| seed | last task after, s | stranded | served |\n| --- | --- | --- | --- |\n"
    );
    for seed in SEEDS {
        let mut random = Pcg::new(seed);
        let mut state = CoordinationState::default();
        let mut index = 0;
        let mut apply = |state: &mut CoordinationState, at: Instant, command: Command| {
            index += 1;
            state.apply(
                LogPosition { index, term: 1 },
                &TimestampedCommand { term: 1, leader_clock: at, command },
            )
        };
        let at = |micros: u64| Instant::from_micros(1_000_000 + micros);
        let terms = WalletTerms {
            prices: [("a".to_owned(), 1)].into(),
            reservation_duration_us: 3 * SECOND_US,
            max_clock_drift_ppm: 10_000,
            pause_margin_us: 100_000,
            in_doubt_timeout_us: 60 * SECOND_US,
            in_doubt_policy: InDoubtPolicy::Return,
        };
        let admin_command = |token: &str, action| {
            Command::Admin(AdminRequest {
                key: IdempotencyKey { observed_index: 0, token: token.into() },
                action,
            })
        };
        apply(&mut state, at(0), admin_command("wallet", AdminAction::SetWallet { name: "w".into(), terms }));
        apply(
            &mut state,
            at(0),
            admin_command("bought", AdminAction::TopUp { wallet: "w".into(), units: BOUGHT_UNITS }),
        );
        let mut nodes: Vec<SpendingNode> = (0..300)
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
                SpendingNode {
                    client: LeaseClient::new(settings, n + seed * 1000, at(0)),
                    spent: 0,
                    account: 0,
                    requested: 0,
                    rate,
                }
            })
            .collect();
        let (mut exhausted_us, mut last_served_us, mut served) = (None, 0, 0);
        for step in 0..6000_u64 {
            let micros = step * 10 * MILLISECOND_US;
            let now = at(micros);
            if step % 25 == 0 {
                apply(&mut state, now, Command::Tick { acknowledged_indexes: Default::default() });
            }
            for node in &mut nodes {
                node.client.advance(now);
                if let Some(reservation) = node.client.reservation(0) {
                    if reservation.account != node.account {
                        (node.account, node.spent) = (reservation.account, 0);
                    }
                    if random.unit() < node.rate * 0.01 {
                        node.requested += 1;
                        if reservation.in_force && reservation.granted > node.spent {
                            node.spent += 1;
                            served += 1;
                            last_served_us = micros;
                        }
                    }
                }
                let usage = WalletUsage {
                    account: node.account,
                    spent: node.spent,
                    held: 0,
                    requested: node.requested,
                };
                node.client.report_wallet_usage(0, usage);
                if let Some(request) = node.client.next_request(now) {
                    if let Output::Node(response) = apply(&mut state, now, Command::Node(request.request)) {
                        node.client.on_response(now, request.token, Some(response));
                    }
                }
                node.client.drain_events().for_each(drop);
            }
            let balance = state.wallet_balances("w").map_or(0, |balances| balances.balance);
            if balance == 0 && exhausted_us.is_none() {
                exhausted_us = Some(micros);
            }
        }
        let balances = state.wallet_balances("w").unwrap_or_default();
        let last_served_after_s = exhausted_us
            .map_or(f64::NAN, |exhausted_us| last_served_us.saturating_sub(exhausted_us) as f64 / 1e6);
        let stranded =
            (balances.balance + balances.reserved + balances.in_doubt) as f64 / BOUGHT_UNITS as f64;
        let _ = writeln!(text, "| {seed} | {last_served_after_s:.1} | {stranded:.4} | {served} |");
    }
}

/// Measures what the lease client adds to one iteration of the thread that runs requests.
fn measure_client_cost(text: &mut String) {
    const ITERATIONS: u32 = 1_000_000;
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
    for iteration in 0..ITERATIONS {
        let now = at(u64::from(iteration) * 100);
        client.advance(now);
        client.report_usage(
            0,
            u64::from(iteration % 3),
            UsageCounts { requested: iteration.into(), started: iteration.into() },
        );
        if let Some(next) = client.next_request(now) {
            incarnation = next.request.incarnation.max(1);
            let leases = next.request.budgets.iter().map(|report| lynxtally_messages::Lease {
                budget: report.budget.clone(),
                version: next.request.sequence,
                amount: 4,
                duration_us: 3_000_000,
            });
            let update = LeaseUpdate {
                incarnation,
                sequence: next.request.sequence,
                leases: leases.collect(),
                reservations: Vec::new(),
                document: None,
                unreadable_reason: None,
            };
            client.on_response(now, next.token, Some(NodeResponse::Accepted(update)));
        }
        client.drain_events().for_each(drop);
    }
    let nanos = start.elapsed().as_nanos() / u128::from(ITERATIONS);
    // A request takes 0.12 ms on sockets (docs/standing.md), and the thread iterates at most a few times per request.
    let _ = write!(
        text,
        "\n## What the holder adds to a turn of the owner\n\n{nanos} ns (a million turns, its messages and their replies among them; \
         incarnation {incarnation}): {:.4} of the 0.12 ms that a served task takes ([standing](../standing.md)).\n",
        nanos as f64 / 120_000.0
    );
}

/// Measures coordinator processes on loopback if their program was built.
fn measure_coordinators(text: &mut String) -> std::io::Result<()> {
    let _ = write!(
        text,
        "\n## The keepers\n\nThree keepers as processes on loopback, one folder each on one disk; so many nodes, each of which speaks \
         once a second, by 32 threads with a connection for each message; 5 s. Log octets are those of the leader's folder.\n\n| nodes \
         | messages a second | reply: median, ms | 99th, ms | log octets a message |\n| --- | --- | --- | --- | --- |\n"
    );
    let program = std::env::current_exe()?.with_file_name("lynxtally-coordinator");
    if !program.exists() {
        let _ = writeln!(text, "| not measured: {} is not built | | | | |", program.display());
        return Ok(());
    }
    for nodes in [50_u64, 350, 1024] {
        let row = coordinator_row(&program.display().to_string(), nodes)?;
        text.push_str(&row);
    }
    Ok(())
}

/// Starts three coordinators, sends them the requests of `nodes` nodes for five seconds, and returns a row of the table.
fn coordinator_row(program: &str, nodes: u64) -> std::io::Result<String> {
    let folder = TempFolder::new("measure");
    let addresses: Vec<_> = (0..3).map(|_| lynxtally_fault_injection::free_address()).collect();
    let quoted: Vec<String> = addresses.iter().map(|address| format!("'{address}'")).collect();
    let mut processes = Vec::new();
    for n in 0..3 {
        let path = folder.0.join(format!("k{n}.jsonnet"));
        let state = folder.0.join(format!("state{n}"));
        let text =
            format!("{{ id: {}, keepers: [{}], folder: '{}' }}", n + 1, quoted.join(", "), state.display());
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
    let action = AdminAction::SetBudget { name: "calls".into(), terms };
    let admin_request =
        AdminRequest { key: IdempotencyKey { observed_index: 0, token: "first".into() }, action };
    let mut leader = None;
    lynxtally_fault_injection::wait_until("a coordinator leads and applies the budget", || {
        let applies = |address: &&std::net::SocketAddr| {
            http_client::post::<_, AdminResponse>(
                **address,
                "/v1/order",
                &admin_request,
                Duration::from_secs(2),
            )
            .is_ok_and(|outcome| matches!(outcome, AdminResponse::Applied { .. }))
        };
        leader = addresses.iter().position(|address| applies(&address));
        leader.is_some()
    });
    let leader = leader.unwrap_or(0);
    let node_request = |node: u64, incarnation, sequence, budgets| NodeRequest {
        name: format!("n{node}"),
        incarnation,
        sequence,
        program_version: "1".into(),
        schema_versions: Vec::new(),
        budgets,
        wallets: Vec::new(),
        applied_document: None,
        ends_session: false,
    };
    let post = |message: &NodeRequest| {
        http_client::post::<_, NodeResponse>(addresses[leader], "/v1/say", message, Duration::from_secs(5))
    };
    let leader_folder_bytes = || -> u64 {
        let files =
            std::fs::read_dir(folder.0.join(format!("state{leader}"))).into_iter().flatten().flatten();
        files.filter_map(|file| file.metadata().ok()).map(|data| data.len()).sum()
    };
    let sent = AtomicU64::new(0);
    let bytes_before = AtomicU64::new(0);
    let threads_ready = AtomicU64::new(0);
    let threads = 32.min(nodes);
    let mut response_times: Vec<Duration> = std::thread::scope(|scope| {
        let start_thread = |thread: u64| {
            let (sent, bytes_before, threads_ready) = (&sent, &bytes_before, &threads_ready);
            let (post, node_request, leader_folder_bytes) = (&post, &node_request, &leader_folder_bytes);
            scope.spawn(move || {
                let thread_nodes: Vec<u64> = (0..nodes).filter(|node| node % threads == thread).collect();
                let mut incarnations = Vec::new();
                for node in &thread_nodes {
                    let join_request = node_request(*node, 0, node + 1, Vec::new());
                    if let Ok(NodeResponse::Accepted(update)) = post(&join_request) {
                        incarnations.push((*node, update.incarnation));
                    }
                }
                // The measured requests begin after all nodes have joined.
                if threads_ready.fetch_add(1, Ordering::SeqCst) + 1 == threads {
                    bytes_before.store(leader_folder_bytes(), Ordering::SeqCst);
                }
                while threads_ready.load(Ordering::SeqCst) < threads {
                    std::thread::sleep(Duration::from_millis(1));
                }
                let mut response_times = Vec::new();
                for round in 1..=5 {
                    let start = Wall::now();
                    for (node, incarnation) in &incarnations {
                        let report = BudgetReport {
                            budget: "calls".into(),
                            lease_version: 0,
                            in_use: 0,
                            demand_milliunits: 1000,
                            max_in_flight_us: 1_200_000,
                        };
                        let request_start = Wall::now();
                        if post(&node_request(*node, *incarnation, round, vec![report])).is_ok() {
                            sent.fetch_add(1, Ordering::Relaxed);
                            response_times.push(request_start.elapsed());
                        }
                    }
                    std::thread::sleep(Duration::from_secs(1).saturating_sub(start.elapsed()));
                }
                response_times
            })
        };
        let threads: Vec<_> = (0..threads).map(start_thread).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    });
    let sent = sent.load(Ordering::Relaxed);
    let log_bytes = leader_folder_bytes().saturating_sub(bytes_before.load(Ordering::SeqCst)) / sent.max(1);
    response_times.sort_unstable();
    let quantile_ms = |quantile: f64| {
        response_times
            .get((response_times.len() as f64 * quantile) as usize)
            .map_or(0.0, |time| time.as_secs_f64() * 1000.0)
    };
    drop(processes);
    Ok(format!(
        "| {nodes} | {} | {:.1} | {:.1} | {log_bytes} |\n",
        sent / 5,
        quantile_ms(0.5),
        quantile_ms(0.99)
    ))
}
