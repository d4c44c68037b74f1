//! The choices about streams, each against what it should survive.

use lynxtally::{Effect, Instant, Pcg, Span};
use lynxtally_flow::*;
use proptest::prelude::*;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1000)
}

fn limits(total: u64, reserved: u64) -> PoolLimits {
    PoolLimits { total, reserved, floor: 1000, most: 50_000, ahead: Span::from_millis(100) }
}

#[test]
fn a_stalled_receiver_gives_back_to_its_floor_and_a_fast_one_grows_by_what_it_takes() {
    let mut pool = Pool::new(limits(60_000, 10_000), at(0));
    let (fast, stalled) = (StreamId(1), StreamId(2));
    assert!(pool.enter(fast, 1.0) && pool.enter(stalled, 1.0));
    for turn in 1..100 {
        for stream in [fast, stalled] {
            let room = pool.room(stream);
            pool.read(stream, room);
            // Both are quick until the one stalls.
            if stream == fast || turn < 20 {
                pool.wrote(stream, room);
            }
        }
        pool.share(at(turn * 10));
        assert!(pool.held() <= 60_000 && pool.promised() <= 60_000, "the budget is passed");
    }
    assert_eq!(pool.room(stalled), 0, "it holds what it did not pass on");
    assert!(pool.room(fast) > 20_000, "{}", pool.room(fast));
    pool.wrote(stalled, 60_000);
    pool.share(at(1000));
    assert!(pool.room(stalled) >= 1000, "it goes on after the stall");
}

#[test]
fn no_stream_is_let_in_without_room_for_its_floor() {
    let mut pool = Pool::new(limits(10_000, 10_000), at(0));
    assert!((0..10).all(|n| pool.enter(StreamId(n), 1.0)));
    assert!(!pool.enter(StreamId(10), 100.0));
    pool.leave(StreamId(3));
    assert!(pool.enter(StreamId(10), 1.0));
}

#[test]
fn a_scarce_link_carries_no_more_than_it_can_and_shares_by_weight() {
    let mut link = Link::new(1_000_000.0, at(0));
    let mut sent = [0_u64; 4];
    for n in 0..4 {
        link.enter(StreamId(n), if n == 0 { 3.0 } else { 1.0 });
        link.sent(StreamId(n), 0, true);
    }
    for now in 1..=2000 {
        for stream in link.grant(at(now)) {
            let octets = link.granted(stream);
            sent[stream.0 as usize] += octets;
            // The last one is slow to take: what it was granted waits for it and is no one's loss but its own.
            link.sent(stream, octets, stream != StreamId(3) || now % 2 == 0);
        }
        if now % 2 == 0 {
            link.sent(StreamId(3), 0, true);
        }
    }
    let all: u64 = sent.iter().sum();
    assert!((1_950_000..=2_030_000).contains(&all), "{all} octets in two seconds of a million each");
    let share = |n: usize| sent[n] as f64 / sent[1] as f64;
    assert!((share(0) - 3.0).abs() < 0.3 && (share(2) - 1.0).abs() < 0.1, "{sent:?}");
    assert!(link.busy(at(2000)) > 0.95);
}

#[test]
fn the_coding_that_a_peer_likes_best_is_taken_and_none_that_it_did_not_name() {
    use coding::{accepted, Coding, Growth};
    for (list, coding) in [
        ("", Coding::Identity),
        ("gzip", Coding::Gzip),
        ("br, gzip;q=0.8, zstd;q=0.8", Coding::Zstd),
        ("zstd;q=0, gzip;q=0.1", Coding::Gzip),
        ("*", Coding::Zstd),
        ("*;q=0.3, identity;q=0.5", Coding::Identity),
        ("gzip;q=nonsense", Coding::Identity),
        ("deflate, br", Coding::Identity),
    ] {
        assert_eq!(accepted(list), coding, "{list}");
    }
    let growth = Growth { ratio: 10.0, slack: 1000 };
    assert!(growth.allows(1, 1000) && growth.allows(200, 2000) && !growth.allows(199, 2000));
}

