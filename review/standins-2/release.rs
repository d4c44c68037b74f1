//! A release of the names server under load: the new process is started, and a moment later the old one is told to leave.
//! Nodes go on registering. Each update that was answered NOERROR must be seen at the process that serves then.

mod common;
mod dns;
use common::*;
use dns::{Key, Step};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ZONE: &str = "fleet.example.org.";
const PATIENCE: Duration = Duration::from_secs(3);
/// Updates in the log before the release, each of a node that registers what it serves; a server that starts replays them.
const EARLIER: u32 = 30_000;
/// Records of such an update.
const RECORDS: u32 = 20;
/// Nodes that register one after another, each of them so often.
const NODES: usize = 4;
const PAUSE: Duration = Duration::from_millis(50);
/// From the start of the new process to the notice for the old one.
const OVERLAP: Duration = Duration::from_millis(500);

/// What a node was told: name and whether its update was answered NOERROR.
type Told = Arc<Mutex<Vec<String>>>;

fn register(server: SocketAddr, node: usize, told: &Told, stop: &AtomicBool, recorder: &Recorder) {
    let key = Key { name: "nodes.fleet.example.org.", secret: secret() };
    let mut id = (node as u16 + 1) * 10_000;
    while !stop.load(Ordering::Relaxed) {
        id += 1;
        let name: &'static str = Box::leak(format!("track{id}.fleet.example.org.").into_boxed_str());
        let message = dns::update(id, ZONE, &[Step::Add(name, [127, 0, 0, 7])], &key, unix_ms() / 1000);
        match dns::exchange(server, &message, PATIENCE) {
            Ok(answer) if answer.code == 0 => {
                recorder.note(format!("update {name}: accepted"));
                told.lock().expect("no panic").push(name.to_owned());
            }
            Ok(answer) => recorder.note(format!("update {name}: refused, code {}", answer.code)),
            Err(fault) => recorder.note(format!("update {name}: {fault}")),
        }
        std::thread::sleep(PAUSE);
    }
}

/// Registers many names, as nodes have done for a while before the release.
fn fill(server: SocketAddr, sent: &AtomicU32, filled: &AtomicU32) {
    let key = Key { name: "nodes.fleet.example.org.", secret: secret() };
    loop {
        let number = sent.fetch_add(1, Ordering::Relaxed);
        if number >= EARLIER {
            return;
        }
        let step = |record: u32| {
            let name: &'static str =
                Box::leak(format!("s{record}-{number}.fleet.example.org.").into_boxed_str());
            Step::Add(name, [127, 0, (number >> 8) as u8, number as u8])
        };
        let steps: Vec<Step> = (0..RECORDS).map(step).collect();
        let message = dns::update(number as u16, ZONE, &steps, &key, unix_ms() / 1000);
        if dns::exchange(server, &message, PATIENCE).is_ok_and(|answer| answer.code == 0) {
            filled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn secret() -> [u8; 32] {
    std::array::from_fn(|n| n as u8 * 7 + 1)
}

fn write_secret(path: &str, text: &str) -> std::io::Result<()> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let mut options = std::fs::OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(0o600).open(path)?.write_all(text.as_bytes())
}

fn main() {
    let mut case = Case::new();
    let server = free_address();
    let at = |name: &str| case.temp.join(name).display().to_string();
    let zone = "$ORIGIN fleet.example.org.\n$TTL 1h\n@ IN SOA ns1 operators 1 1h 10m 2w 1m\n@ IN NS ns1\nns1 IN A 127.0.0.1\n";
    let settings = format!(
        "{{ listen: ['{server}'], state: '{}', keys: ['{}'],
  zones: [{{ apex: '{ZONE}', file: '{}',
    updates: [{{ key: 'nodes.{ZONE}', below: '{ZONE}', kinds: ['A', 'AAAA', 'SRV', 'TXT'] }}] }}],
  limits: {{ memory_mb: 64, connections: 500, log_mb: 64 }}, stop_ms: 5000, grace_ms: 2500 }}",
        at("state"),
        at("nodes.key"),
        at("fleet.zone")
    );
    let settings_file = at("fleet.jsonnet");
    let key_line = format!("hmac-sha256 nodes.fleet.example.org. {}\n", dns::base64(&secret()));
    let written = std::fs::write(at("fleet.zone"), zone)
        .and_then(|()| std::fs::write(&settings_file, settings))
        .and_then(|()| write_secret(&at("nodes.key"), &key_line));
    (case, ()) = case.need("the files", written);
    let serve = ["target/release/lynxtally", "names", "serve", "--settings", &settings_file];
    let started = case.start("old", &serve, &[]).map(|_| ());
    (case, ()) =
        case.need("start", started.and_then(|()| wait_for_listener(server, Duration::from_secs(40))));

    let (sent, filled) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let fillers: Vec<_> = (0..32)
        .map(|_| {
            let (sent, filled) = (sent.clone(), filled.clone());
            std::thread::spawn(move || fill(server, &sent, &filled))
        })
        .collect();
    for filler in fillers {
        let _ = filler.join();
    }
    case.note(format!("{} earlier updates accepted", filled.load(Ordering::Relaxed)));
    let (told, stop) = (Told::default(), Arc::new(AtomicBool::new(false)));
    let nodes: Vec<_> = (0..NODES)
        .map(|node| {
            let (told, stop, recorder) = (told.clone(), stop.clone(), case.recorder());
            std::thread::spawn(move || register(server, node, &told, &stop, &recorder))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    if case.trouble {
        let started = case.start("new", &serve, &[]).map(|_| ());
        (case, ()) = case.need("the new process", started);
        std::thread::sleep(OVERLAP);
    }
    case.signal("old", "TERM");
    let code = case.wait_for_end("old", Duration::from_secs(6));
    if code != Some(0) {
        case.end(NOT_RUN, format!("the old process ended with {code:?}"));
    }
    if !case.trouble {
        let started = case.start("new", &serve, &[]).map(|_| ());
        (case, ()) = case.need("the new process", started);
    }
    // Should the new process refuse to start beside the old one, it is started again, as a supervisor does.
    let until = Instant::now() + Duration::from_secs(30);
    while wait_for_listener(server, Duration::from_millis(500)).is_err() {
        if case.wait_for_end("new", Duration::from_millis(1)).is_some() {
            let started = case.start("new", &serve, &[]).map(|_| ());
            (case, ()) = case.need("the new process again", started);
        }
        if Instant::now() > until {
            case.end(NOT_RUN, "the new process does not serve");
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    for node in nodes {
        let _ = node.join();
    }
    let told = told.lock().expect("no panic").clone();
    let mut gone = Vec::new();
    for name in &told {
        let answer = dns::exchange(server, &dns::query(7, name, dns::A), PATIENCE);
        let (next, answer) = case.need("a query", answer);
        case = next;
        if answer.records.is_empty() {
            case.note(format!("query {name} A: {answer:?}"));
            gone.push(name.clone());
        }
    }
    let line = format!("{} of {} accepted updates are not seen", gone.len(), told.len());
    if gone.is_empty() {
        case.end(HELD, line)
    }
    case.end(BROKEN, line)
}
