//! Tests of the state machine of uploads: when a forward may begin, and what its end means for the next one.

use lynxtally::Effect;
use lynxtally_flow::uploads::lifecycle::{AfterForward, ForwardEnd, ForwardOutcome, UploadPhase};
use lynxtally_flow::uploads::{Entry, ForwardRefusal, Upload, UploadError, UploadId, UploadLimits, Uploads};
use proptest::prelude::*;
use std::collections::BTreeMap;

const LIMITS: UploadLimits =
    UploadLimits { tenant_bytes: 1000, total_bytes: 2000, record_bytes: 1 << 20, expiry_secs: 50 };
const PROTECTED_SECS: u64 = 10;
const EFFECTS: [Effect; 3] = [Effect::Idempotent, Effect::Deduplicated, Effect::NonIdempotent];
const LOST: ForwardEnd = ForwardEnd::Lost;
const DELIVERED: ForwardEnd = ForwardEnd::Answered { is_server_error: false, is_delivered: true };
const UNDELIVERED: ForwardEnd = ForwardEnd::Answered { is_server_error: false, is_delivered: false };
const SERVER_ERROR: ForwardEnd = ForwardEnd::Answered { is_server_error: true, is_delivered: true };
const ENDS: [ForwardEnd; 5] = [ForwardEnd::NotReached, LOST, DELIVERED, UNDELIVERED, SERVER_ERROR];

fn empty_upload() -> Upload {
    Upload {
        tenant: "a".to_owned(),
        request_head: b"POST / HTTP/1.1\r\nHost: h\r\n\r\n".to_vec(),
        length: None,
        offset: 0,
        checksum: 0,
        updated_secs: 0,
        is_complete: false,
    }
}

/// Uploads with one complete upload of 100 bytes, whose id is 1.
fn complete_upload() -> Uploads {
    let mut uploads = Uploads::new(LIMITS);
    let (_, writer) = uploads.create(1, empty_upload()).expect("room");
    uploads.append(1, writer, 100, 7, 0).expect("room");
    assert_eq!(uploads.complete(1, writer), Ok(true));
    uploads
}

#[test]
fn the_end_of_a_forward_decides_whether_another_one_may_begin() {
    use AfterForward::{AwaitsDelivery, Executed, MayRunAgain, Removed};
    let answered = Executed(ForwardOutcome::Answered);
    let unknown = Executed(ForwardOutcome::Unknown);
    for (end, expected) in [
        (ForwardEnd::NotReached, [MayRunAgain; 3]),
        (LOST, [MayRunAgain, unknown, unknown]),
        (DELIVERED, [Removed, answered, answered]),
        (UNDELIVERED, [AwaitsDelivery, answered, answered]),
        (SERVER_ERROR, [MayRunAgain, answered, answered]),
    ] {
        for (effect, expected) in EFFECTS.into_iter().zip(expected) {
            let mut uploads = complete_upload();
            let begun = uploads.begin_forward(1, effect).expect("a complete upload");
            assert_eq!(uploads.begin_forward(1, effect), Err(ForwardRefusal::UnderWay));
            assert_eq!(uploads.resume(1, 100), Err(UploadError::AlreadyForwarded));
            let (after, _) =
                uploads.end_forward(1, begun.number, effect, end, 5, PROTECTED_SECS).expect("under way");
            assert_eq!(after, expected, "{end:?} {effect:?}");
            assert_eq!(uploads.end_forward(1, begun.number, effect, LOST, 5, 0), None, "it has ended");
            let next = uploads.begin_forward(1, effect).map(drop);
            match after {
                MayRunAgain | AwaitsDelivery => assert_eq!(next, Ok(())),
                Executed(outcome) => {
                    assert_eq!(next, Err(ForwardRefusal::Executed(outcome)));
                    assert_eq!(uploads.total_bytes(), 0, "an executed upload has no bytes");
                }
                Removed => assert_eq!(next, Err(ForwardRefusal::Unknown)),
            }
        }
    }
}

/// Guards against an upload that grows after it was complete: a forward that failed may be followed by one with other bytes.
#[test]
fn the_bytes_of_a_complete_upload_are_final() {
    let mut uploads = complete_upload();
    let writer = uploads.resume(1, 100).expect("its offset");
    assert_eq!(uploads.append(1, writer, 1, 8, 0), Err(UploadError::WrongLength));
    assert_eq!(uploads.complete(1, writer), Ok(true));
}

#[test]
fn only_an_upload_whose_execution_can_be_stopped_is_discarded() {
    for effect in EFFECTS {
        assert!(complete_upload().discard(1, effect).is_ok());
        let mut uploads = complete_upload();
        let begun = uploads.begin_forward(1, effect).expect("a complete upload");
        let is_discarded = uploads.clone().discard(1, effect).is_ok();
        assert_eq!(is_discarded, effect == Effect::Idempotent);
        uploads.end_forward(1, begun.number, effect, DELIVERED, 5, PROTECTED_SECS);
        let refused = uploads.discard(1, effect).map(drop).expect_err("it was executed or removed");
        let expected = if is_discarded { UploadError::Unknown } else { UploadError::AlreadyForwarded };
        assert_eq!(refused, expected);
    }
}

