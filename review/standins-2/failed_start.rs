//! A client sends a log as a resumable upload. Meanwhile a second process is started with the same settings and fails, as
//! the address is in use. The old process must go on serving, and what it has accepted must not be lost.

mod common;
use common::*;
use std::io::Write;
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::Duration;

const FIRST: usize = 200_000;
const SECOND: usize = 500_000;
const LENGTH: usize = 800_000;
const PATIENCE: Duration = Duration::from_secs(20);

fn main() {
    let mut case = Case::new();
    let upstream = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let upstream_address = upstream.local_addr().expect("it is bound");
    let front = free_address();
    let settings = case.temp.join("front.jsonnet");
    let text = format!(
        "{{ listen: ['{front}'], upstreams: ['{upstream_address}'], state: '{}',
  stages: [
    {{ name: 'log', methods: ['POST', 'PUT'], paths: ['/logs/'], utility: 4, due_ms: 60000, limit_ms: 100000,
      effect: 'restartable', body_mb: 64, resumable: true }},
    {{ name: 'other', utility: 1, due_ms: 60000, limit_ms: 100000, effect: 'side-effecting' }},
  ],
  limits: {{ memory_mb: 64, connections: 200 }}, stop_ms: 5000, grace_ms: 2500 }}",
        case.temp.join("state").display()
    );
    std::fs::write(&settings, text).expect("the settings can be written");
    let settings = settings.display().to_string();
    let serve = ["target/release/lynxtally", "stream", "serve", "--settings", &settings];
    let (bodies, received) = mpsc::channel();
    let recorder = case.recorder();
    std::thread::spawn(move || {
        for mut stream in upstream.incoming().map_while(Result::ok) {
            let (bodies, recorder) = (bodies.clone(), recorder.clone());
            std::thread::spawn(move || {
                let Ok(head) = read_head(&mut stream) else { return };
                let body = read_body(&mut stream, &head);
                let length = body.as_ref().map(Vec::len);
                recorder.note(format!("upstream got: {}, octets: {length:?}", head.first_line()));
                if let Ok(body) = body {
                    let _ = bodies.send(body);
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored");
                }
            });
        }
    });

    let started = case.start("front", &serve, &[]).map(|_| ());
    let (mut case, ()) =
        case.need("start", started.and_then(|()| wait_for_listener(front, Duration::from_secs(10))));
    let content = body_bytes(LENGTH, 23);
    let part = |place: &str, from: usize, to: usize, complete: u8| {
        format!(
            "PATCH {place} HTTP/1.1\r\nHost: front\r\nContent-Type: application/partial-upload\r\nUpload-Offset: {from}\r\n\
             Upload-Complete: ?{complete}\r\nContent-Length: {}\r\n\r\n",
            to - from
        )
    };
    let created = request(front, "POST", "/logs/23", "Upload-Complete: ?0\r\n", &content[..FIRST], PATIENCE);
    let (next, (head, _)) = case.need("the first part", created);
    case = next;
    let place = head.field("Location").unwrap_or_default().to_owned();
    case.note(format!(
        "POST /logs/23, {FIRST} octets: {}, Upload-Offset {:?}",
        head.status(),
        head.field("Upload-Offset")
    ));
    if head.status() != 201 || place.is_empty() {
        case.end(NOT_RUN, "the upload was not taken");
    }
    // The second part is under way when the other process is started.
    let middle = (FIRST + SECOND) / 2;
    let begun = connect(front, PATIENCE).and_then(|mut stream| {
        stream.write_all(part(&place, FIRST, SECOND, 0).as_bytes())?;
        stream.write_all(&content[FIRST..middle])?;
        Ok(stream)
    });
    let (next, mut stream) = case.need("the second part", begun);
    case = next;
    std::thread::sleep(Duration::from_secs(1));
    if case.trouble {
        let started = case.start("second", &serve, &[]).map(|_| ());
        (case, ()) = case.need("the second start", started);
        let code = case.wait_for_end("second", Duration::from_secs(10));
        let said = case.log_of("second").lines().last().unwrap_or_default().to_owned();
        case.note(format!("the second process ended with {code:?}: {said}"));
        if code.is_none() || code == Some(0) {
            case.end(NOT_RUN, "the second start did not fail");
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    let answer =
        stream.write_all(&content[middle..SECOND]).and_then(|()| read_response(&mut stream, "PATCH"));
    let (next, (head, _)) = case.need("the answer to the second part", answer);
    case = next;
    let accepted = head.field("Upload-Offset").and_then(|value| value.parse::<usize>().ok()).unwrap_or(0);
    case.note(format!("PATCH {FIRST} to {SECOND}: {}, Upload-Offset {accepted}", head.status()));
    let told = request(front, "HEAD", &place, "", b"", PATIENCE);
    let (next, (head, _)) = case.need("HEAD", told);
    case = next;
    case.note(format!("HEAD {place}: {}, Upload-Offset {:?}", head.status(), head.field("Upload-Offset")));
    if accepted != SECOND || head.field("Upload-Offset") != Some(&SECOND.to_string()) {
        case.end(HELD, "the server says that it does not have these octets");
    }
    // The client has been told twice that the server has the octets up to here; it sends the rest, and tries again.
    let mut statuses = Vec::new();
    for attempt in 1..=2 {
        let from = if attempt == 1 { SECOND } else { LENGTH };
        let fields = format!(
            "Content-Type: application/partial-upload\r\nUpload-Offset: {from}\r\nUpload-Complete: ?1\r\n"
        );
        let answer = request(front, "PATCH", &place, &fields, &content[from..], PATIENCE);
        let (next, (head, body)) = case.need("the answer to the last part", answer);
        case = next;
        let text = String::from_utf8_lossy(&body).into_owned();
        case.note(format!(
            "try {attempt}: PATCH {from} to {LENGTH}, the last part: {} {text:?}",
            head.status()
        ));
        statuses.push(head.status());
        if head.status() == 200 {
            break;
        }
    }
    let whole = received.try_iter().any(|body| body == content);
    if whole {
        case.end(HELD, "the upstream got the bytes that the client sent");
    }
    case.end(
        BROKEN,
        format!("octets that the server had accepted are gone: the upload can't be finished, answers {statuses:?}"),
    )
}
