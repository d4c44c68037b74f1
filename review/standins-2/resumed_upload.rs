//! Case 6: a client sends a log as a resumable upload, the server is killed in the middle and comes back, and the
//! client goes on from the offset that the server tells. The upstream must get the bytes that the client sent.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::Duration;

const LENGTH: usize = 1 << 20;
const BEFORE_THE_KILL: usize = 300_000;
/// Deaths last from 5.2 to 22 s on the pages.
const DOWN: Duration = Duration::from_secs(7);
const PATIENCE: Duration = Duration::from_secs(30);

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

    // The upstream: reads each request whole, keeps its body, answers 200.
    let (bodies, received) = mpsc::channel();
    let recorder = case.recorder();
    std::thread::spawn(move || {
        for mut stream in upstream.incoming().map_while(Result::ok) {
            let (bodies, recorder) = (bodies.clone(), recorder.clone());
            std::thread::spawn(move || {
                let Ok(head) = read_head(&mut stream) else { return };
                let body = read_body(&mut stream, &head);
                recorder.note(format!(
                    "upstream got: {} with {:?} octets",
                    head.first_line(),
                    body.as_ref().map(Vec::len)
                ));
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
    let content = body_bytes(LENGTH, 17);
    let begun = (|| -> std::io::Result<_> {
        let mut stream = connect(front, PATIENCE)?;
        let head = format!(
            "POST /logs/17 HTTP/1.1\r\nHost: front\r\nUpload-Complete: ?1\r\nContent-Length: {LENGTH}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let interim = read_head(&mut stream)?;
        let place = interim.field("Location").unwrap_or_default().to_owned();
        stream.write_all(&content[..BEFORE_THE_KILL])?;
        Ok((stream, interim.status(), place))
    })();
    let (next, (mut stream, status, place)) = case.need("the upload", begun);
    case = next;
    case.note(format!(
        "POST /logs/17 begun: {status}, place {place}; {BEFORE_THE_KILL} of {LENGTH} octets sent"
    ));
    if status != 104 || place.is_empty() {
        case.end(NOT_RUN, "no place for the upload was told");
    }
    std::thread::sleep(Duration::from_secs(1));

    let answer = if case.trouble {
        case.kill("front");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        std::thread::sleep(DOWN);
        let started = case.start("front", &serve, &[]).map(|_| ());
        let up = started.and_then(|()| wait_for_listener(front, Duration::from_secs(10)));
        (case, ()) = case.need("start again", up);
        let told = request(front, "HEAD", &place, "", b"", PATIENCE);
        let (next, (head, _)) = case.need("HEAD", told);
        case = next;
        let offset = head.field("Upload-Offset").and_then(|value| value.parse::<usize>().ok());
        case.note(format!("HEAD {place}: {}, Upload-Offset {offset:?}", head.status()));
        let Some(offset) = offset.filter(|offset| *offset <= BEFORE_THE_KILL) else {
            case.end(HELD, "the server no longer has the upload, and says so");
        };
        let fields = format!(
            "Content-Type: application/partial-upload\r\nUpload-Offset: {offset}\r\nUpload-Complete: ?1\r\n"
        );
        case.note(format!("PATCH {place} from {offset} on, the last part"));
        request(front, "PATCH", &place, &fields, &content[offset..], PATIENCE)
    } else {
        stream.write_all(&content[BEFORE_THE_KILL..]).and_then(|()| read_response(&mut stream, "POST"))
    };
    let (case, (head, body)) = case.need("the answer", answer);
    case.note(format!("client got: {} {:?}", head.status(), String::from_utf8_lossy(&body)));
    let got: Vec<Vec<u8>> = received.try_iter().collect();
    if head.status() != 200 {
        case.end(HELD, "the upload was not served, and the client was told so");
    }
    let Some(last) = got.last() else { case.end(BROKEN, "served without any run at the upstream") };
    if *last == content {
        case.end(HELD, "the upstream got the bytes that the client sent");
    }
    let first = last.iter().zip(&content).position(|(got, sent)| got != sent);
    case.end(
        BROKEN,
        format!(
            "answered 200, but the upstream got other bytes than the client sent: {} octets, the first wrong one at {first:?}",
            last.len()
        ),
    )
}