/// Guards against a response that is lost because the upload expires while it is forwarded, and against records of executed
/// uploads that are forgotten within their time or kept for ever.
#[test]
fn an_upload_expires_neither_while_it_is_forwarded_nor_while_it_is_protected() {
    let mut uploads = complete_upload();
    let begun = uploads.begin_forward(1, Effect::NonIdempotent).expect("a complete upload");
    assert_eq!(uploads.expired(1000), []);
    uploads.end_forward(1, begun.number, Effect::NonIdempotent, LOST, 1000, PROTECTED_SECS);
    assert_eq!((uploads.expired(1050), uploads.expired(1051)), (vec![], vec![1]));
    assert_eq!((uploads.evictable(1009, 9), uploads.evictable(1010, 9)), (vec![], vec![1]));
    assert_eq!(uploads.evictable(1010, 0), []);
    let counts = uploads.counts();
    assert_eq!((counts.uploads, counts.executed), (1, 1));
}

/// What a process and its successors have done with one upload.
#[derive(Default)]
struct Executions {
    /// Forwards that sent something, in the life of the current process and in all of them.
    in_this_life: u32,
    in_all: u32,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the order of requests, ends of forwards and crashes: an upload is never forwarded twice at the same time, one
    /// with an idempotency key is executed once in the life of a process, and a non-idempotent one once at all. The log
    /// restores the same uploads.
    #[test]
    fn no_order_of_events_executes_an_upload_twice(
        steps in proptest::collection::vec((0..9_u8, 0..3_u64, 0..5_usize), 1..120)
    ) {
        let (mut uploads, mut log) = (Uploads::new(LIMITS), Vec::new());
        let mut executions: BTreeMap<UploadId, Executions> = BTreeMap::new();
        let mut under_way: BTreeMap<UploadId, u64> = BTreeMap::new();
        let mut numbers: Vec<(UploadId, u64)> = Vec::new();
        // An id is never used again, as ids are random; the effect of an upload depends on its id.
        let (mut next_id, mut now) = (0, 0);
        for (operation, choice, end) in steps {
            now += 1;
            let id = next_id - choice.min(next_id);
            let effect = EFFECTS[(id % 3) as usize];
            match operation {
                0 => {
                    next_id += 1;
                    if let Ok((entry, writer)) = uploads.create(next_id, empty_upload()) {
                        log.push(entry);
                        uploads.append(next_id, writer, 1, 7, now).expect("room");
                        prop_assert_eq!(uploads.complete(next_id, writer), Ok(true));
                        log.extend(uploads.progress_entry(next_id));
                    }
                }
                1..=3 => {
                    let phase = uploads.phase(id);
                    match uploads.begin_forward(id, effect) {
                        Ok(begun) => {
                            prop_assert_eq!(phase, Some(UploadPhase::Complete));
                            prop_assert!(under_way.insert(id, begun.number).is_none(), "two at a time");
                            numbers.push((id, begun.number));
                            log.extend(begun.entry);
                        }
                        Err(_) => prop_assert_ne!(phase, Some(UploadPhase::Complete)),
                    }
                }
                4 | 5 => {
                    // The end of any forward of this process, also of one that has ended.
                    let Some(&(id, number)) = numbers.get(choice as usize % numbers.len().max(1)) else { continue };
                    let effect = EFFECTS[(id % 3) as usize];
                    let is_current = under_way.get(&id) == Some(&number);
                    let ended = uploads.end_forward(id, number, effect, ENDS[end], now, PROTECTED_SECS);
                    prop_assert!(is_current || ended.is_none(), "a forward ended twice");
                    if let Some((_, entry)) = ended {
                        under_way.remove(&id);
                        log.extend(entry);
                        if ENDS[end] != ForwardEnd::NotReached {
                            let executions = executions.entry(id).or_default();
                            executions.in_this_life += 1;
                            executions.in_all += 1;
                        }
                    }
                }
                6 => {
                    let phase = uploads.phase(id);
                    if let Ok(entry) = uploads.discard(id, effect) {
                        prop_assert!(effect == Effect::Idempotent || phase == Some(UploadPhase::Complete));
                        under_way.remove(&id);
                        log.push(entry);
                    }
                }
                7 => {
                    for id in uploads.expired(now * 3) {
                        prop_assert!(!under_way.contains_key(&id));
                        log.extend(uploads.remove(id));
                    }
                }
                _ => {
                    // A crash: what was under way may have sent something.
                    for (id, _) in std::mem::take(&mut under_way) {
                        executions.entry(id).or_default().in_all += 1;
                    }
                    numbers.clear();
                    executions.values_mut().for_each(|executions| executions.in_this_life = 0);
                    let mut restored = Uploads::new(LIMITS);
                    log.iter().cloned().for_each(|entry: Entry| restored.replay(entry));
                    prop_assert_eq!(restored.snapshot(), uploads.snapshot());
                    restored.end_interrupted_forwards(now);
                    log = restored.snapshot();
                    uploads = restored;
                }
            }
            for (id, executions) in &executions {
                let running = u32::from(under_way.contains_key(id));
                match EFFECTS[(id % 3) as usize] {
                    Effect::Idempotent => {}
                    Effect::Deduplicated => prop_assert!(executions.in_this_life + running <= 1),
                    Effect::NonIdempotent => prop_assert!(executions.in_all + running <= 1),
                }
            }
        }
        prop_assert_eq!(uploads.total_bytes(), uploads.ids().into_iter()
            .filter(|id| !matches!(uploads.phase(*id), Some(UploadPhase::Executed(_)))).count() as u64);
    }
}
