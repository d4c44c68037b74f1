//! Tests of requests that repeat the one that completed an upload, at its location or with its idempotency key: the upload
//! is executed once, and the client learns the outcome.

mod harness;

use harness::uploads::{append, create_upload, upload_file, upload_status, wait_for_archived, TestDirectory};
use harness::{settings, unused_address, TestServer};
use lynxtally_test_doubles::stream::{object_bytes, Client, ClientResponse, Upstream};
use serde_json::json;
use std::time::Duration;

const LENGTH: usize = 10_000;
const KEY: &str = "X-Org: a\r\nIdempotency-Key: \"booking-17\"\r\n";
/// The response of the upstreams to a request that arrived whole.
const EXECUTED: (u16, &[u8]) = (200, b"10000 true\n");

/// For each class a target that takes a second, a target that is reset while it is executed, and whether an execution may
/// be repeated.
const CLASSES: [(&str, &str, bool); 3] = [
    ("/slow/100", "/break/5000", true),
    ("/slow/101", "/break/5001", false),
    ("/slow/102", "/break/5002", false),
];

fn overrides(directory: &TestDirectory) -> serde_json::Value {
    let class = |name, paths: [&str; 2], effect| {
        json!({"name": name, "paths": paths, "utility": 4.0, "due_ms": 20_000, "limit_ms": 40_000,
               "effect": effect, "resumable": true})
    };
    json!({
        "state": directory.0, "customer_field": "X-Org",
        "stages": [
            class("log", [CLASSES[0].0, CLASSES[0].1], "restartable"),
            class("once", [CLASSES[1].0, CLASSES[1].1], "side-effecting"),
            class("mark", [CLASSES[2].0, CLASSES[2].1], "fingerprinted"),
        ],
    })
}

fn start(name: &str) -> (TestDirectory, TestServer) {
    let directory = TestDirectory::new(name);
    let server = TestServer::start(1, overrides(&directory));
    (directory, server)
}

/// Creates an upload with all bytes of the object, but not complete. Returns its location.
fn create_incomplete(server: &TestServer, target: &str, body: &[u8]) -> String {
    let created = server.client().put(target, &format!("Upload-Complete: ?0\r\n{KEY}"), body).expect("sent");
    assert_eq!(created.status, 201, "{target}");
    created.fields["location"].clone()
}

/// Sends the last request of an upload, without any bytes.
fn send_last(server: &TestServer, location: &str) -> Client {
    let mut client = server.client();
    let head = format!(
        "PATCH {location} HTTP/1.1\r\nHost: h\r\nContent-Type: application/partial-upload\r\n\
         Upload-Offset: {LENGTH}\r\nUpload-Complete: ?1\r\nContent-Length: 0\r\n\r\n"
    );
    client.send(head.as_bytes()).expect("sent");
    client
}

fn last(server: &TestServer, location: &str) -> ClientResponse {
    send_last(server, location).read_response("PATCH")
}

fn outcome(response: &ClientResponse) -> (u16, &[u8]) {
    (response.status, &response.body)
}

fn executed(server: &TestServer) -> usize {
    server.upstreams.iter().map(|upstream| upstream.received_requests().len()).sum()
}

/// Waits until all bytes of the upload were sent to the upstream.
fn wait_for_forward(server: &TestServer, before: &serde_json::Value) {
    let sent = |counters: &serde_json::Value| counters["octets_up"].as_u64().unwrap_or(0);
    server.wait_until("the upload is forwarded", |counters| sent(counters) >= sent(before) + LENGTH as u64);
}

/// Guards against a second execution of an upload: the upstream is slow, the client stops waiting and repeats its last
/// request while the first one is still executed, on other connections and many times.
#[test]
fn an_upload_whose_last_request_is_repeated_is_executed_once() {
    for (target, _, may_repeat) in CLASSES {
        let (_directory, server) = start("repeated");
        let location = create_incomplete(&server, target, &object_bytes(0, LENGTH as u64));
        let mut clients: Vec<Client> = (0..4).map(|_| send_last(&server, &location)).collect();
        server.wait_until("the upload is forwarded", |counters| counters["octets_up"].as_u64() > Some(5000));
        clients.extend((0..4).map(|_| send_last(&server, &location)));
        for mut client in clients {
            assert_eq!(outcome(&client.read_response("PATCH")), EXECUTED, "{target}");
        }
        assert_eq!(executed(&server), 1, "{target}");
        // Whoever comes later learns the outcome, unless the execution may be repeated.
        let expected = if may_repeat { (404, None) } else { (204, Some(LENGTH as u64)) };
        assert_eq!(upload_status(&server, &location), expected, "{target}");
        if !may_repeat {
            assert_eq!(outcome(&last(&server, &location)), EXECUTED, "{target}");
        }
        assert_eq!(executed(&server), 1, "{target}");
        let counters = server.shut_down();
        assert_eq!(counters["uploads_joined"], if may_repeat { 7 } else { 8 }, "{target}: {counters}");
    }
}

