//! Tests of each stream policy, against the overload or fault that it has to handle.

use lynxtally::{Effect, Instant, Pcg, Span};
use lynxtally_flow::*;
use proptest::prelude::*;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1000)
}

fn limits(total: u64, reserved: u64) -> MemoryLimits {
    MemoryLimits { total, reserved, floor: 1000, max_window: 50_000, lookahead: Span::from_millis(100) }
}

#[test]
fn a_stalled_receiver_shrinks_to_its_floor_and_a_fast_one_grows() {
    let mut pool = MemoryPool::new(limits(60_000, 10_000), at(0));
    let (fast, stalled) = (StreamId(1), StreamId(2));
    assert!(pool.admit(fast, 1.0) && pool.admit(stalled, 1.0));
    for turn in 1..100 {
        for stream in [fast, stalled] {
            let room = pool.room(stream);
            pool.record_read(stream, room);
            // Both receivers are fast until the second one stalls.
            if stream == fast || turn < 20 {
                pool.record_written(stream, room);
            }
        }
        pool.rebalance(at(turn * 10));
        assert!(pool.held_bytes() <= 60_000 && pool.committed_bytes() <= 60_000, "the budget is exceeded");
    }
    assert_eq!(pool.room(stalled), 0, "the stalled stream still holds its bytes");
    assert!(pool.room(fast) > 20_000, "{}", pool.room(fast));
    pool.record_written(stalled, 60_000);
    pool.rebalance(at(1000));
    assert!(pool.room(stalled) >= 1000, "the stream can read again after the stall");
}

#[test]
fn no_stream_is_admitted_without_room_for_its_floor() {
    let mut pool = MemoryPool::new(limits(10_000, 10_000), at(0));
    assert!((0..10).all(|n| pool.admit(StreamId(n), 1.0)));
    assert!(!pool.admit(StreamId(10), 100.0));
    pool.remove(StreamId(3));
    assert!(pool.admit(StreamId(10), 1.0));
}

#[test]
fn a_scarce_link_keeps_to_its_rate_and_is_shared_by_weight() {
    let mut link = LinkScheduler::new(1_000_000.0, at(0));
    let mut sent = [0_u64; 4];
    for n in 0..4 {
        link.add(StreamId(n), if n == 0 { 3.0 } else { 1.0 });
        link.record_sent(StreamId(n), 0, true);
    }
    for now in 1..=2000 {
        for stream in link.grant_turns(at(now)) {
            let bytes = link.granted_bytes(stream);
            sent[stream.0 as usize] += bytes;
            // The last receiver is slow: its grant is kept for it, at no other stream's cost.
            link.record_sent(stream, bytes, stream != StreamId(3) || now % 2 == 0);
        }
        if now % 2 == 0 {
            link.record_sent(StreamId(3), 0, true);
        }
    }
    let all: u64 = sent.iter().sum();
    assert!((1_950_000..=2_030_000).contains(&all), "{all} bytes in two seconds at a million per second");
    let share = |n: usize| sent[n] as f64 / sent[1] as f64;
    assert!((share(0) - 3.0).abs() < 0.3 && (share(2) - 1.0).abs() < 0.1, "{sent:?}");
    assert!(link.take_utilization(at(2000)) > 0.95);
}

#[test]
fn the_preferred_supported_coding_is_chosen() {
    use coding::{preferred_coding, Coding, GrowthLimit};
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
        assert_eq!(preferred_coding(list), coding, "{list}");
    }
    let growth = GrowthLimit { max_ratio: 10.0, always_allowed_bytes: 1000 };
    assert!(growth.allows(1, 1000) && growth.allows(200, 2000) && !growth.allows(199, 2000));
}

