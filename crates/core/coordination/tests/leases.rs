//! Leases, membership and the replicated log. Each test covers one kind of failure, such as a silent node, a duplicated
//! message or a change of leader.
//!
//! Unless a test sets other terms, a lease lasts 1 s and a call takes at most 500 ms, so a lease expires after 1500 ms.

mod support;

use lynxtally::Pcg;
use lynxtally_coordination::budgets::division::divide;
use lynxtally_coordination::*;
use lynxtally_messages::*;
use support::{report, terms, GrantedLease, Log};

#[test]
fn units_of_a_silent_process_are_free_only_after_the_lease_duration_and_the_longest_time_in_flight() {
    let mut log = Log::new(terms(10));
    let (a, b) = (log.join("a", 7), log.join("b", 8));
    assert_eq!(log.renew("a", a, 1, report(0, 0, 10)).amount, 10);
    log.write(Command::Suspect { incarnation: a, suspected: true });
    log.clock_ms += 1499;
    assert_eq!(log.renew("b", b, 1, report(0, 0, 10)).amount, 0, "a suspected holder keeps its lease");
    log.clock_ms += 1;
    assert_eq!(log.renew("b", b, 2, report(0, 0, 10)).amount, 10);
}

#[test]
fn a_smaller_lease_frees_units_once_it_is_in_force_and_the_units_in_use_fit_it() {
    let mut log = Log::new(terms(10));
    let (a, b) = (log.join("a", 7), log.join("b", 8));
    let GrantedLease { version: first, .. } = log.renew("a", a, 1, report(0, 0, 10));
    log.renew("b", b, 1, report(0, 0, 10));
    log.tick();
    let GrantedLease { version: second, amount } = log.renew("a", a, 2, report(first, 10, 10));
    assert_eq!((amount, log.free()), (5, 0), "ten units are still in use");
    // The smaller lease is in force, but calls that were started under the first one still run.
    log.renew("a", a, 3, report(second, 7, 10));
    assert_eq!(log.free(), 0);
    let GrantedLease { amount: last, .. } = log.renew("a", a, 4, report(second, 5, 10));
    assert_eq!((last, log.free()), (5, 5));
    assert_eq!(log.renew("b", b, 2, report(0, 0, 10)).amount, 5);
}

#[test]
fn ending_a_session_or_an_incarnation_frees_all_units() {
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
    let repeated = log.admin("twice", AdminAction::EndIncarnation { incarnation: b });
    let AdminResponse::Rejected(Rejection::Invalid { reason }) = repeated else {
        panic!("the request should be rejected")
    };
    assert!(reason.contains("what.over.incarnation"), "{reason}");
}

#[test]
fn a_process_that_takes_a_name_gets_no_units_until_the_replaced_process_can_no_longer_use_them() {
    let mut log = Log::new(terms(10));
    let a = log.join("a", 7);
    log.renew("a", a, 1, report(0, 0, 10));
    let successor = log.join("a", 8);
    assert!(successor > a, "no two processes share an incarnation");
    // A join request alone must not take the name, because it may be a late copy.
    assert_eq!(log.renew("a", a, 2, report(0, 10, 10)).amount, 10);
    let first_lease = log.renew("a", successor, 1, report(0, 0, 10));
    assert_eq!(first_lease.amount, 0, "calls of the replaced process may still run");
    let replaced = log.report("a", a, 3, vec![report(0, 10, 10)], false);
    assert_eq!(replaced, NodeResponse::Rejected(Rejection::Replaced));
    log.clock_ms += 1500;
    assert_eq!(log.renew("a", successor, 2, report(0, 0, 10)).amount, 10);
}

#[test]
fn a_duplicate_message_gets_the_same_response_and_has_no_other_effect() {
    let mut log = Log::new(terms(10));
    assert_eq!(log.join("a", 7), log.join("a", 7));
    let a = log.join("a", 7);
    let lease = log.renew("a", a, 1, report(0, 0, 3));
    log.clock_ms += 400;
    assert_eq!(log.renew("a", a, 1, report(0, 0, 3)), lease);
    log.renew("a", a, 2, report(lease.version, 3, 3));
    assert_eq!(
        log.report("a", a, 1, vec![report(0, 0, 3)], false),
        NodeResponse::Rejected(Rejection::OutOfOrder)
    );
    log.clock_ms += 1500;
    log.tick();
    assert_eq!(log.free(), 10, "the duplicates extended no lease");
}

