//! A client sends a log as a resumable upload in one request. While the server passes it on to the upstream it is killed,
//! and comes back. The client asks how far its upload is. What the server calls complete must reach the upstream.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::{Duration, Instant};

const LENGTH: usize = 16 << 20;
/// What the upstream reads in a second: a log takes about 8 s.
const READS: usize = 2 << 20;
/// Deaths last from 5.2 to 22 s on the pages.
const DOWN: Duration = Duration::from_secs(7);
const PATIENCE: Duration = Duration::from_secs(30);
/// How long the client waits for the upload to arrive after the server has called it complete.
const WAITS: Duration = Duration::from_secs(45);

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

    // The upstream files what arrives whole, and nothing else.
    let (filed, arrived) = mpsc::channel();
    let recorder = case.recorder();
    std::thread::spawn(move || {
        for mut stream in upstream.incoming().map_while(Result::ok) {
            let (filed, recorder) = (filed.clone(), recorder.clone());
            std::thread::spawn(move || {
                let Ok(head) = read_head(&mut stream) else { return };
                recorder.note(format!("upstream: {} begins", head.first_line()));
                let length = head.length().unwrap_or(0) as usize;
                let (mut body, mut octets) = (Vec::new(), vec![0; READS / 50]);
                while body.len() < length {
                    match stream.read(&mut octets) {
                        Ok(count @ 1..) => body.extend_from_slice(&octets[..count]),
                        _ => {
                            return recorder.note(format!(
                                "upstream: broke off after {} of {length} octets; nothing is filed",
                                body.len()
                            ))
                        }
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
                recorder.note(format!("upstream: {length} octets filed"));
                let _ = filed.send(body);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored");
            });
        }
    });

    let started = case.start("front", &serve, &[]).map(|_| ());
    let (mut case, ()) =
        case.need("start", started.and_then(|()| wait_for_listener(front, Duration::from_secs(10))));
    let content = body_bytes(LENGTH, 31);
    let begun = (|| -> std::io::Result<_> {
        let mut stream = connect(front, PATIENCE)?;
        let head = format!(
            "POST /logs/31 HTTP/1.1\r\nHost: front\r\nUpload-Complete: ?1\r\nContent-Length: {LENGTH}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let interim = read_head(&mut stream)?;
        let place = interim.field("Location").unwrap_or_default().to_owned();
        stream.write_all(&content)?;
        Ok((stream, interim.status(), place))
    })();
    let (next, (mut stream, status, place)) = case.need("the upload", begun);
    case = next;
    case.note(format!("POST /logs/31: {status}, place {place}; all {LENGTH} octets sent"));
    if status != 104 || place.is_empty() {
        case.end(NOT_RUN, "no place for the upload was told");
    }
    let told = if case.trouble {
        std::thread::sleep(Duration::from_secs(2));
        case.kill("front");
        let answer = read_response(&mut stream, "POST");
        case.note(format!(
            "the connection ended: {:?}",
            answer.map(|(head, _)| head.status()).map_err(|fault| fault.kind())
        ));
        std::thread::sleep(DOWN);
        let started = case.start("front", &serve, &[]).map(|_| ());
        let up = started.and_then(|()| wait_for_listener(front, Duration::from_secs(10)));
        (case, ()) = case.need("start again", up);
        let told = request(front, "HEAD", &place, "", b"", PATIENCE);
        let (next, (head, _)) = case.need("HEAD", told);
        case = next;
        let (offset, complete) = (head.field("Upload-Offset"), head.field("Upload-Complete"));
        case.note(format!(
            "HEAD {place}: {}, Upload-Offset {offset:?}, Upload-Complete {complete:?}",
            head.status()
        ));
        head.status() == 204 && complete == Some("?1")
    } else {
        let answer = read_response(&mut stream, "POST");
        let (next, (head, body)) = case.need("the answer", answer);
        case = next;
        case.note(format!("client got: {} {:?}", head.status(), String::from_utf8_lossy(&body)));
        head.status() == 200
    };
    if !told {
        case.end(HELD, "the server does not call the upload complete; the client goes on or sends it again");
    }
    let since = Instant::now();
    match arrived.recv_timeout(WAITS) {
        Ok(body) if body == content => {
            case.end(HELD, "what the server called complete has reached the upstream")
        }
        Ok(body) => case.end(BROKEN, format!("the upstream got {} other octets", body.len())),
        Err(_) => case.end(
            BROKEN,
            format!(
                "the server called the upload complete, and {} s later nothing has reached the upstream",
                since.elapsed().as_secs()
            ),
        ),
    }
}