#[test]
fn a_download_is_resumed_only_with_the_same_object() {
    use resume::{parse_content_range, strong_validator, PartialDownload, ResumeMismatch};
    assert_eq!(parse_content_range("bytes 5-9/10"), Some((5, 9, Some(10))));
    for bad in ["bytes 9-5/10", "bytes 5-10/10", "bytes */10", "bytes 1-2", "octets 1-2/3", "bytes -1-2/3"] {
        assert_eq!(parse_content_range(bad), None, "{bad}");
    }
    assert_eq!((strong_validator("W/\"a\""), strong_validator(" \"a\" ")), (None, Some("\"a\"")));
    let download =
        PartialDownload { validator: "\"a\"".to_owned(), first: 100, end: 200, complete_length: Some(1000) };
    assert_eq!((download.remaining(40), download.remaining(100)), (Some((140, 200)), None));
    let check =
        |status, validator, range| download.check_continuation(40, status, Some(validator), Some(range));
    assert_eq!(check(206, "\"a\"", "bytes 140-199/1000"), Ok(()));
    assert_eq!(check(200, "\"a\"", "bytes 140-199/1000"), Err(ResumeMismatch::Whole));
    assert_eq!(check(206, "\"b\"", "bytes 140-199/1000"), Err(ResumeMismatch::Validator));
    assert_eq!(check(206, "W/\"a\"", "bytes 140-199/1000"), Err(ResumeMismatch::Validator));
    assert_eq!(check(206, "\"a\"", "bytes 141-199/1000"), Err(ResumeMismatch::Part));
    assert_eq!(check(206, "\"a\"", "bytes 140-199/1001"), Err(ResumeMismatch::Part));
}

#[test]
fn copies_stay_within_the_limit_of_a_stream_and_of_all() {
    let mut copies = CopyBudget::new(1000, 600);
    assert!(copies.try_reserve(StreamId(0), 600) && !copies.try_reserve(StreamId(0), 1));
    assert!(!copies.try_reserve(StreamId(1), 500) && copies.try_reserve(StreamId(1), 400));
    copies.release(StreamId(0));
    assert_eq!(copies.total_reserved(), 400);
    assert!(copies.try_reserve(StreamId(2), 600));
    let mut sizes = SizeEstimator::new(2);
    (0..100).for_each(|_| sizes.record_completed(1, 5000));
    assert_eq!((sizes.expected_bytes(1, None), sizes.expected_bytes(1, Some(7))), (5000, 7));
    assert!(sizes.expected_bytes(0, None) > 5000, "the other class has the initial estimate");
}

#[test]
fn scarce_memory_is_shared_by_utility() {
    let mut pool = MemoryPool::new(limits(31_000, 11_000), at(0));
    for n in 0..11 {
        pool.admit(StreamId(n), if n == 0 { 10.0 } else { 1.0 });
    }
    for turn in 1..200 {
        for n in 0..11 {
            let room = pool.room(StreamId(n));
            pool.record_read(StreamId(n), room);
            pool.record_written(StreamId(n), room);
        }
        pool.rebalance(at(turn * 10));
    }
    let (heavy, light) = (pool.room(StreamId(0)) - 1000, pool.room(StreamId(5)) - 1000);
    assert!((9..=11).contains(&(heavy / light)), "{heavy} {light}");
}

fn jain_fairness_index(all: &[f64]) -> f64 {
    let (sum, squares) = (all.iter().sum::<f64>(), all.iter().map(|x| x * x).sum::<f64>());
    sum * sum / (all.len() as f64 * squares)
}

