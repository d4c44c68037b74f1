//! Clients of requests with an idempotency key that lose their connection and repeat the request: each repeat gets the
//! response to the one execution, learns that there is none to give, or is executed because nothing was.

mod harness;

use harness::TestServer;
use lynxtally_test_doubles::stream::{object_bytes, Client, ClientResponse, Upstream};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const BODY_BYTES: u64 = 10_000;
/// Far below the time limit of the class.
const AT_ONCE: Duration = Duration::from_secs(5);

fn overrides() -> serde_json::Value {
    json!({
        "stages": [
            {"name": "booking", "utility": 4.0, "due_ms": 20_000, "limit_ms": 40_000, "effect": "fingerprinted"},
        ],
        "limits": {"connect_ms": 20_000},
    })
}

/// Sends the head of a request, and the first `count` bytes of its body.
fn send_part(server: &TestServer, target: &str, count: u64) -> Client {
    let mut client = server.client();
    let head = format!(
        "PUT {target} HTTP/1.1\r\nHost: h\r\nIdempotency-Key: \"k\"\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    client.send(&[head.as_bytes(), &object_bytes(0, count)].concat()).expect("sent");
    client
}

/// Sends the whole request. Returns its response, which must come at once.
fn repeat(server: &TestServer, target: &str) -> ClientResponse {
    let start = Instant::now();
    let response = send_part(server, target, BODY_BYTES).read_response("PUT");
    assert!(start.elapsed() < AT_ONCE, "{} after {:?}", response.status, start.elapsed());
    response
}

/// Waits until the upstream has recorded a request, which it does once its connection has ended. There must be no other.
fn assert_one_request_at_upstream(server: &TestServer) {
    let received = || server.upstreams[0].received_requests().len();
    server.wait_until("the upstream has recorded a request", |_| received() > 0);
    assert_eq!(received(), 1);
}

fn wait_for_octets_up(server: &TestServer, count: u64) {
    server.wait_until("the upstream gets the request", |counters| {
        counters["octets_up"].as_u64() >= Some(count)
    });
}

/// Guards against an execution whose result nobody can get: the client lost its connection while its request was executed,
/// the execution was broken off, and the repeats failed.
#[test]
fn a_request_goes_on_without_its_client_and_a_repeat_gets_the_response() {
    for comes_back_early in [true, false] {
        let server = TestServer::start(1, overrides());
        // The upstream takes a second to read the body.
        let client = send_part(&server, "/slow/100", BODY_BYTES);
        wait_for_octets_up(&server, BODY_BYTES);
        client.reset();
        if !comes_back_early {
            server.wait_until("the request has ended", |counters| counters["open"] == 0);
        }
        for _ in 0..2 {
            let got = repeat(&server, "/slow/100");
            assert_eq!((got.status, &got.body[..]), (200, &b"10000 true\n"[..]));
        }
        assert_one_request_at_upstream(&server);
        let counters = server.shut_down();
        assert_eq!(counters["replayed"], 2, "{counters}");
    }
}

/// Guards against repeats that wait for their whole time limit: the client lost its connection in the middle of the body.
/// A part went up, so that nothing more is executed.
#[test]
fn a_repeat_of_a_request_that_broke_off_is_told_at_once_that_there_is_no_response() {
    let server = TestServer::start(1, overrides());
    let client = send_part(&server, "/count", BODY_BYTES / 2);
    wait_for_octets_up(&server, BODY_BYTES / 2);
    let mut waiting = send_part(&server, "/count", BODY_BYTES);
    server.wait_until("a repeat waits", |counters| counters["open"] == 2);
    client.reset();
    assert_eq!(waiting.read_response("PUT").status, 502);
    for _ in 0..2 {
        assert_eq!(repeat(&server, "/count").status, 502);
    }
    assert_one_request_at_upstream(&server);
    server.shut_down();
}

/// A listener whose queue of connections is full, so that further connections wait, and the connections that fill it.
fn full_listener() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    listener.bind(&harness::unused_address().into()).expect("bound");
    listener.listen(0).expect("it listens");
    let listener = TcpListener::from(listener);
    let address = listener.local_addr().expect("an address");
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok();
    let queued = std::iter::from_fn(connect).collect();
    (listener, address, queued)
}

/// Answers each connection that sends a request.
fn answer_all(listener: &TcpListener) {
    for stream in listener.incoming() {
        let mut stream = stream.expect("a connection");
        thread::spawn(move || {
            let mut received = vec![0; 64 * 1024];
            if stream.read(&mut received).unwrap_or(0) > 0 {
                let _ = stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone");
            }
        });
    }
}

/// Guards against a client that can't get its request executed although nothing was: it lost its connection before
/// anything was sent to an upstream, and its key stayed in use. Its departure must be noticed whether or not the window
/// has room for more of the body.
#[test]
fn a_request_of_which_nothing_went_up_may_come_again() {
    for floor_kb in [16, 4] {
        let (listener, address, queued) = full_listener();
        let mut upstream = Upstream::start(harness::unused_address()).expect("an upstream");
        upstream.stop();
        upstream.address = address;
        let mut overrides = overrides();
        overrides["limits"]["floor_kb"] = json!(floor_kb);
        let server = TestServer::with(harness::settings(&[upstream], overrides), Vec::new());
        let client = send_part(&server, "/count", BODY_BYTES);
        server.wait_until("the request is open", |counters| counters["open"] == 1);
        client.reset();
        server.wait_until("the client is gone", |counters| counters["gone"] == 1);
        drop(queued);
        thread::spawn(move || answer_all(&listener));
        let got = repeat(&server, "/count");
        assert_eq!((got.status, &got.body[..]), (200, &b"done"[..]));
        server.shut_down();
    }
}
