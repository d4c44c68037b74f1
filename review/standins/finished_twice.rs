//! A booking is uploaded and finished; the client stops waiting for the answer without a sign and repeats its request.

mod common;

use common::*;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

/// How long the upstream works on a booking.
const WORK: Duration = Duration::from_secs(4);
/// After this the client stops waiting for its first try. The class has 7.4 s, and 22,068 ms for repeats.
const PATIENCE: Duration = Duration::from_secs(2);

fn main() {
    let case = Case::begin();
    let upstream = Upstream::start(&case, WORK, |request| format!("booked, {} bytes", request.body.len()));
    let address: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().expect("an address");
    let settings = format!(
        "{{ listen: ['{address}'], upstreams: ['{}'], state: '{}',\n\
           stages: [\n\
             {{ name: 'load-booking', methods: ['POST'], paths: ['/bookings'], utility: 3, due_ms: 2900, limit_ms: 7400,\n\
                effect: 'fingerprinted', repeat_ms: 22068, body_mb: 64, resumable: true }},\n\
             {{ name: 'other', utility: 1, due_ms: 60000, limit_ms: 300000, effect: 'side-effecting' }},\n\
           ],\n\
           limits: {{ memory_mb: 64, connections: 2000, link_mbit: 0 }},\n\
           stop_ms: 20000, grace_ms: 2500 }}\n",
        upstream.address,
        case.path("state"),
    );
    let settings = case.write_file("front.jsonnet", &settings);
    let mut server = Process::start(&case, &["stream", "serve", "--settings", &settings]);
    wait_for_listener(&case, &mut server, address);

    let papers = b"one page of a booking\n".repeat(5_000);
    let key = "Idempotency-Key: \"5f1c-17\"\r\n";
    let connect = || Client::connect(address).unwrap_or_else(|error| case.end(NOT_RUN, &error.to_string()));

    // The papers go up before the client knows that they are all.
    let mut client = connect();
    let head = format!(
        "POST /bookings HTTP/1.1\r\nHost: front\r\n{key}Content-Length: {}\r\nUpload-Complete: ?0\r\n\r\n",
        papers.len()
    );
    client.send(head.as_bytes()).expect("sent");
    client.send(&papers).expect("sent");
    let created = client.response(true).unwrap_or_else(|error| case.end(NOT_RUN, &error.to_string()));
    let location = created.head.field("location").to_owned();
    let offset = created.head.field("upload-offset").to_owned();
    case.note(&format!("client: POST /bookings, {} bytes: {}, {location}, offset {offset}", papers.len(), created.status));
    if created.status != 201 || offset != papers.len().to_string() {
        case.end(NOT_RUN, "the upload was not created");
    }

    // This request says that the upload is complete; its answer is that of the booking.
    let finish = format!(
        "PATCH {location} HTTP/1.1\r\nHost: front\r\n{key}Content-Type: application/partial-upload\r\n\
         Upload-Offset: {offset}\r\nUpload-Complete: ?1\r\nContent-Length: 0\r\n\r\n"
    );
    case.note("client: PATCH, the upload is complete");
    client.send(finish.as_bytes()).expect("sent");
    let answered = if case.has_trouble {
        sleep(PATIENCE);
        case.note("client: stops waiting; its connection stays open. The same PATCH again, on another connection");
        let mut second = connect();
        second.send(finish.as_bytes()).expect("sent");
        second.response(true)
    } else {
        client.response(true)
    };
    match &answered {
        Ok(answer) => case.note(&format!("client: answered {} {:?}", answer.status, String::from_utf8_lossy(&answer.body))),
        Err(error) => case.note(&format!("client: no answer: {error}")),
    }
    sleep(WORK);
    drop(server);

    let runs = upstream.all().iter().filter(|run| run.body == papers).count();
    case.note(&format!("the booking ran {runs} times"));
    match runs {
        0 => case.end(NOT_RUN, "the booking never ran"),
        1 => case.end(HELD, "held: the booking ran once"),
        _ => case.end(BROKEN, "BROKEN: a fingerprinted task ran more than once within its window"),
    }
}
