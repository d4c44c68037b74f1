//! A log is uploaded over a slow link; the stream server is killed in the middle and comes back; the client resumes.

mod common;

use common::*;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

/// How long the server is down; the pages have 5.2 to 22 s.
const DOWN: Duration = Duration::from_secs(6);

fn main() {
    let case = Case::begin();
    let upstream = Upstream::start(&case, Duration::from_millis(50), |request| format!("filed {}", request.body.len()));
    let address: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().expect("an address");
    let settings = format!(
        "{{ listen: ['{address}'], upstreams: ['{}'], state: '{}',\n\
           stages: [\n\
             {{ name: 'log', methods: ['PUT'], paths: ['/logs/'], utility: 4, due_ms: 60000, limit_ms: 600000,\n\
                effect: 'restartable', body_mb: 512, resumable: true }},\n\
             {{ name: 'other', utility: 1, due_ms: 60000, limit_ms: 300000, effect: 'side-effecting' }},\n\
           ],\n\
           limits: {{ memory_mb: 64, connections: 2000, link_mbit: 0 }},\n\
           stop_ms: 20000, grace_ms: 2500 }}\n",
        upstream.address,
        case.path("state"),
    );
    let settings = case.write_file("front.jsonnet", &settings);
    let arguments = ["stream", "serve", "--settings", &settings];
    let mut server = Process::start(&case, &arguments);
    wait_for_listener(&case, &mut server, address);

    let mut log = Vec::new();
    for line in 0..40_000 {
        log.extend_from_slice(format!("hour {line:08}\n").as_bytes());
    }
    let sent = 200_000;

    // The first connection: the first part of the log goes up.
    let mut client = Client::connect(address).unwrap_or_else(|error| case.end(NOT_RUN, &error.to_string()));
    let head = format!(
        "PUT /logs/17 HTTP/1.1\r\nHost: front\r\nContent-Length: {}\r\nUpload-Complete: ?1\r\n\r\n",
        log.len()
    );
    client.send(head.as_bytes()).expect("sent");
    let interim = read_head(&mut client.reader).unwrap_or_else(|error| case.end(NOT_RUN, &error.to_string()));
    if interim.status() != 104 {
        case.end(NOT_RUN, &format!("104 is expected, not {}", interim.first_line));
    }
    let location = interim.field("location").to_owned();
    case.note(&format!("client: PUT /logs/17 of {} bytes, its place is {location}", log.len()));
    client.send(&log[..sent]).expect("sent");
    case.note(&format!("client: sent the first {sent} bytes"));
    sleep(Duration::from_secs(1));

    // The connection ends; with the disruption, because the server is killed.
    if case.has_trouble {
        server.kill(&case);
        drop(client);
        sleep(DOWN);
        server = Process::start(&case, &arguments);
        wait_for_listener(&case, &mut server, address);
    } else {
        drop(client);
        case.note("client: its connection ends");
        sleep(DOWN);
    }

    // The client asks where to go on, and goes on there.
    let asked = Client::connect(address).and_then(|mut client| {
        client.send(format!("HEAD {location} HTTP/1.1\r\nHost: front\r\n\r\n").as_bytes())?;
        client.response(false)
    });
    let asked = asked.unwrap_or_else(|error| case.end(NOT_RUN, &format!("HEAD: {error}")));
    let offset: Option<usize> = asked.head.field("upload-offset").parse().ok();
    case.note(&format!(
        "client: HEAD {location}: {}, Upload-Offset {:?}, Upload-Complete {:?}",
        asked.status,
        offset,
        asked.head.field("upload-complete")
    ));
    let answer = Client::connect(address).and_then(|mut client| {
        match offset.filter(|_| asked.status == 204) {
            Some(offset) => {
                let rest = &log[offset..];
                let head = format!(
                    "PATCH {location} HTTP/1.1\r\nHost: front\r\nContent-Type: application/partial-upload\r\n\
                     Upload-Offset: {offset}\r\nUpload-Complete: ?1\r\nContent-Length: {}\r\n\r\n",
                    rest.len()
                );
                case.note(&format!("client: PATCH from {offset} on, {} bytes", rest.len()));
                client.send(head.as_bytes())?;
                client.send(rest)?;
            }
            None => {
                case.note("client: the upload is unknown, so the whole log is sent again");
                client.send(head.as_bytes())?;
                client.send(&log)?;
            }
        }
        client.response(true)
    });
    match &answer {
        Ok(answer) => case.note(&format!(
            "client: answered {} {:?}",
            answer.status,
            String::from_utf8_lossy(&answer.body)
        )),
        Err(error) => case.note(&format!("client: no answer: {error}")),
    }
    drop(server);

    let runs = upstream.all();
    let changed: Vec<usize> = (0..runs.len()).filter(|run| runs[*run].body != log).collect();
    for run in &changed {
        let body = &runs[*run].body;
        let first = (0..log.len().min(body.len())).find(|at| body[*at] != log[*at]).unwrap_or(log.len().min(body.len()));
        let shown = |bytes: &[u8]| {
            String::from_utf8_lossy(&bytes[first.saturating_sub(10)..(first + 30).min(bytes.len())]).into_owned()
        };
        case.note(&format!("run {}: differs from byte {first} on", run + 1));
        case.note(&format!("  the client sent {:?}", shown(&log)));
        case.note(&format!("  the upstream got {:?}", shown(body)));
    }
    if !changed.is_empty() {
        case.end(BROKEN, "BROKEN: an upstream was given a body that the client did not send");
    }
    match answer {
        Ok(answer) if answer.status == 200 && !runs.is_empty() => case.end(HELD, "held: the upstream got the body as sent"),
        Ok(_) => case.end(HELD, "held: the client was told that the upload is not done"),
        Err(_) => case.end(NOT_RUN, "the client got no answer"),
    }
}
