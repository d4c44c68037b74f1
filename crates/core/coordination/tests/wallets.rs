//! Wallets: each test is about one thing that goes wrong.

mod support;

use lynxtally::Pcg;
use lynxtally_coordination::wallets::WalletBalances;
use lynxtally_messages::*;
use std::collections::BTreeMap;
use support::{terms, Log};

fn set_up(units: u64, doubt: InDoubtPolicy) -> Log {
    let mut log = Log::new(terms(1));
    let prices = BTreeMap::from([("a".to_owned(), 1), ("b".to_owned(), 5)]);
    let own = WalletTerms {
        prices,
        reservation_duration_us: 1_000_000,
        max_clock_drift_ppm: 0,
        pause_margin_us: 0,
        in_doubt_timeout_us: 2_000_000,
        in_doubt_policy: doubt,
    };
    log.admin("wallet", AdminAction::SetWallet { name: "acme".into(), terms: own });
    log.admin("bought", AdminAction::TopUp { wallet: "acme".into(), units });
    log
}

fn books(log: &Log) -> WalletBalances {
    let books = log.state.wallet_balances("acme").expect("a wallet");
    assert!(books.add_up(), "{books:?}");
    books
}

fn wallet_report(account: u64, spent: u64, returned: u64, want: u64) -> WalletReport {
    WalletReport { wallet: "acme".into(), account, spent, returned, demand: want, max_in_flight_us: 500_000 }
}

fn renew(log: &mut Log, name: &str, incarnation: u64, number: u64, report: WalletReport) -> Reservation {
    match log.report_wallet(name, incarnation, number, report, false) {
        NodeResponse::Accepted(granted) => granted.reservations[0].clone(),
        NodeResponse::Rejected(refusal) => panic!("{refusal:?}"),
    }
}

#[test]
fn what_is_charged_is_charged_once_however_often_it_is_told() {
    let mut log = set_up(1000, InDoubtPolicy::Return);
    let a = log.join("a", 7);
    let own = renew(&mut log, "a", a, 1, wallet_report(0, 0, 0, 50));
    assert_eq!((own.granted, books(&log).reserved), (50, 50));
    for _ in 0..3 {
        renew(&mut log, "a", a, 2, wallet_report(own.account, 20, 0, 50));
    }
    // The same count under a new number books nothing more, and a lower one neither.
    renew(&mut log, "a", a, 3, wallet_report(own.account, 20, 0, 50));
    renew(&mut log, "a", a, 4, wallet_report(own.account, 5, 0, 50));
    assert_eq!(books(&log).charged, 20);
    // More than it was given can't be charged.
    let all = renew(&mut log, "a", a, 5, wallet_report(own.account, 1 << 40, 0, 0)).granted;
    assert_eq!(books(&log).charged, all);
}

#[test]
fn a_vanished_nodes_reservation_is_in_doubt_and_its_return_settles_it() {
    let mut log = set_up(1000, InDoubtPolicy::Return);
    let a = log.join("a", 7);
    let own = renew(&mut log, "a", a, 1, wallet_report(0, 0, 0, 50));
    log.clock_ms += 1500;
    log.tick();
    assert_eq!((books(&log).reserved, books(&log).in_doubt), (0, 50));
    let back = renew(&mut log, "a", a, 2, wallet_report(own.account, 30, 20, 0));
    assert_eq!((back.account, books(&log).in_doubt, books(&log).charged), (own.account, 0, 30));
    assert_eq!(books(&log).balance, 970);
}

#[test]
fn doubt_that_nobody_settles_goes_as_the_terms_say_and_what_is_told_late_is_counted_apart() {
    for (doubt, balance, charged) in [(InDoubtPolicy::Return, 1000, 0), (InDoubtPolicy::Charge, 950, 50)] {
        let mut log = set_up(1000, doubt);
        let a = log.join("a", 7);
        let own = renew(&mut log, "a", a, 1, wallet_report(0, 0, 0, 50));
        log.clock_ms += 1500;
        log.tick();
        log.clock_ms += 2000;
        log.tick();
        let settled = books(&log);
        assert_eq!((settled.balance, settled.charged, settled.in_doubt), (balance, charged, 0));
        assert_eq!(settled.charged_by_policy, charged);
        let new = renew(&mut log, "a", a, 2, wallet_report(own.account, 30, 0, 0));
        assert_ne!(new.account, own.account, "what it had is not its any more");
        assert_eq!((books(&log).reported_late, books(&log).charged), (30, charged));
    }
}

