//! A stream server is told to leave while many clients send logs as resumable uploads. All that it has read has to get a
//! final answer before the process ends.

mod common;
use common::*;
use std::io::Write;
use std::net::TcpListener;
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};

const CLIENTS: usize = 100;
const LENGTH: usize = 400_000;
/// A client behind a slow link sends this every 100 ms, so its log would take 10 s.
const PIECE: usize = 4_000;

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
  limits: {{ memory_mb: 64, connections: 2000, at_once: 200 }}, stop_ms: 3200, grace_ms: 2500 }}",
        case.temp.join("state").display()
    );
    std::fs::write(&settings, text).expect("the settings can be written");
    let settings = settings.display().to_string();
    let serve = ["target/release/lynxtally", "stream", "serve", "--settings", &settings];
    std::thread::spawn(move || {
        for mut stream in upstream.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let Ok(head) = read_head(&mut stream) else { return };
                if read_body(&mut stream, &head).is_ok() {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored");
                }
            });
        }
    });
    let started = case.start("front", &serve, &[]).map(|_| ());
    let (mut case, ()) =
        case.need("start", started.and_then(|()| wait_for_listener(front, Duration::from_secs(10))));

    let (ends, ended) = mpsc::channel();
    let begun = Arc::new(Mutex::new(0));
    for client in 0..CLIENTS {
        let (ends, begun) = (ends.clone(), begun.clone());
        std::thread::spawn(move || {
            let content = body_bytes(LENGTH, client as u64 + 1);
            let sent = (|| -> std::io::Result<_> {
                let mut stream = connect(front, Duration::from_millis(1))?;
                let head = format!(
                    "POST /logs/{client} HTTP/1.1\r\nHost: front\r\nUpload-Complete: ?1\r\nContent-Length: {LENGTH}\r\n\r\n"
                );
                stream.write_all(head.as_bytes())?;
                stream.set_read_timeout(Some(Duration::from_secs(20)))?;
                if read_head(&mut stream)?.status() != 104 {
                    return Err(std::io::Error::other("no place was told"));
                }
                *begun.lock().expect("no panic") += 1;
                // The client sends on until an answer comes or its connection ends.
                let mut answer = stream.try_clone()?;
                let (answers, got) = mpsc::channel();
                std::thread::spawn(move || {
                    let _ = answers.send(read_response(&mut answer, "POST"));
                });
                for piece in content.chunks(PIECE) {
                    if let Ok(answer) = got.recv_timeout(Duration::from_millis(100)) {
                        return answer;
                    }
                    if stream.write_all(piece).is_err() {
                        break;
                    }
                }
                got.recv_timeout(Duration::from_secs(20))
                    .unwrap_or_else(|_| Err(std::io::Error::other("no answer")))
            })();
            let _ = ends.send((client, sent.map(|(head, _)| head.status())));
        });
    }
    std::thread::sleep(Duration::from_secs(3));
    let under_way = *begun.lock().expect("no panic");
    case.note(format!("{under_way} of {CLIENTS} uploads are under way"));
    if under_way < CLIENTS {
        case.end(NOT_RUN, "not all uploads were let in");
    }
    if case.trouble {
        case.signal("front", "TERM");
        let at = Instant::now();
        let code = case.wait_for_end("front", Duration::from_secs(6));
        case.note(format!("the process ended after {} ms with {code:?}", at.elapsed().as_millis()));
    }
    let (mut answered, mut lost) = (0, 0);
    for (client, end) in (0..CLIENTS).map_while(|_| ended.recv_timeout(Duration::from_secs(40)).ok()) {
        case.note(format!("client {client}: {:?}", end.as_ref().map_err(|fault| fault.to_string())));
        match end {
            Ok(_) => answered += 1,
            Err(_) => lost += 1,
        }
    }
    let line = format!("{answered} of {CLIENTS} uploads got a final answer, {lost} none");
    // 3 in 1,000 may lack one on the pages.
    if answered * 1000 >= CLIENTS * 997 {
        case.end(HELD, line)
    }
    case.end(BROKEN, line)
}
