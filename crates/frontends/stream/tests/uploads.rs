//! Tests of resumable uploads: dropped connections, restarts, damaged files, and quotas.

mod harness;

use harness::uploads::{append, create_upload, upload_file, upload_status, wait_for_archived, TestDirectory};
use harness::{settings, unused_address, TestServer};
use lynxtally_test_doubles::stream::{object_bytes, Upstream};
use serde_json::json;
use std::fs::File;
use std::io::Read;
use std::time::Duration;

/// A client without an answer after this time is not served: all others are answered within milliseconds.
const OTHERS_TIMEOUT: Duration = Duration::from_secs(5);

fn overrides(directory: &TestDirectory, limits: serde_json::Value) -> serde_json::Value {
    json!({
        "state": directory.0, "limits": limits, "customer_field": "X-Org",
        "stages": [
            {"name": "log", "paths": ["/count", "/refuse"], "utility": 4.0, "due_ms": 20_000, "limit_ms": 40_000,
             "effect": "restartable", "resumable": true},
            {"name": "once", "paths": ["/break"], "utility": 4.0, "due_ms": 20_000, "limit_ms": 40_000,
             "effect": "side-effecting", "resumable": true},
            {"name": "mark", "paths": ["/mark"], "utility": 4.0, "due_ms": 20_000, "limit_ms": 40_000,
             "effect": "fingerprinted", "resumable": true},
        ],
    })
}

#[test]
fn an_upload_dropped_at_any_third_is_resumed_at_its_offset_and_forwarded_once() {
    let directory = TestDirectory::new("drops");
    let server = TestServer::start(1, overrides(&directory, json!({})));
    let body = object_bytes(0, 300_000);
    for third in 0..3 {
        let (client, location) = create_upload(&server, "/count", body.len(), &body[..third * 100_000], "");
        wait_for_archived(&server, &directory, &location, third as u64 * 100_000);
        client.reset();
        let (status, offset) = upload_status(&server, &location);
        assert_eq!((status, offset), (204, Some(third as u64 * 100_000)));
        let at = third * 100_000;
        let middle = append(&server, &location, at as u64, 0, &body[at..at + 50_000]);
        assert_eq!(
            (middle.status, middle.fields["upload-offset"].as_str()),
            (204, (at + 50_000).to_string().as_str())
        );
        let got = append(&server, &location, at as u64 + 50_000, 1, &body[at + 50_000..]);
        assert_eq!((got.status, &got.body[..]), (200, &b"300000 true\n"[..]));
        assert_eq!(upload_status(&server, &location).0, 404, "the upload is removed");
    }
    assert_eq!(server.upstreams[0].received_requests().len(), 3);
    server.shut_down();
}

#[test]
fn an_upload_survives_a_restart_unless_its_file_has_changed() {
    let directory = TestDirectory::new("restart");
    let body = object_bytes(0, 200_000);
    let upstream = Upstream::start(unused_address()).expect("an upstream");
    let start = || {
        TestServer::with(
            settings(std::slice::from_ref(&upstream), overrides(&directory, json!({}))),
            vec![upstream.clone()],
        )
    };
    let server = start();
    let locations: Vec<String> = (0..2)
        .map(|_| {
            let (client, location) = create_upload(&server, "/count", body.len(), &body[..120_000], "");
            wait_for_archived(&server, &directory, &location, 120_000);
            client.reset();
            assert_eq!(upload_status(&server, &location), (204, Some(120_000)));
            location
        })
        .collect();
    server.begin_shutdown();
    assert!(server.wait_for_exit().1);
    // Bytes behind the recorded offset are cut off; those before it are compared with the recorded checksum.
    let name = |location: &str| upload_file(&directory, location);
    let mut bytes = std::fs::read(name(&locations[0])).expect("an upload file");
    bytes.extend_from_slice(b"never recorded");
    std::fs::write(name(&locations[0]), &bytes).expect("written");
    let mut bytes = std::fs::read(name(&locations[1])).expect("an upload file");
    bytes[77_777] ^= 4;
    std::fs::write(name(&locations[1]), &bytes).expect("written");
    let server = start();
    assert_eq!(upload_status(&server, &locations[0]), (204, Some(120_000)));
    assert_eq!(upload_status(&server, &locations[1]).0, 404);
    let got = append(&server, &locations[0], 120_000, 1, &body[120_000..]);
    assert_eq!(got.body, b"200000 true\n");
    server.shut_down();
}