/// Guards against an outcome that is lost with the client's connection: the bytes of the upload are here, so its execution
/// goes on, and the client learns the outcome when it comes back, during the execution or after it.
#[test]
fn a_client_that_is_reset_during_the_execution_of_its_upload_learns_the_outcome() {
    for (target, _, may_repeat) in CLASSES {
        for is_back_early in [true, false] {
            let (_directory, server) = start("reset");
            let location = create_incomplete(&server, target, &object_bytes(0, LENGTH as u64));
            let before = server.counters();
            let client = send_last(&server, &location);
            wait_for_forward(&server, &before);
            client.reset();
            if !is_back_early {
                server.wait_until("the execution has ended", |counters| counters["open"] == 0);
                assert_eq!(upload_status(&server, &location), (204, Some(LENGTH as u64)), "{target}");
            }
            assert_eq!(outcome(&last(&server, &location)), EXECUTED, "{target}");
            assert_eq!(executed(&server), 1, "{target}");
            let status_later = if may_repeat { 404 } else { 204 };
            assert_eq!(upload_status(&server, &location).0, status_later, "{target}");
            server.shut_down();
        }
    }
}

/// Guards against an upload that is executed twice by two names: its location, and the idempotency key of the request that
/// created it, which comes again in one request or in several, with upload fields or without, here or at a second location.
#[test]
fn the_location_and_the_key_of_an_upload_lead_to_one_execution() {
    let (_directory, server) = start("two-names");
    let target = CLASSES[2].0;
    let body = object_bytes(0, LENGTH as u64);
    let other = object_bytes(1, LENGTH as u64 + 1);
    let address = server.address;
    let put = |fields: &str, body: &[u8]| {
        let mut client = Client::connect(address).expect("a connection");
        client.put(target, &format!("{fields}{KEY}"), body).expect("sent")
    };
    let locations = [(); 2].map(|()| create_incomplete(&server, target, &body));
    let other_location = create_incomplete(&server, target, &other);
    for when in ["under way", "answered"] {
        let first = send_last(&server, &locations[0]);
        std::thread::scope(|scope| {
            let mut first = first;
            let answer = scope.spawn(move || first.read_response("PATCH"));
            if when == "under way" {
                server.wait_until("the upload is forwarded", |counters| {
                    counters["octets_up"].as_u64() > Some(5000)
                });
            }
            let same = ["", "Upload-Complete: ?1\r\n"].map(|fields| {
                let (put, body) = (&put, &body);
                scope.spawn(move || put(fields, body))
            });
            let second = send_last(&server, &locations[1]).read_response("PATCH");
            assert_eq!(outcome(&second), EXECUTED, "{when}: the second location");
            for response in same {
                assert_eq!(outcome(&response.join().expect("a response")), EXECUTED, "{when}");
            }
            assert_eq!(outcome(&answer.join().expect("a response")), EXECUTED, "{when}");
        });
        for fields in ["", "Upload-Complete: ?1\r\n"] {
            assert_eq!(put(fields, &other).status, 422, "{when}: other content");
        }
        assert_eq!(last(&server, &other_location).status, 422, "{when}: other content in parts");
        assert_eq!(executed(&server), 1, "{when}");
    }
    server.shut_down();
}

/// The other way round: a request that is not stored is executed first, then an upload with its key arrives.
#[test]
fn an_upload_with_the_key_of_an_executed_request_gets_its_response() {
    let (directory, server) = start("request-first");
    let target = CLASSES[2].0;
    let body = object_bytes(0, LENGTH as u64);
    let first = server.client().put(target, KEY, &body).expect("sent");
    assert_eq!(outcome(&first), EXECUTED);
    let location = create_incomplete(&server, target, &body);
    assert_eq!(outcome(&last(&server, &location)), EXECUTED);
    assert_eq!(upload_status(&server, &location), (204, Some(LENGTH as u64)));
    server.wait_until("the bytes are removed", |_| !upload_file(&directory, &location).exists());
    assert_eq!(executed(&server), 1);
    server.shut_down();
}

