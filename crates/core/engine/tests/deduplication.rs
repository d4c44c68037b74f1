//! Tests of the deduplication table on its own: idempotency keys and the results retained for them.

use lynxtally::{Duplicate, Instant, RequestId, Span};
use lynxtally_engine::{Deduplication, IdempotencyKey, SettledDuplicate};

/// Two duplicates wait for the first request. One is released before the first run ends; it must get no result, as its id
/// may belong to another request by then. The other one gets the result, and so does a duplicate that arrives while the
/// key is retained. After the key expired, the next request runs again; its result is too large to be retained.
#[test]
fn a_duplicate_waits_for_the_first_request_and_gets_its_result() {
    let now = Instant::from_micros(0);
    let key = IdempotencyKey { class: 0, value: "k".to_owned() };
    let fingerprint = [0; 32];
    let [first, second, third, fourth] = [0, 1, 2, 3].map(RequestId);
    let with_result = |request| SettledDuplicate { request, result: Some(b"r".to_vec()) };
    let mut keys = Deduplication::new(10);
    assert_eq!(keys.register(now, &key, fingerprint, first), Ok(Duplicate::No));
    keys.retain_key(now, &key, first, Span::from_millis(10));
    assert_eq!(keys.register(now, &key, fingerprint, second), Ok(Duplicate::Of(first)));
    assert_eq!(keys.coalesce(&key, second), None, "the first request is open");
    assert_eq!(keys.coalesce(&key, third), None);
    keys.release_request(now, &key, third);
    assert_eq!(
        keys.run_ended(&key, first, Some(b"r")),
        [with_result(second)],
        "the third request was released"
    );
    assert_eq!(keys.coalesce(&key, fourth), Some(with_result(fourth)));
    keys.release_request(now, &key, first);
    assert_eq!(
        keys.register(now, &key, fingerprint, fourth),
        Ok(Duplicate::OfReleased),
        "the key is still retained"
    );
    let later = now + Span::from_millis(10);
    keys.remove_expired(later);
    assert_eq!(keys.register(later, &key, fingerprint, fourth), Ok(Duplicate::No));
    assert_eq!(
        keys.run_ended(&key, fourth, Some(&[0; 11])),
        [],
        "no duplicate waits for this result, which is too large to be retained"
    );
    assert_eq!(keys.coalesce(&key, second), Some(SettledDuplicate { request: second, result: None }));
}