#[test]
fn an_admin_request_is_applied_once_and_rejected_once_its_record_may_have_been_evicted() {
    let mut log = Log::new(terms(10));
    let set_capacity = |observed_index, capacity| AdminRequest {
        key: IdempotencyKey { observed_index, token: "w".into() },
        action: AdminAction::SetBudget { name: "calls".into(), terms: terms(capacity) },
    };
    let Output::Admin(response) = log.write(Command::Admin(set_capacity(1, 20))) else {
        panic!("expected a response to an operator")
    };
    log.admin("other", AdminAction::SetBudget { name: "calls".into(), terms: terms(30) });
    assert_eq!(
        log.write(Command::Admin(set_capacity(1, 20))),
        Output::Admin(response),
        "the duplicate gets the recorded response"
    );
    assert_eq!(log.free(), 30);
    for n in 0..5000 {
        log.admin(&format!("o{n}"), AdminAction::EndIncarnation { incarnation: 999_999 });
    }
    let Output::Admin(AdminResponse::Rejected(Rejection::Invalid { reason })) =
        log.write(Command::Admin(set_capacity(1, 20)))
    else {
        panic!("the request should be rejected")
    };
    assert!(reason.starts_with("`id.seen` is 1"), "{reason}");
    assert_eq!(log.free(), 30);
}

/// Guards against an operator who is told that a change was applied, although it was another change with the same key. The
/// record of recent requests holds no action to compare with; adding one changes the replicated state.
#[test]
fn an_admin_request_with_a_recorded_key_and_another_action_is_not_reported_as_applied() {
    let mut log = Log::new(terms(10));
    let set_capacity = |capacity| AdminRequest {
        key: IdempotencyKey { observed_index: 1, token: "w".into() },
        action: AdminAction::SetBudget { name: "calls".into(), terms: terms(capacity) },
    };
    log.write(Command::Admin(set_capacity(20)));
    let output = log.write(Command::Admin(set_capacity(30)));
    assert_eq!(log.free(), 20, "the first request keeps the key");
    assert!(matches!(output, Output::Admin(AdminResponse::Rejected(_))), "{output:?}");
}

#[test]
fn a_reduced_capacity_comes_into_force_as_leases_end() {
    let mut log = Log::new(terms(10));
    let a = log.join("a", 7);
    let GrantedLease { version, .. } = log.renew("a", a, 1, report(0, 0, 10));
    log.admin("less", AdminAction::SetBudget { name: "calls".into(), terms: terms(4) });
    assert!(!log.state.budget_status("calls").expect("the budget should exist").capacity_in_force);
    let GrantedLease { version, amount } = log.renew("a", a, 2, report(version, 10, 10));
    assert_eq!(amount, 4);
    log.renew("a", a, 3, report(version, 4, 10));
    assert!(log.state.budget_status("calls").expect("the budget should exist").capacity_in_force);
}

#[test]
fn a_change_of_leader_extends_leases_and_never_shortens_them() {
    let mut log = Log::new(terms(10));
    let (a, b) = (log.join("a", 7), log.join("b", 8));
    log.renew("a", a, 1, report(0, 0, 10));
    // The new leader's clock is hours ahead. The clocks of two leaders can't be compared, so no lease may expire by it.
    (log.term, log.clock_ms) = (2, 50_000_000);
    assert_eq!(log.renew("b", b, 1, report(0, 0, 10)).amount, 0);
    log.clock_ms += 1499;
    assert_eq!(log.renew("b", b, 2, report(0, 0, 10)).amount, 0);
    log.clock_ms += 1;
    assert_eq!(log.renew("b", b, 3, report(0, 0, 10)).amount, 10, "the lease has expired in the new term");
}

#[test]
fn a_command_whose_timestamp_has_another_term_than_its_entry_is_not_applied() {
    let mut log = Log::new(terms(10));
    let a = log.join("a", 7);
    let request = NodeRequest {
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
        command: Command::Node(request),
    };
    let position = LogPosition { index: log.entries.len() as u64 + 1, term: 2 };
    assert_eq!(log.state.apply(position, &entry), Output::TermMismatch);
    assert_eq!(log.free(), 10);
}

