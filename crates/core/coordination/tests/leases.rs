//! Leases, members and the log: each test is about one thing that goes wrong.

mod support;

use lynxtally::Pcg;
use lynxtally_coordination::budgets::division::divide;
use lynxtally_coordination::*;
use lynxtally_messages::*;
use support::{report, terms, Leased, Log};

#[test]
fn what_a_silent_process_may_be_using_counts_until_its_span_and_its_tail_are_over() {
    let mut log = Log::new(terms(10));
    let (a, b) = (log.join("a", 7), log.join("b", 8));
    assert_eq!(log.renew("a", a, 1, report(0, 0, 10)).amount, 10);
    log.write(Command::Suspect { incarnation: a, suspected: true });
    log.clock_ms += 1499;
    assert_eq!(log.renew("b", b, 1, report(0, 0, 10)).amount, 0, "suspected is not gone");
    log.clock_ms += 1;
    assert_eq!(log.renew("b", b, 2, report(0, 0, 10)).amount, 10);
}

#[test]
fn a_smaller_grant_frees_the_rest_once_it_is_in_force_and_use_fits_it() {
    let mut log = Log::new(terms(10));
    let (a, b) = (log.join("a", 7), log.join("b", 8));
    let Leased { version: first, .. } = log.renew("a", a, 1, report(0, 0, 10));
    log.renew("b", b, 1, report(0, 0, 10));
    log.tick();
    let Leased { version: second, amount } = log.renew("a", a, 2, report(first, 10, 10));
    assert_eq!((amount, log.free()), (5, 0), "ten are in use still");
    // The grant is in force there, but what was begun before goes on.
    log.renew("a", a, 3, report(second, 7, 10));
    assert_eq!(log.free(), 0);
    let Leased { amount: last, .. } = log.renew("a", a, 4, report(second, 5, 10));
    assert_eq!((last, log.free()), (5, 5));
    assert_eq!(log.renew("b", b, 2, report(0, 0, 10)).amount, 5);
}

#[test]
fn one_that_says_it_is_over_frees_all_and_one_that_is_told_so_by_an_operator_too() {
    let mut log = Log::new(terms(10));
    let (a, b) = (log.join("a", 7), log.join("b", 8));
    log.renew("a", a, 1, report(0, 0, 6));
    log.renew("b", b, 1, report(0, 0, 4));
    log.report("a", a, 2, vec![], true);
    assert_eq!(log.free(), 6);
    assert!(matches!(
        log.admin("b is gone", AdminAction::EndIncarnation { incarnation: b }),
        AdminResponse::Applied { .. }
    ));
    assert_eq!(log.free(), 10);
    let again = log.admin("twice", AdminAction::EndIncarnation { incarnation: b });
    assert!(
        matches!(again, AdminResponse::Rejected(Rejection::Invalid { reason: why }) if why.contains("what.over.incarnation"))
    );
}

#[test]
fn a_successor_under_the_name_gets_only_what_the_one_before_surely_left() {
    let mut log = Log::new(terms(10));
    let a = log.join("a", 7);
    log.renew("a", a, 1, report(0, 0, 10));
    let next = log.join("a", 8);
    assert!(next > a, "no two processes share an incarnation");
    // Asking alone takes nobody's name: a late copy of it must not.
    assert_eq!(log.renew("a", a, 2, report(0, 10, 10)).amount, 10);
    assert_eq!(log.renew("a", next, 1, report(0, 0, 10)).amount, 0, "its calls may be in hand");
    let former = log.report("a", a, 3, vec![report(0, 10, 10)], false);
    assert_eq!(former, NodeResponse::Rejected(Rejection::Replaced));
    log.clock_ms += 1500;
    assert_eq!(log.renew("a", next, 2, report(0, 0, 10)).amount, 10);
}

