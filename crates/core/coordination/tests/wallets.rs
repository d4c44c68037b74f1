//! Wallets. Each test covers one kind of failure, such as a repeated report, a vanished node or an invalid request.
//!
//! A reservation lasts 1 s and a request takes at most 500 ms, so a reservation expires after 1500 ms. Units stay in
//! doubt for 2 s at most.

mod support;

use lynxtally::Pcg;
use lynxtally_coordination::wallets::WalletBalances;
use lynxtally_messages::*;
use std::collections::BTreeMap;
use support::{terms, Log};

/// A log with the wallet `acme` that holds the given units.
fn log_with_wallet(units: u64, in_doubt_policy: InDoubtPolicy) -> Log {
    let mut log = Log::new(terms(1));
    let prices = BTreeMap::from([("a".to_owned(), 1), ("b".to_owned(), 5)]);
    let terms = WalletTerms {
        prices,
        reservation_duration_us: 1_000_000,
        max_clock_drift_ppm: 0,
        pause_margin_us: 0,
        in_doubt_timeout_us: 2_000_000,
        in_doubt_policy,
    };
    log.admin("wallet", AdminAction::SetWallet { name: "acme".into(), terms });
    log.admin("bought", AdminAction::TopUp { wallet: "acme".into(), units });
    log
}

/// The balances of the wallet. Also checks that they add up.
fn balances(log: &Log) -> WalletBalances {
    let balances = log.state.wallet_balances("acme").expect("the wallet should exist");
    assert!(balances.add_up(), "{balances:?}");
    balances
}

fn wallet_report(account: u64, spent: u64, returned: u64, demand: u64) -> WalletReport {
    WalletReport { wallet: "acme".into(), account, spent, returned, demand, max_in_flight_us: 500_000 }
}

/// Reports on the wallet and returns the renewed reservation. Panics if the request is rejected.
fn renew(log: &mut Log, name: &str, incarnation: u64, sequence: u64, report: WalletReport) -> Reservation {
    match log.report_wallet(name, incarnation, sequence, report, false) {
        NodeResponse::Accepted(update) => update.reservations[0].clone(),
        NodeResponse::Rejected(rejection) => panic!("the request was rejected: {rejection:?}"),
    }
}

#[test]
fn a_charge_counts_once_however_often_it_is_reported() {
    let mut log = log_with_wallet(1000, InDoubtPolicy::Return);
    let a = log.join("a", 7);
    let reservation = renew(&mut log, "a", a, 1, wallet_report(0, 0, 0, 50));
    assert_eq!((reservation.granted, balances(&log).reserved), (50, 50));
    for _ in 0..3 {
        renew(&mut log, "a", a, 2, wallet_report(reservation.account, 20, 0, 50));
    }
    // In a new request, the same count charges nothing more, and neither does a lower count.
    renew(&mut log, "a", a, 3, wallet_report(reservation.account, 20, 0, 50));
    renew(&mut log, "a", a, 4, wallet_report(reservation.account, 5, 0, 50));
    assert_eq!(balances(&log).charged, 20);
    // A node can't charge more than it was granted.
    let all = renew(&mut log, "a", a, 5, wallet_report(reservation.account, 1 << 40, 0, 0)).granted;
    assert_eq!(balances(&log).charged, all);
}

#[test]
fn a_vanished_nodes_reservation_is_in_doubt_until_the_node_reports_again() {
    let mut log = log_with_wallet(1000, InDoubtPolicy::Return);
    let a = log.join("a", 7);
    let reservation = renew(&mut log, "a", a, 1, wallet_report(0, 0, 0, 50));
    log.clock_ms += 1500;
    log.tick();
    assert_eq!((balances(&log).reserved, balances(&log).in_doubt), (0, 50));
    let renewed = renew(&mut log, "a", a, 2, wallet_report(reservation.account, 30, 20, 0));
    assert_eq!(
        (renewed.account, balances(&log).in_doubt, balances(&log).charged),
        (reservation.account, 0, 30)
    );
    assert_eq!(balances(&log).balance, 970);
}

#[test]
fn the_policy_decides_about_units_that_stay_in_doubt_and_a_late_report_is_counted_separately() {
    for (policy, balance, charged) in [(InDoubtPolicy::Return, 1000, 0), (InDoubtPolicy::Charge, 950, 50)] {
        let mut log = log_with_wallet(1000, policy);
        let a = log.join("a", 7);
        let reservation = renew(&mut log, "a", a, 1, wallet_report(0, 0, 0, 50));
        log.clock_ms += 1500;
        log.tick();
        log.clock_ms += 2000;
        log.tick();
        let settled = balances(&log);
        assert_eq!((settled.balance, settled.charged, settled.in_doubt), (balance, charged, 0));
        assert_eq!(settled.charged_by_policy, charged);
        let new = renew(&mut log, "a", a, 2, wallet_report(reservation.account, 30, 0, 0));
        assert_ne!(new.account, reservation.account, "a settled account is replaced by a new one");
        assert_eq!((balances(&log).reported_late, balances(&log).charged), (30, charged));
    }
}

