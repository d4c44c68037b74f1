//! Eleven sidecars ask for tracks, nine send logs over slow links. These nine die at once and come back some seconds later.

mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Due time and time limit of the stages, as kumasi-tracking has them.
const DUE_MS: u64 = 1800;
const LIMIT_MS: u64 = 4500;
/// The slack of the rule, and the 50 ms by which each time limit is longer on sockets.
const SLACK_MS: u64 = 60 + 50;
/// A client that has no answer after this gets none.
const WATCHED: Duration = Duration::from_secs(15);
/// How long the upstream works on a request.
const WORK: Duration = Duration::from_millis(300);
/// The sidecars that go on. Nine of twenty die: the pages have up to 45%.
const SIDECARS: usize = 11;
const DYING: usize = 9;
/// How long the nine are away; the pages have 1.7 to 7.9 s.
const AWAY: Duration = Duration::from_secs(4);
const LOAD: Duration = Duration::from_secs(14);
/// The log that each of the nine sends, and how: in pieces of this size with a pause after each.
const LOG_BYTES: usize = 2_000_000;
const PIECE_BYTES: usize = 20_000;
const PAUSE: Duration = Duration::from_millis(10);
/// How many pieces they have sent when they die.
const PIECES_BEFORE: usize = 40;

struct Answered {
    path: String,
    after: Option<Duration>,
    status: u16,
}

/// One sidecar: one request after the other on a connection that it keeps.
fn ask_for_tracks(case: &Case, number: usize, server: SocketAddr, answers: &Mutex<Vec<Answered>>) {
    let until = Instant::now() + LOAD;
    let mut client: Option<Client> = None;
    let mut asked = 0;
    sleep(WORK / SIDECARS as u32 * number as u32);
    while Instant::now() < until {
        asked += 1;
        let path = format!("/tracks/{number}-{asked}");
        let mut connected = match client.take().map_or_else(|| Client::connect(server), Ok) {
            Ok(connected) => connected,
            Err(error) => {
                case.note(&format!("sidecar {number}: no connection: {error}"));
                return;
            }
        };
        let _ = connected.stream.set_read_timeout(Some(WATCHED));
        let sent = Instant::now();
        let exchanged = connected
            .send(format!("GET {path} HTTP/1.1\r\nHost: front\r\n\r\n").as_bytes())
            .and_then(|()| connected.response(true));
        let (after, status) = match &exchanged {
            Ok(response) => (Some(sent.elapsed()), response.status),
            Err(error) => {
                let waited = sent.elapsed().as_secs_f64();
                case.note(&format!("sidecar {number}: GET {path}: no answer after {waited:.1} s: {error}"));
                (None, 0)
            }
        };
        answers.lock().expect("answers").push(Answered { path, after, status });
        match exchanged {
            Ok(response) if response.head.field("connection") != "close" => client = Some(connected),
            Ok(_) => {}
            Err(_) => return,
        }
        sleep(Duration::from_millis(100));
    }
}

/// Sends a log over a slow link. With the disruption the sidecar dies in the middle: its connection is closed. It comes back,
/// asks how far it has come, and goes on there.
fn send_log(case: &Case, number: usize, server: SocketAddr) {
    let sent = try_to_send_log(case, number, server);
    case.note(&match sent {
        Ok(status) => format!("sidecar with log {number}: answered {status}"),
        Err(error) => format!("sidecar with log {number}: no answer: {error}"),
    });
}

fn try_to_send_log(case: &Case, number: usize, server: SocketAddr) -> std::io::Result<u16> {
    let log = vec![b'0' + number as u8; LOG_BYTES];
    let mut client = Client::connect(server)?;
    client.stream.set_read_timeout(Some(WATCHED))?;
    let head = format!(
        "PUT /logs/{number} HTTP/1.1\r\nHost: front\r\nContent-Length: {LOG_BYTES}\r\nUpload-Complete: ?1\r\n\r\n"
    );
    client.send(head.as_bytes())?;
    let location = read_head(&mut client.reader)?.field("location").to_owned();
    for (piece, bytes) in log.chunks(PIECE_BYTES).enumerate() {
        if case.has_trouble && piece == PIECES_BEFORE {
            // It dies while it sends: its system still sends what it has taken, and then the end.
            client.send(bytes)?;
            drop(client);
            case.note(&format!("sidecar with log {number}: dies after {} bytes", (piece + 1) * PIECE_BYTES));
            sleep(AWAY);
            return resume_log(case, number, server, &location, &log);
        }
        client.send(bytes)?;
        sleep(PAUSE);
    }
    Ok(client.response(true)?.status)
}