#[test]
fn only_the_very_same_object_is_gone_on_with() {
    use resume::{part, strong, Changed, Piece};
    assert_eq!(part("bytes 5-9/10"), Some((5, 9, Some(10))));
    for bad in ["bytes 9-5/10", "bytes 5-10/10", "bytes */10", "bytes 1-2", "octets 1-2/3", "bytes -1-2/3"] {
        assert_eq!(part(bad), None, "{bad}");
    }
    assert_eq!((strong("W/\"a\""), strong(" \"a\" ")), (None, Some("\"a\"")));
    let piece = Piece { validator: "\"a\"".to_owned(), first: 100, end: 200, whole: Some(1000) };
    assert_eq!((piece.rest(40), piece.rest(100)), (Some((140, 200)), None));
    let goes_on = |status, validator, told| piece.goes_on(40, status, Some(validator), Some(told));
    assert_eq!(goes_on(206, "\"a\"", "bytes 140-199/1000"), Ok(()));
    assert_eq!(goes_on(200, "\"a\"", "bytes 140-199/1000"), Err(Changed::Whole));
    assert_eq!(goes_on(206, "\"b\"", "bytes 140-199/1000"), Err(Changed::Validator));
    assert_eq!(goes_on(206, "W/\"a\"", "bytes 140-199/1000"), Err(Changed::Validator));
    assert_eq!(goes_on(206, "\"a\"", "bytes 141-199/1000"), Err(Changed::Part));
    assert_eq!(goes_on(206, "\"a\"", "bytes 140-199/1001"), Err(Changed::Part));
}

#[test]
fn copies_are_kept_within_the_bound_of_one_and_of_all() {
    let mut spools = Spools::new(1000, 600);
    assert!(spools.keep(StreamId(0), 600) && !spools.keep(StreamId(0), 1));
    assert!(!spools.keep(StreamId(1), 500) && spools.keep(StreamId(1), 400));
    spools.drop(StreamId(0));
    assert_eq!(spools.sum(), 400);
    assert!(spools.keep(StreamId(2), 600));
    let mut sizes = Sizes::new(2);
    (0..100).for_each(|_| sizes.moved(1, 5000));
    assert_eq!((sizes.expected(1, None), sizes.expected(1, Some(7))), (5000, 7));
    assert!(sizes.expected(0, None) > 5000, "nothing is known of the other stage");
}

#[test]
fn scarce_memory_is_shared_by_utility() {
    let mut pool = Pool::new(limits(31_000, 11_000), at(0));
    for n in 0..11 {
        pool.enter(StreamId(n), if n == 0 { 10.0 } else { 1.0 });
    }
    for turn in 1..200 {
        for n in 0..11 {
            let room = pool.room(StreamId(n));
            pool.read(StreamId(n), room);
            pool.wrote(StreamId(n), room);
        }
        pool.share(at(turn * 10));
    }
    let (dear, cheap) = (pool.room(StreamId(0)) - 1000, pool.room(StreamId(5)) - 1000);
    assert!((9..=11).contains(&(dear / cheap)), "{dear} {cheap}");
}

fn jain(all: &[f64]) -> f64 {
    let (sum, squares) = (all.iter().sum::<f64>(), all.iter().map(|x| x * x).sum::<f64>());
    sum * sum / (all.len() as f64 * squares)
}

#[test]
fn octets_go_in_fair_turns_whatever_the_sizes_and_first_come_does_not() {
    // Ten alike, but for the size of what they have ready at once; then one of weight three among them.
    let run = |weights: &dyn Fn(u32) -> f64| {
        let mut order = Order::new(1000);
        (0..10).for_each(|n| order.enter(StreamId(n), weights(n)));
        let mut sent = [0.0; 10];
        for _ in 0..20_000 {
            (0..10).for_each(|n| order.ready(StreamId(n)));
            let (stream, most) = order.turn().expect("all have some");
            let octets = most.min(u64::from(stream.0 + 1) * 300);
            order.sent(stream, octets, true);
            sent[stream.0 as usize] += octets as f64;
        }
        sent
    };
    let alike = run(&|_| 1.0);
    assert!(jain(&alike) > 0.99, "{alike:?}");
    let first_come: Vec<f64> = (0..10).map(|n| f64::from(n + 1) * 300.0).collect();
    assert!(jain(&first_come) < 0.8, "each in turn with all it has");
    let weighted = run(&|n| if n == 4 { 3.0 } else { 1.0 });
    let share = weighted[4] / weighted[5];
    assert!((2.7..=3.3).contains(&share), "{weighted:?}");
    let mut order = Order::new(10);
    assert_eq!(order.turn(), None);
    order.enter(StreamId(1), 1.0);
    order.ready(StreamId(1));
    assert_eq!(order.turn(), Some((StreamId(1), 10)));
    order.sent(StreamId(1), 4, false);
    assert_eq!(order.turn(), None, "it saves nothing up");
}