#[test]
fn a_wrong_offset_a_wrong_length_and_an_exceeded_quota_are_refused() {
    let directory = TestDirectory::new("refused");
    let server = TestServer::start(1, overrides(&directory, json!({"uploads_mb": 1, "uploads_s": 1})));
    let body = object_bytes(0, 100_000);
    let (client, location) = create_upload(&server, "/count", body.len(), &body[..1000], "X-Org: a\r\n");
    wait_for_archived(&server, &directory, &location, 1000);
    let got = append(&server, &location, 5000, 1, &body[5000..]);
    assert_eq!((got.status, got.fields.get("upload-offset").map(String::as_str)), (409, Some("1000")));
    // The status request takes the upload over, so the old connection cannot append any more although it is
    // still open.
    assert_eq!(upload_status(&server, &location), (204, Some(1000)));
    let mut client = client;
    client.send(&body[1000..2000]).expect("sent");
    assert_eq!(client.read_response("PUT").status, 409);
    assert_eq!(append(&server, &location, 1000, 0, &body[..100_000]).status, 413, "longer than announced");
    // A second upload of tenant `a` exceeds the quota of the tenant; one of tenant `b` does not.
    let mut client = server.client();
    let head = |org| {
        format!("PUT /count HTTP/1.1\r\nHost: h\r\nX-Org: {org}\r\nContent-Length: 1000000\r\nUpload-Complete: ?1\r\n\r\n")
    };
    client.send(head("a").as_bytes()).expect("sent");
    assert_eq!(client.read_response("PUT").status, 507);
    let mut other = server.client();
    other.send(head("b").as_bytes()).expect("sent");
    assert_eq!(other.read_head().map(|(status, _)| status), Some(104));
    let unknown = append(&server, "/.uploads/0123456789abcdef", 0, 1, b"");
    assert_eq!(unknown.status, 404);
    let mut client = server.client();
    client.send(format!("DELETE {location} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes()).expect("sent");
    assert_eq!(client.read_response("DELETE").status, 204);
    assert_eq!(upload_status(&server, &location).0, 404);
    server.shut_down();
}

#[test]
fn a_shutdown_reports_the_offset_of_uploads_in_progress() {
    let directory = TestDirectory::new("shutdown");
    let mut overrides = overrides(&directory, json!({}));
    (overrides["stop_ms"], overrides["grace_ms"]) = (json!(1500), json!(300));
    let server = TestServer::start(1, overrides);
    let body = object_bytes(0, 50_000);
    let (mut client, location) = create_upload(&server, "/count", 100_000, &body, "");
    wait_for_archived(&server, &directory, &location, 50_000);
    server.begin_shutdown();
    let got = client.read_response("PUT");
    assert_eq!((got.status, got.fields.get("upload-offset").map(String::as_str)), (503, Some("50000")));
    let (counters, is_consistent) = server.wait_for_exit();
    assert!(is_consistent && counters["abandoned"] == 1, "{counters}");
}

#[test]
fn a_complete_upload_is_kept_after_a_failure_only_if_it_may_be_sent_again() {
    let directory = TestDirectory::new("kept");
    let server = TestServer::start(1, overrides(&directory, json!({})));
    let body = object_bytes(0, 100_000);
    // A response ends an idempotent upload. A non-idempotent one that was lost may have been executed: its client is told so,
    // as an upload that is not found would be sent again.
    for (target, status, status_later) in [("/refuse/50000", 413, 404), ("/break/50000", 502, 502)] {
        let (mut client, location) = create_upload(&server, target, body.len(), &body, "");
        assert_eq!(client.read_response("PUT").status, status, "{target}");
        assert_eq!(upload_status(&server, &location).0, status_later, "{target}");
        server.wait_until("its bytes are removed", |_| !upload_file(&directory, &location).exists());
    }
    // No upstream is reachable: the upload is kept, and its client may complete it later without sending it
    // again.
    let (mut client, location) = create_upload(&server, "/count", body.len(), &body[..99_999], "");
    server.upstreams[0].stop();
    std::thread::sleep(Duration::from_millis(100));
    client.send(&body[99_999..]).expect("sent");
    assert_eq!(client.read_response("PUT").status, 503);
    assert_eq!(upload_status(&server, &location), (204, Some(100_000)));
    server.shut_down();
}

/// Requires that other clients are served, each on a connection of its own.
fn assert_others_are_served(server: &TestServer) {
    for _ in 0..3 {
        let mut client = server.client();
        client.stream.set_read_timeout(Some(OTHERS_TIMEOUT)).expect("a timeout");
        let got = client.get("/count", "").expect("sent");
        assert_eq!((got.status, &got.body[..]), (200, &b"0 true\n"[..]), "another client has got no answer");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a hang of the whole server: a client's connection ends while the archive still writes what it sent,
/// and its coroutine waits for the archive with a lock on the buffer that all connections read into.
#[test]
fn an_upload_that_is_dropped_while_the_archive_writes_delays_no_other_client() {
    let directory = TestDirectory::new("dropped-while-writing");
    let server = TestServer::start(1, overrides(&directory, json!({})));
    let (mut client, location) = create_upload(&server, "/count", 100_000, &[], "");
    // The archive's thread blocks when it opens this file for writing, until the file is opened for reading.
    let file = upload_file(&directory, &location);
    nix::unistd::mkfifo(&file, nix::sys::stat::Mode::S_IRWXU).expect("a named pipe");
    client.send(&object_bytes(0, 1000)).expect("sent");
    server.wait_until("the archive writes", |counters| counters["held"].as_u64() >= Some(1000));
    drop(client);
    assert_others_are_served(&server);
    let mut pipe = File::open(&file).expect("the archive writes to the pipe");
    pipe.read_exact(&mut [0; 1000]).expect("the bytes that were sent");
    server.wait_until("the dropped upload has ended", |counters| counters["gone"] == 1);
    server.shut_down();
}

/// Guards against a hang of the whole server: the refusal of a complete upload reads the state of the upload while the
/// operation that was refused still holds the lock on all uploads. Here the upload is shorter than announced.
#[test]
fn an_upload_that_ends_before_its_length_is_refused_and_delays_no_other_client() {
    let directory = TestDirectory::new("too-short");
    let server = TestServer::start(1, overrides(&directory, json!({})));
    let mut client = server.client();
    client.stream.set_read_timeout(Some(OTHERS_TIMEOUT)).expect("a timeout");
    let got = client.put("/count", "Upload-Complete: ?1\r\nUpload-Length: 10\r\n", b"12345").expect("sent");
    assert_eq!((got.status, got.fields.get("upload-offset").map(String::as_str)), (400, Some("5")));
    assert_others_are_served(&server);
    server.shut_down();
}

/// The same hang by another refusal: a status request on a second connection takes the upload over before its last,
/// empty chunk arrives.
#[test]
fn an_upload_that_is_taken_over_before_its_last_chunk_delays_no_other_client() {
    let directory = TestDirectory::new("taken-over");
    let server = TestServer::start(1, overrides(&directory, json!({})));
    let mut client = server.client();
    client.stream.set_read_timeout(Some(OTHERS_TIMEOUT)).expect("a timeout");
    let head = "PUT /count HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nUpload-Complete: ?1\r\n\r\n";
    client.send(head.as_bytes()).expect("sent");
    let (status, fields) = client.read_head().expect("an interim response");
    assert_eq!(status, 104, "{fields:?}");
    client.send(b"5\r\n12345\r\n").expect("sent");
    wait_for_archived(&server, &directory, &fields["location"], 5);
    assert_eq!(upload_status(&server, &fields["location"]), (204, Some(5)));
    client.send(b"0\r\n\r\n").expect("sent");
    let got = client.read_response("PUT");
    assert_eq!((got.status, got.fields.get("upload-offset").map(String::as_str)), (409, Some("5")));
    assert_others_are_served(&server);
    server.shut_down();
}

/// The content of an upload is known only once it is forwarded. Requests with the key that created it are compared with
/// the whole upload, not with the request that created it.
#[test]
fn a_key_that_created_an_upload_is_compared_with_the_whole_upload() {
    let directory = TestDirectory::new("keyed");
    let server = TestServer::start(1, overrides(&directory, json!({})));
    let body = object_bytes(0, 20_000);
    let key = "X-Org: a\r\nIdempotency-Key: \"k\"\r\n";
    let mut creating = server.client();
    let head = format!(
        "PUT /mark HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\nUpload-Complete: ?0\r\nUpload-Length: 20000\r\n{key}\r\n"
    );
    creating.send(&[head.as_bytes(), &body[..5000]].concat()).expect("sent");
    let (status, fields) = creating.read_head().expect("an interim response");
    assert_eq!(status, 104, "{fields:?}");
    assert_eq!(creating.read_response("PUT").status, 201);
    let first = append(&server, &fields["location"], 5000, 1, &body[5000..]);
    assert_eq!((first.status, &first.body[..]), (200, &b"20000 true\n"[..]));
    let again = server.client().put("/mark", key, &body).expect("sent");
    assert_eq!((again.status, again.body), (200, first.body), "the whole content");
    assert_eq!(server.client().put("/mark", key, &body[..5000]).expect("sent").status, 422, "the first part");
    assert_eq!(server.upstreams[0].received_requests().len(), 1);
    // An upload that arrives with one request is forwarded by the run of that request.
    let key = "X-Org: b\r\nIdempotency-Key: \"k\"\r\n";
    let first = server.client().put("/mark", &format!("Upload-Complete: ?1\r\n{key}"), &body).expect("sent");
    assert_eq!((first.status, &first.body[..]), (200, &b"20000 true\n"[..]));
    let again = server.client().put("/mark", key, &body).expect("sent");
    assert_eq!((again.status, again.body), (200, first.body));
    assert_eq!(server.client().put("/mark", key, &body[..5000]).expect("sent").status, 422);
    assert_eq!(server.upstreams[0].received_requests().len(), 2);
    server.shut_down();
}