#[test]
fn the_last_units_are_spread_over_nodes_and_idle_units_are_returned() {
    let mut log = log_with_wallet(10, InDoubtPolicy::Return);
    let incarnations: Vec<u64> = (0..4).map(|n| log.join(&format!("n{n}"), 7)).collect();
    let mut reservations: Vec<Reservation> = Vec::new();
    for (n, incarnation) in incarnations.iter().enumerate() {
        reservations.push(renew(&mut log, &format!("n{n}"), *incarnation, 1, wallet_report(0, 0, 0, 100)));
    }
    assert_eq!(balances(&log).balance, 0);
    assert!(
        reservations.iter().filter(|reservation| reservation.granted > 0).count() >= 2,
        "the first node must not get all units: {reservations:?}"
    );
    // Node 0 no longer has any demand, so it may retain nothing. It returns its units, and node 3 gets them.
    let idle = renew(&mut log, "n0", incarnations[0], 2, wallet_report(reservations[0].account, 0, 0, 0));
    assert_eq!(idle.retain, 0);
    let returning = wallet_report(reservations[0].account, 0, idle.granted, 0);
    renew(&mut log, "n0", incarnations[0], 3, returning);
    let demanding = wallet_report(reservations[3].account, 0, 0, 100);
    let granted = renew(&mut log, "n3", incarnations[3], 2, demanding).granted;
    assert!(granted > reservations[3].granted, "{granted}");
}

#[test]
fn a_process_that_ends_its_session_returns_its_unspent_units_but_not_those_of_another_process() {
    let mut log = log_with_wallet(1000, InDoubtPolicy::Return);
    let a = log.join("a", 7);
    let reservation = renew(&mut log, "a", a, 1, wallet_report(0, 0, 0, 50));
    let successor = log.join("a", 8);
    renew(&mut log, "a", successor, 1, wallet_report(0, 0, 0, 10));
    log.report_wallet("a", successor, 2, wallet_report(reservation.account, 50, 0, 0), true);
    let after_end = balances(&log);
    assert_eq!(
        (after_end.charged, after_end.reserved),
        (0, 60),
        "the report names another process's account"
    );
    let b = log.join("b", 9);
    let reservation = renew(&mut log, "b", b, 1, wallet_report(0, 0, 0, 40));
    log.report_wallet("b", b, 2, wallet_report(reservation.account, 15, 0, 0), true);
    assert_eq!((balances(&log).charged, balances(&log).reserved), (15, 60));
}

#[test]
fn an_invalid_admin_request_is_rejected_with_the_reason_and_changes_nothing() {
    let mut log = log_with_wallet(100, InDoubtPolicy::Return);
    let rejection_reason = |response| match response {
        AdminResponse::Rejected(Rejection::Invalid { reason }) => reason,
        other => panic!("expected a rejection, got {other:?}"),
    };
    let unknown_wallet = log.admin("x", AdminAction::TopUp { wallet: "nobody".into(), units: 1 });
    assert!(rejection_reason(unknown_wallet).contains("`what.top_up.wallet` nobody"));
    let too_many = log.admin("y", AdminAction::Withdraw { wallet: "acme".into(), units: 101 });
    assert!(rejection_reason(too_many).contains("`what.correct.units` is 101; 100 at most"));
    assert!(matches!(
        log.admin("z", AdminAction::Withdraw { wallet: "acme".into(), units: 40 }),
        AdminResponse::Applied { .. }
    ));
    assert_eq!((balances(&log).bought, balances(&log).balance), (60, 60));
}

/// A process in [`every_unit_is_in_exactly_one_category_after_every_message`]. The last four fields are what the process
/// knows of its account.
struct Process {
    name: u64,
    incarnation: u64,
    last_sequence: u64,
    account: u64,
    granted: u64,
    spent: u64,
    returned: u64,
}

/// For random sequences of messages, the balances add up after every message, and the charged units never exceed the
/// bought ones.
#[test]
fn every_unit_is_in_exactly_one_category_after_every_message() {
    for seed in 0..200 {
        let mut rng = Pcg::new(seed);
        let mut random_below = |bound: u64| u64::from(rng.next_u32()) % bound;
        let units = 1 + random_below(300);
        let policy = if random_below(2) == 0 { InDoubtPolicy::Return } else { InDoubtPolicy::Charge };
        let mut log = log_with_wallet(units, policy);
        let mut processes: Vec<Process> = Vec::new();
        for step in 0..300 {
            log.clock_ms += random_below(500);
            match random_below(10) {
                0 => {
                    let name = random_below(5);
                    processes.push(Process {
                        name,
                        incarnation: log.join(&format!("n{name}"), step + 1),
                        last_sequence: 0,
                        account: 0,
                        granted: 0,
                        spent: 0,
                        returned: 0,
                    });
                }
                1 => log.tick(),
                2 => (log.term, log.clock_ms) = (log.term + 1, random_below(1_000_000)),
                3 => drop(log.admin(
                    &format!("{step}"),
                    AdminAction::TopUp { wallet: "acme".into(), units: 1 + random_below(50) },
                )),
                4 => drop(log.admin(
                    &format!("{step}"),
                    AdminAction::Withdraw { wallet: "acme".into(), units: 1 + random_below(50) },
                )),
                _ if !processes.is_empty() => {
                    let index = random_below(processes.len() as u64) as usize;
                    let Process { name, incarnation, last_sequence, account, granted, spent, returned } =
                        processes[index];
                    let spent = spent + random_below(granted - spent - returned + 1);
                    let returned = returned + random_below(granted - spent - returned + 1);
                    let report = wallet_report(account, spent, returned, random_below(60));
                    let ends_session = random_below(30) == 0;
                    let sequence = last_sequence + 1;
                    let response =
                        log.report_wallet(&format!("n{name}"), incarnation, sequence, report, ends_session);
                    if let NodeResponse::Accepted(update) = response {
                        let process = &mut processes[index];
                        process.last_sequence = sequence;
                        if let Some(reservation) = update.reservations.first() {
                            let is_same_account = reservation.account == account;
                            process.account = reservation.account;
                            process.granted = reservation.granted;
                            // The counts of a new account start at 0.
                            (process.spent, process.returned) =
                                if is_same_account { (spent, returned) } else { (0, 0) };
                        }
                    }
                }
                _ => {}
            }
            let current = balances(&log);
            assert!(current.charged <= current.bought, "seed {seed}: {current:?}");
        }
    }
}