#[test]
fn deficit_round_robin_is_fair_whatever_the_sizes() {
    // First ten streams of equal weight that differ in how much they have ready at once, then one of weight 3
    // among them.
    let run = |weights: &dyn Fn(u32) -> f64| {
        let mut scheduler = DeficitRoundRobin::new(1000);
        (0..10).for_each(|n| scheduler.add(StreamId(n), weights(n)));
        let mut sent = [0.0; 10];
        for _ in 0..20_000 {
            (0..10).for_each(|n| scheduler.mark_ready(StreamId(n)));
            let (stream, max_bytes) = scheduler.next_turn().expect("all streams have bytes");
            let bytes = max_bytes.min(u64::from(stream.0 + 1) * 300);
            scheduler.record_sent(stream, bytes, true);
            sent[stream.0 as usize] += bytes as f64;
        }
        sent
    };
    let equal = run(&|_| 1.0);
    assert!(jain_fairness_index(&equal) > 0.99, "{equal:?}");
    let first_come: Vec<f64> = (0..10).map(|n| f64::from(n + 1) * 300.0).collect();
    assert!(jain_fairness_index(&first_come) < 0.8, "sending all ready bytes in turn is unfair");
    let weighted = run(&|n| if n == 4 { 3.0 } else { 1.0 });
    let share = weighted[4] / weighted[5];
    assert!((2.7..=3.3).contains(&share), "{weighted:?}");
    let mut scheduler = DeficitRoundRobin::new(10);
    assert_eq!(scheduler.next_turn(), None);
    scheduler.add(StreamId(1), 1.0);
    scheduler.mark_ready(StreamId(1));
    assert_eq!(scheduler.next_turn(), Some((StreamId(1), 10)));
    scheduler.record_sent(StreamId(1), 4, false);
    assert_eq!(scheduler.next_turn(), None, "an idle stream keeps no deficit");
}

#[test]
fn only_streams_that_barely_move_are_late_not_slow_or_waiting_ones() {
    let limits = ProgressLimits {
        interval: Span::from_millis(1000),
        median_fraction: 0.02,
        min_bytes: 100,
        max_short_intervals: 3,
    };
    let mut progress = ProgressMonitor::new(limits);
    (0..20).for_each(|n| progress.add(at(0), StreamId(n)));
    let mut late = Vec::new();
    for secs in 1..60 {
        for n in 3..20 {
            progress.record(StreamId(n), 100_000);
        }
        progress.record(StreamId(0), 1);
        progress.record(StreamId(1), 20_000);
        late.extend(progress.newly_late(at(secs * 1000)).into_iter().map(|stream| (secs, stream)));
    }
    assert_eq!(late, [(3, StreamId(0))], "only the stream of one byte per interval, once");
    assert!(
        progress.required_bytes() > 1000,
        "the required bytes are learned: {}",
        progress.required_bytes()
    );
}

#[test]
fn a_request_is_retried_only_if_it_is_safe_and_the_budget_allows_it() {
    let mut retries = RetryPolicy::new(10, 2);
    let untouched =
        AttemptState { sent_bytes: 0, is_head_sent: false, has_copy: true, has_response_begun: false };
    let partly_sent =
        AttemptState { sent_bytes: 500, is_head_sent: true, has_copy: true, has_response_begun: false };
    let without_copy = AttemptState { has_copy: false, ..partly_sent };
    let responded = AttemptState { has_response_begun: true, ..partly_sent };
    assert!(
        !retries.try_retry(Effect::NonIdempotent, partly_sent)
            && !retries.try_retry(Effect::Deduplicated, partly_sent)
    );
    assert!(
        !retries.try_retry(Effect::Idempotent, without_copy)
            && !retries.try_retry(Effect::Idempotent, responded)
    );
    assert!(
        retries.try_retry(Effect::NonIdempotent, untouched)
            && retries.try_retry(Effect::Idempotent, partly_sent)
    );
    assert!(!retries.try_retry(Effect::Idempotent, partly_sent), "the budget is spent");
    (0..10).for_each(|_| retries.record_success());
    assert!(retries.try_retry(Effect::Idempotent, partly_sent));
}

#[test]
fn failing_upstreams_are_ejected_longer_each_time_and_return_on_probation() {
    let limits = UpstreamLimits {
        consecutive_failures: 3,
        base_ejection_time: Span::from_millis(1000),
        max_ejection_time: Span::from_millis(10_000),
        max_ejected_fraction: 0.5,
        probation_successes: 2,
    };
    let mut upstreams = UpstreamSelector::new(4, limits, 1);
    assert!(
        !upstreams.record_failure(at(0), 0)
            && !upstreams.record_failure(at(0), 0)
            && upstreams.record_failure(at(0), 0)
    );
    assert!((0..50).all(|_| upstreams.choose(at(999), &[]) != Some(0)));
    // After a second the upstream gets one request at a time; its next failure ejects it for two seconds.
    let chosen_on_probation = (0..200).filter(|_| upstreams.choose(at(1000), &[]) == Some(0)).count();
    assert_eq!(chosen_on_probation, 1);
    assert!(upstreams.record_failure(at(1000), 0));
    assert!((0..50).all(|_| upstreams.choose(at(2999), &[]) != Some(0)));
    for _ in 0..3 {
        upstreams.record_failure(at(1500), 1);
    }
    let third_ejected: Vec<bool> = (0..9).map(|_| upstreams.record_failure(at(1500), 2)).collect();
    assert!(third_ejected.iter().all(|ejected| !ejected), "never more than half of the upstreams");
    assert_eq!(upstreams.choose(at(1500), &[2, 3]), None);
}

