//! Tests of requests with an idempotency key: which of them get the response to an earlier request.

mod harness;

use harness::TestServer;
use lynxtally_test_doubles::stream::{object_bytes, ClientResponse};
use serde_json::json;
use std::time::Duration;

/// The class of all requests, and the field that names their tenants. Tenant `c` is not listed.
fn overrides() -> serde_json::Value {
    json!({
        "stages": [
            {"name": "booking", "utility": 4.0, "due_ms": 20_000, "limit_ms": 40_000, "effect": "fingerprinted"},
        ],
        "customer_field": "X-Org",
        "customers": [{"name": "a", "quota": 50.0}, {"name": "b", "quota": 50.0}],
    })
}

/// The fields of a request of this tenant with the idempotency key of all tests.
fn fields(tenant: &str) -> String {
    format!("X-Org: {tenant}\r\nIdempotency-Key: \"booking-17\"\r\n")
}

fn put(server: &TestServer, target: &str, tenant: &str, body: &[u8]) -> ClientResponse {
    server.client().put(target, &fields(tenant), body).expect("sent")
}

fn executed(server: &TestServer) -> usize {
    server.upstreams.iter().map(|upstream| upstream.received_requests().len()).sum()
}

/// Sends a request that takes 500 ms or more at its upstream, calls `meanwhile` while it is open, and returns its response.
fn while_open(server: &TestServer, tenant: &str, body: &[u8], meanwhile: impl FnOnce()) -> ClientResponse {
    std::thread::scope(|scope| {
        let mut client = server.client();
        let first = scope.spawn(move || client.put("/slow/100", &fields(tenant), body).expect("sent"));
        server.wait_until("the first request is open", |counters| {
            counters["open"] == 1 && counters["octets_up"].as_u64() >= Some(body.len() as u64)
        });
        meanwhile();
        first.join().expect("the first client ends")
    })
}

/// Guards against an answer that reaches another tenant: two clients use the same idempotency key, by chance or because one
/// of them copies it, and the second one gets the result of the first, with the data of another tenant in it.
#[test]
fn a_key_that_another_tenant_uses_is_answered_with_a_result_of_its_own() {
    for [owner, other] in [["a", "b"], ["c", "d"], ["a", "c"]] {
        let server = TestServer::start(1, overrides());
        let (body, other_body) = (object_bytes(0, 10_000), object_bytes(0, 5000));
        let first = while_open(&server, owner, &body, || {
            let got = put(&server, "/slow/100", other, &other_body);
            assert_eq!(
                (got.status, &got.body[..]),
                (200, &b"5000 true\n"[..]),
                "{other} while {owner} is open"
            );
        });
        assert_eq!((first.status, &first.body[..]), (200, &b"10000 true\n"[..]));
        let again = put(&server, "/slow/100", owner, &body);
        assert_eq!((again.status, again.body), (200, first.body), "the owner's own duplicate");
        assert_eq!(executed(&server), 2, "{owner} and {other}");
        let counters = server.shut_down();
        assert_eq!((&counters["replayed"], &counters["key_conflicts"]), (&json!(1), &json!(0)));
    }
}

/// Guards against an answer to a request that nothing was executed for: a client uses the key of an earlier request of its
/// tenant for another one, and is told the result of the earlier one.
#[test]
fn a_key_that_is_used_again_with_other_content_is_refused() {
    let server = TestServer::start(1, overrides());
    let body = object_bytes(0, 10_000);
    let mut same_length = body.clone();
    same_length[9999] ^= 1;
    let contents = [("/slow/100", &same_length[..]), ("/slow/100", &body[..9999]), ("/slow/100?a=1", &body)];
    let assert_refused = |when| {
        for (target, content) in contents {
            let got = put(&server, target, "a", content);
            assert_eq!(got.status, 422, "{when}: {target} with {} bytes", content.len());
        }
    };
    let first = while_open(&server, "a", &body, || assert_refused("open"));
    assert_eq!((first.status, &first.body[..]), (200, &b"10000 true\n"[..]));
    assert_refused("retained");
    assert_eq!(executed(&server), 1);
    assert_eq!(server.shut_down()["key_conflicts"], 6);
}

/// The same content arrives in other pieces: in chunks, after `100 Continue`, and later than the first run has ended.
#[test]
fn a_duplicate_gets_the_first_response_however_its_body_arrives() {
    let server = TestServer::start(1, overrides());
    let body = object_bytes(0, 10_000);
    let mut late = server.client();
    let first = while_open(&server, "a", &body, || {
        let head =
            format!("PUT /slow/100 HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n{}\r\n", fields("a"));
        late.send(&[head.as_bytes(), &body[..5000]].concat()).expect("sent");
        server.wait_until("the late duplicate is open", |counters| counters["open"] == 2);
    });
    server.wait_until("the first request has ended", |counters| counters["finished"] == 1);
    late.send(&body[5000..]).expect("sent");
    let got = late.read_response("PUT");
    assert_eq!((got.status, &got.body), (200, &first.body));
    let mut chunked = server.client();
    let head = format!(
        "PUT /slow/100 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n{}\r\n",
        fields("a")
    );
    chunked.send(head.as_bytes()).expect("sent");
    assert_eq!(chunked.read_head().map(|(status, _)| status), Some(100));
    for chunk in body.chunks(999) {
        chunked.send(format!("{:x}\r\n", chunk.len()).as_bytes()).expect("sent");
        chunked.send(&[chunk, b"\r\n"].concat()).expect("sent");
    }
    chunked.send(b"0\r\n\r\n").expect("sent");
    let got = chunked.read_response("PUT");
    assert_eq!((got.status, &got.body), (200, &first.body));
    assert_eq!(executed(&server), 1);
    server.shut_down();
}

/// A duplicate whose body never ends, and one that breaks off, hold up neither the shutdown nor each other: each request
/// has its final response by the deadline.
#[test]
fn a_duplicate_whose_body_never_ends_is_answered_during_a_shutdown() {
    let mut overrides = overrides();
    (overrides["stop_ms"], overrides["grace_ms"]) = (json!(1500), json!(300));
    let server = TestServer::start(1, overrides);
    let body = object_bytes(0, 10_000);
    assert_eq!(put(&server, "/mark", "a", &body).status, 200);
    let head = format!("PUT /mark HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n{}\r\n", fields("a"));
    let [mut endless, mut broken] = [server.client(), server.client()];
    for client in [&mut endless, &mut broken] {
        client.send(&[head.as_bytes(), &body[..5000]].concat()).expect("sent");
    }
    server.wait_until("both duplicates are open", |counters| counters["open"] == 2);
    broken.reset();
    server.wait_until("the broken duplicate is gone", |counters| counters["gone"] == 1);
    endless.stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
    server.begin_shutdown();
    assert_eq!(endless.read_response("PUT").status, 504);
    let (counters, is_consistent) = server.wait_for_exit();
    assert!(is_consistent && counters["finished"] == 1, "{counters}");
    assert_eq!(executed(&server), 1);
}