#[test]
fn who_moves_next_to_nothing_is_late_and_who_waits_for_a_sender_or_is_merely_slow_is_not() {
    let limits = ProgressLimits { span: Span::from_millis(1000), part: 0.02, least: 100, patience: 3 };
    let mut progress = Progress::new(limits);
    (0..20).for_each(|n| progress.enter(at(0), StreamId(n)));
    let mut late = Vec::new();
    for secs in 1..60 {
        for n in 3..20 {
            progress.moved(StreamId(n), 100_000);
        }
        progress.moved(StreamId(0), 1);
        progress.moved(StreamId(1), 20_000);
        late.extend(progress.late(at(secs * 1000)).into_iter().map(|stream| (secs, stream)));
    }
    assert_eq!(late, [(3, StreamId(0))], "the one of a byte a span, once");
    assert!(progress.owed() > 1000, "what is owed is learned: {}", progress.owed());
}

#[test]
fn a_stream_is_repeated_only_where_it_cannot_have_been_acted_on_twice_and_is_paid_for() {
    let mut repeats = Repeats::new(10, 2);
    let untouched = Sent { octets: 0, head: false, held: true, answered: false };
    let begun = Sent { octets: 500, head: true, held: true, answered: false };
    let spilled = Sent { held: false, ..begun };
    let answered = Sent { answered: true, ..begun };
    assert!(!repeats.may(Effect::NonIdempotent, begun) && !repeats.may(Effect::Deduplicated, begun));
    assert!(!repeats.may(Effect::Idempotent, spilled) && !repeats.may(Effect::Idempotent, answered));
    assert!(repeats.may(Effect::NonIdempotent, untouched) && repeats.may(Effect::Idempotent, begun));
    assert!(!repeats.may(Effect::Idempotent, begun), "the budget is spent");
    (0..10).for_each(|_| repeats.succeeded());
    assert!(repeats.may(Effect::Idempotent, begun));
}

#[test]
fn upstreams_that_fail_are_left_out_longer_each_time_never_too_many_and_come_back_with_care() {
    let limits = UpstreamLimits {
        consecutive_failures: 3,
        base_ejection_time: Span::from_millis(1000),
        max_ejection_time: Span::from_millis(10_000),
        max_ejected_fraction: 0.5,
        probation_successes: 2,
    };
    let mut all = Upstreams::new(4, limits, 1);
    assert!(!all.failed(at(0), 0) && !all.failed(at(0), 0) && all.failed(at(0), 0));
    assert!((0..50).all(|_| all.choose(at(999), &[]) != Some(0)));
    // Back after a second, with one stream at a time; its next failure leaves it out for two.
    let back = (0..200).filter(|_| all.choose(at(1000), &[]) == Some(0)).count();
    assert_eq!(back, 1);
    assert!(all.failed(at(1000), 0));
    assert!((0..50).all(|_| all.choose(at(2999), &[]) != Some(0)));
    for _ in 0..3 {
        all.failed(at(1500), 1);
    }
    let third: Vec<bool> = (0..9).map(|_| all.failed(at(1500), 2)).collect();
    assert!(third.iter().all(|out| !out), "never more than half of them");
    assert_eq!(all.choose(at(1500), &[2, 3]), None);
}