#[test]
fn the_last_units_go_round_and_idle_ones_are_called_back() {
    let mut log = set_up(10, InDoubtPolicy::Return);
    let all: Vec<u64> = (0..4).map(|n| log.join(&format!("n{n}"), 7)).collect();
    let mut own: Vec<Reservation> = Vec::new();
    for (n, at) in all.iter().enumerate() {
        own.push(renew(&mut log, &format!("n{n}"), *at, 1, wallet_report(0, 0, 0, 100)));
    }
    assert_eq!(books(&log).balance, 0);
    assert!(own.iter().filter(|own| own.granted > 0).count() >= 2, "not all to the first: {own:?}");
    // The first wants nothing any more: it may keep nothing, gives back, and another gets it.
    let idle = renew(&mut log, "n0", all[0], 2, wallet_report(own[0].account, 0, 0, 0));
    assert_eq!(idle.retain, 0);
    renew(&mut log, "n0", all[0], 3, wallet_report(own[0].account, 0, idle.granted, 0));
    let given = renew(&mut log, "n3", all[3], 2, wallet_report(own[3].account, 0, 0, 100)).granted;
    assert!(given > own[3].granted, "{given}");
}

#[test]
fn a_process_that_is_over_leaves_what_it_did_not_charge_and_a_replaced_one_gets_no_more() {
    let mut log = set_up(1000, InDoubtPolicy::Return);
    let a = log.join("a", 7);
    let own = renew(&mut log, "a", a, 1, wallet_report(0, 0, 0, 50));
    let next = log.join("a", 8);
    renew(&mut log, "a", next, 1, wallet_report(0, 0, 0, 10));
    log.report_wallet("a", next, 2, wallet_report(own.account, 50, 0, 0), true);
    let left = books(&log);
    assert_eq!((left.charged, left.reserved), (0, 60), "another's account is not closed by it");
    let b = log.join("b", 9);
    let own = renew(&mut log, "b", b, 1, wallet_report(0, 0, 0, 40));
    log.report_wallet("b", b, 2, wallet_report(own.account, 15, 0, 0), true);
    assert_eq!((books(&log).charged, books(&log).reserved), (15, 60));
}

#[test]
fn what_cannot_be_ordered_says_why_and_changes_nothing() {
    let mut log = set_up(100, InDoubtPolicy::Return);
    let why = |outcome| match outcome {
        AdminResponse::Rejected(Rejection::Invalid { reason: why }) => why,
        other => panic!("{other:?}"),
    };
    let none = log.admin("x", AdminAction::TopUp { wallet: "nobody".into(), units: 1 });
    assert!(why(none).contains("`what.top_up.wallet` nobody"));
    let more = log.admin("y", AdminAction::Withdraw { wallet: "acme".into(), units: 101 });
    assert!(why(more).contains("`what.correct.units` is 101; 100 at most"));
    assert!(matches!(
        log.admin("z", AdminAction::Withdraw { wallet: "acme".into(), units: 40 }),
        AdminResponse::Applied { .. }
    ));
    assert_eq!((books(&log).bought, books(&log).balance), (60, 60));
}

/// Whatever is said in whatever order: the books add up at every number, and nothing passes what was bought.
#[test]
fn every_unit_is_in_exactly_one_place_at_every_number() {
    for seed in 0..200 {
        let mut chance = Pcg::new(seed);
        let mut upto = |most: u64| u64::from(chance.next_u32()) % most;
        let mut log =
            set_up(1 + upto(300), if upto(2) == 0 { InDoubtPolicy::Return } else { InDoubtPolicy::Charge });
        // Name, incarnation, message number, and the account: its number, given, spent, returned.
        let mut processes: Vec<(u64, u64, u64, [u64; 4])> = Vec::new();
        for step in 0..300 {
            log.clock_ms += upto(500);
            match upto(10) {
                0 => {
                    let name = upto(5);
                    processes.push((name, log.join(&format!("n{name}"), step + 1), 0, [0; 4]));
                }
                1 => log.tick(),
                2 => (log.term, log.clock_ms) = (log.term + 1, upto(1_000_000)),
                3 => drop(log.admin(
                    &format!("{step}"),
                    AdminAction::TopUp { wallet: "acme".into(), units: 1 + upto(50) },
                )),
                4 => drop(log.admin(
                    &format!("{step}"),
                    AdminAction::Withdraw { wallet: "acme".into(), units: 1 + upto(50) },
                )),
                _ if !processes.is_empty() => {
                    let at = upto(processes.len() as u64) as usize;
                    let (name, incarnation, number, [account, given, spent, returned]) = processes[at];
                    let spent = spent + upto(given - spent - returned + 1);
                    let returned = returned + upto(given - spent - returned + 1);
                    let said = wallet_report(account, spent, returned, upto(60));
                    let reply =
                        log.report_wallet(&format!("n{name}"), incarnation, number + 1, said, upto(30) == 0);
                    if let NodeResponse::Accepted(granted) = reply {
                        processes[at].2 += 1;
                        if let Some(own) = granted.reservations.first() {
                            let same = own.account == account;
                            let counts = if same { [spent, returned] } else { [0, 0] };
                            processes[at].3 = [own.account, own.granted, counts[0], counts[1]];
                        }
                    }
                }
                _ => {}
            }
            let books = books(&log);
            assert!(books.charged <= books.bought, "seed {seed}: {books:?}");
        }
    }
}