/// Guards against an answer that invites a second execution: the upstream resets the connection while it executes the upload.
/// Whether it was executed is not known, so neither the location nor the key leads to another execution.
#[test]
fn an_upload_that_may_have_been_executed_is_not_executed_again() {
    for (_, target, may_repeat) in CLASSES {
        let (_directory, server) = start("lost");
        let body = object_bytes(0, LENGTH as u64);
        let location = create_incomplete(&server, target, &body);
        assert_eq!(last(&server, &location).status, 502, "{target}");
        assert_eq!(last(&server, &location).status, 502, "{target}");
        let status = if may_repeat { 204 } else { 502 };
        assert_eq!(upload_status(&server, &location).0, status, "{target}");
        assert_eq!(executed(&server), if may_repeat { 2 } else { 1 }, "{target}");
        if target == CLASSES[2].1 {
            let second = create_incomplete(&server, target, &body);
            assert_eq!(last(&server, &second).status, 502);
            assert_ne!(server.client().put(target, KEY, &body).expect("sent").status, 200);
            assert_eq!(executed(&server), 1);
        }
        let counters = server.shut_down();
        let refused = counters["uploads_refused"].as_u64().expect("a number");
        assert_eq!(refused > 0, !may_repeat, "{target}: {counters}");
    }
}