fn resume_log(case: &Case, number: usize, server: SocketAddr, location: &str, log: &[u8]) -> std::io::Result<u16> {
    let mut client = Client::connect(server)?;
    client.stream.set_read_timeout(Some(WATCHED))?;
    client.send(format!("HEAD {location} HTTP/1.1\r\nHost: front\r\n\r\n").as_bytes())?;
    let asked = client.response(false)?;
    let offset: usize = asked.head.field("upload-offset").parse().unwrap_or(0);
    case.note(&format!("sidecar with log {number}: is back; HEAD: {}, offset {offset}", asked.status));
    let mut client = Client::connect(server)?;
    client.stream.set_read_timeout(Some(WATCHED))?;
    let head = format!(
        "PATCH {location} HTTP/1.1\r\nHost: front\r\nContent-Type: application/partial-upload\r\n\
         Upload-Offset: {offset}\r\nUpload-Complete: ?1\r\nContent-Length: {}\r\n\r\n",
        log.len() - offset
    );
    client.send(head.as_bytes())?;
    client.send(&log[offset..])?;
    Ok(client.response(true)?.status)
}

fn main() {
    let case = Case::begin();
    let upstream = Upstream::start(&case, WORK, |request| format!("seen: {}", request.head.first_line));
    let address: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().expect("an address");
    let settings = format!(
        "{{ listen: ['{address}'], upstreams: ['{}'], state: '{}',\n\
           stages: [\n\
             {{ name: 'log', methods: ['PUT'], paths: ['/logs/'], utility: 4, due_ms: 60000, limit_ms: 600000,\n\
                effect: 'restartable', body_mb: 512, resumable: true }},\n\
             {{ name: 'lookup', methods: ['GET', 'HEAD'], utility: 1, due_ms: {DUE_MS}, limit_ms: {LIMIT_MS},\n\
                effect: 'restartable' }},\n\
             {{ name: 'other', utility: 1, due_ms: {DUE_MS}, limit_ms: {LIMIT_MS}, effect: 'side-effecting' }},\n\
           ],\n\
           limits: {{ memory_mb: 64, connections: 2000, link_mbit: 0 }},\n\
           stop_ms: 5000, grace_ms: 2500 }}\n",
        upstream.address,
        case.path("state"),
    );
    let settings = case.write_file("front.jsonnet", &settings);
    let mut server = Process::start(&case, &["stream", "serve", "--settings", &settings]);
    wait_for_listener(&case, &mut server, address);

    let answers = Arc::new(Mutex::new(Vec::new()));
    let sidecars: Vec<_> = (0..SIDECARS)
        .map(|number| {
            let (case, answers) = (case.clone(), answers.clone());
            thread::spawn(move || ask_for_tracks(&case, number, address, &answers))
        })
        .collect();
    sleep(LOAD / 7);
    let uploads: Vec<_> = (0..DYING)
        .map(|number| {
            let case = case.clone();
            thread::spawn(move || send_log(&case, number, address))
        })
        .collect();
    for upload in uploads {
        let _ = upload.join();
    }
    for sidecar in sidecars {
        let _ = sidecar.join();
    }
    let ended_in_time = server.terminate(&case, Duration::from_secs(6));
    case.note(&format!("the server ended within 6 s of SIGTERM: {ended_in_time}"));

    let runs = upstream.all();
    let reached = |path: &str| runs.iter().any(|run| run.head.first_line.contains(&format!("{path} ")));
    let answers = answers.lock().expect("answers");
    let limit = Duration::from_millis(LIMIT_MS + SLACK_MS);
    let late = |answered: &&Answered| answered.after.is_none_or(|after| after > limit);
    let lost: Vec<&Answered> = answers.iter().filter(late).collect();
    let lost_though_forwarded = lost.iter().filter(|answered| reached(&answered.path)).count();
    let served = answers.iter().filter(|answered| answered.status == 200).count();
    case.note(&format!(
        "sidecars: {} requests, {served} answered 200, {} without an answer within {} ms, {lost_though_forwarded} of \
         these had reached the upstream",
        answers.len(),
        lost.len(),
        limit.as_millis()
    ));
    if served < SIDECARS {
        case.end(NOT_RUN, "the server hardly served before the sidecars died");
    }
    // Up to 3 in 1,000 may lack an answer in their time.
    if lost.len() * 1000 >= answers.len() * 3 {
        case.end(BROKEN, "BROKEN: requests that were read got no answer, neither in their time nor at all");
    }
    case.end(HELD, "held: the sidecars' requests were answered in their time");
}