#[test]
fn many_nodes_that_join_together_get_first_leases_immediately_from_the_newcomer_reserve() {
    let mut log = Log::new(BudgetTerms { newcomer_reserve_permille: 200, min_per_node: 1, ..terms(100) });
    let incarnations: Vec<u64> = (0..4).map(|n| log.join(&format!("old{n}"), 7)).collect();
    let mut version_in_force = [0; 4];
    for round in 1..8 {
        for (n, incarnation) in incarnations.iter().enumerate() {
            let report = report(version_in_force[n], 0, 100);
            version_in_force[n] = log.renew(&format!("old{n}"), *incarnation, round, report).version;
        }
        log.clock_ms += 300;
        log.tick();
    }
    assert_eq!(log.free(), 20, "the reserve is untouched");
    for n in 0..20 {
        let newcomer = log.join(&format!("new{n}"), 7);
        assert_eq!(log.renew(&format!("new{n}"), newcomer, 1, report(0, 0, 1)).amount, 1);
    }
}

#[test]
fn when_there_are_fewer_units_than_nodes_each_node_gets_one_in_turn() {
    let mut log = Log::new(terms(2));
    let incarnations: Vec<u64> = (0..5).map(|n| log.join(&format!("n{n}"), 7)).collect();
    let mut granted = [0; 5];
    let mut version_in_force = [0; 5];
    for round in 1..200 {
        for (n, incarnation) in incarnations.iter().enumerate() {
            let GrantedLease { version, amount } =
                log.renew(&format!("n{n}"), *incarnation, round, report(version_in_force[n], 0, 3));
            version_in_force[n] = version;
            granted[n] += amount;
        }
        log.clock_ms += 250;
        log.tick();
    }
    let least = granted.iter().min().expect("there are five nodes");
    let most = granted.iter().max().expect("there are five nodes");
    assert!(*least * 10 > *most * 8, "{granted:?}");
    assert!(granted.iter().sum::<u64>() > 2 * 199 * 8 / 10, "{granted:?}");
}

#[test]
fn replicas_of_the_same_log_are_equal_byte_for_byte_and_a_diverged_one_is_detected() {
    let mut log = Log::new(terms(10));
    let a = log.join("a", 7);
    log.renew("a", a, 1, report(0, 0, 10));
    let mut replica = CoordinationState::default();
    log.entries.iter().for_each(|(position, entry)| drop(replica.apply(*position, entry)));
    assert_eq!(replica.snapshot(), log.state.snapshot());
    let restored = CoordinationState::restore(&replica.snapshot()).expect("the snapshot should be valid");
    assert_eq!(restored.snapshot(), replica.snapshot());
    // This replica lost the first entry.
    let mut diverged = CoordinationState::default();
    log.entries.iter().skip(1).for_each(|(position, entry)| drop(diverged.apply(*position, entry)));
    let Output::Checkpoint(Checkpoint { index, digest }) = log.write(Command::TakeCheckpoint) else {
        panic!("expected a checkpoint")
    };
    log.write(Command::CompareCheckpoint { index, digest });
    let checkpoint_entries = &log.entries[log.entries.len() - 2..];
    let outputs = |state: &mut CoordinationState| {
        checkpoint_entries.iter().map(|(position, entry)| state.apply(*position, entry)).collect::<Vec<_>>()
    };
    assert_eq!(outputs(&mut replica)[1], Output::None);
    assert!(matches!(outputs(&mut diverged)[1], Output::Diverged { index: at, .. } if at == index));
}

#[test]
fn a_snapshot_that_was_changed_or_has_another_version_is_not_restored() {
    let mut log = Log::new(terms(10));
    log.join("a", 7);
    let text = String::from_utf8(log.state.snapshot()).expect("a snapshot should be UTF-8");
    let changed = text.replace("\"whole\":10", "\"whole\":11");
    assert_ne!(text, changed);
    assert!(matches!(
        CoordinationState::restore(changed.as_bytes()),
        Err(SnapshotError::DigestMismatch { .. })
    ));
    let newer = text.replacen("\"v\":1", "\"v\":2", 1);
    assert_eq!(CoordinationState::restore(newer.as_bytes()), Err(SnapshotError::UnknownVersion(2)));
}

/// A process in [`no_sequence_of_messages_leases_more_than_the_capacity`].
struct Process {
    name: u64,
    incarnation: u64,
    last_sequence: u64,
    version_in_force: u64,
}