/// Guards against a client that is refused although nothing of its upload was executed: the upstream could not be reached.
#[test]
fn an_upload_that_reached_no_upstream_is_executed_when_its_last_request_comes_again() {
    for (target, _, _) in CLASSES {
        let (_directory, mut server) = start("not-reached");
        let location = create_incomplete(&server, target, &object_bytes(0, LENGTH as u64));
        let address = server.upstreams[0].address;
        server.upstreams[0].stop();
        std::thread::sleep(Duration::from_millis(100));
        for _ in 0..3 {
            let refused = last(&server, &location);
            assert_eq!(refused.status, 503, "{target}");
            assert!(refused.fields.contains_key("retry-after"), "{target}");
        }
        server.upstreams[0] = Upstream::start(address).expect("the upstream is back");
        // A failed upstream is left out for a second at first.
        let mut got = last(&server, &location);
        for _ in 0..50 {
            if got.status != 503 {
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
            got = last(&server, &location);
        }
        assert_eq!(outcome(&got), EXECUTED, "{target}");
        assert_eq!(executed(&server), 1, "{target}");
        server.shut_down();
    }
}

/// A request with bytes does not repeat the last one, and an execution that has begun can't be cancelled.
#[test]
fn an_upload_that_is_executed_can_be_neither_changed_nor_cancelled() {
    let (_directory, server) = start("unchanged");
    let location = create_incomplete(&server, CLASSES[1].0, &object_bytes(0, LENGTH as u64));
    let before = server.counters();
    let mut first = send_last(&server, &location);
    wait_for_forward(&server, &before);
    for offset in [LENGTH as u64 - 1, LENGTH as u64] {
        let got = append(&server, &location, offset, 1, &object_bytes(offset, offset + 1));
        assert_eq!((got.status, got.fields["upload-offset"].as_str()), (409, "10000"), "from {offset}");
    }
    let mut client = server.client();
    client.send(format!("DELETE {location} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes()).expect("sent");
    assert_eq!(client.read_response("DELETE").status, 409);
    assert_eq!(outcome(&first.read_response("PATCH")), EXECUTED);
    assert_eq!(executed(&server), 1);
    server.shut_down();
}

/// Guards against a second execution after a restart: what a process has executed is known to the next one. The response is
/// not, so the client is told that there is none.
#[test]
fn an_executed_upload_is_not_executed_after_a_restart() {
    for (target, _, _) in CLASSES.into_iter().filter(|(_, _, may_repeat)| !may_repeat) {
        let directory = TestDirectory::new("restarted");
        let upstream = Upstream::start(unused_address()).expect("an upstream");
        let start = || {
            let settings = settings(std::slice::from_ref(&upstream), overrides(&directory));
            TestServer::with(settings, vec![upstream.clone()])
        };
        let server = start();
        let location = create_incomplete(&server, target, &object_bytes(0, LENGTH as u64));
        assert_eq!(outcome(&last(&server, &location)), EXECUTED);
        server.begin_shutdown();
        assert!(server.wait_for_exit().1);
        let server = start();
        assert_eq!(upload_status(&server, &location), (204, Some(LENGTH as u64)), "{target}");
        assert_eq!(last(&server, &location).status, 502, "{target}");
        assert_eq!(executed(&server), 1, "{target}");
        server.shut_down();
    }
}

/// An upload that is dropped in the middle may be sent again with its key: nothing of it was executed.
#[test]
fn a_key_whose_upload_was_dropped_in_the_middle_may_be_used_again() {
    let (directory, server) = start("dropped");
    let (target, body) = (CLASSES[2].0, object_bytes(0, LENGTH as u64));
    let (client, location) = create_upload(&server, target, LENGTH, &body[..4000], KEY);
    wait_for_archived(&server, &directory, &location, 4000);
    client.reset();
    let again = server.client().put(target, &format!("Upload-Complete: ?1\r\n{KEY}"), &body).expect("sent");
    assert_eq!(outcome(&again), EXECUTED);
    // The client that resumes the first upload gets the same outcome.
    let resumed = append(&server, &location, 4000, 1, &body[4000..]);
    assert_eq!(outcome(&resumed), EXECUTED);
    assert_eq!(executed(&server), 1);
    server.shut_down();
}

/// A client may send the last, empty request in chunks. Whether a chunked body is empty is known only once it was received.
#[test]
fn a_chunked_last_request_is_recognized_as_a_repeat_unless_it_has_bytes() {
    let (_directory, server) = start("chunked");
    for (target, _, may_repeat) in CLASSES {
        let location = create_incomplete(&server, target, &object_bytes(0, LENGTH as u64));
        let before = server.counters();
        let send = |parts: &[&[u8]]| {
            let mut client = server.client();
            let head = format!(
                "PATCH {location} HTTP/1.1\r\nHost: h\r\nContent-Type: application/partial-upload\r\n\
                 Upload-Offset: {LENGTH}\r\nUpload-Complete: ?1\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            client.send(head.as_bytes()).expect("sent");
            for part in parts {
                std::thread::sleep(Duration::from_millis(20));
                client.send(part).expect("sent");
            }
            client
        };
        let mut first = send(&[b"0\r\n\r\n"]);
        wait_for_forward(&server, &before);
        let mut repeats = [send(&[b"0\r\n\r\n"]), send(&[b"0\r", b"\n\r", b"\n"])];
        assert_eq!(send(&[b"1\r\nx\r\n0\r\n\r\n"]).read_response("PATCH").status, 409, "{target}");
        for client in std::iter::once(&mut first).chain(&mut repeats) {
            assert_eq!(outcome(&client.read_response("PATCH")), EXECUTED, "{target}");
        }
        if !may_repeat {
            assert_eq!(outcome(&send(&[b"0\r\n\r\n"]).read_response("PATCH")), EXECUTED, "{target}");
        }
    }
    assert_eq!(executed(&server), CLASSES.len());
    server.shut_down();
}

/// Guards against a response that is cut off for a repeat and looks whole: the deadline passes while the client still receives
/// the response, of which a copy is kept for repeats.
#[test]
fn a_repeat_does_not_get_the_first_part_of_a_response_that_was_cut() {
    let directory = TestDirectory::new("cut");
    let mut overrides = overrides(&directory);
    // The response is received at once, but takes seconds to the client.
    overrides["limits"] = json!({"link_mbit": 0.01});
    overrides["stages"][1]["paths"] = json!(["/bytes/3500"]);
    overrides["stages"][1]["due_ms"] = json!(1000);
    overrides["stages"][1]["limit_ms"] = json!(1000);
    let server = TestServer::start(1, overrides);
    let location = create_incomplete(&server, "/bytes/3500", &object_bytes(0, LENGTH as u64));
    let first = last(&server, &location);
    assert!(first.status == 200 && !first.is_complete, "{} {}", first.status, first.body.len());
    let again = last(&server, &location);
    assert_eq!(again.status, 502, "{} bytes", again.body.len());
    assert_eq!(executed(&server), 1);
    server.shut_down();
}
