//! Tests of a stream server on loopback, one for each fault of a client, an upstream or the server itself.

mod harness;

use harness::TestServer;
use lynxtally_test_doubles::stream::{
    object_bytes, start_resetting_upstream, Client, ClientResponse, ReceivedRequest, Upstream,
};
use serde_json::json;
use std::io::Read;
use std::time::{Duration, Instant};

const MB: u64 = 1 << 20;

fn assert_complete(got: &ClientResponse, status: u16, length: u64) {
    assert_eq!((got.status, got.is_complete, got.body.len() as u64), (status, true, length));
    assert!(got.matches_object(), "the body differs from the object");
}

#[test]
fn bodies_are_forwarded_both_ways_in_every_framing_on_one_connection() {
    let server = TestServer::start(2, json!({}));
    let mut client = server.client();
    for (what, length) in
        [("bytes", 0), ("bytes", 1), ("chunked", 300_000), ("bytes", 3 * MB), ("chunked", 0)]
    {
        assert_complete(&client.get(&format!("/{what}/{length}"), "").expect("sent"), 200, length);
    }
    // A response without a length that ends with its connection is forwarded in chunks.
    let got = client.get("/close/100000", "").expect("sent");
    assert_complete(&got, 200, 100_000);
    assert_eq!(got.fields.get("transfer-encoding").map(String::as_str), Some("chunked"));
    let got = client.put("/count", "", &object_bytes(0, 2 * MB)).expect("sent");
    assert_eq!(got.body, format!("{} true\n", 2 * MB).as_bytes());
    client.send(b"PUT /count HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n").expect("sent");
    for at in 0..50 {
        let data = object_bytes(at * 1000, at * 1000 + 1000);
        client.send(b"3E8;a=b\r\n").and(client.send(&data)).and(client.send(b"\r\n")).expect("sent");
    }
    client.send(b"0\r\nX-After: 1\r\n\r\n").expect("sent");
    assert_eq!(client.read_response("PUT").body, b"50000 true\n");
    client.send(b"HEAD /bytes/77 HTTP/1.1\r\nHost: h\r\n\r\n").expect("sent");
    let got = client.read_response("HEAD");
    assert_eq!((got.status, got.fields.get("content-length").map(String::as_str)), (200, Some("77")));
    let counters = server.shut_down();
    assert_eq!((&counters["read"], &counters["finished"]), (&json!(9), &json!(9)));
}

#[test]
fn a_fast_upload_to_a_slow_upstream_uses_bounded_memory() {
    let server = TestServer::start(1, json!({"limits": {"window_kb": 64}}));
    // The upstream reads 1.6 MB per second; what exceeds the buffers of the sockets has to wait at the
    // sender.
    let got = server.client().put("/slow/16000", "", &object_bytes(0, 6 * MB)).expect("sent");
    assert_eq!(got.body, format!("{} true\n", 6 * MB).as_bytes());
    let counters = server.shut_down();
    let held = counters["held_most"].as_u64().expect("a number");
    assert!(held <= 128 * 1024 + 256 * 1024, "{held} bytes were held");
}

#[test]
fn a_receiver_that_stalls_and_continues_gets_the_whole_response() {
    let server = TestServer::start(1, json!({}));
    let mut client = server.client();
    client.send(format!("GET /bytes/{} HTTP/1.1\r\nHost: h\r\n\r\n", 16 * MB).as_bytes()).expect("sent");
    // A short pause, in place of a stall of a minute.
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(server.counters()["open"], 1);
    assert_complete(&client.read_response("GET"), 200, 16 * MB);
    assert_eq!(server.shut_down()["finished"], 1);
}