/// For random sequences of messages, the sum of the outstanding amounts never exceeds the capacity, the outstanding
/// amount of a process covers each lease that it is granted, and a second replica reaches the same state.
#[test]
fn no_sequence_of_messages_leases_more_than_the_capacity() {
    for seed in 0..300 {
        let mut rng = Pcg::new(seed);
        let mut random_below = |bound: u64| u64::from(rng.next_u32()) % bound;
        let capacity = 1 + random_below(30);
        let mut log = Log::new(BudgetTerms {
            min_per_node: random_below(3),
            newcomer_reserve_permille: random_below(500),
            ..terms(capacity)
        });
        let mut processes: Vec<Process> = Vec::new();
        for step in 0..300 {
            log.clock_ms += random_below(400);
            match random_below(12) {
                0 => {
                    let name = random_below(6);
                    let incarnation = log.join(&format!("n{name}"), step + 1);
                    processes.push(Process { name, incarnation, last_sequence: 0, version_in_force: 0 });
                }
                1 => log.tick(),
                2 => (log.term, log.clock_ms) = (log.term + 1, random_below(1_000_000)),
                3 if !processes.is_empty() => {
                    let incarnation = processes[random_below(processes.len() as u64) as usize].incarnation;
                    log.write(Command::Suspect { incarnation, suspected: random_below(2) == 0 });
                }
                _ if !processes.is_empty() => {
                    let index = random_below(processes.len() as u64) as usize;
                    let Process { name, incarnation, last_sequence, version_in_force } = processes[index];
                    let in_use = random_below(capacity + 1);
                    let reports = vec![report(version_in_force, in_use, random_below(40))];
                    let ends_session = random_below(40) == 0;
                    let response = log.report(
                        &format!("n{name}"),
                        incarnation,
                        last_sequence + 1,
                        reports,
                        ends_session,
                    );
                    if let NodeResponse::Accepted(update) = response {
                        processes[index].last_sequence += 1;
                        if let Some(lease) = update.leases.first() {
                            assert!(log.state.outstanding("calls", incarnation) >= lease.amount);
                            // Sometimes the node never adopts the lease.
                            if random_below(2) == 0 {
                                processes[index].version_in_force = lease.version;
                            }
                        }
                    }
                }
                _ => {}
            }
            let status = log.state.budget_status("calls").expect("the budget should exist");
            assert!(status.outstanding <= capacity, "seed {seed}: {status:?}");
            let sum: u64 =
                processes.iter().map(|process| log.state.outstanding("calls", process.incarnation)).sum();
            assert_eq!(sum, status.outstanding, "seed {seed}");
        }
        let mut replica = CoordinationState::default();
        log.entries.iter().for_each(|(position, entry)| drop(replica.apply(*position, entry)));
        assert_eq!(replica.digest(), log.state.digest());
    }
}

#[test]
fn division_is_max_min_fair_and_divides_a_surplus_by_square_roots() {
    assert_eq!(divide(10, &[2000, 8000, 10_000]), [2000, 4000, 4000]);
    assert_eq!(divide(2, &[1000, 1000, 1000]), [666, 666, 666]);
    assert_eq!(divide(14, &[1000, 4000]), [4000, 10_000], "a surplus of nine units for roots of one and two");
    assert_eq!(divide(100, &[1000, 4000]), [4000, 10_000], "at most three roots of surplus");
    for seed in 0..200 {
        let mut rng = Pcg::new(seed);
        let demands: Vec<u64> =
            (0..rng.next_u32() % 40).map(|_| u64::from(rng.next_u32() % 50_000)).collect();
        let capacity = u64::from(rng.next_u32() % 500);
        let parts = divide(capacity, &demands);
        assert!(parts.iter().sum::<u64>() <= capacity * 1000);
        let is_scarce = demands.iter().zip(&parts).any(|(demand, part)| part < demand);
        let largest = parts.iter().max().copied().unwrap_or(0);
        let is_fair = demands.iter().zip(&parts).all(|(demand, part)| part >= demand || *part == largest);
        assert!(!is_scarce || is_fair, "a holder whose demand is not met has the largest part");
        assert!(
            !is_scarce || parts.iter().sum::<u64>() + demands.len() as u64 > capacity * 1000,
            "a scarce capacity is divided completely"
        );
    }
}
