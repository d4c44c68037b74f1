//! Tests of the deduplication table on its own: idempotency keys and the results retained for them.

use lynxtally::{Duplicate, Instant, RequestId, Span};
use lynxtally_engine::{
    ContentFingerprint, Deduplication, DuplicateOutcome, KeyConflict, RequestIdentity, SettledDuplicate,
};

/// An identity that differs from others of this function by its content only.
fn identity(content: ContentFingerprint) -> RequestIdentity {
    RequestIdentity::of_client_key(0, Some(b"tenant"), "k", content)
}

/// Two duplicates wait for the first request. One is released before the first run ends; it must get no result, as its id
/// may belong to another request by then. The other one gets the result, and so does a duplicate that arrives while the
/// key is retained. After the key expired, the next request runs again; its result is too large to be retained.
#[test]
fn a_duplicate_waits_for_the_first_request_and_gets_its_result() {
    let now = Instant::from_micros(0);
    let identity = identity(ContentFingerprint::Known([0; 32]));
    let key = identity.key();
    let [first, second, third, fourth] = [0, 1, 2, 3].map(RequestId);
    let with_result =
        |request| SettledDuplicate { request, outcome: DuplicateOutcome::Result(b"r".to_vec()) };
    let mut keys = Deduplication::new(10);
    assert_eq!(keys.register(now, &identity, first), Ok(Duplicate::No));
    keys.retain_key(now, &identity, first, Span::from_millis(10));
    assert_eq!(keys.register(now, &identity, second), Ok(Duplicate::Of(first)));
    assert_eq!(keys.coalesce(&identity, second), None, "the first request is open");
    assert_eq!(keys.coalesce(&identity, third), None);
    keys.release_request(now, key, third);
    assert_eq!(
        keys.run_ended(key, first, Some(b"r")),
        [with_result(second)],
        "the third request was released"
    );
    assert_eq!(keys.coalesce(&identity, fourth), Some(with_result(fourth)));
    keys.release_request(now, key, first);
    assert_eq!(keys.register(now, &identity, fourth), Ok(Duplicate::OfReleased), "the key is still retained");
    let later = now + Span::from_millis(10);
    keys.remove_expired(later);
    assert_eq!(keys.register(later, &identity, fourth), Ok(Duplicate::No));
    assert_eq!(
        keys.run_ended(key, fourth, Some(&[0; 11])),
        [],
        "no duplicate waits for this result, which is too large to be retained"
    );
    assert_eq!(
        keys.coalesce(&identity, second),
        Some(SettledDuplicate { request: second, outcome: DuplicateOutcome::WithoutResult })
    );
}

/// Guards against a result that reaches another tenant: both number their requests alike.
#[test]
fn requests_of_different_tenants_or_none_are_never_duplicates() {
    let now = Instant::from_micros(0);
    let mut keys = Deduplication::new(10);
    let of = |tenant| RequestIdentity::of_client_key(0, tenant, "k", ContentFingerprint::Known([0; 32]));
    let tenants: [Option<&[u8]>; 4] = [Some(b"a"), Some(b"b"), Some(b""), None];
    for (n, tenant) in tenants.into_iter().enumerate() {
        assert_eq!(keys.register(now, &of(tenant), RequestId(n as u32)), Ok(Duplicate::No), "{tenant:?}");
    }
    let shared_read = RequestIdentity::of_shared_read(0, "k");
    assert_eq!(keys.register(now, &shared_read, RequestId(4)), Ok(Duplicate::No));
    assert_eq!(keys.register(now, &of(Some(b"b")), RequestId(5)), Ok(Duplicate::Of(RequestId(1))));
}

/// The content of two requests is received after they were submitted, and of each the other way round in time: the result
/// is known first, or the content is.
#[test]
fn a_duplicate_gets_the_result_only_once_its_content_is_known_to_be_equal() {
    let now = Instant::from_micros(0);
    let pending = identity(ContentFingerprint::Pending);
    let key = pending.key();
    let [first, early, late, other, incomparable] = [0, 1, 2, 3, 4].map(RequestId);
    let settled = |request, outcome| SettledDuplicate { request, outcome };
    let with_result = |request| settled(request, DuplicateOutcome::Result(b"r".to_vec()));
    let mut keys = Deduplication::new(10);
    assert_eq!(keys.register(now, &pending, first), Ok(Duplicate::No));
    keys.retain_key(now, &pending, first, Span::from_millis(10));
    for duplicate in [early, late, other] {
        assert_eq!(keys.register(now, &pending, duplicate), Ok(Duplicate::Of(first)));
        assert_eq!(keys.coalesce(&pending, duplicate), None);
    }
    assert_eq!(keys.content_received(key, early, [1; 32]), [], "the content of the first is not known");
    assert_eq!(keys.content_received(key, other, [2; 32]), []);
    assert_eq!(
        keys.content_received(key, first, [1; 32]),
        [settled(other, DuplicateOutcome::KeyConflict)],
        "a conflict is reported while the first request still runs"
    );
    let unavailable = identity(ContentFingerprint::Unavailable);
    assert_eq!(keys.coalesce(&unavailable, incomparable), None);
    assert_eq!(
        keys.run_ended(key, first, Some(b"r")),
        [with_result(early), settled(incomparable, DuplicateOutcome::WithoutResult)]
    );
    assert_eq!(keys.content_received(key, late, [1; 32]), [with_result(late)]);
    assert_eq!(keys.register(now, &identity(ContentFingerprint::Known([2; 32])), other), Err(KeyConflict));
}

/// A duplicate is assigned the id that the first request had. Its content must not be taken for that of the first.
#[test]
fn the_content_of_a_duplicate_with_a_reused_id_is_compared_too() {
    let now = Instant::from_micros(0);
    let pending = identity(ContentFingerprint::Pending);
    let key = pending.key();
    let reused = RequestId(0);
    let mut keys = Deduplication::new(10);
    assert_eq!(keys.register(now, &pending, reused), Ok(Duplicate::No));
    keys.retain_key(now, &pending, reused, Span::from_millis(10));
    keys.content_received(key, reused, [1; 32]);
    keys.run_ended(key, reused, Some(b"r"));
    keys.release_request(now, key, reused);
    assert_eq!(keys.register(now, &pending, reused), Ok(Duplicate::OfReleased));
    assert_eq!(keys.coalesce(&pending, reused), None);
    assert_eq!(
        keys.content_received(key, reused, [2; 32]),
        [SettledDuplicate { request: reused, outcome: DuplicateOutcome::KeyConflict }]
    );
}

/// The first run ends before its content was received, as where an upstream responds early: nothing can be compared.
#[test]
fn a_result_without_known_content_is_shared_with_nobody() {
    let now = Instant::from_micros(0);
    let pending = identity(ContentFingerprint::Pending);
    let [first, waiting, late] = [0, 1, 2].map(RequestId);
    let without_result = |request| SettledDuplicate { request, outcome: DuplicateOutcome::WithoutResult };
    let mut keys = Deduplication::new(10);
    assert_eq!(keys.register(now, &pending, first), Ok(Duplicate::No));
    keys.retain_key(now, &pending, first, Span::from_millis(10));
    assert_eq!(keys.coalesce(&pending, waiting), None);
    assert_eq!(keys.run_ended(pending.key(), first, Some(b"r")), [without_result(waiting)]);
    assert_eq!(keys.coalesce(&pending, late), Some(without_result(late)));
}