#[test]
fn five_hundred_stalled_receivers_do_not_delay_other_clients() {
    let server = TestServer::start(
        1,
        json!({"limits": {"memory_mb": 16, "connections": 1000}, "progress": {"patience": 1000}}),
    );
    let stalled_receiver = || {
        let mut client = Client::connect_with_small_receive_buffer(server.address).expect("a connection");
        client.send(format!("GET /bytes/{} HTTP/1.1\r\nHost: h\r\n\r\n", 16 * MB).as_bytes()).expect("sent");
        client
    };
    let mut stalled: Vec<Client> = (0..500).map(|_| stalled_receiver()).collect();
    let (mut before, mut rejected) = (json!(0), 0);
    server.wait_until("all receivers stall", |counters| {
        std::thread::sleep(Duration::from_millis(200));
        // On a busy machine a request may be queued for longer than these 200 ms, or rejected. All 500 receivers
        // stall only once each request has reached the upstream. A rejected request is replaced by another.
        let rejected_now = counters["rejected"].as_u64().expect("a count");
        stalled.extend((rejected..rejected_now).map(|_| stalled_receiver()));
        rejected = rejected_now;
        let down = std::mem::replace(&mut before, counters["octets_down"].clone());
        let reached_upstream = server.upstreams[0].received_requests().len();
        counters["open"] == 500 && reached_upstream == 500 && counters["octets_down"] == down
    });
    let start = Instant::now();
    for _ in 0..5 {
        assert_complete(&server.client().get(&format!("/bytes/{MB}"), "").expect("sent"), 200, MB);
    }
    // If the stalled receivers delayed other clients, these would never finish. The time
    // limit is high enough for a busy machine.
    assert!(start.elapsed() < Duration::from_secs(20), "{:?}", start.elapsed());
    let counters = server.counters();
    assert!(counters["held_most"].as_u64() <= Some(16 * MB), "{counters}");
    assert_eq!(counters["finished"], 5);
    drop(stalled);
    server.wait_until("the stalled clients are gone", |counters| counters["gone"] == 500);
    server.shut_down();
}

#[test]
fn a_shutdown_finishes_or_cuts_off_requests_and_rejects_new_ones_after_the_grace_period() {
    let server = TestServer::start(1, json!({"stop_ms": 3000, "grace_ms": 300}));
    let (mut short, mut stuck) = (server.client(), server.client());
    short.send(b"GET /drip/20 HTTP/1.1\r\nHost: h\r\n\r\n").expect("sent");
    stuck.send(format!("GET /bytes/{} HTTP/1.1\r\nHost: h\r\n\r\n", 64 * MB).as_bytes()).expect("sent");
    server.wait_until("both requests run", |counters| {
        counters["read"] == 2 && counters["octets_down"].as_u64() > Some(100_000)
    });
    server.begin_shutdown();
    std::thread::sleep(Duration::from_millis(500));
    let late = server.client().get("/bytes/10", "").expect("the server still listens");
    assert_eq!((late.status, late.is_complete), (503, true));
    assert!(late.fields.contains_key("retry-after"));
    assert_complete(&short.read_response("GET"), 200, 20);
    let (counters, is_consistent) = server.wait_for_exit();
    assert!(is_consistent, "{counters}");
    assert_eq!(
        (&counters["finished"], &counters["rejected"], &counters["abandoned"]),
        (&json!(1), &json!(1), &json!(1))
    );
    let got = stuck.read_response("GET");
    assert!(got.status == 0 || !got.is_complete, "a response that was cut off looks complete");
    assert!(
        server.upstreams[0]
            .received_requests()
            .iter()
            .all(|request| request.method_and_path != "GET /bytes/10"),
        "a request was executed after the grace period"
    );
}

#[test]
fn a_download_whose_upstream_fails_at_any_tenth_is_resumed_from_another() {
    let server =
        TestServer::start(2, json!({"repeats": {"price": 1, "most": 20}, "leave_out": {"failures": 100}}));
    for tenth in 0..10 {
        let got = server.client().get(&format!("/die/1000000/{}", tenth * 100_000), "").expect("sent");
        assert_complete(&got, 200, 1_000_000);
    }
    let counters = server.shut_down();
    assert_eq!((&counters["finished"], &counters["resumed"]), (&json!(10), &json!(10)));
}

#[test]
fn a_download_is_not_resumed_with_a_changed_object() {
    let server = TestServer::start(2, json!({"repeats": {"price": 1, "most": 20}}));
    // Whichever upstream fails, the other one has a different object.
    server.upstreams[1].set_etag("\"two\"");
    for _ in 0..4 {
        let got = server.client().get("/die/1000000/500000", "").expect("sent");
        assert_eq!((got.status, got.is_complete), (200, false));
        assert!(got.body.len() <= 500_000);
    }
    let counters = server.shut_down();
    assert_eq!(counters["abandoned"], 4);
}

#[test]
fn a_response_that_was_cut_off_never_looks_complete_in_any_framing() {
    let server = TestServer::start(1, json!({"repeats": {"price": 1, "most": 0}}));
    for tenth in 1..10 {
        let got = server.client().get(&format!("/die/1000000/{}", tenth * 100_000), "").expect("sent");
        assert!(got.status == 200 && !got.is_complete, "{} bytes look complete", got.body.len());
        // HTTP/1.0 has no chunks: only a reset of the connection shows that the response was cut off.
        let mut old = server.client();
        old.send(format!("GET /die/1000000/{} HTTP/1.0\r\n\r\n", tenth * 100_000).as_bytes()).expect("sent");
        assert!(!old.read_response("GET").is_complete);
    }
    assert_eq!(server.shut_down()["abandoned"], 18);
}