#[test]
fn two_choices_spread_requests_better_than_random_choice() {
    let limits = UpstreamLimits {
        consecutive_failures: 3,
        base_ejection_time: Span::from_millis(1000),
        max_ejection_time: Span::from_millis(10_000),
        max_ejected_fraction: 0.5,
        probation_successes: 2,
    };
    let mut upstreams = UpstreamSelector::new(20, limits, 1);
    let (mut chosen, mut random, mut random_draws) = ([0_u64; 20], [0_u64; 20], Pcg::new(7));
    for _ in 0..2000 {
        let n = upstreams.choose(at(0), &[]).expect("no upstream is ejected");
        upstreams.adjust_outstanding(n, 1000, 0);
        chosen[n] += 1;
        random[(random_draws.unit() * 20.0) as usize] += 1;
    }
    let spread = |all: &[u64; 20]| all.iter().max().unwrap_or(&0) - all.iter().min().unwrap_or(&0);
    assert!(spread(&chosen) * 5 < spread(&random), "{chosen:?} {random:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// After any sequence of operations, replaying the log restores the same uploads, and no quota was ever
    /// exceeded.
    #[test]
    fn replaying_the_log_restores_the_uploads(steps in proptest::collection::vec((0..6_u8, 0..5_u64, 0..400_u64), 1..200)) {
        use uploads::{UploadError, Upload, UploadLimits, Uploads};
        let limits = UploadLimits { tenant_bytes: 1000, total_bytes: 2000, record_bytes: 1 << 20, expiry_secs: 50 };
        let (mut uploads, mut log, mut writers) = (Uploads::new(limits), Vec::new(), std::collections::BTreeMap::new());
        for (now, (operation, id, bytes)) in steps.into_iter().enumerate() {
            let now = now as u64;
            match operation {
                0 => {
                    let tenant = format!("c{}", id % 2);
                    let length = (bytes % 2 == 0).then_some(bytes);
                    let upload = Upload { tenant, request_head: vec![1], length, offset: 0, checksum: 0, updated_secs: now, is_complete: false };
                    if let Ok((entry, writer)) = uploads.create(id, upload) {
                        log.push(entry);
                        writers.insert(id, writer);
                    }
                }
                1 => {
                    let offset = uploads.get(id).map(|upload| upload.offset);
                    match uploads.resume(id, bytes) {
                        Ok(writer) => {
                            prop_assert_eq!(offset, Some(bytes));
                            // The previous writer cannot append any more.
                            let old = writers.insert(id, writer).unwrap_or(0);
                            prop_assert_eq!(uploads.append(id, old, 1, 1, now), Err(UploadError::TakenOver));
                        }
                        Err(UploadError::WrongOffset(at)) => prop_assert_eq!(offset, Some(at)),
                        Err(refused) => prop_assert!(offset.is_none() && refused == UploadError::Unknown),
                    }
                }
                2 | 3 => {
                    let writer = writers.get(&id).copied().unwrap_or(0);
                    let before = uploads.get(id).cloned();
                    if uploads.append(id, writer, bytes, 7, now).is_err() {
                        prop_assert_eq!(uploads.get(id), before.as_ref(), "a refused append changed the upload");
                    }
                    log.extend(uploads.progress_entry(id));
                }
                4 => log.extend(uploads.remove(id)),
                _ => {
                    for id in uploads.expired(now) {
                        log.extend(uploads.remove(id));
                    }
                }
            }
            prop_assert!(uploads.total_bytes() <= 2000);
            let sum: u64 = uploads.ids().iter().filter_map(|id| uploads.get(*id)).map(|u| u.offset.max(u.length.unwrap_or(0))).sum();
            prop_assert_eq!(uploads.total_bytes(), sum);
        }
        let mut restored = Uploads::new(limits);
        log.into_iter().for_each(|entry| restored.replay(entry));
        prop_assert_eq!(restored.snapshot(), uploads.snapshot());
        let mut from_snapshot = Uploads::new(limits);
        uploads.snapshot().into_iter().for_each(|entry| from_snapshot.replay(entry));
        prop_assert_eq!(from_snapshot.snapshot(), uploads.snapshot());
    }

    /// After any sequence of reads, writes, stalls, admissions and removals, the budget was never exceeded,
    /// and each stream that writes out what it holds has room again.
    #[test]
    fn no_order_of_stalls_exceeds_the_budget_or_blocks_all_streams(steps in proptest::collection::vec((0..5_u8, 0..12_u32, any::<u16>()), 1..300)) {
        let mut pool = MemoryPool::new(limits(12_000, 8_000), at(0));
        let (mut now, mut admitted) = (0, std::collections::BTreeMap::new());
        for (operation, n, bytes) in steps {
            let stream = StreamId(n);
            match operation {
                0 if !admitted.contains_key(&stream) => {
                    // Whatever the other streams hold while they stall, there are floors for eight streams.
                    let is_admitted = pool.admit(stream, 1.0 + f64::from(n));
                    prop_assert_eq!(is_admitted, admitted.len() < 8);
                    if is_admitted {
                        admitted.insert(stream, 0);
                    }
                }
                1 => {
                    pool.remove(stream);
                    admitted.remove(&stream);
                }
                2 if admitted.contains_key(&stream) => {
                    let read = pool.room(stream).min(bytes.into());
                    pool.record_read(stream, read);
                    *admitted.get_mut(&stream).unwrap() += read;
                }
                3 if admitted.contains_key(&stream) => {
                    let wrote = admitted[&stream].min(bytes.into());
                    pool.record_written(stream, wrote);
                    *admitted.get_mut(&stream).unwrap() -= wrote;
                }
                _ => {
                    now += u64::from(bytes % 50);
                    pool.rebalance(at(now));
                }
            }
            prop_assert_eq!(pool.held_bytes(), admitted.values().sum::<u64>());
            prop_assert!(pool.committed_bytes() <= 12_000);
        }
        // Every stream holds as much as it may. One that writes its bytes out has room again, without help
        // from the others.
        for stream in admitted.keys().copied().collect::<Vec<_>>() {
            let held = admitted[&stream];
            pool.record_written(stream, held);
            prop_assert!(pool.room(stream) >= 1000, "the stream is blocked by others");
        }
    }
}

/// Guards against memory that grows with ever new uploads: one without any bytes counts for no quota, but its record and
/// the head in it take memory.
#[test]
fn the_records_of_empty_uploads_are_limited() {
    use uploads::{Upload, UploadError, UploadLimits, Uploads};
    let limits = UploadLimits { tenant_bytes: 1000, total_bytes: 2000, record_bytes: 4000, expiry_secs: 50 };
    let mut uploads = Uploads::new(limits);
    let empty = Upload {
        tenant: String::new(),
        request_head: vec![b'x'; 488],
        length: None,
        offset: 0,
        checksum: 0,
        updated_secs: 0,
        is_complete: false,
    };
    let created = (0..10).take_while(|id| uploads.create(*id, empty.clone()).is_ok()).count();
    assert_eq!(created, 4, "a record takes 1000 bytes");
    assert_eq!(uploads.create(99, empty.clone()).map(drop), Err(UploadError::QuotaExceeded));
    assert!(uploads.remove(0).is_some());
    assert!(uploads.create(99, empty).is_ok(), "a removed upload makes room");
}