#[test]
fn a_message_that_comes_again_has_the_same_reply_and_no_other_effect() {
    let mut log = Log::new(terms(10));
    assert_eq!(log.join("a", 7), log.join("a", 7));
    let a = log.join("a", 7);
    let once = log.renew("a", a, 1, report(0, 0, 3));
    log.clock_ms += 400;
    assert_eq!(log.renew("a", a, 1, report(0, 0, 3)), once);
    log.renew("a", a, 2, report(once.version, 3, 3));
    assert_eq!(
        log.report("a", a, 1, vec![report(0, 0, 3)], false),
        NodeResponse::Rejected(Rejection::OutOfOrder)
    );
    log.clock_ms += 1500;
    log.tick();
    assert_eq!(log.free(), 10, "the copies extended nothing");
}

#[test]
fn an_order_is_carried_out_once_and_one_too_old_to_be_known_is_refused() {
    let mut log = Log::new(terms(10));
    let order = |seen, whole| AdminRequest {
        key: IdempotencyKey { observed_index: seen, token: "w".into() },
        action: AdminAction::SetBudget { name: "calls".into(), terms: terms(whole) },
    };
    let Output::Admin(done) = log.write(Command::Admin(order(1, 20))) else { panic!("an outcome") };
    log.admin("other", AdminAction::SetBudget { name: "calls".into(), terms: terms(30) });
    assert_eq!(log.write(Command::Admin(order(1, 20))), Output::Admin(done), "nothing is done again");
    assert_eq!(log.free(), 30);
    for n in 0..5000 {
        log.admin(&format!("o{n}"), AdminAction::EndIncarnation { incarnation: 999_999 });
    }
    let Output::Admin(AdminResponse::Rejected(Rejection::Invalid { reason: why })) =
        log.write(Command::Admin(order(1, 20)))
    else {
        panic!("refused")
    };
    assert!(why.starts_with("`id.seen` is 1"), "{why}");
    assert_eq!(log.free(), 30);
}

#[test]
fn a_smaller_whole_comes_into_force_as_grants_end() {
    let mut log = Log::new(terms(10));
    let a = log.join("a", 7);
    let Leased { version, .. } = log.renew("a", a, 1, report(0, 0, 10));
    log.admin("less", AdminAction::SetBudget { name: "calls".into(), terms: terms(4) });
    assert!(!log.state.budget_status("calls").expect("a budget").capacity_in_force);
    let Leased { version, amount } = log.renew("a", a, 2, report(version, 10, 10));
    assert_eq!(amount, 4);
    log.renew("a", a, 3, report(version, 4, 10));
    assert!(log.state.budget_status("calls").expect("a budget").capacity_in_force);
}

#[test]
fn a_new_leaders_clock_extends_what_is_granted_and_never_cuts_it_short() {
    let mut log = Log::new(terms(10));
    let (a, b) = (log.join("a", 7), log.join("b", 8));
    log.renew("a", a, 1, report(0, 0, 10));
    // The next leader's clock stands hours ahead: nothing can be told from that.
    (log.term, log.clock_ms) = (2, 50_000_000);
    assert_eq!(log.renew("b", b, 1, report(0, 0, 10)).amount, 0);
    log.clock_ms += 1499;
    assert_eq!(log.renew("b", b, 2, report(0, 0, 10)).amount, 0);
    log.clock_ms += 1;
    assert_eq!(log.renew("b", b, 3, report(0, 0, 10)).amount, 10, "by now it lapsed");
}

#[test]
fn a_stamp_of_another_term_than_its_entry_is_not_applied() {
    let mut log = Log::new(terms(10));
    let a = log.join("a", 7);
    let say = NodeRequest {
        name: "a".into(),
        incarnation: a,
        sequence: 1,
        program_version: "1".into(),
        schema_versions: vec![],
        budgets: vec![report(0, 0, 5)],
        wallets: vec![],
        applied_document: None,
        ends_session: false,
    };
    let entry = TimestampedCommand {
        term: 1,
        leader_clock: lynxtally::Instant::from_micros(1),
        command: Command::Node(say),
    };
    let place = LogPosition { index: log.entries.len() as u64 + 1, term: 2 };
    assert_eq!(log.state.apply(place, &entry), Output::TermMismatch);
    assert_eq!(log.free(), 10);
}