#[test]
fn an_upload_whose_upstream_fails_is_retried_only_if_its_class_is_restartable() {
    let server =
        TestServer::start(2, json!({"repeats": {"price": 1, "most": 3}, "leave_out": {"failures": 100}}));
    let body = object_bytes(0, 100_000);
    // The class is restartable and a copy of the body is held: the upload goes to the other upstream, which
    // fails as well.
    let got = server.client().put("/break/50000", "", &body).expect("sent");
    assert_eq!(got.status, 502);
    let attempts = |what: &str| -> usize {
        server
            .upstreams
            .iter()
            .map(|u| {
                u.received_requests().iter().filter(|request| request.method_and_path.contains(what)).count()
            })
            .sum()
    };
    assert_eq!(attempts("/break"), 2);
    // The class is side-effecting: the upstream may have acted on a part of the request.
    let mut client = server.client();
    let head = "POST /break/50000 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n";
    let _ = client.send(head.as_bytes()).and(client.send(&body));
    assert_eq!(client.read_response("POST").status, 502);
    let counters = server.shut_down();
    assert_eq!(counters["abandoned"], 2, "{counters}");
}

/// Guards against losing count of the bytes that an upstream has read. The upstream resets its connection in
/// the middle of an upload whose client is still sending, so that its reset crosses the proxy's next write.
/// If some of the upload was sent and its class is not idempotent, it must not be sent to another upstream,
/// nor be answered as not executed. The client must always get a response.
#[test]
fn an_upload_whose_upstream_fails_while_the_client_sends_gets_a_response() {
    let server =
        TestServer::start(2, json!({"repeats": {"price": 1, "most": 500}, "leave_out": {"failures": 1000}}));
    let body = object_bytes(0, 100_000);
    let rounds = 30;
    for round in 0..rounds {
        let at = 3_000 * (round + 1);
        for (method, path) in [("PUT", "/break"), ("POST", "/halt")] {
            let target = format!("{path}/{at}/{round}");
            let mut client = server.client();
            let head = format!("{method} {target} HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
            client.send(head.as_bytes()).expect("sent");
            for part in body.chunks(4 * 1024) {
                // The client may stop sending once it has a response.
                if client.send(part).is_err() {
                    break;
                }
            }
            assert_eq!(client.read_response(method).status, 502, "{method} {target}");
        }
        let attempts = |what: &str| -> usize {
            let seen = |request: &&ReceivedRequest| request.method_and_path.ends_with(what);
            server
                .upstreams
                .iter()
                .map(|upstream| upstream.received_requests().iter().filter(seen).count())
                .sum()
        };
        assert_eq!(attempts(&format!("/break/{at}/{round}")), 2, "an idempotent upload is retried once");
        assert_eq!(
            attempts(&format!("/halt/{at}/{round}")),
            1,
            "an upload that is not idempotent is not retried"
        );
    }
    let counters = server.shut_down();
    assert_eq!(counters["abandoned"], 2 * rounds, "{counters}");
}

/// Guards against losing output with a connection that never carried it. The first upstream resets each
/// connection right after accepting it, as one does while its process is being replaced. Output that could
/// not be written to it has to go to the other upstream completely.
#[test]
fn an_upload_reset_unread_by_the_first_upstream_arrives_complete_at_the_other() {
    let upstream = Upstream::start(harness::unused_address()).expect("an upstream");
    let mut first = upstream.clone();
    first.address = start_resetting_upstream(harness::unused_address()).expect("an upstream");
    // This test is not about connect timeouts, so the timeout is high enough for a busy machine.
    let overrides = json!({"repeats": {"price": 1, "most": 500}, "leave_out": {"failures": 1000},
        "limits": {"connect_ms": 20_000}});
    let settings = harness::settings(&[first, upstream.clone()], overrides);
    let server = TestServer::with(settings, vec![upstream]);
    let body = object_bytes(0, 100_000);
    for round in 0..100 {
        let got = server.client().put("/count", "", &body).expect("sent");
        assert_eq!((got.status, &got.body[..]), (200, &b"100000 true\n"[..]), "round {round}");
        // If some of this request was written, no other upstream may get it; then a 502 is the only allowed
        // outcome.
        let mut client = server.client();
        let head = "POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n";
        let _ = client.send(head.as_bytes()).and(client.send(&body));
        let status = client.read_response("POST").status;
        assert!(matches!(status, 200 | 502), "round {round}: {status}");
    }
    let requests = server.upstreams[0].received_requests();
    assert!(
        requests
            .iter()
            .all(|request| request.is_complete && request.matches_object && request.body_bytes == 100_000),
        "{requests:?}"
    );
    server.shut_down();
}

#[test]
fn a_request_that_reached_no_upstream_is_rejected_as_not_executed() {
    let server = TestServer::start(1, json!({}));
    server.upstreams[0].stop();
    std::thread::sleep(Duration::from_millis(50));
    let got = server.client().put("/once", "", &object_bytes(0, 10_000)).expect("sent");
    assert_eq!(got.status, 503);
    assert!(got.fields.contains_key("retry-after"));
    assert_eq!(server.shut_down()["rejected"], 1);
}

#[test]
fn an_upload_reset_by_its_client_at_any_tenth_frees_its_memory_and_never_looks_complete() {
    let server = TestServer::start(1, json!({}));
    for tenth in 0..10_u64 {
        let mut client = server.client();
        client.send(b"POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n").expect("sent");
        client.send(&object_bytes(0, tenth * 100_000)).expect("sent");
        server.wait_until("the body arrived", |counters| {
            counters["read"] == tenth + 1
                && counters["octets_up"].as_u64() >= Some(tenth * (tenth + 1) / 2 * 100_000)
        });
        client.reset();
        server.wait_until("the client is gone", |counters| {
            counters["gone"] == tenth + 1 && counters["held"] == 0
        });
    }
    let requests = server.upstreams[0].received_requests();
    assert!(requests.iter().all(|request| !request.is_complete), "{requests:?}");
    assert_eq!(server.shut_down()["finished"], 0);
}

#[test]
fn an_early_error_response_reaches_a_client_that_is_still_uploading() {
    let server = TestServer::start(1, json!({}));
    let mut client = server.client();
    client
        .send(b"POST /refuse/200000 HTTP/1.1\r\nHost: h\r\nContent-Length: 50000000\r\n\r\n")
        .expect("sent");
    // The client sends no more than this before it has a response.
    client.send(&object_bytes(0, 250_000)).expect("sent");
    let got = client.read_response("POST");
    assert_eq!((got.status, &got.body[..], got.is_complete), (413, &b"large\n"[..], true));
    assert_eq!(got.fields.get("connection").map(String::as_str), Some("close"));
    assert_eq!(server.shut_down()["finished"], 1);
}

#[test]
fn a_rejected_upload_is_not_asked_for_its_body() {
    let server = TestServer::start(
        1,
        json!({"limits": {"at_once": 1}, "stages": [
        {"name": "up", "utility": 1.0, "due_ms": 20000, "limit_ms": 20000, "effect": "side-effecting"}]}),
    );
    // The first request is admitted, and told to send its body.
    let mut first = server.client();
    first
        .send(b"POST /slow/100 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5000\r\n\r\n")
        .expect("sent");
    assert_eq!(first.read_head().map(|(status, _)| status), Some(100));
    // After the shutdown signal and its grace period, no request is admitted.
    server.begin_shutdown();
    std::thread::sleep(Duration::from_millis(1200));
    let mut second = server.client();
    second
        .send(b"POST /count HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5000\r\n\r\n")
        .expect("sent");
    assert_eq!(second.read_head().map(|(status, _)| status), Some(503));
    let (counters, is_consistent) = server.wait_for_exit();
    assert!(is_consistent, "{counters}");
}

#[test]
fn a_pipelined_request_is_not_executed() {
    let server = TestServer::start(1, json!({}));
    let mut client = server.client();
    client
        .send(b"GET /bytes/100 HTTP/1.1\r\nHost: h\r\n\r\nGET /bytes/50 HTTP/1.1\r\nHost: h\r\n\r\n")
        .expect("sent");
    assert_complete(&client.read_response("GET"), 200, 100);
    assert_eq!(client.read_response("GET").status, 0, "the connection is closed");
    assert_eq!(server.shut_down()["read"], 1);
}

#[test]
fn ambiguous_messages_are_refused() {
    let server = TestServer::start(1, json!({}));
    for (head, status) in [
        ("POST /count HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        ("POST /count HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", 400),
        ("POST /count HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\n", 400),
        ("POST /count HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 415),
        ("POST /count HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        ("POST /count HTTP/1.1\r\nContent-Length: 3\r\n\r\n", 400),
        ("GET /bytes/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        ("POST /count HTTP/1.1\r\nHost: h\r\nExpect: wonders\r\n\r\n", 417),
        ("POST /mark HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 400),
    ] {
        let mut client = server.client();
        client.send(head.as_bytes()).expect("sent");
        assert_eq!(client.read_response("POST").status, status, "{head:?}");
    }
    let mut client = server.client();
    client.send(b"POST /count HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n").expect("sent");
    client.send(b"5\r\nhello\r\n10000000000000000\r\n").expect("sent");
    assert_eq!(client.read_response("POST").status, 400);
    let requests = server.upstreams[0].received_requests();
    assert!(requests.iter().all(|request| !request.is_complete), "{requests:?}");
    server.shut_down();
}

#[test]
fn a_duplicate_of_a_fingerprinted_request_gets_the_first_response() {
    let server = TestServer::start(2, json!({}));
    let body = object_bytes(0, 20_000);
    let send = || server.client().put("/mark", "Idempotency-Key: tractor-17\r\n", &body).expect("sent");
    let (first, again) = (send(), send());
    assert_eq!((first.status, &first.body[..]), (200, &b"20000 true\n"[..]));
    assert_eq!((again.status, &again.body), (200, &first.body));
    let seen: usize = server.upstreams.iter().map(|upstream| upstream.received_requests().len()).sum();
    assert_eq!(seen, 1, "the request was executed twice");
    assert_eq!(server.shut_down()["finished"], 2);
}

#[test]
fn a_slow_response_is_encoded_without_being_held_back() {
    let server = TestServer::start(1, json!({"coding": {"code_from_kb": 1}}));
    let mut client = server.client();
    client.send(b"GET /drip/60 HTTP/1.1\r\nHost: h\r\nAccept-Encoding: gzip\r\n\r\n").expect("sent");
    let start = Instant::now();
    let (status, fields) = client.read_head().expect("a response");
    assert_eq!((status, fields.get("content-encoding").map(String::as_str)), (200, Some("gzip")));
    // The first byte arrives long before the last one is produced.
    assert!(!client.read_bytes(16).is_empty());
    assert!(start.elapsed() < Duration::from_millis(2500), "{:?}", start.elapsed());
    for (coding, name) in [("gzip", "gzip"), ("zstd;q=1, gzip;q=0.5", "zstd")] {
        let got =
            server.client().get("/text/100000", &format!("Accept-Encoding: {coding}\r\n")).expect("sent");
        assert!(got.is_complete && got.body.len() < 10_000, "{}", got.body.len());
        assert_eq!(got.fields.get("content-encoding").map(String::as_str), Some(name));
        assert_eq!(got.fields.get("etag").map(String::as_str), Some("W/\"t\""));
        let mut text = Vec::new();
        match name {
            "gzip" => {
                flate2::read::GzDecoder::new(&got.body[..]).read_to_end(&mut text).expect("a complete body")
            }
            _ => zstd::stream::copy_decode(&got.body[..], &mut text).map(|()| 0).expect("a complete body"),
        };
        assert_eq!(text.len(), 100_000);
    }
    let plain = server.client().get("/text/100000", "").expect("sent");
    assert_eq!(plain.body.len(), 100_000);
    server.shut_down();
}

#[test]
fn a_decompression_bomb_is_refused_and_a_normal_encoded_upload_arrives() {
    use std::io::Write;
    let server = TestServer::start(1, json!({"coding": {"ratio": 20.0, "slack_kb": 64}}));
    let gzip = |data: &[u8]| {
        let mut coder = flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::best());
        coder.write_all(data).and_then(|()| coder.finish()).expect("coded")
    };
    let bomb = gzip(&vec![0; 8_000_000]);
    let got = server.client().put("/count", "Content-Encoding: gzip\r\n", &bomb).expect("sent");
    assert_eq!(got.status, 413);
    for (coding, coded) in [
        ("gzip", gzip(&object_bytes(0, 300_000))),
        ("zstd", zstd::encode_all(&object_bytes(0, 300_000)[..], 3).expect("coded")),
    ] {
        let fields = format!("Content-Encoding: {coding}\r\n");
        let got = server.client().put("/count", &fields, &coded).expect("sent");
        assert_eq!(got.body, b"300000 true\n", "{coding}");
        // Half of the encoded body is not complete, although the framing says so.
        let got = server.client().put("/count", &fields, &coded[..coded.len() / 2]).expect("sent");
        assert_eq!(got.status, 400, "{coding}");
    }
    assert!(server.upstreams[0].received_requests().iter().all(|request| request.body_bytes < 2_000_000));
    server.shut_down();
}
