//! A client sends a booking as a resumable upload in two requests: the octets, then an empty one that finishes it. The
//! upstream answers late; the client stops waiting, gives no sign of it, and repeats its last request with its key. A
//! fingerprinted task must run once.

mod common;
use common::*;
use std::io::Write;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const LENGTH: usize = 200_000;
/// How long the upstream usually takes.
const USUAL: Duration = Duration::from_millis(1000);
/// On the pages what lies below runs 2.4 to 8 times slower for 5.3 to 17 s.
const SLOWER: u32 = 8;
const PATIENCE: Duration = Duration::from_secs(4);

fn main() {
    let mut case = Case::new();
    let upstream = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let upstream_address = upstream.local_addr().expect("it is bound");
    let front = free_address();
    let settings = case.temp.join("front.jsonnet");
    let text = format!(
        "{{ listen: ['{front}'], upstreams: ['{upstream_address}'], state: '{}',
  stages: [
    {{ name: 'booking', methods: ['POST'], paths: ['/bookings'], utility: 8, due_ms: 20000, limit_ms: 60000,
      effect: 'fingerprinted', repeat_ms: 60000, body_mb: 64, resumable: true }},
    {{ name: 'other', utility: 1, due_ms: 20000, limit_ms: 60000, effect: 'side-effecting' }},
  ],
  limits: {{ memory_mb: 64, connections: 200 }}, stop_ms: 5000, grace_ms: 2500 }}",
        case.temp.join("state").display()
    );
    std::fs::write(&settings, text).expect("the settings can be written");
    let settings = settings.display().to_string();

    // The upstream carries out each booking that it gets, and answers each.
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let (kept, recorder) = (runs.clone(), case.recorder());
    let takes = if case.trouble { USUAL * SLOWER } else { USUAL };
    std::thread::spawn(move || {
        for mut stream in upstream.incoming().map_while(Result::ok) {
            let (runs, recorder) = (kept.clone(), recorder.clone());
            std::thread::spawn(move || {
                let Ok(head) = read_head(&mut stream) else { return };
                let Ok(body) = read_body(&mut stream, &head) else { return };
                let key = head.field("Idempotency-Key").unwrap_or("none").to_owned();
                recorder.note(format!(
                    "upstream runs {} with {} octets, key {key}",
                    head.first_line(),
                    body.len()
                ));
                runs.lock().expect("no panic").push(key);
                std::thread::sleep(takes);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbooked");
            });
        }
    });

    let serve = ["target/release/lynxtally", "stream", "serve", "--settings", &settings];
    let started = case.start("front", &serve, &[]).map(|_| ());
    let (mut case, ()) =
        case.need("start", started.and_then(|()| wait_for_listener(front, Duration::from_secs(10))));
    let content = body_bytes(LENGTH, 5);
    let key = "Idempotency-Key: booking-4711\r\n";
    let created =
        request(front, "POST", "/bookings", &format!("{key}Upload-Complete: ?0\r\n"), &content, PATIENCE);
    let (next, (head, _)) = case.need("the octets", created);
    case = next;
    let place = head.field("Location").unwrap_or_default().to_owned();
    case.note(format!("POST /bookings, {LENGTH} octets, more to come: {}, place {place}", head.status()));
    if head.status() != 201 || place.is_empty() {
        case.end(NOT_RUN, "the upload was not taken");
    }
    let fields = format!(
        "{key}Content-Type: application/partial-upload\r\nUpload-Offset: {LENGTH}\r\nUpload-Complete: ?1\r\n"
    );
    // The first try: its connection stays open after the client has stopped waiting.
    let mut waiting = Vec::new();
    let mut answers = Vec::new();
    for attempt in 1..=3 {
        case.note(format!("try {attempt}: PATCH {place} from {LENGTH} on, empty, the last part"));
        let sent = connect(front, PATIENCE).and_then(|mut stream| {
            let head = format!("PATCH {place} HTTP/1.1\r\nHost: front\r\n{fields}Content-Length: 0\r\n\r\n");
            stream.write_all(head.as_bytes())?;
            Ok(stream)
        });
        let (next, mut stream) = case.need("PATCH", sent);
        case = next;
        match read_response(&mut stream, "PATCH") {
            Ok((head, body)) => {
                case.note(format!(
                    "try {attempt} got {} {:?}",
                    head.status(),
                    String::from_utf8_lossy(&body)
                ));
                answers.push(head.status());
                break;
            }
            Err(fault) => case.note(format!("try {attempt}: the client stops waiting ({fault})")),
        }
        waiting.push(stream);
    }
    // What was begun may end.
    std::thread::sleep(USUAL * SLOWER);
    let runs = runs.lock().expect("no panic").clone();
    case.note(format!("runs at the upstream: {runs:?}; answers: {answers:?}"));
    drop(waiting);
    match runs.len() {
        0 => case.end(NOT_RUN, "nothing reached the upstream"),
        1 => case.end(HELD, "the fingerprinted booking ran once"),
        times => case.end(BROKEN, format!("the fingerprinted booking with one key ran {times} times")),
    }
}