#[test]
fn a_crowd_that_joins_has_a_first_share_at_once_from_what_is_kept_back() {
    let mut log = Log::new(BudgetTerms { newcomer_reserve_permille: 200, min_per_node: 1, ..terms(100) });
    let old: Vec<u64> = (0..4).map(|n| log.join(&format!("old{n}"), 7)).collect();
    let mut version_in_force = [0; 4];
    for round in 1..8 {
        for (n, at) in old.iter().enumerate() {
            version_in_force[n] =
                log.renew(&format!("old{n}"), *at, round, report(version_in_force[n], 0, 100)).version;
        }
        log.clock_ms += 300;
        log.tick();
    }
    assert_eq!(log.free(), 20, "the kept part is whole");
    for n in 0..20 {
        let new = log.join(&format!("new{n}"), 7);
        assert_eq!(log.renew(&format!("new{n}"), new, 1, report(0, 0, 1)).amount, 1);
    }
}

#[test]
fn units_that_do_not_go_round_go_round_in_turn() {
    let mut log = Log::new(terms(2));
    let all: Vec<u64> = (0..5).map(|n| log.join(&format!("n{n}"), 7)).collect();
    let mut had = [0; 5];
    let mut version_in_force = [0; 5];
    for round in 1..200 {
        for (n, at) in all.iter().enumerate() {
            let Leased { version, amount } =
                log.renew(&format!("n{n}"), *at, round, report(version_in_force[n], 0, 3));
            version_in_force[n] = version;
            had[n] += amount;
        }
        log.clock_ms += 250;
        log.tick();
    }
    let (least, most) = (had.iter().min().expect("five"), had.iter().max().expect("five"));
    assert!(*least * 10 > *most * 8, "{had:?}");
    assert!(had.iter().sum::<u64>() > 2 * 199 * 8 / 10, "{had:?}");
}

#[test]
fn keepers_that_differ_tell_and_equal_ones_are_equal_octet_for_octet() {
    let mut log = Log::new(terms(10));
    let a = log.join("a", 7);
    log.renew("a", a, 1, report(0, 0, 10));
    let mut other = CoordinationState::default();
    log.entries.iter().for_each(|(place, entry)| drop(other.apply(*place, entry)));
    assert_eq!(other.snapshot(), log.state.snapshot());
    let restored = CoordinationState::restore(&other.snapshot()).expect("whole");
    assert_eq!(restored.snapshot(), other.snapshot());
    // One of them lost an entry.
    let mut lost = CoordinationState::default();
    log.entries.iter().skip(1).for_each(|(place, entry)| drop(lost.apply(*place, entry)));
    let Output::Checkpoint(Checkpoint { index: number, digest }) = log.write(Command::TakeCheckpoint) else {
        panic!("a checkpoint")
    };
    log.write(Command::CompareCheckpoint { index: number, digest });
    let last = &log.entries[log.entries.len() - 2..];
    let answers = |register: &mut CoordinationState| {
        last.iter().map(|(place, entry)| register.apply(*place, entry)).collect::<Vec<_>>()
    };
    assert_eq!(answers(&mut other)[1], Output::None);
    assert!(matches!(answers(&mut lost)[1], Output::Diverged { index: at, .. } if at == number));
}

#[test]
fn a_snapshot_that_was_changed_is_not_used() {
    let mut log = Log::new(terms(10));
    log.join("a", 7);
    let text = String::from_utf8(log.state.snapshot()).expect("JSON");
    let changed = text.replace("\"whole\":10", "\"whole\":11");
    assert_ne!(text, changed);
    assert!(matches!(
        CoordinationState::restore(changed.as_bytes()),
        Err(SnapshotError::DigestMismatch { .. })
    ));
    let newer = text.replacen("\"v\":1", "\"v\":2", 1);
    assert_eq!(CoordinationState::restore(newer.as_bytes()), Err(SnapshotError::UnknownVersion(2)));
}

