//! The stream server as a process that is killed while it forwards an upload.

mod harness;

use harness::Server;
use lynxtally_fault_injection::free_address;
use lynxtally_test_doubles::stream::{Client, ClientResponse, Upstream};
use std::thread;
use std::time::{Duration, Instant};

/// The body of each upload.
const BODY: &[u8] = b"the hour meter of tractor 17 stands at 4211.5\n";

/// For each class the target of its uploads, whose response takes seconds, its effect, and whether a new process may execute
/// an upload that the killed one has begun to execute.
const CLASSES: [(&str, &str, bool); 3] = [
    ("/drip/90", "restartable", true),
    ("/drip/91", "fingerprinted", true),
    ("/drip/92", "side-effecting", false),
];

fn stream_server(upstream: &Upstream) -> Server {
    let class = |(path, effect, _)| {
        format!(
            "{{ name: '{effect}', paths: ['{path}'], utility: 1, due_ms: 60000, limit_ms: 60000, effect: '{effect}', \
             resumable: true }}"
        )
    };
    let classes = CLASSES.map(class).join(", ");
    let upstream = upstream.address;
    Server::start("stream", |address, folder| {
        format!(
            "{{ listen: ['{address}'], upstreams: ['{upstream}'], state: '{folder}/state', stages: [{classes}] }}"
        )
    })
}

fn client(server: &Server) -> Client {
    Client::connect(server.address).expect("a connection")
}

fn create_incomplete(server: &Server, target: &str) -> String {
    let fields = format!("Upload-Complete: ?0\r\nIdempotency-Key: \"{target}\"\r\n");
    let created = client(server).put(target, &fields, BODY).expect("sent");
    assert_eq!(created.status, 201, "{target}");
    created.fields["location"].clone()
}

/// Sends the last request of an upload, without any bytes.
fn send_last(server: &Server, location: &str) -> Client {
    let mut client = client(server);
    let head = format!(
        "PATCH {location} HTTP/1.1\r\nHost: h\r\nContent-Type: application/partial-upload\r\n\
         Upload-Offset: {}\r\nUpload-Complete: ?1\r\nContent-Length: 0\r\n\r\n",
        BODY.len()
    );
    client.send(head.as_bytes()).expect("sent");
    client
}

fn status(server: &Server, location: &str) -> ClientResponse {
    let mut client = client(server);
    client.send(format!("HEAD {location} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes()).expect("sent");
    client.read_response("HEAD")
}

fn wait_for_executions(upstream: &Upstream, target: &str, count: usize) {
    let start = Instant::now();
    while executions(upstream, target) < count {
        assert!(start.elapsed() < Duration::from_secs(20), "{target} reaches the upstream");
        thread::sleep(Duration::from_millis(10));
    }
}

fn executions(upstream: &Upstream, target: &str) -> usize {
    let requests = upstream.received_requests();
    requests.iter().filter(|request| request.method_and_path == format!("PUT {target}")).count()
}

/// Guards against a second execution of a non-idempotent upload, whose process was killed while it was executed. Others may
/// be executed again: an idempotency key counts within the life of a process.
#[test]
fn a_non_idempotent_upload_is_not_executed_again_after_a_kill() {
    let upstream = Upstream::start(free_address()).expect("an upstream");
    let mut server = stream_server(&upstream);
    let locations = CLASSES.map(|(target, _, _)| create_incomplete(&server, target));
    let clients = locations.each_ref().map(|location| send_last(&server, location));
    CLASSES.iter().for_each(|(target, _, _)| wait_for_executions(&upstream, target, 1));
    server.kill_and_restart();
    drop(clients);
    for ((target, effect, may_repeat), location) in CLASSES.into_iter().zip(locations) {
        let head = status(&server, &location);
        assert_eq!(head.status, if may_repeat { 204 } else { 502 }, "{effect}");
        let again = send_last(&server, &location).read_response("PATCH");
        assert_eq!(again.status, if may_repeat { 200 } else { 502 }, "{effect}");
        assert_eq!(executions(&upstream, target), if may_repeat { 2 } else { 1 }, "{effect}");
    }
}