#[test]
fn two_choices_by_what_waits_spread_streams_better_than_chance() {
    let limits = UpstreamLimits {
        consecutive_failures: 3,
        base_ejection_time: Span::from_millis(1000),
        max_ejection_time: Span::from_millis(10_000),
        max_ejected_fraction: 0.5,
        probation_successes: 2,
    };
    let mut all = Upstreams::new(20, limits, 1);
    let (mut chosen, mut random, mut chance) = ([0_u64; 20], [0_u64; 20], Pcg::new(7));
    for _ in 0..2000 {
        let n = all.choose(at(0), &[]).expect("all are well");
        all.outstanding(n, 1000, 0);
        chosen[n] += 1;
        random[(chance.unit() * 20.0) as usize] += 1;
    }
    let spread = |all: &[u64; 20]| all.iter().max().unwrap_or(&0) - all.iter().min().unwrap_or(&0);
    assert!(spread(&chosen) * 5 < spread(&random), "{chosen:?} {random:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens to uploads: what a log tells after a restart is what stood there, and no bound is passed.
    #[test]
    fn uploads_are_after_a_restart_what_their_log_tells(steps in proptest::collection::vec((0..6_u8, 0..5_u64, 0..400_u64), 1..200)) {
        use uploads::{Refused, Upload, UploadLimits, Uploads};
        let limits = UploadLimits { each: 1000, all: 2000, keep: 50 };
        let (mut all, mut log, mut holders) = (Uploads::new(limits), Vec::new(), std::collections::BTreeMap::new());
        for (now, (what, id, octets)) in steps.into_iter().enumerate() {
            let now = now as u64;
            match what {
                0 => {
                    let customer = format!("c{}", id % 2);
                    let length = (octets % 2 == 0).then_some(octets);
                    let upload = Upload { customer, what: vec![1], length, offset: 0, sum: 0, touched: now, whole: false };
                    if let Ok((entry, holder)) = all.begin(id, upload) {
                        log.push(entry);
                        holders.insert(id, holder);
                    }
                }
                1 => {
                    let offset = all.get(id).map(|upload| upload.offset);
                    match all.go_on(id, octets) {
                        Ok(holder) => {
                            prop_assert_eq!(offset, Some(octets));
                            // Whoever had it before can't move it any more.
                            let old = holders.insert(id, holder).unwrap_or(0);
                            prop_assert_eq!(all.grow(id, old, 1, 1, now), Err(Refused::Taken));
                        }
                        Err(Refused::Offset(at)) => prop_assert_eq!(offset, Some(at)),
                        Err(refused) => prop_assert!(offset.is_none() && refused == Refused::Unknown),
                    }
                }
                2 | 3 => {
                    let holder = holders.get(&id).copied().unwrap_or(0);
                    let before = all.get(id).cloned();
                    if all.grow(id, holder, octets, 7, now).is_err() {
                        prop_assert_eq!(all.get(id), before.as_ref(), "refused, and moved all the same");
                    }
                    log.extend(all.moved(id));
                }
                4 => log.extend(all.gone(id)),
                _ => {
                    for id in all.aged(now) {
                        log.extend(all.gone(id));
                    }
                }
            }
            prop_assert!(all.sum() <= 2000);
            let sum: u64 = all.ids().iter().filter_map(|id| all.get(*id)).map(|u| u.offset.max(u.length.unwrap_or(0))).sum();
            prop_assert_eq!(all.sum(), sum);
        }
        let mut again = Uploads::new(limits);
        log.into_iter().for_each(|entry| again.replay(entry));
        prop_assert_eq!(again.snapshot(), all.snapshot());
        let mut from_snapshot = Uploads::new(limits);
        all.snapshot().into_iter().for_each(|entry| from_snapshot.replay(entry));
        prop_assert_eq!(from_snapshot.snapshot(), all.snapshot());
    }

    /// Whatever the order of reads, writes, stalls, comings and goings: the budget is never passed, and any stream
    /// that passes on what it holds can go on.
    #[test]
    fn no_order_of_stalls_passes_the_budget_or_locks_all(steps in proptest::collection::vec((0..5_u8, 0..12_u32, any::<u16>()), 1..300)) {
        let mut pool = Pool::new(limits(12_000, 8_000), at(0));
        let (mut now, mut inside) = (0, std::collections::BTreeMap::new());
        for (what, n, octets) in steps {
            let stream = StreamId(n);
            match what {
                0 if !inside.contains_key(&stream) => {
                    // Whatever the others hold and stall on, there is a floor for each of eight.
                    let entered = pool.enter(stream, 1.0 + f64::from(n));
                    prop_assert_eq!(entered, inside.len() < 8);
                    if entered {
                        inside.insert(stream, 0);
                    }
                }
                1 => {
                    pool.leave(stream);
                    inside.remove(&stream);
                }
                2 if inside.contains_key(&stream) => {
                    let read = pool.room(stream).min(octets.into());
                    pool.read(stream, read);
                    *inside.get_mut(&stream).unwrap() += read;
                }
                3 if inside.contains_key(&stream) => {
                    let wrote = inside[&stream].min(octets.into());
                    pool.wrote(stream, wrote);
                    *inside.get_mut(&stream).unwrap() -= wrote;
                }
                _ => {
                    now += u64::from(octets % 50);
                    pool.share(at(now));
                }
            }
            prop_assert_eq!(pool.held(), inside.values().sum::<u64>());
            prop_assert!(pool.promised() <= 12_000);
        }
        // All hold all they may: whoever passes its own on has room again, without any other's help.
        for stream in inside.keys().copied().collect::<Vec<_>>() {
            let held = inside[&stream];
            pool.wrote(stream, held);
            prop_assert!(pool.room(stream) >= 1000, "locked");
        }
    }
}