/// Whatever is said in whatever order, the sum of what is counted stays under the whole, each grant is counted, and a
/// replica is equal.
#[test]
fn no_order_of_messages_gives_out_more_than_the_whole() {
    for seed in 0..300 {
        let mut chance = Pcg::new(seed);
        let mut upto = |most: u64| u64::from(chance.next_u32()) % most;
        let whole = 1 + upto(30);
        let mut log = Log::new(BudgetTerms {
            min_per_node: upto(3),
            newcomer_reserve_permille: upto(500),
            ..terms(whole)
        });
        let mut processes: Vec<(u64, u64, u64, u64)> = Vec::new();
        for step in 0..300 {
            log.clock_ms += upto(400);
            match upto(12) {
                0 => {
                    let name = upto(6);
                    let at = log.join(&format!("n{name}"), step + 1);
                    processes.push((name, at, 0, 0));
                }
                1 => log.tick(),
                2 => (log.term, log.clock_ms) = (log.term + 1, upto(1_000_000)),
                3 if !processes.is_empty() => {
                    let at = upto(processes.len() as u64) as usize;
                    log.write(Command::Suspect { incarnation: processes[at].1, suspected: upto(2) == 0 });
                }
                _ if !processes.is_empty() => {
                    let at = upto(processes.len() as u64) as usize;
                    let (name, incarnation, number, version_in_force) = processes[at];
                    let in_use = upto(whole + 1);
                    let reports = vec![report(version_in_force, in_use, upto(40))];
                    let reply =
                        log.report(&format!("n{name}"), incarnation, number + 1, reports, upto(40) == 0);
                    if let NodeResponse::Accepted(granted) = reply {
                        processes[at].2 += 1;
                        if let Some(lease) = granted.leases.first() {
                            assert!(log.state.outstanding("calls", incarnation) >= lease.amount);
                            processes[at].3 = if upto(2) == 0 { lease.version } else { version_in_force };
                        }
                    }
                }
                _ => {}
            }
            let division = log.state.budget_status("calls").expect("a budget");
            assert!(division.outstanding <= whole, "seed {seed}: {division:?}");
            let sum: u64 = processes.iter().map(|process| log.state.outstanding("calls", process.1)).sum();
            assert_eq!(sum, division.outstanding, "seed {seed}");
        }
        let mut other = CoordinationState::default();
        log.entries.iter().for_each(|(place, entry)| drop(other.apply(*place, entry)));
        assert_eq!(other.digest(), log.state.digest());
    }
}

#[test]
fn division_is_max_min_fair_and_spreads_what_is_left_by_square_roots() {
    assert_eq!(divide(10, &[2000, 8000, 10_000]), [2000, 4000, 4000]);
    assert_eq!(divide(2, &[1000, 1000, 1000]), [666, 666, 666]);
    assert_eq!(divide(14, &[1000, 4000]), [4000, 10_000], "three units over, for roots of one and two");
    assert_eq!(divide(100, &[1000, 4000]), [4000, 10_000], "three times the root at most");
    for seed in 0..200 {
        let mut chance = Pcg::new(seed);
        let needs: Vec<u64> =
            (0..chance.next_u32() % 40).map(|_| u64::from(chance.next_u32() % 50_000)).collect();
        let whole = u64::from(chance.next_u32() % 500);
        let wants = divide(whole, &needs);
        assert!(wants.iter().sum::<u64>() <= whole * 1000);
        let lacks = needs.iter().zip(&wants).any(|(need, want)| want < need);
        let most = wants.iter().max().copied().unwrap_or(0);
        let fair = needs.iter().zip(&wants).all(|(need, want)| want >= need || *want == most);
        assert!(!lacks || fair, "who lacks has as much as anybody");
        assert!(!lacks || wants.iter().sum::<u64>() + needs.len() as u64 > whole * 1000, "and all is given");
    }
}
