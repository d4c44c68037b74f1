//! A node registers its address with the names server when it starts and withdraws it when it is told to leave. It
//! restarts in a rolling deploy, from nothing, and registers the same address again. The accepted update must be seen.

mod common;
mod dns;
use common::*;
use dns::{Key, Step};
use std::net::SocketAddr;
use std::time::Duration;

const ZONE: &str = "fleet.example.org.";
const NODE: &str = "track7.fleet.example.org.";
const ADDRESS: [u8; 4] = [127, 0, 0, 7];
const DOWN: Duration = Duration::from_secs(7);
const PATIENCE: Duration = Duration::from_secs(10);

/// A node's client for updates: a process that starts numbers its messages from 1 on.
struct Updater<'a> {
    server: SocketAddr,
    key: &'a Key,
    id: u16,
}

impl Updater<'_> {
    fn send(&mut self, case: &Case, step: Step) -> std::io::Result<u8> {
        self.id += 1;
        let message = dns::update(self.id, ZONE, &[step.clone()], self.key, unix_ms() / 1000);
        let code = dns::exchange(self.server, &message, PATIENCE)?.code;
        case.note(format!("update, id {}: {step:?}: code {code}", self.id));
        Ok(code)
    }
}

fn main() {
    let mut case = Case::new();
    let server = free_address();
    let key = Key { name: "nodes.fleet.example.org.", secret: std::array::from_fn(|n| n as u8 * 7 + 1) };
    let at = |name: &str| case.temp.join(name).display().to_string();
    let zone_file = "$ORIGIN fleet.example.org.\n$TTL 1h\n@ IN SOA ns1 operators 1 1h 10m 2w 1m\n@ IN NS ns1\nns1 IN A 127.0.0.1\n";
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
    let written = std::fs::write(at("fleet.zone"), zone_file)
        .and_then(|()| std::fs::write(&settings_file, settings))
        .and_then(|()| {
            write_secret(
                &at("nodes.key"),
                &format!("hmac-sha256 {} {}\n", key.name, dns::base64(&key.secret)),
            )
        });
    (case, ()) = case.need("the files", written);
    let serve = ["target/release/lynxtally", "names", "serve", "--settings", &settings_file];
    let started = case.start("names", &serve, &[]).map(|_| ());
    (case, ()) =
        case.need("start", started.and_then(|()| wait_for_listener(server, Duration::from_secs(10))));

    let mut updater = Updater { server, key: &key, id: 0 };
    let first = updater.send(&case, Step::Add(NODE, ADDRESS));
    let (next, first) = case.need("the first registration", first);
    case = next;
    let seen = dns::exchange(server, &dns::query(77, NODE, dns::A), PATIENCE);
    let (next, seen) = case.need("the first query", seen);
    case = next;
    case.note(format!("query {NODE} A: {seen:?}"));
    if first != 0 || seen.records != [(dns::A, ADDRESS.to_vec())] {
        let log = case.log_of("names");
        case.end(NOT_RUN, format!("the first registration was not taken: {log}"));
    }
    std::thread::sleep(Duration::from_secs(3));
    let gone = updater.send(&case, Step::Delete(NODE, ADDRESS));
    let (next, gone) = case.need("the withdrawal", gone);
    case = next;
    std::thread::sleep(DOWN);
    if case.trouble {
        case.note("the node's process has restarted: it starts from nothing");
        updater = Updater { server, key: &key, id: 0 };
    }
    let again = updater.send(&case, Step::Add(NODE, ADDRESS));
    let (next, again) = case.need("the second registration", again);
    case = next;
    let seen = dns::exchange(server, &dns::query(78, NODE, dns::A), PATIENCE);
    let (case, seen) = case.need("the second query", seen);
    case.note(format!("query {NODE} A: {seen:?}"));
    if gone != 0 || again != 0 {
        case.end(HELD, "an update was refused, and the node was told so");
    }
    if seen.records == [(dns::A, ADDRESS.to_vec())] {
        case.end(HELD, "the answer after the accepted update reflects it");
    }
    case.end(
        BROKEN,
        format!("the update was accepted, but the answer after it does not reflect it: {seen:?}"),
    )
}

fn write_secret(path: &str, text: &str) -> std::io::Result<()> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    std::fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(path)?
        .write_all(text.as_bytes())
}
