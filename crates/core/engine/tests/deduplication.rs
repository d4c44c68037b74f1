//! Idempotency keys and the results retained for them, without an engine around.

use lynxtally::{Duplicate, Instant, RequestId, Span};
use lynxtally_engine::{Deduplication, IdempotencyKey, SettledDuplicate};

/// Two duplicates wait for the first request, and one of them is over before it ends: its id may be another's by then.
/// The other gets the result, and so does one that comes while the key is retained. Later the key is unknown again, and
/// the next result finds no room.
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
    assert_eq!(keys.coalesce(&key, second), None, "the first is open");
    assert_eq!(keys.coalesce(&key, third), None);
    keys.release_request(now, &key, third);
    assert_eq!(keys.run_ended(&key, first, Some(b"r")), [with_result(second)], "the third is over");
    assert_eq!(keys.coalesce(&key, fourth), Some(with_result(fourth)));
    keys.release_request(now, &key, first);
    assert_eq!(
        keys.register(now, &key, fingerprint, fourth),
        Ok(Duplicate::OfReleased),
        "its key is still retained"
    );
    let later = now + Span::from_millis(10);
    keys.remove_expired(later);
    assert_eq!(keys.register(later, &key, fingerprint, fourth), Ok(Duplicate::No));
    assert_eq!(keys.run_ended(&key, fourth, Some(&[0; 11])), [], "no room is left for this result");
    assert_eq!(keys.coalesce(&key, second), Some(SettledDuplicate { request: second, result: None }));
}
